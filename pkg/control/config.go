package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/cell"
	"martenwheel.dev/pkg/control/internal/switches"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

// Config sets up a Machine.
type Config struct {
	Self  api.NodeRef
	Seeds []string // peer addresses (IP:port) of nodes to join by
	Seed  uint64   // of random choices
	// Timing holds the time constants; the zero value stands for
	// DefaultTiming.
	Timing Timing
	// Decider returns the policy of a name, or nil if there is none.
	Decider func(name string) policy.Decider
	// Membership replaces the one of package membership, in tests.
	Membership Membership

	// Unsafe takes safety mechanisms away; only tests of this module can.
	Unsafe switches.Set
}

// Timing holds the time constants of a Machine. None matters for safety.
type Timing struct {
	Quorum quorum.Timing
	Cell   cell.Timing

	FormationDelay      time.Duration // that a cell is without a group until the first node forms one
	FormationStep       time.Duration // longer for each further node
	GroupPatience       time.Duration // that a member is without a leader until it helps to form a new group
	FormationPatience   time.Duration // how long recorded members that live have to come up
	MinorityPatience    time.Duration // that the record must be unchanged before a node that sees few others forms a group
	FormationRetry      time.Duration // first pause after a failed try; doubles
	FormationRetryMax   time.Duration // longest pause after failed tries
	RecordRefresh       time.Duration // between writes of a cell's record by its owner, as a sign of life
	RecordRetry         time.Duration // first pause after a failed write of a cell's record; doubles
	RecordRetryMax      time.Duration
	MachinePoll         time.Duration // between reads of the list of machines by an owner
	ListTimeout         time.Duration // until the list of machines is asked for again
	ReconfigureInterval time.Duration // between checks of a group's members
	DemandInterval      time.Duration // between demand reports
	AntiEntropyInterval time.Duration // between comparisons with the neighbours
	TreePollPerNode     time.Duration // the platform is asked for the tree once in this time per live node
	ClaimInterval       time.Duration // between refreshes of a claim on the weight store
	StopTimeout         time.Duration // longest planned stop
}

// DefaultTiming returns the time constants of production.
func DefaultTiming() Timing {
	return Timing{
		Quorum:              quorum.DefaultTiming(),
		Cell:                cell.DefaultTiming(),
		FormationDelay:      400 * time.Millisecond,
		FormationStep:       300 * time.Millisecond,
		GroupPatience:       20 * time.Second,
		FormationPatience:   10 * time.Second,
		MinorityPatience:    25 * time.Second,
		FormationRetry:      300 * time.Millisecond,
		FormationRetryMax:   20 * time.Second,
		RecordRefresh:       10 * time.Second,
		RecordRetry:         time.Second,
		RecordRetryMax:      30 * time.Second,
		MachinePoll:         time.Second,
		ListTimeout:         5 * time.Second,
		ReconfigureInterval: time.Second,
		DemandInterval:      time.Second,
		AntiEntropyInterval: 250 * time.Millisecond,
		TreePollPerNode:     time.Second,
		ClaimInterval:       2 * time.Second,
		StopTimeout:         10 * time.Second,
	}
}

var _ Settings = (*tree.Tree)(nil)

// Settings is the part of a tree of settings that the control side needs.
// *tree.Tree provides it.
type Settings interface {
	Revision() tree.Revision
	Models() []tree.Model // sorted by name
	Services() []string   // sorted
	Root() tree.Settings
}
