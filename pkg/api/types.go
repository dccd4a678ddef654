// Package api defines the types that several parts of martenwheel share: the
// names of nodes, servers, models and cells, and the messages about them.
//
// All types are plain values. A value must not be changed after it was passed to
// another goroutine or put into a message.
package api

import "time"

// NodeID is the name of a node, as given by its settings.
type NodeID string

// ServerID is the name of a server that runs a model engine, as given by the
// platform.
type ServerID string

// ModelName is the name that callers use for a model ("glaze-7b") or for an
// adapter on a base model ("glaze-7b:studio-3"). It is unique in the
// configuration.
type ModelName string

// CellName is the name of a cell: the servers and models of one service in one
// region ("assistant@uy-south"), which are managed by one owner. A model belongs
// to one cell per region.
type CellName string

// CellSeparator separates the service and the region in a CellName.
const CellSeparator = "@"

// MakeCellName returns the name of the cell of a service in a region.
func MakeCellName(service, region string) CellName {
	return CellName(service + CellSeparator + region)
}

// NodeRef identifies one incarnation of a node. A process that replaces another
// under the same name and address has a different incarnation.
type NodeRef struct {
	ID          NodeID
	Incarnation uint64 // unique per process start; increases
	PeerAddress string // IP:port of the listener for other nodes
	Zone        string
	Region      string
}

// Fence defines the sequence of all orders to one engine. An engine accepts an
// order only if its fence is greater than every fence accepted before. The order
// with the last accepted fence may be repeated and gets the same answer.
// The high 40 bits are the owner's term, the low 24 bits a sequence number.
type Fence uint64

// fenceSequenceBits is the width of the sequence number in a Fence.
const fenceSequenceBits = 24

// MakeFence returns the fence of the order with a sequence number in a term.
func MakeFence(term uint64, sequence uint32) Fence {
	return Fence(term<<fenceSequenceBits | uint64(sequence)&(1<<fenceSequenceBits-1))
}

// Term returns the owner's term in which the fence was issued.
func (f Fence) Term() uint64 {
	return uint64(f) >> fenceSequenceBits
}

// ReplicaState is the state of one model or adapter on one server.
type ReplicaState uint8

// The states of a replica, in the order in which it goes through them.
const (
	ReplicaLoading   ReplicaState = iota + 1 // load ordered or in progress
	ReplicaReady                             // serves requests
	ReplicaDraining                          // gets no new requests
	ReplicaUnloading                         // memory not yet confirmed free
	ReplicaInDoubt                           // outcome unknown: ordered, but the engine does not answer
)

// String returns the state in lower case.
func (s ReplicaState) String() string {
	switch s {
	case ReplicaLoading:
		return "loading"
	case ReplicaReady:
		return "ready"
	case ReplicaDraining:
		return "draining"
	case ReplicaUnloading:
		return "unloading"
	case ReplicaInDoubt:
		return "in doubt"
	default:
		return "unknown"
	}
}

// Replica is one model or adapter on one server.
type Replica struct {
	Model   ModelName
	Base    ModelName // the base model if Model is an adapter, else empty
	Server  ServerID
	State   ReplicaState
	ReadyBy time.Time // estimated time of readiness while loading, else zero
}

// ServerView is the state of a server as published by the owner of its cell.
type ServerView struct {
	ID            ServerID
	Address       string // IP:port of the engine
	Zone          string
	CapacityBytes uint64
	ReservedBytes uint64
	Leaving       bool // the server gets no new work
	Reachable     bool // the owner can reach the server
}

// CellView is the state of a cell as published by its owner. A view replaces
// another one of the same cell if its (Term, Version) is greater.
type CellView struct {
	Cell     CellName
	Term     uint64
	Version  uint64
	Leader   NodeRef
	Members  []NodeRef
	Servers  []ServerView
	Replicas []Replica

	// ConfigVersion is the version of the quorum group's committed configuration
	// (see MakeConfigVersion). Members are the members of this configuration.
	ConfigVersion uint64
	// PreviousMembers are the members of ConfigVersion-1. They are empty in
	// the first configuration of an epoch.
	PreviousMembers []NodeRef
}

// FirstConfigVersion is the version of a cell's initial configuration.
const FirstConfigVersion = 1

// configCountBits is the width of the count within an epoch in a configuration
// version.
const configCountBits = 32

// MakeConfigVersion returns the version of a configuration from its epoch and its
// count within the epoch, both starting at 1. Versions within an epoch are
// consecutive. A new epoch begins after the loss of all members, when their state
// can't be copied.
func MakeConfigVersion(epoch, count uint64) uint64 {
	return (epoch-1)<<configCountBits | count
}

// NewerThan reports whether the view replaces other.
func (v CellView) NewerThan(other CellView) bool {
	if v.Term != other.Term {
		return v.Term > other.Term
	}
	return v.Version > other.Version
}

// ModelDemand is the demand for one model at one node since its last report.
type ModelDemand struct {
	Model            ModelName
	Arrivals         uint32
	Waiting          uint32
	InFlight         uint32
	HighestPriority  int       // highest priority of the waiting requests; larger is more urgent
	EarliestDeadline time.Time // earliest deadline of the waiting requests; zero if none
	LastArrival      time.Time
	Idle             time.Duration // since the last arrival, in a report to a new owner without arrivals; zero: unknown
	RequestID        string        // ID of one of the waiting requests, for logs
}

// DemandReport is sent by a node to the owner of a cell: immediately when a model
// without a ready replica gets its first waiting request, else about once a
// second while there is anything to report.
type DemandReport struct {
	Node   NodeRef
	Cell   CellName
	Models []ModelDemand
}

// LoadEstimate is an owner's response about a model that is not ready.
type LoadEstimate struct {
	Model      ModelName
	Accepted   bool          // a replica is loading or will be loaded
	ReadyBy    time.Time     // estimated time of readiness, if Accepted
	RetryAfter time.Duration // wait before another attempt, if not Accepted
	Reason     string        // message for the caller, if not Accepted
}
