package cell

import (
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

// decisionDue tells whether it is time for the next decision.
func (o *Owner) decisionDue(now time.Time) bool {
	return !now.Before(o.decideAt) && now.Sub(o.decidedAt) >= o.config.Timing.DecidePause
}

// decide asks the policies for their wishes and carries out those that the
// limits allow.
func (o *Owner) decide(now time.Time, sink Sink) {
	o.decidedAt = now
	o.decideAt = now.Add(o.config.Timing.DecideInterval)
	o.queue = o.queue[:0]
	o.revive(now, sink)
	for _, name := range o.policies() {
		decider := o.config.Decider(name)
		if decider == nil {
			sink.Log("error", "unknown policy", "policy", name)
			continue
		}
		for _, action := range decider.Decide(now, o.input(now, name)) {
			o.carryOut(now, action, sink)
		}
	}
	o.queueUnwished(now)
	o.answerDemand(now, sink)
}

// revive takes draining replicas back into service for requests that began to
// wait meanwhile. A policy does not wish that: it counts them as present.
func (o *Owner) revive(now time.Time, sink Sink) {
	draining := func(r *replica) bool { return r.phase == phaseDraining }
	for _, r := range o.moving.sorted(draining) {
		model, known := o.models[r.intent.Model]
		if known && !o.hasReady(model.Name) && o.summary(now, model.Name).Waiting > 0 {
			o.undrain(now, model, sink)
		}
	}
}

// queueUnwished queues the models with waiting requests that no policy wished
// to load now, since a policy may hold a wish back until there is a slot.
func (o *Owner) queueUnwished(now time.Time) {
	queued := make(map[api.ModelName]bool, len(o.queue))
	for _, load := range o.queue {
		queued[load.model] = true
	}
	for _, name := range o.modelOrder {
		if o.demand[name] == nil || queued[name] || o.servesSoon(name) || o.summary(now, name).Waiting == 0 {
			continue
		}
		wait := queuedLoad{model: name, urgent: true}
		wait.cause, wait.until = o.loadObstacle(now, o.models[name])
		if wait.cause == 0 {
			wait.cause = waitsForSlot
		}
		o.queue = append(o.queue, wait)
	}
}

// servesSoon tells whether a replica of the model is ready or loading.
func (o *Owner) servesSoon(model api.ModelName) bool {
	if o.counts[model] == 0 {
		return false
	}
	for _, r := range o.ofModel[model] {
		if r.loading() || r.state() == api.ReplicaReady {
			return true
		}
	}
	return false
}

// policies returns the policies that the cell's models name, in order.
func (o *Owner) policies() []string {
	seen := make(map[string]bool)
	var names []string
	for _, model := range o.models {
		if name := model.Settings.Policy; !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// input is what a policy decides by: the models that name it, and all servers.
func (o *Owner) input(now time.Time, policyName string) policy.Input {
	input := policy.Input{LoadSlots: o.allocation.Slots, LoadRate: o.allocation.Rate}
	replicas := o.replicasByModel()
	loading := make(map[api.ServerID]int)
	for _, r := range o.moving {
		if r.loading() {
			loading[r.intent.Server]++
		}
	}
	for _, name := range o.modelOrder {
		if model := o.models[name]; model.Settings.Policy == policyName {
			input.Models = append(input.Models, o.policyModel(now, model, replicas[name]))
		}
	}
	for _, s := range o.sortedServers() {
		if s.admitted {
			input.Servers = append(input.Servers, o.policyServer(s, loading[s.ID]))
		}
	}
	return input
}

func (o *Owner) replicasByModel() map[api.ModelName][]*replica {
	byModel := make(map[api.ModelName][]*replica)
	for _, r := range o.replicas.sorted(anyReplica) {
		byModel[r.intent.Model] = append(byModel[r.intent.Model], r)
	}
	return byModel
}

func (o *Owner) policyModel(now time.Time, model tree.Model, replicas []*replica) policy.Model {
	result := policy.Model{
		Name:     model.Name,
		Base:     model.Base,
		Settings: model.Settings,
		Demand:   o.summary(now, model.Name),
		History:  o.history(model.Name),
	}
	ready := 0
	for _, r := range replicas {
		if r.state() == api.ReplicaReady {
			ready++
		}
	}
	for _, r := range replicas {
		shown := policy.Replica{
			Server: r.intent.Server, State: r.state(), Since: r.since,
			LastUse: r.lastUse, ReadyBy: r.readyBy, Prewarmed: r.prewarmed,
		}
		if shown.State == api.ReplicaReady {
			shown.InFlight = (result.Demand.InFlight + ready - 1) / ready
			shown.ReadyBy = time.Time{}
		}
		result.Replicas = append(result.Replicas, shown)
	}
	return result
}

func (o *Owner) policyServer(s *server, loading int) policy.Server {
	shown := policy.Server{
		ID: s.ID, Zone: s.Zone, CapacityBytes: s.capacityBytes(), Leaving: s.leaving(),
		Reachable: s.reachable && s.fenced, Loading: loading, Cached: s.cached,
	}
	if used := o.reserved[s.ID]; used < shown.CapacityBytes {
		shown.FreeBytes = shown.CapacityBytes - used
	}
	return shown
}

// carryOut does what a policy wishes as far as the limits allow.
func (o *Owner) carryOut(now time.Time, action policy.Action, sink Sink) {
	model, known := o.models[action.Model]
	if !known {
		return
	}
	if action.Kind == policy.ActionUnload {
		r := o.replicas[key{server: action.Server, model: action.Model}]
		if r != nil && r.phase != phaseInherited {
			o.startDrain(now, r, action.Reason, sink)
		}
		return
	}
	if o.config.Unsafe.TrustDecider {
		if s := o.servers[action.Server]; s != nil && o.replicas[key{server: s.ID, model: model.Name}] == nil {
			o.intend(now, model, s, action)
		}
		return
	}
	o.carryOutLoad(now, model, action, sink)
}

func (o *Owner) carryOutLoad(now time.Time, model tree.Model, action policy.Action, sink Sink) {
	if o.undrain(now, model, sink) {
		return
	}
	wait := queuedLoad{model: model.Name, urgent: action.Urgent}
	wait.cause, wait.until = o.loadObstacle(now, model)
	if wait.cause == 0 && (o.activeLoads() >= max(1, o.allocation.Slots) || o.loadTokens < 1) {
		wait.cause = waitsForSlot
	}
	if wait.cause != 0 {
		o.queue = append(o.queue, wait)
		return
	}
	s, _ := o.place(now, model, action.Server)
	o.loadTokens--
	o.intend(now, model, s, action)
}
