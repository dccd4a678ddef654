package node

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// newTestView returns a view without any cell.
func newTestView() *view {
	return newView(tree.NewHolder(tree.Empty()))
}

func cellOn(term, version uint64, state api.ReplicaState) api.CellView {
	return api.CellView{
		Cell: "assistant@uy-south", Term: term, Version: version,
		Servers:  []api.ServerView{{ID: "server-1"}},
		Replicas: []api.Replica{{Model: "glaze-7b", Server: "server-1", State: state}},
	}
}

func TestOlderViewsAreIgnored(t *testing.T) {
	cases := []struct {
		name          string
		term, version uint64
		taken         bool
	}{
		{"later version", 2, 6, true},
		{"same version", 2, 5, false},
		{"earlier version", 2, 4, false},
		{"earlier term, later version", 1, 9, false},
		{"later term, earlier version", 3, 1, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			v := newTestView()
			v.publishView(cellOn(2, 5, api.ReplicaLoading))
			changed := v.Changed()
			v.publishView(cellOn(test.term, test.version, api.ReplicaReady))
			taken := v.Directory().Replicas["glaze-7b"][0].State == api.ReplicaReady
			if taken != test.taken || isClosed(changed) != test.taken {
				t.Errorf("stored %t, readers notified %t, want %t for both", taken, isClosed(changed), test.taken)
			}
		})
	}
}

func TestEstimateEndsWhenTheReplicaIsReady(t *testing.T) {
	v := newTestView()
	v.publishEstimate(api.LoadEstimate{Model: "glaze-7b", Accepted: true})
	if _, known := v.Estimate("glaze-7b"); !known {
		t.Fatal("published estimate not found")
	}
	v.publishView(cellOn(1, 1, api.ReplicaReady))
	if _, known := v.Estimate("glaze-7b"); known {
		t.Error("estimate still present after the replica is ready")
	}
}

func TestReportsAreMergedUntilTaken(t *testing.T) {
	v := newTestView()
	later := time.Unix(20, 0)
	v.Report(api.ModelDemand{Model: "glaze-7b", Arrivals: 2, Waiting: 2, LastArrival: later})
	v.Report(api.ModelDemand{Model: "glaze-7b", Arrivals: 1, Waiting: 1, LastArrival: time.Unix(10, 0)})
	<-v.demandReady
	taken := v.takeDemand()["glaze-7b"]
	if taken.Arrivals != 3 || taken.Waiting != 1 || !taken.LastArrival.Equal(later) {
		t.Errorf("merged demand: %+v", taken)
	}
	if len(v.takeDemand()) != 0 {
		t.Error("takeDemand returned the same demand twice")
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
