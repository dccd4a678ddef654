package scale

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// hollowLoadTime is how long a load takes on a hollow engine.
const hollowLoadTime = 300 * time.Millisecond

// hollowEngine is an engine in memory that judges orders by their fences.
type hollowEngine struct {
	id       api.ServerID
	address  string
	capacity uint64

	mutex     sync.Mutex
	fence     api.Fence
	lastOrder string
	items     map[api.ModelName]hollowItem
	used      uint64
	encoded   []byte // of the inventory; nil after a change
}

// hollowItem is a model or adapter on a hollow engine.
type hollowItem struct {
	item    engine.Item
	readyAt time.Time
}

// order carries out an order.
func (e *hollowEngine) order(order engine.Order) engine.OrderResult {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	result := engine.OrderResult{Status: engine.OrderAccepted, Fence: e.fence, Instance: string(e.id)}
	if order.Fence <= e.fence {
		if order.Fence != e.fence || order.ID != e.lastOrder {
			result.Status = engine.OrderStaleFence
		}
		return result
	}
	result.Status = e.carryOut(order)
	if result.Status == engine.OrderAccepted {
		e.fence, e.lastOrder = order.Fence, order.ID
		e.encoded = nil
	}
	result.Fence = e.fence
	return result
}

func (e *hollowEngine) carryOut(order engine.Order) engine.OrderStatus {
	held, exists := e.items[order.Model]
	switch order.Kind {
	case engine.OrderUnload, engine.OrderUnloadAdapter:
		if !exists {
			return engine.OrderUnknownModel
		}
		e.used -= held.item.MemoryBytes
		delete(e.items, order.Model)
		return engine.OrderAccepted
	case engine.OrderLoad, engine.OrderLoadAdapter:
		if exists {
			return engine.OrderInvalid
		}
		if e.used+order.MemoryBytes > e.capacity {
			return engine.OrderNoMemory
		}
		e.used += order.MemoryBytes
		e.items[order.Model] = hollowItem{
			item: engine.Item{
				Model: order.Model, Base: order.Base, State: engine.ItemLoading,
				MemoryBytes: order.MemoryBytes, OrderID: order.ID, Fence: order.Fence,
			},
			readyAt: time.Now().Add(hollowLoadTime),
		}
		return engine.OrderAccepted
	default:
		return engine.OrderInvalid
	}
}

// inventory returns the engine's inventory as its HTTP API encodes it. The
// encoding is kept while nothing changes, so that it does not count as the
// nodes' processor time.
func (e *hollowEngine) inventory(request engine.InventoryRequest) ([]byte, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if request.Fence > e.fence {
		e.fence, e.lastOrder = request.Fence, ""
		e.encoded = nil
	}
	e.finishLoads()
	if e.encoded != nil {
		return e.encoded, nil
	}
	inventory := engine.Inventory{
		Instance: string(e.id), Fence: e.fence, CapacityBytes: e.capacity, UsedBytes: e.used, Role: "serve",
	}
	for _, held := range e.items {
		inventory.Items = append(inventory.Items, held.item)
	}
	encoded, err := json.Marshal(inventory)
	e.encoded = encoded
	return encoded, errors.WithStack(err)
}

func (e *hollowEngine) finishLoads() {
	now := time.Now()
	for name, held := range e.items {
		if held.item.State == engine.ItemLoading && !now.Before(held.readyAt) {
			held.item.State, held.item.Progress = engine.ItemReady, 1
			e.items[name] = held
			e.encoded = nil
		}
	}
}

// hollowEngines are the engines by address.
type hollowEngines struct {
	byAddress map[string]*hollowEngine
	calls     atomic.Uint64 // orders and inventories
	bytes     atomic.Uint64 // of requests and answers, as JSON
}

func (e *hollowEngines) order(_ context.Context, address string, order engine.Order) (engine.OrderResult, error) {
	e.calls.Add(1)
	target, exists := e.byAddress[address]
	if !exists {
		return engine.OrderResult{}, engine.ErrUnreachable
	}
	return target.order(order), nil
}

func (e *hollowEngines) inventory(_ context.Context, address string, request engine.InventoryRequest) (engine.Inventory, error) {
	e.calls.Add(1)
	target, exists := e.byAddress[address]
	if !exists {
		return engine.Inventory{}, engine.ErrUnreachable
	}
	question, err := json.Marshal(request)
	if err != nil {
		return engine.Inventory{}, errors.WithStack(err)
	}
	answer, err := target.inventory(request)
	if err != nil {
		return engine.Inventory{}, err
	}
	e.bytes.Add(uint64(len(question) + len(answer)))
	var inventory engine.Inventory
	err = json.Unmarshal(answer, &inventory)
	return inventory, errors.WithStack(err)
}
