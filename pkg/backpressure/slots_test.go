package backpressure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// strategy is a way for nodes to stay within a server's limit together.
type strategy interface {
	// send returns when a request of a node may go, or false if it is rejected, and the number of messages
	// between nodes that it took to decide.
	send(now time.Time, node int) (at time.Time, granted bool, messages int)
}

// equalShares gives each node the same share of the limit.
type equalShares struct {
	perNode  float64
	tokens   []float64
	filledAt []time.Time
}

func newEqualShares(limit float64, nodes int) *equalShares {
	return &equalShares{perNode: limit / float64(nodes), tokens: make([]float64, nodes), filledAt: make([]time.Time, nodes)}
}

func (e *equalShares) send(now time.Time, node int) (time.Time, bool, int) {
	if !e.filledAt[node].IsZero() {
		e.tokens[node] = min(e.tokens[node]+e.perNode*now.Sub(e.filledAt[node]).Seconds(), max(e.perNode, 1))
	}
	e.filledAt[node] = now
	if e.tokens[node] < 1 {
		return now, false, 0
	}
	e.tokens[node]--
	return now, true, 0
}

// rations selects the nodes that may send by a hash of the names of node and server.
type rations struct {
	limit float64
	nodes []Ration
}

func (r *rations) send(now time.Time, node int) (time.Time, bool, int) {
	return now, r.nodes[node].Take(now, fmt.Sprint("node-", node), "server", r.limit, len(r.nodes)), 0
}

// centralSlots has one node grant slots. Near the end of each term no node does, and then the next node
// takes over.
type centralSlots struct {
	slots      *Slots
	rations    rations
	limit      float64
	termLength time.Duration // length of a term; zero: the same node grants slots all the time
	gap        time.Duration // time without a granting node between two terms
}

func (c *centralSlots) send(now time.Time, node int) (time.Time, bool, int) {
	if c.termLength > 0 {
		term, into := now.Sub(start)/c.termLength, now.Sub(start)%c.termLength
		if into >= c.termLength-c.gap {
			_, granted, _ := c.rations.send(now, node)
			return now, granted, 1
		}
		c.slots.Begin(start.Add(term*c.termLength), uint64(term)+2)
	}
	slot := c.slots.Take(now, []Ask{{Server: "server", Limit: c.limit}}, MaxWait)
	return now.Add(slot.Wait), slot.Granted, 2
}

// outcome is the result of a simulation run.
type outcome struct {
	mostArrivals int     // most arrivals within 4 s
	used         float64 // part of the limit, after the first 2 s
	messages     float64 // per second
}

