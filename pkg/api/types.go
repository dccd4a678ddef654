// Package api holds the types that several parts of martenwheel share: the
// names of nodes, servers, models and cells, and the messages about them.
//
// All types are plain values. A value that has been handed to another
// goroutine or put into a message is not changed any more.
package api

import "time"

// NodeID names a process of martenwheel, as given by its settings.
type NodeID string

// ServerID names a server that runs a model engine, as given by the platform.
type ServerID string

// ModelName is the name that callers use for a model ("glaze-7b") or for an
// adapter on a base model ("glaze-7b:studio-3"). It is unique in the tree.
type ModelName string

// CellName names a cell: the servers and models that one owner decides
// together, which are those of one service in one region
// ("assistant@uy-south"). A model belongs to one cell per region.
type CellName string

// CellSeparator stands between the service and the region in a CellName.
const CellSeparator = "@"

// MakeCellName returns the name of the cell of service in region.
func MakeCellName(service, region string) CellName {
	return CellName(service + CellSeparator + region)
}

// NodeRef identifies one life of a node: a process that was replaced under
// the same name and address has another incarnation.
type NodeRef struct {
	ID          NodeID
	Incarnation uint64 // larger for a later life; unique per process start
	PeerAddress string // IP:port of the listener for other nodes
	Zone        string
	Region      string
}

// Fence orders all orders to one engine. An engine accepts an order only if
// its fence is greater than every fence that it has accepted before; the order
// with the last accepted fence may be repeated and gets the same answer.
// The high 40 bits are the owner's term, the low 24 bits a sequence number.
type Fence uint64

// fenceSequenceBits is the width of the sequence number in a Fence.
const fenceSequenceBits = 24

// MakeFence builds the fence of the order with sequence in term.
func MakeFence(term uint64, sequence uint32) Fence {
	return Fence(term<<fenceSequenceBits | uint64(sequence)&(1<<fenceSequenceBits-1))
}

// Term returns the term that the fence was given in.
func (f Fence) Term() uint64 {
	return uint64(f) >> fenceSequenceBits
}

// ReplicaState is the state of one model or adapter on one server.
type ReplicaState uint8

// The states of a replica, in the order of its life.
const (
	ReplicaLoading   ReplicaState = iota + 1 // ordered or being fetched
	ReplicaReady                             // serves requests
	ReplicaDraining                          // gets no new requests
	ReplicaUnloading                         // memory not yet confirmed free
	ReplicaInDoubt                           // ordered, but its engine cannot be asked
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
	Base    ModelName // the base model when Model is an adapter, else empty
	Server  ServerID
	State   ReplicaState
	ReadyBy time.Time // estimate while loading, else zero
}

// ServerView is what the owner of a cell tells routers about a server.
type ServerView struct {
	ID            ServerID
	Address       string // IP:port of the engine
	Zone          string
	CapacityBytes uint64
	ReservedBytes uint64
	Leaving       bool // gets no new work
	Reachable     bool // as seen by the owner
}

// CellView is the owner's published state of a cell. A view replaces another
// one of the same cell if (Term, Version) is greater.
type CellView struct {
	Cell     CellName
	Term     uint64
	Version  uint64
	Leader   NodeRef
	Members  []NodeRef
	Servers  []ServerView
	Replicas []Replica

	// ConfigVersion counts the committed configurations of the quorum group;
	// see MakeConfigVersion. Members are those of this configuration.
	ConfigVersion uint64
	// PreviousMembers are the members of ConfigVersion-1. They are empty in
	// the first configuration of an epoch.
	PreviousMembers []NodeRef
}

// FirstConfigVersion is the configuration that a cell is first formed with.
const FirstConfigVersion = 1

// configCountBits is the width of the count within an epoch in a version of a
// configuration.
const configCountBits = 32

// MakeConfigVersion returns the version of the configuration with a count in
// an epoch, both from 1. Versions within an epoch are consecutive; an epoch
// follows the loss of all members, so that nobody can copy from them.
func MakeConfigVersion(epoch, count uint64) uint64 {
	return (epoch-1)<<configCountBits | count
}

// NewerThan tells whether the view replaces other.
func (v CellView) NewerThan(other CellView) bool {
	if v.Term != other.Term {
		return v.Term > other.Term
	}
	return v.Version > other.Version
}

// ModelDemand is what one node saw of one model since its last report.
type ModelDemand struct {
	Model            ModelName
	Arrivals         uint32
	Waiting          uint32
	InFlight         uint32
	HighestPriority  int       // of the waiting requests; larger is more urgent
	EarliestDeadline time.Time // of the waiting requests; zero if none
	LastArrival      time.Time
	RequestID        string // of one of the waiting requests, for logs
}

// DemandReport goes from a node to the owner of a cell: at once when a model
// without a ready replica gets its first waiting request, else about once a
// second while there is anything to report.
type DemandReport struct {
	Node   NodeRef
	Cell   CellName
	Models []ModelDemand
}

// LoadEstimate is an owner's answer about a model that is not ready.
type LoadEstimate struct {
	Model      ModelName
	Accepted   bool          // a replica is or will be loading
	ReadyBy    time.Time     // when Accepted
	RetryAfter time.Duration // when not Accepted
	Reason     string        // when not Accepted, in words for the caller
}
