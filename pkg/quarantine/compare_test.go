package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// exchange is the way in which nodes learn of each other's evidence.
type exchange uint8

const (
	noExchange     exchange = iota // a node uses only the crashes under its own requests
	withHeartbeats                 // nodes and holder exchange evidence in heartbeats, once a second
	withNotices                    // a node notifies all nodes at once; heartbeats bring what the notices missed
)

func (w exchange) String() string { return []string{"none", "heartbeats", "notices"}[w] }

// fleet simulates the nodes of a site at which a crashing request arrives again and again.
type fleet struct {
	exchange  exchange
	tables    []*Table
	holder    Table
	trials    Trials
	lostFrom  time.Time // the holder and its knowledge are lost
	lostUntil time.Time
	crashes   []time.Time
	messages  int
}

// Parameters of the simulation, as in the users' record: the request comes every 0.2 to 2 s, its
// server crashes 0.12 s later, and an attempt goes to at most three servers.
const (
	simTime           = 40 * time.Second
	crashesAfter      = 120 * time.Millisecond
	noticeDelay       = 15 * time.Millisecond // to all nodes
	heartbeatInterval = time.Second
)

// event is a scheduled action.
type event struct {
	at time.Time
	do func(at time.Time)
}

// run simulates the arrivals of the request and returns how many servers crashed.
func (f *fleet) run(seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 1))
	var queue []event
	add := func(at time.Time, do func(time.Time)) { queue = append(queue, event{at, do}) }
	for i := range f.tables {
		var heartbeat func(at time.Time)
		heartbeat = func(at time.Time) { f.heartbeat(at, f.tables[i]); add(at.Add(heartbeatInterval), heartbeat) }
		add(testStart.Add(time.Duration(random.Int64N(int64(heartbeatInterval)))), heartbeat)
	}
	var arrive func(at time.Time)
	arrive = func(at time.Time) {
		f.send(at, f.tables[random.IntN(len(f.tables))], 3, random, add)
		add(at.Add(200*time.Millisecond+time.Duration(random.Int64N(int64(1800*time.Millisecond)))), arrive)
	}
	add(testStart, arrive)
	for {
		next := 0
		for i := range queue {
			if queue[i].at.Before(queue[next].at) {
				next = i
			}
		}
		e := queue[next]
		queue[next] = queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if e.at.Sub(testStart) > simTime {
			return len(f.crashes)
		}
		e.do(e.at)
	}
}

func (f *fleet) lost(now time.Time) bool { return !now.Before(f.lostFrom) && now.Before(f.lostUntil) }

// heartbeat exchanges evidence between a node and the holder.
func (f *fleet) heartbeat(now time.Time, node *Table) {
	if f.exchange == noExchange || f.lost(now) {
		return
	}
	for _, e := range node.Restricted(now) {
		f.holder.Merge(now, e)
	}
	for _, e := range f.holder.Restricted(now) {
		node.Merge(now, e)
	}
}

// send has a node send the request to a server, which crashes.
func (f *fleet) send(now time.Time, node *Table, left int, random *rand.Rand, add func(time.Time, func(time.Time))) {
	standing := node.Standing(now, request(1))
	server := fmt.Sprintf("i-%d", len(f.crashes)+1000*random.IntN(1000))
	switch {
	case left == 0 || standing == Quarantined:
		return
	case standing == Suspected && f.exchange != noExchange:
		if f.lost(now) || f.holder.Standing(now, request(1)) == Quarantined || !f.trials.Start(now, server, request(1)) {
			return
		}
	}
	run := Run{Request: request(1), Service: "s", Server: server, Round: node.NextRound(now, request(1))}
	add(now.Add(crashesAfter), func(now time.Time) {
		f.crashes = append(f.crashes, now)
		f.trials.End(server, request(1))
		seen := run.CrashEvidence()
		node.Merge(now, seen)
		if f.exchange == withNotices {
			f.messages += len(f.tables) - 1
			add(now.Add(noticeDelay), func(now time.Time) {
				for _, other := range f.tables {
					other.Merge(now, seen)
				}
				if !f.lost(now) {
					f.holder.Merge(now, seen)
				}
			})
		}
		f.send(now, node, left-1, random, add)
	})
}

// TestWaysOfEvidenceExchange compares the ways of exchange on sites of the users' sizes, with and without a
// loss of the holder. It logs the mean over several seeds, with the worst in parentheses.
func TestWaysOfEvidenceExchange(t *testing.T) {
	for _, nodes := range []int{9, 87, 195} {
		for _, lost := range []bool{false, true} {
			mean := make(map[exchange]float64)
			for _, w := range []exchange{noExchange, withHeartbeats, withNotices} {
				sum, worst, messages := 0, 0, 0
				const seeds = 15
				for seed := range uint64(seeds) {
					f := &fleet{exchange: w}
					for range nodes {
						f.tables = append(f.tables, new(Table))
					}
					if lost {
						f.lostFrom, f.lostUntil = testStart.Add(300*time.Millisecond), testStart.Add(3*time.Second)
					}
					n := f.run(seed)
					sum, worst, messages = sum+n, max(worst, n), messages+f.messages
				}
				mean[w] = float64(sum) / seeds
				t.Logf("%3d nodes, holder lost %5v, %-10v: servers crashed %6.2f (%d), messages besides heartbeats %d", nodes, lost, w, mean[w], worst, messages/seeds)
				if w == withNotices && worst > 4 {
					t.Errorf("%d nodes, holder lost %v: %d servers crashed with notices", nodes, lost, worst)
				}
			}
			if mean[withNotices] > mean[withHeartbeats] || mean[withHeartbeats] > mean[noExchange] {
				t.Errorf("%d nodes: the exchange in use is not the best: %v", nodes, mean)
			}
		}
	}
}
