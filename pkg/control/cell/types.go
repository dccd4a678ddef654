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

// Sink takes what the owner wants done.
type Sink interface {
	// OrderEngine sends an order. It is sent at most once.
	OrderEngine(server api.ServerID, address string, order engine.Order)
	// ReadInventory fences an engine and reads its inventory.
	ReadInventory(server api.ServerID, address string, request engine.InventoryRequest)
	// Estimate answers a node's demand.
	Estimate(to api.NodeRef, estimate api.LoadEstimate)
	// Log writes a log line; fields are key, value, ...
	Log(level, message string, fields ...any)
}

// Config sets up an Owner.
type Config struct {
	Cell    api.CellName
	Self    api.NodeRef
	Timing  Timing
	Random  *rand.Rand
	Decider func(policyName string) policy.Decider
	Unsafe  switches.Set // tests only
}

// Timing holds the time constants of an owner. None matters for safety.
type Timing struct {
	InventoryInterval time.Duration // between inventories of a quiet server
	BusyInterval      time.Duration // the same while loads or unloads are under way
	OperationTimeout  time.Duration // until an unanswered order or inventory is in doubt
	UnreachableRetry  time.Duration // first pause after a failed inventory; doubles
	UnreachableMax    time.Duration // longest pause after failed inventories
	DecideInterval    time.Duration // between decisions with no news
	DecidePause       time.Duration // shortest time between two decisions
	DrainGrace        time.Duration // until every router has stopped using a replica
	DemandExpiry      time.Duration // how long a node's report counts
	FailurePause      time.Duration // first pause after a failed load of a model; doubles
	FailurePauseMax   time.Duration // longest pause after failed loads
	ServerPause       time.Duration // how long a failed load keeps a model off that server
	UnloadRetry       time.Duration // until an unload that shows no effect is repeated
	ClockSkew         time.Duration // largest difference of the platform's clock
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

// Start is what an owner begins with.
type Start struct {
	Term     uint64
	Data     quorum.Data
	Previous api.CellView // the last view known, for the replicas' states
}
