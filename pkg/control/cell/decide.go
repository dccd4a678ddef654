package cell

import (
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

// decisionDue reports whether it is time for the next decision.
func (o *Owner) decisionDue(now time.Time) bool {
	return !now.Before(o.decideAt) && now.Sub(o.decidedAt) >= o.config.Timing.DecidePause
}

// decide asks the policies for actions, carries out those that the limits allow
// and sends load estimates to the nodes with waiting requests.
func (o *Owner) decide(now time.Time, sink Sink) {
	o.decidedAt = now
	o.decideAt = now.Add(o.config.Timing.DecideInterval)
	o.queue = o.queue[:0]
	o.reviveDraining(now, sink)
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
	o.queueUnrequested(now)
	o.sendEstimates(now, sink)
}

// reviveDraining returns draining replicas to service if requests started waiting
// after the drain began. A policy does not ask for that, because it counts
// draining replicas as present.
func (o *Owner) reviveDraining(now time.Time, sink Sink) {
	draining := func(r *replica) bool { return r.phase == phaseDraining }
	for _, r := range o.transitioning.sorted(draining) {
		model, known := o.models[r.intent.Model]
		if known && !o.hasReady(model.Name) && o.summary(now, model.Name).Waiting > 0 {
			o.cancelDrain(now, model, sink)
		}
	}
}

// queueUnrequested queues the models with waiting requests that no policy asked
// to load now, since a policy may delay a load until a slot is free.
func (o *Owner) queueUnrequested(now time.Time) {
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

// servesSoon reports whether a replica of the model is ready or loading.
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

// policies returns the sorted names of the policies that the cell's models use.
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

// input returns the input of one policy: the models that use it, and all admitted
// servers.
func (o *Owner) input(now time.Time, policyName string) policy.Input {
	input := policy.Input{LoadSlots: o.allocation.Slots, LoadRate: o.allocation.Rate}
	replicas := o.replicasByModel()
	loading := make(map[api.ServerID]int)
	for _, r := range o.transitioning {
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

// replicasByModel returns all replicas grouped by model, each group sorted by
// server.
func (o *Owner) replicasByModel() map[api.ModelName][]*replica {
	byModel := make(map[api.ModelName][]*replica)
	for _, r := range o.replicas.sorted(anyReplica) {
		byModel[r.intent.Model] = append(byModel[r.intent.Model], r)
	}
	return byModel
}

// policyModel returns a model as shown to its policy. Requests in flight are
// spread evenly over the ready replicas.
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
		lastUse, since := o.lastUseOf(now, r)
		shown := policy.Replica{
			Server: r.intent.Server, State: r.state(), Since: since,
			LastUse: lastUse, ReadyBy: r.readyBy, Prewarmed: r.prewarmed,
		}
		if shown.State == api.ReplicaReady {
			shown.InFlight = (result.Demand.InFlight + ready - 1) / ready
			shown.ReadyBy = time.Time{}
		}
		result.Replicas = append(result.Replicas, shown)
	}
	return result
}

// policyServer returns a server as shown to policies, with its number of loading
// replicas.
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

// carryOut executes a policy's action as far as the limits allow.
func (o *Owner) carryOut(now time.Time, action policy.Action, sink Sink) {
	model, known := o.models[action.Model]
	if !known {
		return
	}
	if action.Kind == policy.ActionUnload {
		r := o.replicas[replicaKey{server: action.Server, model: action.Model}]
		if r != nil && o.mayDrain(now, r) {
			o.startDrain(now, r, action.Reason, sink)
		}
		return
	}
	if o.config.Unsafe.TrustDecider {
		if s := o.servers[action.Server]; s != nil && o.replicas[replicaKey{server: s.ID, model: model.Name}] == nil {
			o.beginLoad(now, model, s, action)
		}
		return
	}
	o.carryOutLoad(now, model, action, sink)
}

// carryOutLoad loads a model, or queues the load if something prevents it now. A
// draining replica is returned to service instead of a new load.
func (o *Owner) carryOutLoad(now time.Time, model tree.Model, action policy.Action, sink Sink) {
	if o.cancelDrain(now, model, sink) {
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
	s, _ := o.choosePlacement(now, model, action.Server)
	o.loadTokens--
	o.beginLoad(now, model, s, action)
}
