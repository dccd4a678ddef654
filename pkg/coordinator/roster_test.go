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

// After all 302 nodes of a site with 3,000 servers had restarted, each heartbeat was answered with
// the list of all nodes, 25.6 kB, since some node had always just come or gone. At 3.7 MB/s the
// holder answered most heartbeats after more than the 0.7 s that nodes wait, so nodes never learned
// of each other.
//
// Whenever the holder had no time for heartbeats for three seconds, it counted all nodes as silent
// before it read the waiting heartbeats: it logged "node silent" and "node joined" 270 to 300 times
// within a second, again and again.

// sendHeartbeat sends a heartbeat of a node and returns the answer.
func sendHeartbeat(t testing.TB, n *node, b Beat) BeatAnswer {
	t.Helper()
	reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, b)
	if err != nil {
		t.Fatal(err)
	}
	return reply.(BeatAnswer)
}

// TestNodesKnowOfEachOtherByChanges has nodes come, change, fall silent and lose answers in random
// order. Each node that receives an answer must know the same nodes as the holder, whether the
// answer has the whole list or only changes.
func TestNodesKnowOfEachOtherByChanges(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSite(t, []string{"m0"})
			n := s.start("holder")
			n.waitForLease()
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
					m.nodes.Store(nil) // a new incarnation knows nothing
					m.version = NodesVersion{}
				case 1:
					time.Sleep(time.Duration(random.Int64N(int64(nodeExpiry))))
				}
				answer := sendHeartbeat(t, n, Beat{Node: m.Self, Knows: m.version, Partial: random.IntN(4) > 0})
				if random.IntN(4) == 0 {
					continue // the answer is lost
				}
				if answer.Partial {
					partial++
				}
				m.applyNodes(&answer)
				whole := sendHeartbeat(t, n, Beat{Node: m.Self})
				if got, want := namesOf(m.Nodes()), namesOf(whole.Nodes); !slices.Equal(got, want) {
					t.Fatalf("seed %d: %s knows %v, the holder %v", seed, m.Self.Name, got, want)
				}
			}
			if partial == 0 {
				t.Error("no answer contained only changes")
			}
		})
	}
}

// namesOf returns the names of the nodes with their incarnations, sorted.
func namesOf(nodes []Node) []string {
	var names []string
	for _, n := range nodes {
		names = append(names, fmt.Sprintf("%s/%d", n.Name, n.Life))
	}
	slices.Sort(names)
	return names
}

// TestAHolderThatStalledKeepsItsNodes checks that heartbeats which a stalled holder has not read yet
// don't count as missing, and that a node which is really silent is still detected.
func TestAHolderThatStalledKeepsItsNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("holder")
		n.waitForLease()
		defer n.stop()
		heartbeats := []Beat{{Node: Node{Name: "a"}}, {Node: Node{Name: "b"}}}
		for _, b := range heartbeats {
			sendHeartbeat(t, n, b)
		}
		before := sendHeartbeat(t, n, heartbeats[0]).Version
		for range 5 {
			n.holder.post(func() { time.Sleep(nodeExpiry + time.Second) })
			time.Sleep(nodeExpiry + 2*time.Second)
			for _, b := range heartbeats {
				sendHeartbeat(t, n, b)
			}
		}
		if after := sendHeartbeat(t, n, heartbeats[0]).Version; after != before {
			t.Errorf("the list of nodes changed from %+v to %+v", before, after)
		}
		time.Sleep(2 * time.Second)
		sendHeartbeat(t, n, heartbeats[0])
		time.Sleep(2 * time.Second)
		if got := namesOf(sendHeartbeat(t, n, Beat{Node: heartbeats[0].Node}).Nodes); !slices.Equal(got, []string{"a/0"}) {
			t.Errorf("the nodes are %v, want only a: b was silent for 4 s", got)
		}
	})
}

// slowDecider is a decider whose decisions take as long as those for thousands of servers.
type slowDecider struct {
	policy.Decider
	took time.Duration
}

func (d slowDecider) Decide(now time.Time, input policy.Input) []policy.Action {
	time.Sleep(d.took)
	return d.Decider.Decide(now, input)
}

// TestHeartbeatsAreAnsweredDuringLongPlans has plans that take longer than the interval of the
// holder's ticks, so that the holder plans without pause. When a waiting heartbeat and a waiting
// tick had the same chance, about five heartbeats per second were answered. With 302 nodes and 3,000
// servers, whose first reports wait in the same queue, all nodes were silent for about three
// seconds, then heard, and then silent again.
func TestHeartbeatsAreAnsweredDuringLongPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("holder")
		n.waitForLease()
		defer n.stop()
		n.holder.Decider = slowDecider{n.holder.Decider, 300 * time.Millisecond}
		const nodes, seconds = 302, 5
		var late atomic.Int32
		var all sync.WaitGroup
		for i := range nodes {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / nodes)
				for range seconds {
					ctx, cancel := context.WithTimeout(t.Context(), heartbeatTimeout)
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
			t.Errorf("%d of %d heartbeats were not answered within %v", n, nodes*seconds, heartbeatTimeout)
		}
	})
}

// TestAListOfNodesComesInAnswersOfOneSize checks that the size of an answer does not grow with the
// number of nodes. A node uses none of a list before it has all its pages, and then knows the same
// nodes as the holder. Nodes of a build that does not ask for pages get the whole list at once.
func TestAListOfNodesComesInAnswersOfOneSize(t *testing.T) {
	for _, size := range []int{300, 900} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, []string{"m0"})
			n := s.start("holder")
			n.waitForLease()
			defer n.stop()
			for i := range size {
				sendHeartbeat(t, n, Beat{Node: Node{Name: fmt.Sprintf("node-%d", i)}})
			}
			m := &Member{Self: Node{Name: "node-0"}}
			answers := 0
			for answer := (BeatAnswer{More: true}); answer.More; answers++ {
				if answers > size/maxNodesPerAnswer+2 {
					t.Fatalf("the list of %d nodes is not complete after %d answers", size, answers)
				}
				answer = sendHeartbeat(t, n, Beat{Node: m.Self, Knows: m.version, Partial: true, Paged: true})
				if len(answer.Nodes) > maxNodesPerAnswer {
					t.Errorf("an answer contains %d nodes", len(answer.Nodes))
				}
				m.applyNodes(&answer)
				if known := m.NodesKnown(); known == answer.More {
					t.Errorf("after an answer with more to come, %t, the nodes are known: %t", answer.More, known)
				}
				if answers == 0 { // a node joins between the pages
					sendHeartbeat(t, n, Beat{Node: Node{Name: "late"}})
				}
			}
			whole := sendHeartbeat(t, n, Beat{Node: m.Self})
			if got, want := namesOf(m.Nodes()), namesOf(whole.Nodes); !slices.Equal(got, want) || len(got) != size+1 {
				t.Errorf("the node knows %d nodes, the holder %d", len(got), len(want))
			}
		})
	}
}
