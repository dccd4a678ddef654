package coordinator

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

// overloadedInput returns a model with the given number of requests at its replicas, and a server
// that holds nothing and has the model's weights on its disk.
func overloadedInput(inFlight int, states ...api.ReplicaState) (policy.Input, *policy.Model) {
	model := policy.Model{Name: "m", Settings: tree.Settings{MemoryBytes: 70, LoadTime: 13 * time.Second, MaxReplicas: 3, MaxConcurrency: 24},
		History: &policy.History{}, DiskTime: 800 * time.Millisecond, Demand: policy.Demand{InFlight: inFlight, Rate: 10, WeightedRate: 10}}
	servers := []policy.Server{{ID: "a", CapacityBytes: 70, Reachable: true}, {ID: "b", CapacityBytes: 70, Reachable: true},
		{ID: "idle", CapacityBytes: 70, FreeBytes: 70, Reachable: true, Cached: map[string]engine.CacheTier{"m": engine.TierDisk}}}
	for i, state := range states {
		model.Replicas = append(model.Replicas, policy.Replica{Server: servers[i].ID, State: state, InFlight: inFlight / len(states)})
	}
	return policy.Input{Models: []policy.Model{model}, Servers: servers, LoadRate: 1}, &model
}

// TestAnOverloadedModelGetsOneMoreReplica checks that an overloaded model gets another replica
// although it has far fewer requests than its servers have slots, but only once the last replica
// serves. A model that is not overloaded gets none.
func TestAnOverloadedModelGetsOneMoreReplica(t *testing.T) {
	decider, _ := policy.ByName(policy.NameDemandFirst)
	for _, test := range []struct {
		name    string
		crowded bool
		states  []api.ReplicaState
		loads   int
	}{
		{"crowded", true, []api.ReplicaState{api.ReplicaReady, api.ReplicaReady}, 1},
		{"one is on its way", true, []api.ReplicaState{api.ReplicaReady, api.ReplicaLoading}, 0},
		{"not crowded", false, []api.ReplicaState{api.ReplicaReady, api.ReplicaReady}, 0},
	} {
		input, model := overloadedInput(20, test.states...)
		if test.crowded {
			widen(model)
		}
		input.Models[0] = *model
		actions := decider.Decide(time.Unix(100, 0), input)
		if len(actions) != test.loads {
			t.Errorf("%s: %d loads, want %d: %+v", test.name, len(actions), test.loads, actions)
		}
	}
}

// TestWidenKeepsBounds checks that an overloaded model without running requests, or with the most
// replicas allowed, gets no more capacity.
func TestWidenKeepsBounds(t *testing.T) {
	_, model := overloadedInput(0, api.ReplicaReady, api.ReplicaReady)
	widen(model)
	if model.Settings.MaxConcurrency != 1 {
		t.Errorf("capacity for %d requests without any running, want 1", model.Settings.MaxConcurrency)
	}
	_, model = overloadedInput(20, api.ReplicaReady, api.ReplicaReady, api.ReplicaReady)
	widen(model)
	if model.Settings.MaxReplicas != 3 {
		t.Errorf("%d replicas of at most 3", model.Settings.MaxReplicas)
	}
}
