// Package membership tells which nodes of martenwheel are alive. It is a pure
// state machine in the manner of SWIM: nodes probe each other, ask others to
// probe a node that does not answer, suspect it, and declare it dead unless it
// refutes the suspicion.
//
// Unlike SWIM, a node does not probe random members. The live members form
// three rings (two within each region and one over all regions, each in an
// order given by a hash), and a node probes its successor on each. So a node
// has the same few neighbours until the membership changes: it sends a
// constant number of probes a second, keeps a handful of connections, and news
// floods along the rings within a few hops.
//
// A Machine holds no clock, socket or goroutine. One goroutine owns it.
package membership

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// Timing. The worst case for a dead node to be suspected in its region is
// ProbeInterval + DirectTimeout + IndirectTimeout plus the rounding to ticks;
// it is dead SuspicionTimeout later.
const (
	// ProbeInterval is the time between two probes of the same member.
	ProbeInterval = 500 * time.Millisecond
	// DirectTimeout is how long a probe within the region may stay unanswered
	// before other members are asked to probe too.
	DirectTimeout = 200 * time.Millisecond
	// IndirectTimeout is how long these have before the member is suspected.
	IndirectTimeout = 300 * time.Millisecond
	// RemoteFactor multiplies DirectTimeout and IndirectTimeout for a member
	// in another region.
	RemoteFactor = 2
	// SuspicionTimeout is how long a suspected member has to refute, in a
	// cluster of up to SuspicionScaleNodes. It grows with the logarithm of the
	// number of members.
	SuspicionTimeout = 600 * time.Millisecond
	// SuspicionScaleNodes is the size up to which SuspicionTimeout is not
	// lengthened.
	SuspicionScaleNodes = 32
	// StallLimit is the time between two ticks after which this process was
	// evidently frozen, so that silence of others means nothing.
	StallLimit = 400 * time.Millisecond
	// LateTick is the time between two ticks after which this process is
	// evidently short of processor time: each late tick, and each suspicion of
	// this node that it had to refute, lets it wait longer for others (see
	// MaxLag).
	LateTick = 180 * time.Millisecond
	// MaxLag bounds by how many times its length each time-out is prolonged.
	MaxLag = 6
	// LagRecovery is the number of ticks in time that take one prolongation
	// back.
	LagRecovery = 10
	// RejoinInterval is the time in which RejoinProbes nodes of all try to
	// reach a dead member or a seed that is not a member.
	RejoinInterval = 2 * time.Second
	// RejoinProbes bounds the probes that dead members get from all nodes
	// together in RejoinInterval.
	RejoinProbes = 16
	// SyncInterval is the shortest time between two synchronisations of the
	// whole table that this node starts.
	SyncInterval = time.Second
	// SweepWindow is the time within which a second death in a zone starts a
	// sweep: each node then probes a random member of the zone with each tick,
	// until no death in the zone was learned for SweepDuration.
	SweepWindow = 5 * time.Second
	// SweepDuration is how long a sweep goes on after the last death. It is
	// longer than a sweep takes to find the next one.
	SweepDuration = 5 * time.Second
	// DifferTimeout is how long the tables of neighbours may differ before one
	// asks for the other's. News takes about a second to reach 330 nodes.
	DifferTimeout = 3 * time.Second
	// ForgetDeadAfter is how long a dead member is remembered. It is longer
	// than the longest cut between regions that heals without seeds.
	ForgetDeadAfter = 2 * time.Hour
	// ForgetLeftAfter is how long a member that left is remembered.
	ForgetLeftAfter = 10 * time.Minute
)

// Bounds of messages.
const (
	// MaxUpdates is the largest number of updates that ride on one message.
	MaxUpdates = 16
	// MaxPageMembers is the largest number of members on one page of a
	// synchronisation.
	MaxPageMembers = 32
	// MaxDigestCells is the largest number of cells in a digest.
	MaxDigestCells = 256
)

// State is the state of a member as seen by this node.
type State uint8

// The states of a member. Within one life and refutation, a later one of
// these replaces an earlier one.
const (
	StateAlive State = iota
	StateSuspect
	StateDead
	StateLeft // stopped as planned; final for this life
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	default:
		return "unknown"
	}
}

// live tells whether a member in the state takes part in the rings.
func (s State) live() bool {
	return s == StateAlive || s == StateSuspect
}

// Member is a node as seen by this node.
type Member struct {
	Ref   api.NodeRef
	State State
	Since time.Time // when this node came to see it so
}

// CellVersion is what a node has of a cell, and the loads that the cell's owner
// wants of the weight store. Fields are those of api.CellView.
type CellVersion struct {
	Cell    api.CellName
	Term    uint64
	Version uint64
	// LoadsVersion grows when the owner's counts below change; it orders the
	// counts among equal terms.
	LoadsVersion uint64
	ActiveLoads  int // under way
	WantedLoads  int // waiting for a slot
	UrgentLoads  int // of these, ones that callers wait for
}

// Digest is what a node tells its neighbours about itself with its probes and
// their answers. Cells go to nodes of the same region only.
type Digest struct {
	TreeRevision uint64
	Cells        []CellVersion // at most MaxDigestCells, each cell once
}

// Packet is a message for another node. To may hold a PeerAddress only.
type Packet struct {
	To      api.NodeRef
	Message any
}

// Config sets up a Machine.
type Config struct {
	Self  api.NodeRef
	Seeds []string // peer addresses (IP:port) to join by; the own one is ignored
	Seed  uint64   // of the random choices
}
