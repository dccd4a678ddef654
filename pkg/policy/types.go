// Package policy decides which models and adapters are loaded where and for
// how long. Deciders are pure functions of their input and the passed-in time,
// so that the owner of a cell and the emulator run the same code.
//
// A Decider only proposes actions. Before the owner of the cell orders one, it
// checks it against the decided replica counts and the accelerators' memory.
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
	// DiskTime and MemoryTime are the load times from a server's own disk and
	// memory; zero: estimated from Settings.LoadTime.
	DiskTime, MemoryTime time.Duration
	// Spares is how many replicas there should be while the servers have free memory,
	// so that some remain after the loss of one. Unlike those that Settings.MinReplicas
	// asks for, they may be evicted for other models.
	Spares int
}

// Replica is one replica of a model. It counts as present in every state,
// because it holds memory in every state.
type Replica struct {
	Server    api.ServerID
	State     api.ReplicaState
	Since     time.Time // when it entered State
	LastUse   time.Time // last request that ran on it; zero if none yet
	InFlight  int
	ReadyBy   time.Time // estimated end of the load
	Prewarmed bool      // loaded without a waiting request
	// Sole tells that requests which began there can continue at no other replica. It counts as the only one of
	// its model.
	Sole bool
}

// Demand is the sum of the recent reports of the region's nodes about a model.
type Demand struct {
	Waiting          int
	InFlight         int
	HighestPriority  int
	EarliestDeadline time.Time // of the waiting requests; zero if none
	WaitingSince     time.Time // arrival of the first waiting request; zero if unknown
	LastArrival      time.Time
	Rate             float64 // recent arrivals per second; zero if unknown
	WeightedRate     float64 // recent arrivals per second, each counted by its UrgencyWeight
	WaitingWeight    float64 // sum of the UrgencyWeight of the waiting requests
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
	// BusyFor is the remaining time of the load under way, if the server may take
	// another load after it; zero otherwise.
	BusyFor time.Duration
	// Reserved names the model for which memory of the server was or is being freed;
	// no other model is loaded there. Empty if there is none.
	Reserved api.ModelName
}

// Input is the state of a cell from which a decision is made.
type Input struct {
	Models    []Model  // sorted by name
	Servers   []Server // sorted by ID
	LoadSlots int      // loads from the weight store that the cell may have under way at once
	LoadRate  float64  // loads from the weight store that the cell may start per second
}

// ActionKind is what an Action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	ActionLoad ActionKind = iota + 1
	ActionUnload
)

// Action is a load or unload proposed by a decider. A load of an adapter names
// a server on which its base is ready.
type Action struct {
	Kind   ActionKind
	Model  api.ModelName
	Server api.ServerID
	Urgent bool          // a request waits for it
	Reason string        // for logs, such as "idle 10m0s" or "2 waiting"
	For    api.ModelName // model for which an unload frees memory and the server is reserved
}

// Decider decides what a cell should load and unload now. Decide must not keep
// or change its input. Actions are in the order in which they should start.
type Decider interface {
	// Name is the value of the setting "policy" that selects the decider.
	Name() string
	Decide(now time.Time, input Input) []Action
}
