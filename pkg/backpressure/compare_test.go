package backpressure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// player is a way for nodes to keep together to a server's limit.
type player interface {
	// send returns when a request of a node may go, false if it is turned away, and the messages that
	// it took to find out.
	send(now time.Time, node int) (at time.Time, granted bool, messages int)
}

// equalShares gives each node the same part of the limit.
type equalShares struct {
	perNode float64
	room    []float64
	filled  []time.Time
}

func newEqualShares(limit float64, nodes int) *equalShares {
	return &equalShares{perNode: limit / float64(nodes), room: make([]float64, nodes), filled: make([]time.Time, nodes)}
}

func (e *equalShares) send(now time.Time, node int) (time.Time, bool, int) {
	if !e.filled[node].IsZero() {
		e.room[node] = min(e.room[node]+e.perNode*now.Sub(e.filled[node]).Seconds(), max(e.perNode, 1))
	}
	e.filled[node] = now
	if e.room[node] < 1 {
		return now, false, 0
	}
	e.room[node]--
	return now, true, 0
}

// rations have the names of nodes and server choose who sends.
type rations struct {
	limit float64
	nodes []Ration
}

func (r *rations) send(now time.Time, node int) (time.Time, bool, int) {
	return now, r.nodes[node].Take(now, fmt.Sprint("node-", node), "server", r.limit, len(r.nodes)), 0
}

// lent has one node give out slots. In the last part of each while nobody does, and then the next one.
type lent struct {
	slots   *Slots
	rations rations
	limit   float64
	while   time.Duration // of one holder; zero: it stays
	away    time.Duration // between two holders
}

func (l *lent) send(now time.Time, node int) (time.Time, bool, int) {
	if l.while > 0 {
		term, into := now.Sub(start)/l.while, now.Sub(start)%l.while
		if into >= l.while-l.away {
			_, granted, _ := l.rations.send(now, node)
			return now, granted, 1
		}
		l.slots.Begin(start.Add(term*l.while), uint64(term)+2)
	}
	slot := l.slots.Take(now, []Ask{{"server", l.limit}}, MostWait)
	return now.Add(slot.Wait), slot.Granted, 2
}

// played is what came of a way.
type played struct {
	most     int     // arrivals in 4 s
	used     float64 // of the limit, after the first 2 s
	messages float64 // a second
}

// play sends five times the limit for 24 s. If skewed, nearly all of it comes to one node.
func play(p player, limit float64, nodes int, skewed bool) played {
	const length, window, learned = 24 * time.Second, 4 * time.Second, 2 * time.Second
	random := rand.New(rand.NewPCG(uint64(nodes), uint64(limit)))
	var sent []time.Time
	messages := 0
	for now := start; now.Sub(start) < length; now = now.Add(time.Duration(float64(time.Second) / (5 * limit))) {
		node := random.IntN(nodes)
		if skewed && random.IntN(10) > 0 {
			node = 0
		}
		at, granted, m := p.send(now, node)
		messages += m
		if granted {
			sent = append(sent, at)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	result := played{messages: float64(messages) / length.Seconds()}
	late := 0
	for i, at := range sent {
		n := 0
		for _, other := range sent[i:] {
			if other.Sub(at) < window {
				n++
			}
		}
		result.most = max(result.most, n)
		if at.Sub(start) >= learned {
			late++
		}
	}
	result.used = float64(late) / (limit * (length - learned).Seconds())
	return result
}

// TestWaysToShareALimit plays the ways beside each other. Slots that one node gives out use the limit at any
// number of nodes, and keep to what may arrive in 4 s (1.5 of the limit and 5 more). Equal shares come due at
// many nodes at once, or serve nothing where few nodes have the requests.
func TestWaysToShareALimit(t *testing.T) {
	for _, nodes := range []int{3, 30, 300} {
		for _, limit := range []float64{1, 20} {
			for _, skewed := range []bool{false, true} {
				newLent := func() *lent {
					l := &lent{slots: &Slots{}, limit: limit, rations: rations{AloneShare * limit, make([]Ration, nodes)}}
					l.slots.Begin(start.Add(-time.Minute), 1)
					return l
				}
				changing := newLent()
				changing.while, changing.away = 5*time.Second, 2500*time.Millisecond
				for _, way := range []struct {
					name string
					player
					kept  bool
					least float64 // of the limit that is used
				}{
					{"equal shares", newEqualShares(limit, nodes), false, 0},
					{"rations", &rations{limit, make([]Ration, nodes)}, true, 0},
					{"slots", newLent(), true, 0.9},
					{"slots, a holder each 5 s, none for half of the time", changing, true, 0.4},
				} {
					got := play(way, limit, nodes, skewed)
					t.Logf("%3d nodes, %2g a second, skewed %5v, %s: most %d, used %.2f, %.0f messages a second", nodes, limit, skewed, way.name, got.most, got.used, got.messages)
					if most := 1.5*limit*4 + 5; way.kept && float64(got.most) > most {
						t.Errorf("%s of %d nodes: %d in 4 s, %g may arrive", way.name, nodes, got.most, most)
					}
					if got.used < way.least {
						t.Errorf("%s of %d nodes: %.2f of a limit of %g are used, want %.2f", way.name, nodes, got.used, limit, way.least)
					}
				}
			}
		}
	}
}

// TestSlotsOfATermFollowThoseOfTheLast: what the last holder gave out is over before the next one gives
// out any.
func TestSlotsOfATermFollowThoseOfTheLast(t *testing.T) {
	var last, next Slots
	last.Begin(at(0), 1)
	var end time.Time
	for {
		slot := last.Take(at(10), []Ask{{"a", 5}}, time.Hour)
		if !slot.Granted {
			break
		}
		end = at(10).Add(slot.Wait)
	}
	next.Begin(at(10), 2)
	if slot := next.Take(at(10), []Ask{{"a", 5}}, time.Hour); !slot.Granted || at(10).Add(slot.Wait).Before(end) {
		t.Errorf("%+v, and the last one gave out slots until %v later", slot, end.Sub(at(10)))
	}
}

// TestThoseTurnedAwayComeBackOneByOne: each is told a later time, and that there was too little room is
// known.
func TestThoseTurnedAwayComeBackOneByOne(t *testing.T) {
	var s Slots
	s.Begin(at(0), 1)
	var told []time.Duration
	for range 8 {
		if slot := s.Take(at(10), []Ask{{"a", 2}, {"b", 2}}, 100*time.Millisecond); !slot.Granted {
			told = append(told, slot.Wait)
		}
	}
	if len(told) != 6 {
		t.Fatalf("%d were turned away, want all but one at each of two servers", len(told))
	}
	slices.Sort(told)
	if spread := told[5] - told[0]; spread < time.Second || len(slices.Compact(told)) < 3 {
		t.Errorf("they were told to come back after %v", told)
	}
	if short := s.Short(at(10)); len(short) != 2 {
		t.Errorf("%v are short", short)
	}
	if short := s.Short(at(14)); len(short) != 0 {
		t.Errorf("%v are short 4 s later", short)
	}
}
