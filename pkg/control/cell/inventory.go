package cell

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/engine"
)

// InventoryAnswered takes over an engine's inventory. Answers other than to the
// inventory under way are too late to be used.
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
	o.takeInventory(now, s, inventory, sentAt)
}

// takeInventory brings the owner's knowledge in line with an inventory that was
// read at its own fence: no order given before can take effect any more.
func (o *Owner) takeInventory(now time.Time, s *server, inventory engine.Inventory, sentAt time.Time) {
	first := !s.fenced
	if first || !s.reachable || s.engineLeaving != inventory.Leaving || s.capacity != inventory.CapacityBytes {
		o.news()
	}
	s.fenced, s.reachable, s.failures = true, true, 0
	s.lastContact = sentAt
	if s.instance != inventory.Instance {
		s.instance, s.instanceAt = inventory.Instance, now
	}
	s.capacity, s.engineLeaving = inventory.CapacityBytes, inventory.Leaving
	s.cached = cachedCheckpoints(inventory.Cached)
	o.settleReplicas(now, s, inventory)
	if s.Unknown {
		s.Unknown = false
		o.dirty = true
	}
	s.pollAt = now.Add(o.pollInterval(s.ID))
}

func cachedCheckpoints(cached []engine.CachedCheckpoint) map[string]engine.CacheTier {
	tiers := make(map[string]engine.CacheTier, len(cached))
	for _, checkpoint := range cached {
		tiers[checkpoint.Checkpoint] = checkpoint.Tier
	}
	return tiers
}

// pollInterval is the time until the next inventory of a server.
func (o *Owner) pollInterval(id api.ServerID) time.Duration {
	for _, r := range o.moving {
		if r.intent.Server == id && r.phase != phaseDraining {
			return o.config.Timing.BusyInterval
		}
	}
	return o.config.Timing.InventoryInterval
}

// settleReplicas matches the items of an inventory with the replicas.
func (o *Owner) settleReplicas(now time.Time, s *server, inventory engine.Inventory) {
	items := make(map[api.ModelName]engine.Item, len(inventory.Items))
	for _, item := range inventory.Items {
		items[item.Model] = item
	}
	for _, r := range o.replicasOn(s.ID) {
		item, present := items[r.intent.Model]
		switch {
		case present && item.State != engine.ItemFailed:
			o.showItem(now, r, item)
		case r.phase == phaseIntended && r.intent.Instance == inventory.Instance:
			// Not ordered yet.
		default:
			o.gone(now, s, r, present)
		}
		delete(items, r.intent.Model)
	}
	for _, item := range inventory.Items {
		if _, unexpected := items[item.Model]; unexpected && item.State != engine.ItemFailed {
			o.adopt(now, s, item)
		}
	}
}

// showItem takes over the state that the engine shows for a replica.
func (o *Owner) showItem(now time.Time, r *replica, item engine.Item) {
	o.grow(r, item.MemoryBytes)
	before := r.state()
	r.doubt, r.serving = false, false
	if r.intent.OrderID != item.OrderID && item.OrderID != "" {
		r.intent.OrderID = item.OrderID
		r.committed = true // it is loaded: nothing is left to order
		o.dirty = true
	}
	switch item.State {
	case engine.ItemLoading:
		if !r.leavingMemory() {
			o.enter(now, r, phaseLoading)
			o.estimateReady(now, r, item.Progress)
		}
	case engine.ItemReady:
		if !r.leavingMemory() {
			o.becomeReady(now, r)
		}
	case engine.ItemUnloading:
		o.enter(now, r, phaseUnloading)
		r.retryAt = now.Add(o.config.Timing.UnloadRetry)
	}
	if r.state() != before {
		o.news()
	}
}

// becomeReady ends a load.
func (o *Owner) becomeReady(now time.Time, r *replica) {
	if r.phase == phaseReady {
		return
	}
	if !r.orderedAt.IsZero() {
		o.measureLoad(r.intent.Model, now.Sub(r.orderedAt))
	}
	delete(o.failures, r.intent.Model)
	o.enter(now, r, phaseReady)
	r.lastUse = now
	o.news()
}

// gone drops a replica that its engine does not hold, and tells a failed load
// from a finished unload.
func (o *Owner) gone(now time.Time, s *server, r *replica, failed bool) {
	if failed || r.phase == phaseOrdered || r.phase == phaseLoading {
		o.loadFailed(now, s, r, failed)
	}
	o.drop(now, r)
}

// adopt counts a model that nobody of this group is known to have ordered.
func (o *Owner) adopt(now time.Time, s *server, item engine.Item) {
	r := &replica{
		intent: quorum.Intent{
			OrderID: item.OrderID, Server: s.ID, Model: item.Model, Base: item.Base,
			Bytes: item.MemoryBytes, Instance: s.instance, SeenAt: s.lastContact, Version: o.models[item.Model].Settings.Version,
		},
		committed: true,
		phase:     phaseLoading,
		since:     now,
	}
	if model, known := o.models[item.Model]; known {
		r.intent.Bytes = max(item.MemoryBytes, replicaBytes(model))
	}
	o.addReplica(r)
	o.showItem(now, r, item)
}
