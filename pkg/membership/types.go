// Package membership detects which nodes of martenwheel are alive. It is a pure state machine similar to
// SWIM: nodes probe each other, ask others to probe a node that does not answer, suspect it, and declare it
// dead unless it refutes the suspicion.
//
// Unlike in SWIM, a node does not probe random members. The live members form three rings (two within each
// region and one over all regions, each ordered by a hash), and a node probes its successor on each. A node
// therefore keeps the same few neighbours until the membership changes: it sends a constant number of probes
// a second, keeps a handful of connections, and updates flood along the rings within a few hops.
//
// A Machine holds no clock, socket or goroutine. A single goroutine must own it.
package membership

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// Times of failure detection. A dead node is suspected in its region after at most ProbeInterval +
// DirectTimeout + IndirectTimeout plus the rounding to ticks, and declared dead SuspicionTimeout later.
const (
	// ProbeInterval is the time between two probes of the same member.
	ProbeInterval = 500 * time.Millisecond
	// DirectTimeout is how long a probe within the region may stay unanswered
	// before other members are asked to probe too.
	DirectTimeout = 200 * time.Millisecond
	// IndirectTimeout is how long the other members have to get an answer before the member is suspected.
	IndirectTimeout = 300 * time.Millisecond
	// RemoteFactor multiplies DirectTimeout and IndirectTimeout for a member in another region.
	RemoteFactor = 2
	// SuspicionTimeout is how long a suspected member has to refute the suspicion, in a cluster of up to
	// SuspicionScaleNodes. It grows with the logarithm of the number of members.
	SuspicionTimeout = 600 * time.Millisecond
	// SuspicionScaleNodes is the number of members up to which SuspicionTimeout is not extended.
	SuspicionScaleNodes = 32
	// StallLimit is the time between two ticks from which on this process counts as frozen, so that the
	// silence of other nodes means nothing.
	StallLimit = 400 * time.Millisecond
	// LateTick is the time between two ticks from which on this process counts as short of processor time.
	// Each late tick, and each suspicion of this node that it had to refute, makes it wait longer for others
	// (see MaxLag).
	LateTick = 180 * time.Millisecond
	// MaxLag limits by how many times its length each timeout is extended.
	MaxLag = 6
	// LagRecovery is the number of ticks in time after which the extension is reduced by one step.
	LagRecovery = 10
	// RejoinInterval is the time in which about RejoinProbes of all nodes probe a dead member or a seed that
	// is not a member.
	RejoinInterval = 2 * time.Second
	// RejoinProbes limits the probes that all nodes together send to dead members in RejoinInterval.
	RejoinProbes = 16
	// SyncInterval is the minimum time between two synchronisations of the whole table that this node starts.
	SyncInterval = time.Second
	// SweepWindow is the time within which a second death in a zone starts a sweep: each node then probes a
	// random member of the zone with each tick, until it has learned of no further death there for
	// SweepDuration.
	SweepWindow = 5 * time.Second
	// SweepDuration is how long a sweep continues after the last death. It is longer than a sweep takes to
	// find the next dead node.
	SweepDuration = 5 * time.Second
	// DifferTimeout is how long the tables of neighbours may differ before one of them asks for the other's
	// table. An update takes about a second to reach 330 nodes.
	DifferTimeout = 3 * time.Second
	// ForgetDeadAfter is how long a dead member is remembered. It is longer than the longest partition
	// between regions that heals without seeds.
	ForgetDeadAfter = 2 * time.Hour
	// ForgetLeftAfter is how long a member that left is remembered.
	ForgetLeftAfter = 10 * time.Minute
)

// Limits of messages.
const (
	// MaxUpdates is the maximum number of updates in a message.
	MaxUpdates = 16
	// MaxPageMembers is the maximum number of members on a page of a synchronisation.
	MaxPageMembers = 32
	// MaxDigestCells is the maximum number of cells in a digest.
	MaxDigestCells = 256
)

// State is the state of a member as seen by this node.
type State uint8

// The states of a member. For the same incarnation and refutation, a later one in this list replaces an earlier
// one.
const (
	StateAlive State = iota
	StateSuspect
	StateDead
	StateLeft // stopped as planned; final for this incarnation
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

// live reports whether a member in this state takes part in the rings.
func (s State) live() bool {
	return s == StateAlive || s == StateSuspect
}

// Member is a node as seen by this node.
type Member struct {
	Ref   api.NodeRef
	State State
	Since time.Time // when this node first saw the member in this state
}

// CellVersion is a node's version of a cell, and the loads from the weight store that the cell's owner has
// active or wants. The fields are those of api.CellView.
type CellVersion struct {
	Cell    api.CellName
	Term    uint64
	Version uint64
	// LoadsVersion grows when the load counts below change; it orders them among equal terms.
	LoadsVersion uint64
	ActiveLoads  int // in progress
	WantedLoads  int // waiting for a slot
	UrgentLoads  int // those of WantedLoads that callers wait for
}

// Digest is what a node reports about itself to its neighbours in probes and their answers. Cells are sent to
// nodes of the same region only.
type Digest struct {
	TreeRevision uint64
	Cells        []CellVersion // at most MaxDigestCells, one element per cell
}

// Packet is a message for another node. In To only PeerAddress may be set.
type Packet struct {
	To      api.NodeRef
	Message any
}

// Config configures a Machine.
type Config struct {
	Self  api.NodeRef
	Seeds []string // peer addresses (IP:port) of nodes to join; this node's own address is ignored
	Seed  uint64   // of the random number generator
}