// simulate sends five times the limit for 24 s. If skewed, more than 90% of it comes to one node.
func simulate(s strategy, limit float64, nodes int, skewed bool) outcome {
	const length, window, warmup = 24 * time.Second, 4 * time.Second, 2 * time.Second
	random := rand.New(rand.NewPCG(uint64(nodes), uint64(limit)))
	var sent []time.Time
	messages := 0
	for now := start; now.Sub(start) < length; now = now.Add(time.Duration(float64(time.Second) / (5 * limit))) {
		node := random.IntN(nodes)
		if skewed && random.IntN(10) > 0 {
			node = 0
		}
		at, granted, m := s.send(now, node)
		messages += m
		if granted {
			sent = append(sent, at)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	result := outcome{messages: float64(messages) / length.Seconds()}
	afterWarmup := 0
	for i, at := range sent {
		n := 0
		for _, other := range sent[i:] {
			if other.Sub(at) < window {
				n++
			}
		}
		result.mostArrivals = max(result.mostArrivals, n)
		if at.Sub(start) >= warmup {
			afterWarmup++
		}
	}
	result.used = float64(afterWarmup) / (limit * (length - warmup).Seconds())
	return result
}

// TestWaysToShareALimit compares the strategies. Slots granted by one node use the limit with any number of
// nodes, and keep to what may arrive in 4 s (1.5 times the limit and 5 requests). With equal shares,
// many nodes may send at the same moment, or little is served if few nodes have the requests.
func TestWaysToShareALimit(t *testing.T) {
	for _, nodes := range []int{3, 30, 300} {
		for _, limit := range []float64{1, 20} {
			for _, skewed := range []bool{false, true} {
				newCentralSlots := func() *centralSlots {
					l := &centralSlots{slots: &Slots{}, limit: limit, rations: rations{UncoordinatedShare * limit, make([]Ration, nodes)}}
					l.slots.Begin(start.Add(-time.Minute), 1)
					return l
				}
				changing := newCentralSlots()
				changing.termLength, changing.gap = 5*time.Second, 2500*time.Millisecond
				for _, s := range []struct {
					name string
					strategy
					kept  bool
					least float64 // part of the limit that must be used
				}{
					{"equal shares", newEqualShares(limit, nodes), false, 0},
					{"rations", &rations{limit, make([]Ration, nodes)}, true, 0},
					{"slots", newCentralSlots(), true, 0.9},
					{"slots, a holder each 5 s, none for half of the time", changing, true, 0.4},
				} {
					got := simulate(s, limit, nodes, skewed)
					t.Logf("%3d nodes, %2g a second, skewed %5v, %s: most %d, used %.2f, %.0f messages a second", nodes, limit, skewed, s.name, got.mostArrivals, got.used, got.messages)
					if most := 1.5*limit*4 + 5; s.kept && float64(got.mostArrivals) > most {
						t.Errorf("%s of %d nodes: %d arrivals in 4 s, at most %g allowed", s.name, nodes, got.mostArrivals, most)
					}
					if got.used < s.least {
						t.Errorf("%s of %d nodes: %.2f of the limit of %g was used, want at least %.2f", s.name, nodes, got.used, limit, s.least)
					}
				}
			}
		}
	}
}

// TestSlotsOfATermFollowThoseOfTheLast: all slots of the previous term are over before the first one of the
// next term.
func TestSlotsOfATermFollowThoseOfTheLast(t *testing.T) {
	var last, next Slots
	last.Begin(at(0), 1)
	var end time.Time
	for {
		slot := last.Take(at(10), []Ask{{Server: "a", Limit: 5}}, time.Hour)
		if !slot.Granted {
			break
		}
		end = at(10).Add(slot.Wait)
	}
	next.Begin(at(10), 2)
	if slot := next.Take(at(10), []Ask{{Server: "a", Limit: 5}}, time.Hour); !slot.Granted || at(10).Add(slot.Wait).Before(end) {
		t.Errorf("the first slot of the term is %+v, while the previous term granted slots until %v after its start", slot, end.Sub(at(10)))
	}
}

// TestRejectedRequestsReturnOneByOne: rejected requests are told different retry times, and the servers
// count as overloaded.
func TestRejectedRequestsReturnOneByOne(t *testing.T) {
	var s Slots
	s.Begin(at(0), 1)
	var retryTimes []time.Duration
	for range 8 {
		if slot := s.Take(at(10), []Ask{{Server: "a", Limit: 2}, {Server: "b", Limit: 2}}, 100*time.Millisecond); !slot.Granted {
			retryTimes = append(retryTimes, slot.Wait)
		}
	}
	if len(retryTimes) != 6 {
		t.Fatalf("%d requests were rejected, want all 8 but one at each of two servers", len(retryTimes))
	}
	slices.Sort(retryTimes)
	if spread := retryTimes[5] - retryTimes[0]; spread < time.Second || len(slices.Compact(retryTimes)) < 3 {
		t.Errorf("the retry times are %v, want at least 3 different ones over at least 1 s", retryTimes)
	}
	if short := s.Overloaded(at(10)); len(short) != 2 {
		t.Errorf("the overloaded servers are %v, want both", short)
	}
	if short := s.Overloaded(at(14)); len(short) != 0 {
		t.Errorf("%v are still overloaded 4 s later", short)
	}
}
