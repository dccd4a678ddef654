package cell

import (
	"fmt"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

// beginLoad creates the intent of a load, which counts towards the limits from
// now on. The load is ordered once the intent is committed. The caller must have
// checked the limits.
func (o *Owner) beginLoad(now time.Time, model tree.Model, s *server, action policy.Action) *replica {
	o.intentCount++
	r := &replica{
		intent: quorum.Intent{
			OrderID:  fmt.Sprintf("%s/%d/%d", o.config.Cell, o.start.Term, o.intentCount),
			Server:   s.ID,
			Model:    model.Name,
			Base:     model.Base,
			Bytes:    replicaBytes(model),
			Version:  model.Settings.Version,
			Instance: s.instance,
			SeenAt:   s.lastContact,
			Urgent:   action.Urgent,
		},
		reason:    action.Reason,
		phase:     phaseIntended,
		since:     now,
		lastUse:   now,
		prewarmed: !action.Urgent,
		readyBy:   now.Add(o.loadTime(model)),
	}
	o.addReplica(r)
	return r
}

// orderLoads orders the loads whose intents are committed.
func (o *Owner) orderLoads(now time.Time, sink Sink) {
	for _, r := range o.transitioning.sorted((*replica).awaitsOrder) {
		if !r.committed && !o.config.Unsafe.NoIntents {
			continue
		}
		s, known := o.servers[r.intent.Server]
		if !known {
			continue
		}
		if !o.mayStillLoad(r, s) {
			sink.Log("info", "load cancelled before it was ordered", "model", r.intent.Model, "server", s.ID)
			o.drop(now, r)
			continue
		}
		if s.operation == nil {
			o.orderLoad(now, r, s, sink)
		}
	}
}

// awaitsOrder reports whether the replica's load is intended but not ordered.
func (r *replica) awaitsOrder() bool {
	return r.phase == phaseIntended
}

// mayStillLoad rechecks the conditions that may have changed while the intent was
// being committed.
func (o *Owner) mayStillLoad(r *replica, s *server) bool {
	if o.config.Unsafe.NoRecheck {
		return true
	}
	model, known := o.models[r.intent.Model]
	if !known || o.outdated() || o.counted(model.Name) > model.Settings.MaxReplicas {
		return false
	}
	if r.intent.Base != "" && !o.baseReady(r.intent.Base, s.ID) {
		return false
	}
	if replicaBytes(model) > r.intent.Bytes { // the model grew: the server was chosen by its old size
		return false
	}
	return s.acceptsLoads() && s.instance == r.intent.Instance && o.reserved[s.ID] <= s.capacityBytes()
}

// baseReady reports whether a server has a ready replica of the base model, on
// which an adapter can be loaded.
func (o *Owner) baseReady(base api.ModelName, id api.ServerID) bool {
	r := o.replicas[replicaKey{server: id, model: base}]
	return r != nil && r.phase == phaseReady
}

// orderLoad orders one load.
func (o *Owner) orderLoad(now time.Time, r *replica, s *server, sink Sink) {
	model := o.models[r.intent.Model]
	order := engine.Order{
		ID:          r.intent.OrderID,
		Kind:        engine.OrderLoad,
		Model:       r.intent.Model,
		Base:        r.intent.Base,
		Version:     r.intent.Version,
		Checkpoint:  model.Settings.Checkpoint,
		MemoryBytes: model.Settings.MemoryBytes,
		Urgent:      r.intent.Urgent,
	}
	if r.intent.Base != "" {
		order.Kind = engine.OrderLoadAdapter
	}
	o.sendOrder(now, s, order, sink)
	o.setPhase(now, r, phaseOrdered)
	r.orderedAt = now
	r.readyBy = now.Add(o.loadTime(model))
	sink.Log("info", "load ordered", "model", r.intent.Model, "server", s.ID, "order", order.ID,
		"reason", r.reason, "request_id", o.waitingRequest(r.intent.Model))
}

// sendOrder sends an order with the next fence.
func (o *Owner) sendOrder(now time.Time, s *server, order engine.Order, sink Sink) {
	order.Fence = o.nextFence(s)
	order.Instance = s.instance
	if o.config.Unsafe.NoInstance {
		order.Instance = ""
	}
	s.operation = &operation{fence: order.Fence, sentAt: now, order: &order}
	sink.OrderEngine(s.ID, s.Address, order)
}

// OrderAnswered handles the answer to an order. Only acceptance is trusted. After
// any other answer, or none, the outcome is unknown until the next inventory: the
// engine may have carried out one copy of the order and answered another.
func (o *Owner) OrderAnswered(now time.Time, id api.ServerID, order engine.Order, result engine.OrderResult, err error) {
	s, known := o.servers[id]
	if !known || s.operation == nil || s.operation.fence != order.Fence {
		return
	}
	s.operation = nil
	s.pollNoLaterThan(now)
	if err == nil && result.Status == engine.OrderAccepted {
		o.orderAccepted(now, s, order)
		return
	}
	if result.Fence.Term() > o.start.Term {
		o.deposedBy = result.Fence.Term()
		return
	}
	if err == nil && result.Status == engine.OrderLeaving {
		s.engineLeaving = true
		o.noteChange()
	}
	o.orderOutcomeUnknown(now, s, order)
}

// orderAccepted moves the replica of an accepted load to loading. An accepted
// unload frees no memory until an inventory shows that the model is gone.
func (o *Owner) orderAccepted(now time.Time, s *server, order engine.Order) {
	r := o.replicas[replicaKey{server: s.ID, model: order.Model}]
	if r == nil {
		return
	}
	unload := order.Kind == engine.OrderUnload || order.Kind == engine.OrderUnloadAdapter
	if unload && o.config.Unsafe.FreeOnUnload {
		o.drop(now, r)
	}
	if !unload && r.phase == phaseOrdered {
		o.setPhase(now, r, phaseLoading)
		o.viewChanged = true
	}
}

// orderOutcomeUnknown records that an order may or may not have taken effect. The
// next inventory raises the fence above the order's and shows the outcome.
func (o *Owner) orderOutcomeUnknown(now time.Time, s *server, order engine.Order) {
	s.pollAt = now
	r := o.replicas[replicaKey{server: s.ID, model: order.Model}]
	if r == nil || r.intent.OrderID != order.ID {
		return
	}
	if o.config.Unsafe.UnknownOutcomeIsRefused {
		o.drop(now, r)
		return
	}
	if r.loading() && !r.outcomeUnknown {
		r.outcomeUnknown = true
		o.viewChanged = true
	}
}

// mayDrain reports whether a replica may be drained: an inherited one only if it is in service, and once the nodes had
// the time to report its use. Its server may stay silent for long, so that no inventory ever confirms it.
func (o *Owner) mayDrain(now time.Time, r *replica) bool {
	return r.phase != phaseInherited || r.wasReady && now.Sub(o.began) >= inheritedUseGrace
}

// startDrain makes the routers stop using a replica, to be unloaded afterwards. A
// load that is not ordered yet is cancelled.
func (o *Owner) startDrain(now time.Time, r *replica, reason string, sink Sink) {
	if r.isBeingRemoved() || !o.mayDrain(now, r) {
		return
	}
	sink.Log("info", "draining replica", "model", r.intent.Model, "server", r.intent.Server, "reason", reason)
	if r.phase == phaseIntended {
		o.drop(now, r)
		return
	}
	r.reason = reason
	o.setPhase(now, r, phaseDraining)
	o.noteChange()
	for _, adapter := range o.adaptersOn(r) {
		o.startDrain(now, adapter, "base "+reason, sink)
	}
}

// adaptersOn returns the adapters that are loaded on a base model's replica.
func (o *Owner) adaptersOn(base *replica) []*replica {
	return o.onServer[base.intent.Server].sorted(func(r *replica) bool {
		return r.intent.Base == base.intent.Model
	})
}

// orderUnloads orders the unloads that are due.
func (o *Owner) orderUnloads(now time.Time, sink Sink) {
	for _, r := range o.transitioning.sorted((*replica).isBeingRemoved) {
		s, known := o.servers[r.intent.Server]
		if !known || !s.fenced || s.failures > 0 || s.operation != nil || !o.unloadDue(now, r) {
			continue
		}
		o.orderUnload(now, r, s, sink)
	}
}

// orderUnload orders one unload.
func (o *Owner) orderUnload(now time.Time, r *replica, s *server, sink Sink) {
	order := engine.Order{ID: r.intent.OrderID + "/unload", Kind: engine.OrderUnload, Model: r.intent.Model}
	if r.intent.Base != "" {
		order.Kind = engine.OrderUnloadAdapter
		order.Base = r.intent.Base
	}
	o.sendOrder(now, s, order, sink)
	if r.phase != phaseUnloading {
		o.viewChanged = true
	}
	o.setPhase(now, r, phaseUnloading)
	r.retryAt = now.Add(o.config.Timing.UnloadRetry)
	sink.Log("info", "unload ordered", "model", r.intent.Model, "server", s.ID, "reason", r.reason)
}

// unloadDue reports whether a draining replica can be unloaded: the routers have
// stopped using it, and its requests have finished or the drain time has passed.
// An unload without effect is due again at retryAt.
func (o *Owner) unloadDue(now time.Time, r *replica) bool {
	if r.phase == phaseUnloading {
		return !now.Before(r.retryAt)
	}
	if len(o.adaptersOn(r)) > 0 {
		return false
	}
	drained := now.Sub(r.since)
	if drained < o.config.Timing.DrainGrace {
		return false
	}
	return o.inFlight(now, r.intent.Model) == 0 || drained >= o.models[r.intent.Model].Settings.DrainTime
}
