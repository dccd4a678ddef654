// Package policy decides which models and adapters are loaded where and for
// how long. Deciders are pure functions of their input and the passed-in now,
// so that the owner of a cell and the emulator run the same code.
//
// A Decider only wishes. The owner of the cell checks each wish against the
// decided replica counts and the accelerators' memory before it orders it.
package policy

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/tree"
)

// Model is a model or adapter of the cell as the decider sees it.
type Model struct {
	Name     api.ModelName
	Base     api.ModelName // set for adapters
	Settings tree.Settings
	Replicas []Replica
	Demand   Demand
	History  *History // of this model's arrivals; never nil
	// DiskTime and MemoryTime are how long a load takes from a server's own disk and
	// memory; zero: estimated from Settings.LoadTime.
	DiskTime, MemoryTime time.Duration
	// Spares is how many replicas there should be while the servers have room, so that
	// the loss of one leaves some. Unlike those of Settings.MinReplicas they make way.
	Spares int
}

// Replica is one replica of a model. All states but Ready are counted as
// present: they hold memory.
type Replica struct {
	Server    api.ServerID
	State     api.ReplicaState
	Since     time.Time // of the state
	LastUse   time.Time // last request that ran on it; zero if none yet
	InFlight  int
	ReadyBy   time.Time // estimate while loading
	Prewarmed bool      // loaded without a waiting request
}

// Demand is the sum of what the nodes of the region reported lately.
type Demand struct {
	Waiting          int
	InFlight         int
	HighestPriority  int
	EarliestDeadline time.Time // of the waiting requests; zero if none
	WaitingSince     time.Time // of the first of them; zero if it is not known
	LastArrival      time.Time
	Rate             float64 // arrivals a second lately; zero if it is not known
	WeightedRate     float64 // the same, each arrival by its UrgencyWeight
	WaitingWeight    float64 // of what waits, by its UrgencyWeight
}

// Server is a server of the cell as the decider sees it.
type Server struct {
	ID            api.ServerID
	Zone          string
	CapacityBytes uint64
	FreeBytes     uint64 // not reserved by any replica, whatever its state
	Leaving       bool   // takes no new loads
	Reachable     bool
	Loading       int                         // loads under way on it
	Cached        map[string]engine.CacheTier // by checkpoint
	// BusyFor is how long the load under way still takes on a server that may
	// take another one after it; zero if there is none.
	BusyFor time.Duration
	// Reserved names the model that memory of the server was freed for, or is being
	// freed; no other one is loaded there. Empty if there is none.
	Reserved api.ModelName
}

// Input is what a decision is made from.
type Input struct {
	Models    []Model  // sorted by name
	Servers   []Server // sorted by ID
	LoadSlots int      // loads that this cell may have under way at once
	LoadRate  float64  // loads a second that this cell may start
}

// ActionKind is what an Action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	ActionLoad ActionKind = iota + 1
	ActionUnload
)

// Action is a wish of a decider. A load of an adapter names a server on which
// its base is ready.
type Action struct {
	Kind   ActionKind
	Model  api.ModelName
	Server api.ServerID
	Urgent bool          // a request waits for it
	Reason string        // for logs, such as "idle 10m0s" or "2 waiting"
	For    api.ModelName // that an unload makes room for; the server is to be reserved
}

// Decider decides what a cell should load and unload now. Decide must not keep
// or change its input. Actions are in the order in which they should start.
type Decider interface {
	// Name is the value of the setting "policy" that selects the decider.
	Name() string
	Decide(now time.Time, input Input) []Action
}
