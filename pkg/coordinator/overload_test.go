package coordinator

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

// TestOverloadedModelsGetReplicasBesideLoads: requests wait for rare models all the time,
// so that several loads are always under way; a model of which more requests run than its
// replicas have room for, spare ones among them, gets further ones all the same.
func TestOverloadedModelsGetReplicasBesideLoads(t *testing.T) {
	bubble(t, func(t *testing.T) {
		busy := []string{"m0"}
		s := newSite(t, busy, busy, busy, nil, nil, nil, nil, nil, nil, nil, nil, nil)
		for i := range s.list {
			s.onDisk(i, "m0")
		}
		slots := s.table.Service("s").Engine.Slots
		n := s.start("a")
		n.hold()
		for i := range 8 {
			go n.wish(t, fmt.Sprintf("m%d", 10+i)) // as many as may begin within the ceiling's window
		}
		time.Sleep(learnTime)
		for range 8 { // less than a load from the weight store takes
			beat := Beat{Node: Node{Name: "b"}, Uses: []Use{{Service: "s", Model: "m0", Arrivals: 8, Weight: 8,
				Running: []Running{{"server-0", 2 * slots}, {"server-1", 2 * slots}, {"server-2", 2 * slots}}}}}
			if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, beat); err != nil {
				t.Error(err)
			}
			time.Sleep(loadTime / 16)
		}
		more := 0
		for _, load := range s.engines.loads() {
			if load.order.Need.Model == "m0" {
				more++
			}
		}
		if more == 0 {
			t.Errorf("no further replica beside %d loads", len(s.engines.loads()))
		}
		n.stop()
	})
}
