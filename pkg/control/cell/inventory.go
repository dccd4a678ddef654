package cell

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/engine"
)

// InventoryAnswered handles the answer to an inventory request. Answers to any
// other request than the pending one are ignored as outdated.
func (o *Owner) InventoryAnswered(now time.Time, id api.ServerID, request engine.InventoryRequest, inventory engine.Inventory, err error) {
	s, known := o.servers[id]
	if !known || s.operation == nil || s.operation.order != nil || s.operation.fence != request.Fence {
		return
	}
	sentAt := s.operation.sentAt
	s.operation = nil
	if err != nil || inventory.Fence < request.Fence {
		o.inventoryFailed(now, s)
		return
	}
	if inventory.Fence.Term() > o.start.Term {
		o.deposedBy = inventory.Fence.Term()
		return
	}
	o.applyInventory(now, s, inventory, sentAt)
}

// applyInventory updates the owner's state from an inventory that was read with
// the owner's own fence. No order given earlier can take effect any more.
func (o *Owner) applyInventory(now time.Time, s *server, inventory engine.Inventory, sentAt time.Time) {
	first := !s.fenced
	if first || !s.reachable || s.engineLeaving != inventory.Leaving || s.reportedCapacity != inventory.CapacityBytes {
		o.noteChange()
	}
	s.fenced, s.reachable, s.failures = true, true, 0
	s.lastContact = sentAt
	if s.instance != inventory.Instance {
		s.instance, s.instanceAt = inventory.Instance, now
	}
	s.reportedCapacity, s.engineLeaving = inventory.CapacityBytes, inventory.Leaving
	s.cached = cachedCheckpoints(inventory.Cached)
	o.reconcileReplicas(now, s, inventory)
	if s.Unknown {
		s.Unknown = false
		o.dataChanged = true
	}
	s.pollAt = now.Add(o.pollInterval(s.ID))
}

// cachedCheckpoints returns the cache tier of each cached checkpoint.
func cachedCheckpoints(cached []engine.CachedCheckpoint) map[string]engine.CacheTier {
	tiers := make(map[string]engine.CacheTier, len(cached))
	for _, checkpoint := range cached {
		tiers[checkpoint.Checkpoint] = checkpoint.Tier
	}
	return tiers
}

// pollInterval returns the time until the next inventory of a server.
func (o *Owner) pollInterval(id api.ServerID) time.Duration {
	for _, r := range o.transitioning {
		if r.intent.Server == id && r.phase != phaseDraining {
			return o.config.Timing.BusyInterval
		}
	}
	return o.config.Timing.InventoryInterval
}

// reconcileReplicas matches the items of an inventory with the replicas.
func (o *Owner) reconcileReplicas(now time.Time, s *server, inventory engine.Inventory) {
	items := make(map[api.ModelName]engine.Item, len(inventory.Items))
	for _, item := range inventory.Items {
		items[item.Model] = item
	}
	for _, r := range o.replicasOn(s.ID) {
		item, present := items[r.intent.Model]
		switch {
		case present && item.State != engine.ItemFailed:
			o.applyItem(now, r, item)
		case r.phase == phaseIntended && r.intent.Instance == inventory.Instance:
			// Its load has not been ordered yet.
		default:
			o.removeMissing(now, s, r, present)
		}
		delete(items, r.intent.Model)
	}
	for _, item := range inventory.Items {
		if _, unexpected := items[item.Model]; unexpected && item.State != engine.ItemFailed {
			o.adoptItem(now, s, item)
		}
	}
}

// applyItem updates a replica from the item that the engine reports for it.
func (o *Owner) applyItem(now time.Time, r *replica, item engine.Item) {
	o.boundReservation(r, item)
	o.raiseReservation(r, item.MemoryBytes)
	before := r.state()
	r.outcomeUnknown, r.wasReady = false, false
	if r.intent.OrderID != item.OrderID && item.OrderID != "" {
		r.intent.OrderID = item.OrderID
		r.committed = true // the model is loaded, so there is nothing left to order
		o.dataChanged = true
	}
	switch item.State {
	case engine.ItemLoading:
		if !r.isBeingRemoved() {
			o.setPhase(now, r, phaseLoading)
			o.estimateReady(now, r, item.Progress)
		}
	case engine.ItemReady:
		if !r.isBeingRemoved() {
			o.becomeReady(now, r)
		}
	case engine.ItemUnloading:
		o.setPhase(now, r, phaseUnloading)
		r.retryAt = now.Add(o.config.Timing.UnloadRetry)
	}
	if r.state() != before {
		o.noteChange()
	}
}

// becomeReady completes a load.
func (o *Owner) becomeReady(now time.Time, r *replica) {
	if r.phase == phaseReady {
		return
	}
	if !r.orderedAt.IsZero() {
		o.measureLoad(r.intent.Model, now.Sub(r.orderedAt))
	}
	delete(o.failures, r.intent.Model)
	o.setPhase(now, r, phaseReady)
	r.lastUse = now
	o.noteChange()
}

// removeMissing drops a replica that its engine does not hold, or holds as
// failed, and records a failed load unless the replica was being unloaded.
func (o *Owner) removeMissing(now time.Time, s *server, r *replica, failed bool) {
	if failed || r.phase == phaseOrdered || r.phase == phaseLoading {
		o.loadFailed(now, s, r, failed)
	}
	o.drop(now, r)
}

// adoptItem counts a model that an engine holds without a known order.
func (o *Owner) adoptItem(now time.Time, s *server, item engine.Item) {
	r := &replica{
		intent: quorum.Intent{
			OrderID: item.OrderID, Server: s.ID, Model: item.Model, Base: item.Base,
			Bytes: item.MemoryBytes, Instance: s.instance, SeenAt: s.lastContact, Version: o.models[item.Model].Settings.Version,
		},
		committed: true,
		phase:     phaseLoading,
		since:     now,
	}
	switch model, known := o.models[item.Model]; {
	case known:
		r.intent.Bytes = max(item.MemoryBytes, replicaBytes(model))
	case item.Base == "":
		r.intent.Bytes = unboundedBytes
	}
	o.addReplica(r)
	o.applyItem(now, r, item)
}
