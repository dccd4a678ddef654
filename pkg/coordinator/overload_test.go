package coordinator

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

// TestOverloadedModelsGetReplicasBesideLoads has requests wait for rarely used models all the time,
// so that several loads are always in progress. A model with more running requests than its
// replicas, including spare ones, have capacity for must get further replicas all the same.
func TestOverloadedModelsGetReplicasBesideLoads(t *testing.T) {
	bubble(t, func(t *testing.T) {
		busy := []string{"m0"}
		s := newSite(t, busy, busy, busy, nil, nil, nil, nil, nil, nil, nil, nil, nil)
		for i := range s.serverRecords {
			s.setOnDisk(i, "m0")
		}
		slots := s.table.Service("s").Engine.Slots
		n := s.start("a")
		n.waitForLease()
		for i := range 8 {
			go n.requestLoad(t, fmt.Sprintf("m%d", 10+i)) // as many as may start within the ceiling's window
		}
		time.Sleep(learnPeriod)
		for range 8 { // shorter than a load from the weight store
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
