package coordinator

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/backend"
)

// report has so many streams of a node end.
func (n *worldNode) report(server string, perEvent time.Duration, streams int) {
	for range streams {
		n.servers.Paced(server, "m0", perEvent)
		n.servers.Report(backend.Pace{Server: server, Model: "m0", PerEvent: perEvent})
	}
}

// expectSlowness has all nodes take a server for about so slow.
func (w *world) expectSlowness(when, server string, want float64) {
	w.t.Helper()
	for _, n := range w.nodes {
		if got := n.servers.Snapshot().Member(server).Slowness(); math.Abs(got-want) > leastMove {
			w.t.Errorf("%s: %s takes %s for %.2f times as slow, want %.2f", when, n.name, server, got, want)
		}
	}
}

// TestAllNodesKnowSlowServers: each of two nodes saw one server only, so that neither can
// compare them. All know which is slow after some seconds, also one that starts later and
// those that follow another holder, and that it is fast again.
func TestAllNodesKnowSlowServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.stopNodes()
		const spreads = 2500 * time.Millisecond // two beats and a half
		time.Sleep(5 * time.Second)
		w.nodes[0].report("server-0", 20*time.Millisecond, 3)
		time.Sleep(time.Second)
		w.nodes[1].report("server-1", 50*time.Millisecond, 3)
		time.Sleep(spreads)
		w.expectSlowness("told", "server-0", 1)
		w.expectSlowness("told", "server-1", 2.5)

		for i, n := range w.nodes {
			if _, held := n.lease.Held(); held {
				n.stop()
				close(n.crashed)
				w.startNode(i) // that knows nothing yet
				break
			}
		}
		time.Sleep(15 * time.Second) // virtual; until another one holds the lease
		w.nodes[2].report("server-1", 50*time.Millisecond, 1)
		w.nodes[1].report("server-0", 20*time.Millisecond, 1)
		time.Sleep(time.Second)
		w.nodes[0].report("server-1", 50*time.Millisecond, 3)
		time.Sleep(spreads)
		w.expectSlowness("with another holder", "server-1", 2.5)

		time.Sleep(2 * backend.SlownessLifetime) // the holder forgets, nodes may not
		w.nodes[1].report("server-1", 20*time.Millisecond, 30)
		time.Sleep(spreads)
		w.expectSlowness("fast again", "server-1", 1)
	})
}

func TestPacesTellWhatMoved(t *testing.T) {
	now := time.Unix(100, 0)
	var p paces
	p.note(now, "a", 1)
	p.note(now, "b", 2)
	list, number := p.since(now, 0)
	if len(list) != 2 || number != 2 {
		t.Fatalf("%v up to %d", list, number)
	}
	p.note(now, "b", 2.1)
	if list, number = p.since(now, number); len(list) != 0 {
		t.Errorf("told of a move by a tenth: %v", list)
	}
	p.note(now.Add(time.Second), "b", 2.3)
	if list, _ = p.since(now.Add(3*time.Second), number); len(list) != 1 || list[0].Ratio != 2.3 || list[0].Age != 2*time.Second {
		t.Errorf("told %v", list)
	}
	late := now.Add(2 * backend.SlownessLifetime)
	if list, _ = p.since(late, 0); len(list) != 0 {
		t.Errorf("told of old paces: %v", list)
	}
	p.expire(late)
	p.note(late, "b", 1)
	if list, _ = p.since(late, number+1); len(list) != 1 || list[0].Ratio != 1 {
		t.Errorf("a server that was forgotten is told as %v", list)
	}
	p.note(late, "c", math.Inf(1))
	if list, _ = p.since(late, 0); list[len(list)-1].Ratio != backend.MostSlowness {
		t.Errorf("an absurd pace is told as %v", list)
	}
}

// TestPacesAreToldInParts: an answer is bounded, and what it leaves out follows.
func TestPacesAreToldInParts(t *testing.T) {
	now := time.Unix(100, 0)
	var p paces
	const servers = 150
	for i := range servers {
		p.note(now, fmt.Sprint(i), 2)
	}
	told := make(map[string]bool)
	number := uint64(0)
	for range 3 {
		var list []backend.Slowness
		list, number = p.since(now, number)
		if len(list) > mostPacesTold {
			t.Errorf("%d servers told at once", len(list))
		}
		for _, s := range list {
			told[s.Server] = true
		}
	}
	if len(told) != servers {
		t.Errorf("%d of %d servers told", len(told), servers)
	}
}

// TestOldWordsOnPacesAreLeft: what a node takes in after its machine was suspended.
func TestOldWordsOnPacesAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.stopNodes()
		time.Sleep(3 * time.Second)
		var n *worldNode // that does not hold the lease
		for _, other := range w.nodes {
			if _, held := other.lease.Held(); !held {
				n = other
			}
		}
		n.stop() // the member's own loop takes in answers as well
		synctest.Wait()
		answer := &BeatAnswer{Paces: []backend.Slowness{{Server: "server-0", Ratio: 3}}, PacesVersion: PacesVersion{Term: 99, Number: 7}}
		n.member.takePaces(time.Now().Add(-time.Minute), answer)
		if got := n.servers.Snapshot().Member("server-0").Slowness(); got != 1 {
			t.Errorf("a word of a minute ago is believed: %v", got)
		}
		n.member.takePaces(time.Now(), answer)
		if got := n.servers.Snapshot().Member("server-0").Slowness(); got != 3 {
			t.Errorf("the slowness is %v, 3 was told", got)
		}
	})
}

func TestNodesTellOfSoManyStreamsTogether(t *testing.T) {
	for fleet, want := range map[int]int{-1: 400, 0: 400, 1: 400, 77: 5, 330: 1, 5000: 1} {
		if got := pacesShare(fleet); got != want {
			t.Errorf("a node of %d tells of %d streams, want %d", fleet, got, want)
		}
	}
}

// BenchmarkLearnPaces is what the holder spends a second on the paces of 1,200 servers.
func BenchmarkLearnPaces(b *testing.B) {
	var servers []*backend.Server
	for i := range 1200 {
		servers = append(servers, &backend.Server{ID: fmt.Sprint("server-", i), Service: "s"})
	}
	d := &backend.Directory{}
	d.Replace(servers, 1)
	for i := 0; b.Loop(); i++ {
		for j := range pacesASecond {
			d.Learn([]backend.Pace{{Server: servers[(i*pacesASecond+j)%1200].ID, Model: fmt.Sprint("m", j%50), PerEvent: time.Millisecond}})
		}
	}
}
