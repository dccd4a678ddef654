package cell

import (
	"math/rand/v2"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/internal/switches"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/policy"
)

// Sink receives the owner's outputs.
type Sink interface {
	// OrderEngine sends an order at most once.
	OrderEngine(server api.ServerID, address string, order engine.Order)
	// ReadInventory raises an engine's fence and reads its inventory.
	ReadInventory(server api.ServerID, address string, request engine.InventoryRequest)
	// Estimate sends a load estimate to a node that reported waiting requests.
	Estimate(to api.NodeRef, estimate api.LoadEstimate)
	// Log writes a log line; fields are alternating keys and values.
	Log(level, message string, fields ...any)
}

// Config configures an Owner.
type Config struct {
	Cell    api.CellName
	Self    api.NodeRef
	Timing  Timing
	Random  *rand.Rand
	Decider func(policyName string) policy.Decider
	Unsafe  switches.Set // tests only
}

// Timing holds the time constants of an owner. Safety does not depend on any of
// them.
type Timing struct {
	InventoryInterval time.Duration // interval of inventories of a server without loads or unloads in progress
	BusyInterval      time.Duration // interval of inventories while loads or unloads are in progress
	OperationTimeout  time.Duration // time after which an unanswered order or inventory request is given up
	UnreachableRetry  time.Duration // first pause after a failed inventory; doubles with each failure
	UnreachableMax    time.Duration // longest pause after failed inventories
	DecideInterval    time.Duration // longest time between two decisions
	DecidePause       time.Duration // shortest time between two decisions
	DrainGrace        time.Duration // time until every router has stopped using a replica
	DemandExpiry      time.Duration // how long a node's demand report counts
	FailurePause      time.Duration // first back-off after a failed load of a model; doubles with each failure
	FailurePauseMax   time.Duration // longest back-off after failed loads
	ServerPause       time.Duration // how long a model is not loaded again on a server where its load failed
	UnloadRetry       time.Duration // time after which an unload without effect is repeated
	ClockSkew         time.Duration // largest difference between the platform's clock and this node's
}

// DefaultTiming returns the time constants for engines a few milliseconds away.
func DefaultTiming() Timing {
	return Timing{
		InventoryInterval: time.Second,
		BusyInterval:      200 * time.Millisecond,
		OperationTimeout:  3 * time.Second,
		UnreachableRetry:  300 * time.Millisecond,
		UnreachableMax:    3 * time.Second,
		DecideInterval:    time.Second,
		DecidePause:       100 * time.Millisecond,
		DrainGrace:        2 * time.Second,
		DemandExpiry:      5 * time.Second,
		FailurePause:      time.Second,
		FailurePauseMax:   time.Minute,
		ServerPause:       30 * time.Second,
		UnloadRetry:       2 * time.Second,
		ClockSkew:         2 * time.Second,
	}
}

// Start is the state that an owner begins with.
type Start struct {
	Term uint64
	// Data is the committed data of the group.
	Data     quorum.Data
	Previous api.CellView // last known view, which shows the replicas that were ready
}
