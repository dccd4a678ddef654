package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
)

// After all 302 nodes of a site before 3,000 servers had been lost, each beat was answered with the list
// of all nodes, 25.6 kB, since some node had just come or gone; the holder, at 3.7 MB a second, answered
// most beats later than the 0.7 s that nodes wait, so that they never learned of each other. And
// whenever the holder had no time for beats for three seconds it took all nodes for silent before it
// looked at the beats that waited: 270 to 300 lines "node silent" and "node joined" within a second, again
// and again.

// beatWith has a node beat and returns the answer.
func beatWith(t testing.TB, n *node, b Beat) BeatAnswer {
	t.Helper()
	reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, b)
	if err != nil {
		t.Fatal(err)
	}
	return reply.(BeatAnswer)
}

// TestNodesKnowOfEachOtherByChanges: nodes come, change, fall silent and miss answers in any order;
// each that was answered knows the same nodes as the holder, told in whole or by changes.
func TestNodesKnowOfEachOtherByChanges(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSite(t, []string{"m0"})
			n := s.start("holder")
			n.hold()
			defer n.stop()
			members := make([]*Member, 8)
			partial := 0
			for i := range members {
				members[i] = &Member{Self: Node{Name: fmt.Sprintf("node-%d", i)}}
			}
			for range 400 {
				m := members[random.IntN(len(members))]
				switch random.IntN(8) {
				case 0:
					m.Self.Life++
					m.nodes.Store(nil) // a new life knows nothing
					m.version = NodesVersion{}
				case 1:
					time.Sleep(time.Duration(random.Int64N(int64(nodeExpiry))))
				}
				answer := beatWith(t, n, Beat{Node: m.Self, Knows: m.version, Partial: random.IntN(4) > 0})
				if random.IntN(4) == 0 {
					continue // the answer is lost
				}
				if answer.Partial {
					partial++
				}
				m.takeNodes(&answer)
				whole := beatWith(t, n, Beat{Node: m.Self})
				if got, want := namesOf(m.Nodes()), namesOf(whole.Nodes); !slices.Equal(got, want) {
					t.Fatalf("seed %d: %s knows %v, the holder %v", seed, m.Self.Name, got, want)
				}
			}
			if partial == 0 {
				t.Error("no answer told of changes alone")
			}
		})
	}
}

// namesOf returns the lives of nodes, in order.
func namesOf(nodes []Node) []string {
	var names []string
	for _, n := range nodes {
		names = append(names, fmt.Sprintf("%s/%d", n.Name, n.Life))
	}
	slices.Sort(names)
	return names
}

// TestAHolderThatStalledKeepsItsNodes: what it did not look at is no silence; a node that is silent is
// found out all the same.
func TestAHolderThatStalledKeepsItsNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("holder")
		n.hold()
		defer n.stop()
		beats := []Beat{{Node: Node{Name: "a"}}, {Node: Node{Name: "b"}}}
		for _, b := range beats {
			beatWith(t, n, b)
		}
		before := beatWith(t, n, beats[0]).Version
		for range 5 {
			n.holder.post(func() { time.Sleep(nodeExpiry + time.Second) })
			time.Sleep(nodeExpiry + 2*time.Second)
			for _, b := range beats {
				beatWith(t, n, b)
			}
		}
		if after := beatWith(t, n, beats[0]).Version; after != before {
			t.Errorf("the list of nodes changed from %+v to %+v", before, after)
		}
		time.Sleep(2 * time.Second)
		beatWith(t, n, beats[0])
		time.Sleep(2 * time.Second)
		if got := namesOf(beatWith(t, n, Beat{Node: beats[0].Node}).Nodes); !slices.Equal(got, []string{"a/0"}) {
			t.Errorf("the nodes are %v, and b was silent for 4 s", got)
		}
	})
}

// slowDecider is a decider whose decisions take a while, as those for thousands of servers do.
type slowDecider struct {
	policy.Decider
	took time.Duration
}

func (d slowDecider) Decide(now time.Time, input policy.Input) []policy.Action {
	time.Sleep(d.took)
	return d.Decider.Decide(now, input)
}

// TestBeatsAreAnsweredBesideLongPlans: a holder whose plans took longer than its ticks are apart made one
// plan after the other. A beat and a tick that both waited had the same chance, so that some five beats
// a second were answered: at 302 nodes before 3,000 servers, whose first reports wait there as well, all
// nodes were silent for some three seconds, were heard, and were silent again.
func TestBeatsAreAnsweredBesideLongPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("holder")
		n.hold()
		defer n.stop()
		n.holder.Decider = slowDecider{n.holder.Decider, 300 * time.Millisecond}
		const nodes, seconds = 302, 5
		var late atomic.Int32
		var all sync.WaitGroup
		for i := range nodes {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / nodes)
				for range seconds {
					ctx, cancel := context.WithTimeout(t.Context(), beatTimeout)
					if _, err := n.holder.HandleMessage(ctx, api.NodeRef{}, Beat{Node: Node{Name: fmt.Sprint("node-", i)}}); err != nil {
						late.Add(1)
					}
					cancel()
					time.Sleep(time.Second)
				}
			})
		}
		all.Wait()
		if n := late.Load(); n > 0 {
			t.Errorf("%d of %d beats were not answered within %v", n, nodes*seconds, beatTimeout)
		}
	})
}

// TestAListOfNodesComesInAnswersOfOneSize: however many nodes there are, an answer tells of some; a
// node knows none of the others before it was told all, and then the same ones as the holder. Nodes of
// a build that does not ask for pages are told at once.
func TestAListOfNodesComesInAnswersOfOneSize(t *testing.T) {
	for _, size := range []int{300, 900} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, []string{"m0"})
			n := s.start("holder")
			n.hold()
			defer n.stop()
			for i := range size {
				beatWith(t, n, Beat{Node: Node{Name: fmt.Sprintf("node-%d", i)}})
			}
			m := &Member{Self: Node{Name: "node-0"}}
			answers := 0
			for answer := (BeatAnswer{More: true}); answer.More; answers++ {
				if answers > size/mostNodesTold+2 {
					t.Fatalf("no whole list of %d nodes after %d answers", size, answers)
				}
				answer = beatWith(t, n, Beat{Node: m.Self, Knows: m.version, Partial: true, Paged: true})
				if len(answer.Nodes) > mostNodesTold {
					t.Errorf("an answer tells of %d nodes", len(answer.Nodes))
				}
				m.takeNodes(&answer)
				if known := m.Known(); known == answer.More {
					t.Errorf("after an answer with more to come, %t, the nodes are known: %t", answer.More, known)
				}
				if answers == 0 { // one comes meanwhile
					beatWith(t, n, Beat{Node: Node{Name: "late"}})
				}
			}
			whole := beatWith(t, n, Beat{Node: m.Self})
			if got, want := namesOf(m.Nodes()), namesOf(whole.Nodes); !slices.Equal(got, want) || len(got) != size+1 {
				t.Errorf("the node knows %d nodes, the holder %d", len(got), len(want))
			}
		})
	}
}
