package lab

import (
	"fmt"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/policy"
)

// decide runs the decider and carries out its actions.
func (o *owner) decide() {
	for _, action := range o.decider.Decide(o.sim.clock.now(), o.input()) {
		state := o.byModel[o.sim.byName[action.Model].index]
		if action.Kind == policy.ActionLoad {
			o.load(state, action)
		} else {
			o.unload(state, action)
		}
	}
}

// load orders a load, unless that would exceed the maximum of replicas.
func (o *owner) load(state *modelState, action policy.Action) {
	m := state.model
	if len(state.replicas) >= m.settings.MaxReplicas {
		return
	}
	now := o.sim.clock.now()
	state.replicas = append(state.replicas, policy.Replica{
		Server: action.Server, State: api.ReplicaLoading, Since: now,
		ReadyBy: now.Add(m.settings.LoadTime), Prewarmed: !action.Urgent,
	})
	kind := engine.OrderLoad
	if m.base >= 0 {
		kind = engine.OrderLoadAdapter
	}
	o.order(state, action.Server, kind, action.Urgent)
	o.publish(state)
}

// unload drains a replica and then orders its unload.
func (o *owner) unload(state *modelState, action policy.Action) {
	replica := state.replica(action.Server)
	if replica == nil || replica.State != api.ReplicaReady {
		return
	}
	replica.State = api.ReplicaDraining
	replica.Since = o.sim.clock.now()
	o.publish(state)
	instance := o.servers[action.Server].instance
	o.sim.clock.after(drainDelay, func() {
		replica := state.replica(action.Server)
		if replica == nil || o.servers[action.Server].instance != instance {
			return
		}
		replica.State = api.ReplicaUnloading
		kind := engine.OrderUnload
		if state.model.base >= 0 {
			kind = engine.OrderUnloadAdapter
		}
		o.order(state, action.Server, kind, false)
	})
}

// replica returns the model's replica on a server, nil if there is none.
func (s *modelState) replica(server api.ServerID) *policy.Replica {
	for i := range s.replicas {
		if s.replicas[i].Server == server {
			return &s.replicas[i]
		}
	}
	return nil
}

// order sends a fenced order. If the engine refuses a load, it does not hold the model. If the
// engine is unreachable, the order is repeated until it is answered or the engine has restarted.
func (o *owner) order(state *modelState, server api.ServerID, kind engine.OrderKind, urgent bool) {
	e := o.servers[server]
	o.orderCount++
	o.fences[e]++
	order := engine.Order{
		ID: fmt.Sprintf("%d-%d", o.service, o.orderCount), Fence: api.MakeFence(1, o.fences[e]),
		Kind: kind, Model: state.model.name, MemoryBytes: state.model.weightBytes, Urgent: urgent,
	}
	o.send(state, e, e.instance, order)
}

// orderRetry is how long the owner waits before it repeats an unanswered order.
const orderRetry = time.Second

// send sends an order until it is answered, the engine has restarted or the replica is removed.
func (o *owner) send(state *modelState, e *emulatedEngine, instance string, order engine.Order) {
	c, network := o.sim.clock, o.sim.network
	answered := false
	network.send(o.zone, e.zone, func() {
		e.handle(func() {
			if e.instance != instance {
				return
			}
			result := e.order(order)
			network.send(e.zone, o.zone, func() {
				answered = true
				o.handleResult(state, e, order, result)
			})
		})
	})
	c.after(orderRetry, func() {
		if !answered && e.instance == instance && state.replica(e.id) != nil {
			o.send(state, e, instance, order)
		}
	})
}

// handleResult removes a replica whose load was refused by the engine.
func (o *owner) handleResult(state *modelState, e *emulatedEngine, order engine.Order, result engine.OrderResult) {
	if result.Status == engine.OrderAccepted || order.Kind == engine.OrderUnload || order.Kind == engine.OrderUnloadAdapter {
		return
	}
	o.removeReplica(state, e.id)
}

// removeReplica removes a replica and publishes the change.
func (o *owner) removeReplica(state *modelState, server api.ServerID) {
	for i := range state.replicas {
		if state.replicas[i].Server == server {
			state.replicas = append(state.replicas[:i:i], state.replicas[i+1:]...)
			break
		}
	}
	o.publish(state)
	o.scheduleDecision()
}

// itemChanged updates the owner's view of an item that changed, once the engine is reachable.
func (o *owner) itemChanged(e *emulatedEngine, instance string, m *model) {
	if e.instance != instance || !e.alive {
		return
	}
	if e.frozen || !o.sim.network.reaches(o.zone, e.zone) {
		o.sim.clock.after(orderRetry, func() { o.itemChanged(e, instance, m) })
		return
	}
	state := o.byModel[m.index]
	replica := state.replica(e.id)
	if replica == nil {
		return
	}
	it := e.items[m.index]
	if it == nil {
		o.removeReplica(state, e.id)
		return
	}
	if it.state == engine.ItemReady && replica.State == api.ReplicaLoading {
		replica.State = api.ReplicaReady
		replica.Since = o.sim.clock.now()
		replica.ReadyBy = time.Time{}
		o.publish(state)
		o.scheduleDecision()
	}
}

// refreshServer updates the owner's view of a live engine.
func (o *owner) refreshServer(position int, e *emulatedEngine) {
	o.serverViews[position].leaving = e.leavingAt >= 0
	if e.leavingAt < 0 {
		o.fences[e] = 0
		for _, state := range o.states {
			if state.replica(e.id) != nil && e.items[state.model.index] == nil {
				o.removeReplica(state, e.id)
			}
		}
	}
	o.publishServer(e)
	o.scheduleDecision()
}

// publishServer publishes all models that have a replica on a server.
func (o *owner) publishServer(e *emulatedEngine) {
	for _, state := range o.states {
		if state.replica(e.id) != nil {
			o.publish(state)
		}
	}
}
