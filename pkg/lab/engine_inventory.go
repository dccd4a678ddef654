package lab

import "martenwheel.dev/pkg/engine"

// inventory raises the fence and returns what the engine holds.
func (e *emulatedEngine) inventory(request engine.InventoryRequest) engine.Inventory {
	if request.Fence > e.fence {
		e.fence, e.lastOrder = request.Fence, ""
	}
	inventory := engine.Inventory{
		Instance: e.instance, Fence: e.fence, CapacityBytes: e.capacity,
		UsedBytes: e.used, Leaving: e.leavingAt >= 0,
	}
	for _, it := range e.items {
		if it != nil {
			inventory.Items = append(inventory.Items, e.inventoryItem(it))
		}
	}
	for _, index := range e.disk.models() {
		inventory.Cached = append(inventory.Cached, e.cachedCheckpoint(index))
	}
	for _, index := range e.memory.models() {
		if !e.disk.has(index) {
			inventory.Cached = append(inventory.Cached, e.cachedCheckpoint(index))
		}
	}
	return inventory
}

// inventoryItem returns the inventory's entry of an item. Its size is that of the weights, as in orders.
func (e *emulatedEngine) inventoryItem(it *item) engine.Item {
	described := engine.Item{
		Model: it.model.name, State: it.state, MemoryBytes: it.holdBytes - it.model.settings.KVBytes,
		OrderID: it.orderID, Fence: it.fence,
	}
	if it.model.base >= 0 {
		described.Base = e.sim.models[it.model.base].name
	}
	return described
}

// cachedCheckpoint returns the inventory's entry of a cached checkpoint, with its fastest tier.
func (e *emulatedEngine) cachedCheckpoint(index int) engine.CachedCheckpoint {
	tier := engine.TierDisk
	if e.memory.has(index) {
		tier = engine.TierMemory
	}
	return engine.CachedCheckpoint{Checkpoint: string(e.sim.models[index].name), Tier: tier}
}
