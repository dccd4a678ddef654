package explore

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
)

// modelEngine judges fences and nothing else: it loads whatever it is told, so
// that the owners' own accounting is what keeps the limits.
type modelEngine struct {
	world    *world
	id       api.ServerID
	address  string
	life     int
	fence    api.Fence
	last     engine.OrderResult // of the order with the last accepted fence
	capacity uint64
	leaving  bool
	down     bool
	items    map[api.ModelName]*modelItem
	machine  platform.MachineState
}

type modelItem struct {
	engine.Item
	held uint64 // bytes with KV cache
	ordering
	term uint64
}

// ordering is what the world remembers of the moment in which an order was
// given.
type ordering struct {
	limit  int // max_replicas in force at the node
	issued int // step of the world
}

func (e *modelEngine) instance() string {
	return fmt.Sprintf("%s#%d", e.id, e.life)
}

// restart empties the engine.
func (e *modelEngine) restart() {
	e.life++
	e.fence = 0
	e.last = engine.OrderResult{}
	e.leaving = false
	e.items = make(map[api.ModelName]*modelItem)
	e.world.note("engine %s restarts", e.id)
}

func (e *modelEngine) order(order engine.Order, given ordering) engine.OrderResult {
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

func (e *modelEngine) answer(status engine.OrderStatus) engine.OrderResult {
	return engine.OrderResult{Status: status, Fence: e.fence, Instance: e.instance()}
}

func (e *modelEngine) apply(order engine.Order, given ordering) engine.OrderResult {
	item := e.items[order.Model]
	switch order.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		if e.leaving {
			return e.answer(engine.OrderLeaving)
		}
		if item != nil && item.State != engine.ItemFailed {
			e.world.fail("%s: load of %s, which it already holds", e.id, order.Model)
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

func (e *modelEngine) load(order engine.Order, given ordering) {
	item := &modelItem{
		Item: engine.Item{
			Model: order.Model, Base: order.Base, State: engine.ItemLoading,
			MemoryBytes: order.MemoryBytes, OrderID: order.ID, Fence: order.Fence,
		},
		held:     order.MemoryBytes + e.world.kvBytes(order.Model),
		ordering: given,
		term:     order.Fence.Term(),
	}
	e.items[order.Model] = item
	e.world.note("%s loads %s (term %x)", e.id, order.Model, order.Fence.Term())
	took := e.world.between(200*time.Millisecond, 3*time.Second)
	failed := e.world.chance(e.world.odds.loadFails)
	e.world.after(took, func() {
		if e.items[order.Model] != item || item.State != engine.ItemLoading {
			return
		}
		item.State = engine.ItemReady
		if failed {
			item.State = engine.ItemFailed
		}
	})
	e.world.check()
	e.world.checkLoad(order.Model)
}

func (e *modelEngine) unload(item *modelItem) {
	e.world.note("%s unloads %s", e.id, item.Model)
	item.State = engine.ItemUnloading
	e.world.after(e.world.between(50*time.Millisecond, 4*time.Second), func() {
		if e.items[item.Model] == item {
			delete(e.items, item.Model)
		}
	})
}

func (e *modelEngine) inventory(request engine.InventoryRequest) engine.Inventory {
	e.fence = max(e.fence, request.Fence)
	inventory := engine.Inventory{
		Instance: e.instance(), Fence: e.fence, CapacityBytes: e.capacity, Leaving: e.leaving,
	}
	for _, model := range e.world.models {
		if item := e.items[model]; item != nil {
			inventory.Items = append(inventory.Items, item.Item)
			inventory.UsedBytes += item.MemoryBytes
		}
	}
	return inventory
}

// holds tells whether the engine holds memory for a model.
func (e *modelEngine) holds(model api.ModelName) bool {
	item := e.items[model]
	return item != nil && item.State != engine.ItemFailed
}

// modelTable is the table service.
type modelTable struct {
	records map[string]platform.Record
	tokens  map[string]bool
	down    bool
}

func (t *modelTable) get(key string) (platform.Record, error) {
	record, found := t.records[key]
	if !found {
		return platform.Record{}, errors.WithStack(platform.ErrNotFound)
	}
	return record, nil
}

func (t *modelTable) commit(transaction platform.Transaction) error {
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
