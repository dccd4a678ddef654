package coordinator

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/backend"
)

// reportStreams reports the end of the given number of streams to a node.
func (n *simNode) reportStreams(server string, perEvent time.Duration, streams int) {
	for range streams {
		n.servers.RecordPace(server, "m0", perEvent)
		n.servers.QueuePace(backend.Pace{Server: server, Model: "m0", PerEvent: perEvent})
	}
}

// checkSlowness checks that all nodes rate a server about that slow.
func (sim *simulation) checkSlowness(when, server string, want float64) {
	sim.t.Helper()
	for _, n := range sim.nodes {
		if got := n.servers.Snapshot().Member(server).Slowness(); math.Abs(got-want) > minSlownessChange {
			sim.t.Errorf("%s: node %s rates %s %.2f times as slow, want %.2f", when, n.name, server, got, want)
		}
	}
}

// TestAllNodesKnowSlowServers has each of two nodes see only one server, so that neither can compare
// their speeds. After some seconds all nodes must know which server is slow, and later that it is
// fast again. This includes a node that starts later and nodes that report to the next holder.
func TestAllNodesKnowSlowServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		defer sim.stopNodes()
		const spreadTime = 2500 * time.Millisecond // two and a half heartbeats
		time.Sleep(5 * time.Second)
		sim.nodes[0].reportStreams("server-0", 20*time.Millisecond, 3)
		time.Sleep(time.Second)
		sim.nodes[1].reportStreams("server-1", 50*time.Millisecond, 3)
		time.Sleep(spreadTime)
		sim.checkSlowness("told", "server-0", 1)
		sim.checkSlowness("told", "server-1", 2.5)

		for i, n := range sim.nodes {
			if _, held := n.lease.Held(); held {
				n.stop()
				close(n.crashed)
				sim.startNode(i) // which knows nothing yet
				break
			}
		}
		time.Sleep(15 * time.Second) // virtual; until another one holds the lease
		sim.nodes[2].reportStreams("server-1", 50*time.Millisecond, 1)
		sim.nodes[1].reportStreams("server-0", 20*time.Millisecond, 1)
		time.Sleep(time.Second)
		sim.nodes[0].reportStreams("server-1", 50*time.Millisecond, 3)
		time.Sleep(spreadTime)
		sim.checkSlowness("with another holder", "server-1", 2.5)

		time.Sleep(2 * backend.SlownessLifetime) // the holder forgets, but nodes need not
		sim.nodes[1].reportStreams("server-1", 20*time.Millisecond, 30)
		time.Sleep(spreadTime)
		sim.checkSlowness("fast again", "server-1", 1)
	})
}

func TestSpeedsReportChanges(t *testing.T) {
	now := time.Unix(100, 0)
	var p serverSpeeds
	p.note(now, "a", 1)
	p.note(now, "b", 2)
	list, number := p.since(now, 0)
	if len(list) != 2 || number != 2 {
		t.Fatalf("got %v up to change %d", list, number)
	}
	p.note(now, "b", 2.1)
	if list, number = p.since(now, number); len(list) != 0 {
		t.Errorf("reported a change of only a tenth: %v", list)
	}
	p.note(now.Add(time.Second), "b", 2.3)
	if list, _ = p.since(now.Add(3*time.Second), number); len(list) != 1 || list[0].Ratio != 2.3 || list[0].Age != 2*time.Second {
		t.Errorf("reported %v", list)
	}
	late := now.Add(2 * backend.SlownessLifetime)
	if list, _ = p.since(late, 0); len(list) != 0 {
		t.Errorf("reported outdated speeds: %v", list)
	}
	p.expire(late)
	p.note(late, "b", 1)
	if list, _ = p.since(late, number+1); len(list) != 1 || list[0].Ratio != 1 {
		t.Errorf("a forgotten server is reported as %v", list)
	}
	p.note(late, "c", math.Inf(1))
	if list, _ = p.since(late, 0); list[len(list)-1].Ratio != backend.MaxSlowness {
		t.Errorf("an absurd speed is reported as %v", list)
	}
}

// TestSpeedsAreReportedInParts checks that an answer is bounded and that the next ones report what
// it left out.
func TestSpeedsAreReportedInParts(t *testing.T) {
	now := time.Unix(100, 0)
	var p serverSpeeds
	const servers = 150
	for i := range servers {
		p.note(now, fmt.Sprint(i), 2)
	}
	reported := make(map[string]bool)
	number := uint64(0)
	for range 3 {
		var list []backend.Slowness
		list, number = p.since(now, number)
		if len(list) > maxSpeedsPerAnswer {
			t.Errorf("%d servers reported at once", len(list))
		}
		for _, s := range list {
			reported[s.Server] = true
		}
	}
	if len(reported) != servers {
		t.Errorf("%d of %d servers reported", len(reported), servers)
	}
}

// TestOutdatedSpeedsAreIgnored covers an answer that a node processes only after its machine was
// suspended.
func TestOutdatedSpeedsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		defer sim.stopNodes()
		time.Sleep(3 * time.Second)
		var n *simNode // a node that does not hold the lease
		for _, other := range sim.nodes {
			if _, held := other.lease.Held(); !held {
				n = other
			}
		}
		n.stop() // the member's own loop processes answers as well
		synctest.Wait()
		answer := &BeatAnswer{Paces: []backend.Slowness{{Server: "server-0", Ratio: 3}}, PacesVersion: PacesVersion{Term: 99, Number: 7}}
		n.member.applySpeeds(time.Now().Add(-time.Minute), answer)
		if got := n.servers.Snapshot().Member("server-0").Slowness(); got != 1 {
			t.Errorf("a report that is a minute old was used: %v", got)
		}
		n.member.applySpeeds(time.Now(), answer)
		if got := n.servers.Snapshot().Member("server-0").Slowness(); got != 3 {
			t.Errorf("the slowness is %v, 3 was reported", got)
		}
	})
}

func TestReportedStreamsAreSharedAmongNodes(t *testing.T) {
	for fleet, want := range map[int]int{-1: 400, 0: 400, 1: 400, 77: 5, 330: 1, 5000: 1} {
		if got := speedReportShare(fleet); got != want {
			t.Errorf("a node in a fleet of %d reports %d streams, want %d", fleet, got, want)
		}
	}
}

// BenchmarkLearnPaces measures the holder's work per second on the speeds of 1,200 servers.
func BenchmarkLearnPaces(b *testing.B) {
	var servers []*backend.Server
	for i := range 1200 {
		servers = append(servers, &backend.Server{ID: fmt.Sprint("server-", i), Service: "s"})
	}
	d := &backend.Directory{}
	d.Replace(servers, 1)
	for i := 0; b.Loop(); i++ {
		for j := range speedReportsPerSecond {
			d.LearnPaces([]backend.Pace{{Server: servers[(i*speedReportsPerSecond+j)%1200].ID, Model: fmt.Sprint("m", j%50), PerEvent: time.Millisecond}})
		}
	}
}
