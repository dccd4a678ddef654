package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
)

// Event is an input to a Machine. The event types are those below that implement
// it.
type Event interface{ isEvent() }

// Effect is an action that the node must carry out. Effects are started in the
// order in which they are returned but may finish in any order. Each effect that
// has a result produces exactly one event.
type Effect interface{ isEffect() }

// Tick is delivered about once per TickInterval.
type Tick struct{}

// PeerReceived is a message from another node.
type PeerReceived struct {
	From    api.NodeRef
	Message any
}

// DemandReported is demand seen by this node's own routers.
type DemandReported struct {
	Demand api.ModelDemand
}

// OrderAnswered is the result of an OrderEngine effect.
type OrderAnswered struct {
	Server api.ServerID
	Order  engine.Order
	Result engine.OrderResult
	Err    error // wraps engine.ErrUnreachable or engine.ErrUnknownOutcome; nil on success
}

// InventoryAnswered is the result of a ReadInventory effect.
type InventoryAnswered struct {
	Server    api.ServerID
	Request   engine.InventoryRequest
	Inventory engine.Inventory
	Err       error
}

// MachinesListed is the result of a ListMachines effect.
type MachinesListed struct {
	List platform.MachineList
	Err  error
}

// RecordRead is the result of a ReadRecord effect.
type RecordRead struct {
	Key    string
	Record platform.Record
	Err    error // wraps platform.ErrNotFound if there is no record
}

// RecordCommitted is the result of a CommitRecord effect.
type RecordCommitted struct {
	Transaction platform.Transaction
	Err         error
}

// StopRequested starts a planned stop of this node.
type StopRequested struct{}

func (Tick) isEvent()              {}
func (PeerReceived) isEvent()      {}
func (DemandReported) isEvent()    {}
func (OrderAnswered) isEvent()     {}
func (InventoryAnswered) isEvent() {}
func (MachinesListed) isEvent()    {}
func (RecordRead) isEvent()        {}
func (RecordCommitted) isEvent()   {}
func (StopRequested) isEvent()     {}

// SendPeer sends a message to a node.
type SendPeer struct {
	To      api.NodeRef
	Message any
}

// OrderEngine gives an order to an engine.
type OrderEngine struct {
	Server  api.ServerID
	Address string
	Order   engine.Order
}

// ReadInventory raises the fence of an engine and reads its inventory.
type ReadInventory struct {
	Server  api.ServerID
	Address string
	Request engine.InventoryRequest
}

// ListMachines reads the platform's list of machines.
type ListMachines struct {
	Region string
}

// ReadRecord performs a consistent read of a record in the table service.
type ReadRecord struct {
	Key string
}

// CommitRecord commits a transaction in the table service.
type CommitRecord struct {
	Transaction platform.Transaction
}

// PublishView passes a changed view of a cell to this node's routers.
type PublishView struct {
	View api.CellView
}

// PublishEstimate passes an owner's load estimate to this node's routers.
type PublishEstimate struct {
	Estimate api.LoadEstimate
}

// FetchTree requests a tree newer than the one in force from a peer or, if Peer
// is empty, from the platform.
type FetchTree struct {
	Peer string // peer address (IP:port)
}

// Log writes a log line.
type Log struct {
	Level   string // "debug", "info", "warn" or "error"
	Message string
	Fields  []any // alternating keys and values
}

func (SendPeer) isEffect()        {}
func (OrderEngine) isEffect()     {}
func (ReadInventory) isEffect()   {}
func (ListMachines) isEffect()    {}
func (ReadRecord) isEffect()      {}
func (CommitRecord) isEffect()    {}
func (PublishView) isEffect()     {}
func (PublishEstimate) isEffect() {}
func (FetchTree) isEffect()       {}
func (Log) isEffect()             {}

// TickInterval is the interval of Tick events.
const TickInterval = 100 * time.Millisecond
