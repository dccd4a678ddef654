package coordinator

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"martenwheel.dev/pkg/api"
)

// startLargeFleet starts a holder with 302 nodes and 3,000 servers, and sends one heartbeat of each
// node.
func startLargeFleet(b *testing.B) (*node, []Beat) {
	holds := make([][]string, 3000)
	for i := range holds {
		holds[i] = []string{fmt.Sprintf("m%d", i%modelCount)}
	}
	s := newSite(b, holds...)
	n := s.start("holder-1")
	n.waitForLease()
	var heartbeats []Beat
	for i := range 302 {
		heartbeats = append(heartbeats, Beat{Node: Node{
			Name: fmt.Sprintf("front-lakes-a-%d", i), Life: 1771376905538999662, Zone: "lakes-a",
			Callers: fmt.Sprintf("10.1.0.%d:8509", i), Peers: fmt.Sprintf("10.1.0.%d:7020", i), Power: 0.192,
		}})
	}
	for _, beat := range heartbeats {
		if _, err := n.holder.HandleMessage(b.Context(), api.NodeRef{}, beat); err != nil {
			b.Fatal(err)
		}
	}
	return n, heartbeats
}

// BenchmarkHeartbeatsOfALargeFleet measures a heartbeat and its answer, for a node that does not
// know the changes of the last second, in which one node restarted. With all nodes in each answer
// this took 235 microseconds and 25,643 bytes.
func BenchmarkHeartbeatsOfALargeFleet(b *testing.B) {
	n, heartbeats := startLargeFleet(b)
	defer n.stop()
	bytesOf := func(answer any) int {
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(answer); err != nil {
			b.Fatal(err)
		}
		return buffer.Len()
	}
	versions := make([]NodesVersion, len(heartbeats))
	total := 0
	for i := 0; b.Loop(); i++ {
		at := 1 + i%(len(heartbeats)-1)
		if at == 1 {
			heartbeats[0].Node.Life++
			if _, err := n.holder.HandleMessage(b.Context(), api.NodeRef{}, heartbeats[0]); err != nil {
				b.Fatal(err)
			}
		}
		heartbeats[at].Knows, heartbeats[at].Partial = versions[at], true
		reply, err := n.holder.HandleMessage(b.Context(), api.NodeRef{}, heartbeats[at])
		if err != nil {
			b.Fatal(err)
		}
		versions[at] = reply.(BeatAnswer).Version
		total += bytesOf(reply)
	}
	b.ReportMetric(float64(total)/float64(b.N), "bytes/beat")
}
