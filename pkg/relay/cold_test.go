package relay

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// TestFAILBACKNodesTogetherSpareAColdServer checks that a cold server gets no more requests per
// second than it can handle, whatever the number of nodes, and that it gets some.
func TestFAILBACKNodesTogetherSpareAColdServer(t *testing.T) {
	const (
		perSecond = 8.0
		bound     = perSecond*1.5 + 5 // with the excess and the slack that are allowed
		span      = 10 * time.Second
		step      = 10 * time.Millisecond
	)
	for _, nodes := range []int{1, 6, 89, 1000} {
		for server := range 40 {
			rations := make([]backpressure.Ration, nodes)
			id := fmt.Sprint("i-", server)
			began := time.Unix(1_800_000_000, 0)
			var sent []time.Time
			for now := began; now.Sub(began) < span; now = now.Add(step) {
				for i := range rations {
					if rations[i].Take(now, fmt.Sprint("node-", i), id, perSecond, nodes) {
						sent = append(sent, now)
					}
				}
			}
			for i, from := range sent {
				n := 0
				for _, at := range sent[i:] {
					if at.Sub(from) < time.Second {
						n++
					}
				}
				if n > bound {
					t.Fatalf("%d nodes sent server %s %d requests in a second", nodes, id, n)
				}
			}
			if nodes <= 6 && len(sent) == 0 {
				t.Errorf("%d nodes sent server %s no request in %v", nodes, id, span)
			}
		}
	}
}
