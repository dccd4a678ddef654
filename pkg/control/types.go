package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
)

// Event is something that happened to the node. Events are the types below.
type Event interface{ isEvent() }

// Effect is something that the node is to do. Effects are carried out in
// order of return but finish in any order; their results come back as events,
// exactly one for each effect that has a result.
type Effect interface{ isEffect() }

// Tick is given about every TickInterval.
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
	Err    error // wraps engine.ErrUnreachable or engine.ErrUnknownOutcome
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
	Err    error // wraps platform.ErrNotFound if there is none
}

// RecordCommitted is the result of a CommitRecord effect.
type RecordCommitted struct {
	Transaction platform.Transaction
	Err         error
}

// StopRequested begins a planned stop of this node.
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

// ReadInventory fences an engine and reads its inventory.
type ReadInventory struct {
	Server  api.ServerID
	Address string
	Request engine.InventoryRequest
}

// ListMachines reads the platform's list of machines.
type ListMachines struct {
	Region string
}

// ReadRecord reads a record of the table service, with a consistent read.
type ReadRecord struct {
	Key string
}

// CommitRecord commits a transaction of the table service.
type CommitRecord struct {
	Transaction platform.Transaction
}

// PublishView hands a changed view of a cell to this node's routers.
type PublishView struct {
	View api.CellView
}

// PublishEstimate hands an owner's answer to this node's routers.
type PublishEstimate struct {
	Estimate api.LoadEstimate
}

// FetchTree asks a peer or, if Peer is empty, the platform for a tree that is
// newer than the one in force.
type FetchTree struct {
	Peer string // IP:port
}

// Log writes a log line.
type Log struct {
	Level   string // "debug", "info", "warn" or "error"
	Message string
	Fields  []any // key, value, ...
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

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond
