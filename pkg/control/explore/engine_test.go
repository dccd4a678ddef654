package explore

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
)

// simEngine simulates an engine. It checks fences and nothing else: it loads
// whatever it is ordered to, so that only the owners' own accounting enforces the
// limits.
type simEngine struct {
	sim         *simulation
	id          api.ServerID
	address     string
	incarnation int
	fence       api.Fence
	last        engine.OrderResult // result of the order with the last accepted fence
	capacity    uint64
	leaving     bool
	down        bool
	items       map[api.ModelName]*simItem
	machine     platform.MachineState
}

// simItem is a model that a simulated engine holds.
type simItem struct {
	engine.Item
	held uint64 // memory in bytes including the KV cache
	orderContext
	term uint64 // term of the owner that ordered the load
}

// orderContext records the state of the simulation when an order was sent.
type orderContext struct {
	limit int // max_replicas in the tree of the ordering node
	step  int // simulation step in which the order was sent
}

// instance returns the ID of the engine's current instance.
func (e *simEngine) instance() string {
	return fmt.Sprintf("%s#%d", e.id, e.incarnation)
}

// restart replaces the engine by a new instance that holds nothing.
func (e *simEngine) restart() {
	e.incarnation++
	e.fence = 0
	e.last = engine.OrderResult{}
	e.leaving = false
	e.items = make(map[api.ModelName]*simItem)
	e.sim.tracef("engine %s restarts", e.id)
}

// order executes an order unless its instance or fence is outdated. A repeated
// order gets the same result again.
func (e *simEngine) order(order engine.Order, given orderContext) engine.OrderResult {
	if order.Instance != "" && order.Instance != e.instance() {
		return e.answer(engine.OrderWrongInstance)
	}
	if order.Fence == e.fence && e.last.Fence == order.Fence {
		return e.last
	}
	if order.Fence <= e.fence {
		return e.answer(engine.OrderStaleFence)
	}
	e.fence = order.Fence
	e.last = e.apply(order, given)
	return e.last
}

func (e *simEngine) answer(status engine.OrderStatus) engine.OrderResult {
	return engine.OrderResult{Status: status, Fence: e.fence, Instance: e.instance()}
}

func (e *simEngine) apply(order engine.Order, given orderContext) engine.OrderResult {
	item := e.items[order.Model]
	switch order.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		if e.leaving {
			return e.answer(engine.OrderLeaving)
		}
		if item != nil && item.State != engine.ItemFailed {
			e.sim.violate("%s was ordered to load %s, which it already holds", e.id, order.Model)
		}
		if order.Base != "" && (e.items[order.Base] == nil || e.items[order.Base].State != engine.ItemReady) {
			return e.answer(engine.OrderUnknownModel)
		}
		e.load(order, given)
	default:
		if item == nil {
			return e.answer(engine.OrderUnknownModel)
		}
		e.unload(item)
	}
	return e.answer(engine.OrderAccepted)
}

func (e *simEngine) load(order engine.Order, given orderContext) {
	item := &simItem{
		Item: engine.Item{
			Model: order.Model, Base: order.Base, State: engine.ItemLoading,
			MemoryBytes: order.MemoryBytes, OrderID: order.ID, Fence: order.Fence,
		},
		held:         order.MemoryBytes + e.sim.kvBytes(order.Model),
		orderContext: given,
		term:         order.Fence.Term(),
	}
	e.items[order.Model] = item
	e.sim.tracef("%s loads %s (term %x)", e.id, order.Model, order.Fence.Term())
	took := e.sim.randomDuration(200*time.Millisecond, 3*time.Second)
	failed := e.sim.chance(e.sim.odds.loadFails)
	e.sim.after(took, func() {
		if e.items[order.Model] != item || item.State != engine.ItemLoading {
			return
		}
		item.State = engine.ItemReady
		if failed {
			item.State = engine.ItemFailed
		}
	})
	e.sim.check()
	e.sim.checkLoad(order.Model)
}

func (e *simEngine) unload(item *simItem) {
	e.sim.tracef("%s unloads %s", e.id, item.Model)
	item.State = engine.ItemUnloading
	e.sim.after(e.sim.randomDuration(50*time.Millisecond, 4*time.Second), func() {
		if e.items[item.Model] == item {
			delete(e.items, item.Model)
		}
	})
}

func (e *simEngine) inventory(request engine.InventoryRequest) engine.Inventory {
	e.fence = max(e.fence, request.Fence)
	inventory := engine.Inventory{
		Instance: e.instance(), Fence: e.fence, CapacityBytes: e.capacity, Leaving: e.leaving,
	}
	for _, model := range e.sim.models {
		if item := e.items[model]; item != nil {
			inventory.Items = append(inventory.Items, item.Item)
			inventory.UsedBytes += item.MemoryBytes
		}
	}
	return inventory
}

// holds reports whether the engine holds memory for a model.
func (e *simEngine) holds(model api.ModelName) bool {
	item := e.items[model]
	return item != nil && item.State != engine.ItemFailed
}

// simTable simulates the table service.
type simTable struct {
	records map[string]platform.Record
	tokens  map[string]bool
	down    bool
}

func (t *simTable) get(key string) (platform.Record, error) {
	record, found := t.records[key]
	if !found {
		return platform.Record{}, errors.WithStack(platform.ErrNotFound)
	}
	return record, nil
}

func (t *simTable) commit(transaction platform.Transaction) error {
	if t.tokens[transaction.Token] {
		return nil
	}
	for _, condition := range transaction.Conditions {
		if t.records[condition.Key].Version != condition.Version {
			return errors.WithStack(platform.ErrConflict)
		}
	}
	t.tokens[transaction.Token] = true
	for _, write := range transaction.Writes {
		version := t.records[write.Key].Version + 1
		t.records[write.Key] = platform.Record{Key: write.Key, Value: write.Value, Version: version}
	}
	return nil
}
