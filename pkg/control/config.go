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

// Config configures a Machine.
type Config struct {
	Self  api.NodeRef
	Seeds []string // peer addresses (IP:port) of nodes to join by
	Seed  uint64   // seed of the random number generator
	// Timing holds the time constants; the zero value means DefaultTiming.
	Timing Timing
	// Decider returns the policy with the given name, or nil if there is none.
	Decider func(name string) policy.Decider
	// Membership replaces the default implementation from package membership, in
	// tests.
	Membership Membership

	// Unsafe disables safety mechanisms. Its type is internal, so only tests of
	// this module can set it.
	Unsafe switches.Set
}

// Timing holds the time constants of a Machine. Safety does not depend on any of
// them.
type Timing struct {
	Quorum quorum.Timing
	Cell   cell.Timing

	FormationDelay      time.Duration // delay before the first-ranked node forms a group for a cell without one
	FormationStep       time.Duration // additional delay per rank
	LeaderlessTimeout   time.Duration // how long a member hears no leader before it helps to form a new group
	MemberStartTimeout  time.Duration // how long to wait for recorded members that may be alive to report a view
	MinorityDelay       time.Duration // how long the record must be unchanged before a node in a minority forms a group
	FormationRetry      time.Duration // first pause after a failed attempt; doubles with each failure
	FormationRetryMax   time.Duration // longest pause after failed attempts
	RecordRefresh       time.Duration // interval at which an owner rewrites its cell's record to show that it is alive
	RecordRetry         time.Duration // first pause after a failed write of a cell's record; doubles with each failure
	RecordRetryMax      time.Duration // longest pause after failed writes of a cell's record
	MachinePoll         time.Duration // interval at which an owner reads the machine list
	ListTimeout         time.Duration // time until an unanswered request for the machine list is repeated
	ReconfigureInterval time.Duration // interval between checks of a group's members
	DemandInterval      time.Duration // interval between demand reports
	AntiEntropyInterval time.Duration // interval between digest comparisons with the neighbours
	TreePollPerNode     time.Duration // poll interval for the platform's tree, per known node
	ClaimInterval       time.Duration // interval between refreshes of a claim on the weight store
	StopTimeout         time.Duration // longest duration of a planned stop
}

// DefaultTiming returns the time constants used in production.
func DefaultTiming() Timing {
	return Timing{
		Quorum:              quorum.DefaultTiming(),
		Cell:                cell.DefaultTiming(),
		FormationDelay:      400 * time.Millisecond,
		FormationStep:       300 * time.Millisecond,
		LeaderlessTimeout:   20 * time.Second,
		MemberStartTimeout:  10 * time.Second,
		MinorityDelay:       25 * time.Second,
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

// Settings is the part of a settings tree that the control plane needs.
// *tree.Tree implements it.
type Settings interface {
	Revision() tree.Revision
	Models() []tree.Model // sorted by name
	Services() []string   // sorted
	Root() tree.Settings
}
