package coordinator

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"martenwheel.dev/pkg/api"
)

// largeFleet is a holder of 302 nodes before 3,000 servers, all nodes known.
func largeFleet(b *testing.B) (*node, []Beat) {
	holds := make([][]string, 3000)
	for i := range holds {
		holds[i] = []string{fmt.Sprintf("m%d", i%models)}
	}
	s := newSite(b, holds...)
	n := s.start("holder-1")
	n.hold()
	var beats []Beat
	for i := range 302 {
		beats = append(beats, Beat{Node: Node{
			Name: fmt.Sprintf("front-lakes-a-%d", i), Life: 1771376905538999662, Zone: "lakes-a",
			Callers: fmt.Sprintf("10.1.0.%d:8509", i), Peers: fmt.Sprintf("10.1.0.%d:7020", i), Power: 0.192,
		}})
	}
	for _, beat := range beats {
		if _, err := n.holder.HandleMessage(b.Context(), api.NodeRef{}, beat); err != nil {
			b.Fatal(err)
		}
	}
	return n, beats
}

// BenchmarkBeatsOfALargeFleet is a beat of a node that lacks the changes of a second, in which one node
// started again, with its answer: 235 microseconds and 25,643 bytes with all nodes in each answer.
func BenchmarkBeatsOfALargeFleet(b *testing.B) {
	n, beats := largeFleet(b)
	defer n.stop()
	bytesOf := func(answer any) int {
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(answer); err != nil {
			b.Fatal(err)
		}
		return buffer.Len()
	}
	versions := make([]NodesVersion, len(beats))
	total := 0
	for i := 0; b.Loop(); i++ {
		at := 1 + i%(len(beats)-1)
		if at == 1 {
			beats[0].Node.Life++
			if _, err := n.holder.HandleMessage(b.Context(), api.NodeRef{}, beats[0]); err != nil {
				b.Fatal(err)
			}
		}
		beats[at].Knows, beats[at].Partial = versions[at], true
		reply, err := n.holder.HandleMessage(b.Context(), api.NodeRef{}, beats[at])
		if err != nil {
			b.Fatal(err)
		}
		versions[at] = reply.(BeatAnswer).Version
		total += bytesOf(reply)
	}
	b.ReportMetric(float64(total)/float64(b.N), "bytes/beat")
}
