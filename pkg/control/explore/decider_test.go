package explore

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
)

// waitingDecider loads a model that requests wait for and unloads it after its
// keep-alive.
type waitingDecider struct{}

func (waitingDecider) Name() string { return "" }

func (waitingDecider) Decide(now time.Time, input policy.Input) []policy.Action {
	var actions []policy.Action
	for _, model := range input.Models {
		if model.Demand.Waiting > 0 && len(model.Replicas) == 0 {
			actions = append(actions, policy.Action{Kind: policy.ActionLoad, Model: model.Name, Urgent: true})
		}
		for _, replica := range model.Replicas {
			idle := replica.State == api.ReplicaReady && now.Sub(replica.LastUse) >= model.Settings.KeepAlive
			if idle && model.Demand.Waiting+model.Demand.InFlight == 0 {
				actions = append(actions, policy.Action{
					Kind: policy.ActionUnload, Model: model.Name, Server: replica.Server, Reason: "idle",
				})
			}
		}
	}
	return actions
}

// randomDecider proposes random actions without regard to any limit.
type randomDecider struct{ sim *simulation }

func (randomDecider) Name() string { return "" }

func (d randomDecider) Decide(_ time.Time, input policy.Input) []policy.Action {
	w := d.sim
	var actions []policy.Action
	for _, model := range input.Models {
		for _, server := range input.Servers {
			if w.chance(0.3) {
				actions = append(actions, policy.Action{Kind: policy.ActionLoad, Model: model.Name, Server: server.ID})
			}
		}
		for _, replica := range model.Replicas {
			if w.chance(0.1) {
				actions = append(actions, policy.Action{Kind: policy.ActionUnload, Model: model.Name, Server: replica.Server})
			}
		}
	}
	return actions
}
