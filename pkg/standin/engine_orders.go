package standin

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// order checks the fence of an order and executes the order. A refused order
// uses up its fence too, so that a late repeat of it has no effect either. An
// order for an earlier incarnation of the engine does not use up its fence.
func (s *engineState) order(order engine.Order) engine.OrderResult {
	if order.Fence == 0 {
		return s.result(engine.OrderInvalid, "fence missing")
	}
	if order.Instance != "" && order.Instance != s.instance {
		return s.result(engine.OrderWrongInstance, "order for "+order.Instance)
	}
	if order.Fence == s.fence && s.lastOrder.Fence == order.Fence && s.lastOrder == order {
		return s.lastResult
	}
	if order.Fence <= s.fence {
		return s.result(engine.OrderStaleFence, "")
	}
	s.fence = order.Fence
	s.lastOrder = order
	s.lastResult = s.execute(order)
	return s.lastResult
}

func (s *engineState) result(status engine.OrderStatus, detail string) engine.OrderResult {
	return engine.OrderResult{Status: status, Fence: s.fence, Instance: s.instance, Detail: detail}
}

func (s *engineState) execute(order engine.Order) engine.OrderResult {
	if order.Kind == engine.OrderSetRole {
		s.role = order.Role
		return s.result(engine.OrderAccepted, "")
	}
	if order.Model == "" {
		return s.result(engine.OrderInvalid, "model missing")
	}
	switch order.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		return s.executeLoad(order)
	case engine.OrderUnload, engine.OrderUnloadAdapter:
		return s.executeUnload(order)
	default:
		return s.result(engine.OrderInvalid, "unknown kind "+string(order.Kind))
	}
}

func (s *engineState) executeLoad(order engine.Order) engine.OrderResult {
	if s.leaving {
		return s.result(engine.OrderLeaving, "")
	}
	if order.MemoryBytes == 0 {
		return s.result(engine.OrderInvalid, "memory_bytes missing")
	}
	if held, ok := s.items[order.Model]; ok && held.State != engine.ItemFailed {
		return s.result(engine.OrderInvalid, "model is "+string(held.State))
	}
	if order.Kind == engine.OrderLoad {
		order.Base = ""
	} else if !s.hasBase(order.Base) {
		return s.result(engine.OrderUnknownModel, "base model not loaded")
	}
	if !s.makeRoomForItem(order.MemoryBytes) {
		return s.result(engine.OrderNoMemory, "")
	}
	s.items[order.Model] = &item{
		Item: engine.Item{
			Model:       order.Model,
			Base:        order.Base,
			State:       engine.ItemLoading,
			MemoryBytes: order.MemoryBytes,
			OrderID:     order.ID,
			Fence:       order.Fence,
		},
		checkpoint: order.Checkpoint,
		urgent:     order.Urgent,
	}
	return s.result(engine.OrderAccepted, "")
}

// hasBase reports whether the base model is loading or loaded, so that adapters
// can be added to it.
func (s *engineState) hasBase(base api.ModelName) bool {
	held, ok := s.items[base]
	return ok && held.Base == "" && (held.State == engine.ItemLoading || held.State == engine.ItemReady)
}

// executeUnload starts an unload. Running requests finish first. The adapters of
// a base model are unloaded with it.
func (s *engineState) executeUnload(order engine.Order) engine.OrderResult {
	held, ok := s.items[order.Model]
	if !ok || (order.Kind == engine.OrderUnloadAdapter) != (held.Base != "") {
		return s.result(engine.OrderUnknownModel, "")
	}
	if held.State == engine.ItemFailed {
		delete(s.items, order.Model)
		return s.result(engine.OrderAccepted, "")
	}
	s.startUnload(held)
	for _, other := range s.items {
		if other.Base == order.Model {
			s.startUnload(other)
		}
	}
	return s.result(engine.OrderAccepted, "")
}

func (s *engineState) startUnload(held *item) {
	if held.State == engine.ItemUnloading {
		return
	}
	held.State = engine.ItemUnloading
	held.unloadedAt = s.now.Add(s.config.UnloadTime + s.unloadDelay)
	s.batch.refuseQueued(held.Model, s.now)
}

// nextLoad returns the item to fetch next, or nil. Urgent items go first, then
// those with the lowest fence.
func (s *engineState) nextLoad() *item {
	var next *item
	fetching := 0
	for _, held := range s.items {
		if held.State != engine.ItemLoading {
			continue
		}
		if held.fetching {
			fetching++
			continue
		}
		if held.Base != "" && !s.serves(held.Base) {
			continue
		}
		if next == nil || loadsBefore(held, next) {
			next = held
		}
	}
	if fetching >= s.config.ParallelLoads {
		return nil
	}
	return next
}

func loadsBefore(a, b *item) bool {
	if a.urgent != b.urgent {
		return a.urgent
	}
	return a.Fence < b.Fence
}

// setProgress records how much of an item was fetched. It returns false if the
// item is no longer loading.
func (s *engineState) setProgress(loaded *item, progress float64) bool {
	if s.items[loaded.Model] != loaded || loaded.State != engine.ItemLoading {
		return false
	}
	loaded.Progress = progress
	return true
}

// finishLoad marks an item as ready if its fetch succeeded, else as failed.
func (s *engineState) finishLoad(loaded *item, succeeded bool) {
	if s.items[loaded.Model] != loaded || loaded.State != engine.ItemLoading {
		return
	}
	loaded.fetching = false
	if !succeeded {
		loaded.State = engine.ItemFailed
		return
	}
	loaded.State = engine.ItemReady
	loaded.Progress = 1
	s.hostCache.add(loaded.checkpoint, loaded.MemoryBytes)
	s.diskCache.add(loaded.checkpoint, loaded.MemoryBytes)
}
