// Package engine is a client of the model engines. It sends fenced orders and
// reads inventories, load reports and cache events. Requests of callers go to
// the engine's OpenAI-style API on the same address (see package gateway).
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// Paths of the engine's HTTP API besides the OpenAI-style ones.
const (
	PathOrders      = "/engine/v1/orders"       // POST Order, answers OrderResult
	PathInventory   = "/engine/v1/inventory"    // POST InventoryRequest, answers Inventory
	PathLoad        = "/engine/v1/load"         // GET, answers LoadReport
	PathCacheEvents = "/engine/v1/cache-events" // GET ?after=N, answers CacheEvents
	PathCancel      = "/engine/v1/cancel"       // POST CancelRequest
	PathKVExport    = "/engine/v1/kv/export"    // POST KVExportRequest, answers KVExport
	PathKVImport    = "/engine/v1/kv/import"    // POST KVExport
)

// Headers of requests to the engine.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderPriority   = "X-Priority"    // integer, larger is more urgent
	HeaderDeadline   = "X-Deadline"    // RFC 3339 with fractions; the request is not started after it
	HeaderResumeFrom = "X-Resume-From" // number of events received so far
)

// Errors that a Client returns, possibly wrapped.
var (
	// ErrUnreachable means that the request was not sent.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrUnknownOutcome means that the request was sent but not answered, so that
	// it may or may not have taken effect.
	ErrUnknownOutcome = errors.New("engine: outcome unknown")
)

// OrderKind is the action that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderSetRole       OrderKind = "set_role"
)

// Order is a fenced order. The engine answers as soon as it has accepted or
// refused the order; the progress of a load is reported in the inventory.
type Order struct {
	ID          string        `json:"id"`
	Fence       api.Fence     `json:"fence"`
	Instance    string        `json:"instance,omitempty"` // instance of the engine that the order is for; empty: any
	Kind        OrderKind     `json:"kind"`
	Model       api.ModelName `json:"model"`
	Base        api.ModelName `json:"base,omitempty"`
	Version     string        `json:"version,omitempty"`
	Checkpoint  string        `json:"checkpoint,omitempty"`
	MemoryBytes uint64        `json:"memory_bytes,omitempty"`
	Role        string        `json:"role,omitempty"`
	Urgent      bool          `json:"urgent,omitempty"` // fetch before loads that are not urgent
}

// OrderStatus is the engine's answer to an order.
type OrderStatus string

// The statuses of an order. Only accepted orders have an effect.
const (
	OrderAccepted     OrderStatus = "accepted"
	OrderStaleFence   OrderStatus = "stale_fence"   // the engine has seen the same or a higher fence
	OrderNoMemory     OrderStatus = "no_memory"     // the load would overcommit the memory
	OrderUnknownModel OrderStatus = "unknown_model" // nothing to unload, or no base for the adapter
	OrderLeaving      OrderStatus = "leaving"       // the engine takes no new work
	OrderInvalid      OrderStatus = "invalid"
	// OrderWrongInstance means that the order is for an earlier incarnation of
	// the engine. A restarted engine has seen no fence, so only this check keeps
	// an order that was in transit during the restart from taking effect.
	OrderWrongInstance OrderStatus = "wrong_instance"
)

// OrderResult answers an Order.
type OrderResult struct {
	Status   OrderStatus `json:"status"`
	Fence    api.Fence   `json:"fence"` // the highest fence seen
	Instance string      `json:"instance"`
	Detail   string      `json:"detail,omitempty"`
}

// InventoryRequest asks for the inventory. The engine first raises its fence to
// Fence, so that no order with a lower fence takes effect after the answer. A
// Fence of zero raises nothing.
type InventoryRequest struct {
	Fence api.Fence `json:"fence"`
}

// ItemState is the state of a loaded model or adapter in an inventory.
type ItemState string

// The states of an item. All but ItemFailed hold memory.
const (
	ItemLoading   ItemState = "loading"
	ItemReady     ItemState = "ready"
	ItemUnloading ItemState = "unloading"
	ItemFailed    ItemState = "failed"
)

// Item is one model or adapter on the engine.
type Item struct {
	Model       api.ModelName `json:"model"`
	Base        api.ModelName `json:"base,omitempty"`
	State       ItemState     `json:"state"`
	MemoryBytes uint64        `json:"memory_bytes"`
	OrderID     string        `json:"order_id"`
	Fence       api.Fence     `json:"fence"`
	Progress    float64       `json:"progress"` // progress of a load, from 0 to 1
}

// CacheTier is the place where a checkpoint is cached on a server.
type CacheTier string

// The tiers, from fast to slow. A checkpoint in neither of them must come from
// the weight store.
const (
	TierMemory CacheTier = "memory"
	TierDisk   CacheTier = "disk"
)

// CachedCheckpoint is a checkpoint that is cached on the engine's server.
type CachedCheckpoint struct {
	Checkpoint string    `json:"checkpoint"`
	Tier       CacheTier `json:"tier"`
}

// Inventory is the state that an engine reports about itself. Instance changes
// when the engine restarts. A restarted engine holds no models and has seen no
// fence.
type Inventory struct {
	Instance      string             `json:"instance"`
	Fence         api.Fence          `json:"fence"`
	CapacityBytes uint64             `json:"capacity_bytes"`
	UsedBytes     uint64             `json:"used_bytes"` // weights, adapters and KV cache
	KVBytes       uint64             `json:"kv_bytes"`   // part of UsedBytes; shrinks when memory is needed
	Leaving       bool               `json:"leaving"`
	Role          string             `json:"role"`
	Items         []Item             `json:"items"`
	Cached        []CachedCheckpoint `json:"cached"`
}

// ModelLoad is the load of one model on an engine.
type ModelLoad struct {
	Model           api.ModelName `json:"model"`
	Running         int           `json:"running"`
	Queued          int           `json:"queued"`
	TokensPerSecond float64       `json:"tokens_per_second"`
}

// LoadReport is the engine's load at AsOf, which lies somewhat in the past.
type LoadReport struct {
	Instance string      `json:"instance"`
	AsOf     time.Time   `json:"as_of"`
	Leaving  bool        `json:"leaving"`
	Models   []ModelLoad `json:"models"`
}

// CacheEvent reports that a prompt prefix entered or left the prefix cache.
// Prefix is the hash of the prompt's leading blocks (see PrefixHashes).
type CacheEvent struct {
	Sequence uint64        `json:"sequence"`
	Model    api.ModelName `json:"model"`
	Prefix   uint64        `json:"prefix"`
	Stored   bool          `json:"stored"`
}

// CacheEvents is a page of events. Sequence numbers may have gaps, and events
// before Oldest are no longer available. A reader that missed some can't ask for
// them again; it lets its entries expire.
type CacheEvents struct {
	Instance string       `json:"instance"`
	Oldest   uint64       `json:"oldest"`
	Events   []CacheEvent `json:"events"`
}

// CancelRequest stops a running request.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// KVExportRequest asks for the KV cache of a running or finished request.
type KVExportRequest struct {
	RequestID string `json:"request_id"`
	Cancel    bool   `json:"cancel"` // also stop the request
}

// KVExport is an exported KV cache, opaque to martenwheel.
type KVExport struct {
	RequestID string        `json:"request_id"`
	Model     api.ModelName `json:"model"`
	Events    int           `json:"events"` // generated so far
	Data      []byte        `json:"data"`
}

// Client sends requests to the engines at the given addresses. It is safe for
// concurrent use. No method retries a request.
type Client interface {
	Order(ctx context.Context, address string, order Order) (OrderResult, error)
	Inventory(ctx context.Context, address string, request InventoryRequest) (Inventory, error)
	Load(ctx context.Context, address string) (LoadReport, error)
	CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error)
	Cancel(ctx context.Context, address string, request CancelRequest) error
	ExportKV(ctx context.Context, address string, request KVExportRequest) (KVExport, error)
	ImportKV(ctx context.Context, address string, export KVExport) error
}
