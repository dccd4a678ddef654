// Package tree implements the settings tree with which operators control martenwheel: defaults at the root,
// then service, model family, model and adapter. Each node inherits the settings of its parent and
// overrides some of them.
//
// A Tree is immutable. An edit makes a new tree with a higher revision.
package tree

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// Path identifies a node of the tree: "/" is the root, "/assistant" a service, "/assistant/llama" a family,
// "/assistant/llama/glaze-7b" a model and "/assistant/llama/glaze-7b/studio-3" an adapter. Callers use the
// names "glaze-7b" and "glaze-7b:studio-3" for the last two.
type Path string

// Level is the depth of a node of the tree.
type Level int

// The levels of the tree.
const (
	LevelRoot Level = iota
	LevelService
	LevelFamily
	LevelModel
	LevelAdapter
)

// Revision counts the accepted changes of the tree. A process that has used a revision never returns to a
// lower one.
type Revision uint64

// Settings are the effective settings of one node of the tree. Keys defines their names, units, defaults
// and ranges.
type Settings struct {
	// Loading.
	Checkpoint      string        // name in the weight store; empty: the model's name
	Version         string        // of the checkpoint
	MemoryBytes     uint64        // accelerator memory of the weights
	KVBytes         uint64        // accelerator memory kept for KV cache per replica
	LoadTime        time.Duration // expected time of a load from the weight store
	MinReplicas     int           // replicas per region to keep loaded
	MaxReplicas     int           // maximum replicas per region
	KeepAlive       time.Duration // longest idle time before an unload
	ColdStartWeight float64       // 0: minimize only idle accelerator hours, 1: only cold starts
	Policy          string        // keep-alive and prewarming policy
	Prewarm         bool

	// Traffic.
	Priority         int           // default; higher is more urgent
	Deadline         time.Duration // default time to the first token
	UnsafeToRepeat   bool          // default for requests without the header
	RepeatRetention  time.Duration // how long the key of an unsafe request is remembered
	QueueRequests    int           // waiting requests per node and model
	QueueTokens      int           // waiting prompt tokens per node and model
	MaxConcurrency   int           // running requests per replica
	MaxTokens        int           // running tokens per replica
	CallerRate       float64       // requests per second per caller and node; 0: no limit
	CallerTokenRate  float64       // tokens per second per caller and node; 0: no limit
	ModelRate        float64       // requests per second of all callers per model and node; 0: no limit
	ModelTokenRate   float64       // tokens per second of all callers per model and node; 0: no limit
	ServiceRate      float64       // requests per second of all callers per service and node; 0: no limit
	ServiceTokenRate float64       // tokens per second of all callers per service and node; 0: no limit
	FairShare        float64       // weight of this branch when a queue is contended
	RetryBudget      float64       // retries per first attempt
	DrainTime        time.Duration // longest time that a replica's requests get to finish before a planned stop
	WeightLoadRate   float64       // root only: loads per second that the weight store starts
	WeightFullSpeed  int           // root only: concurrent loads that the weight store serves at full speed
	MaxBodyBytes     int           // root only: maximum size of the body of a caller's request
	OperatorsMayEdit bool          // false freezes a branch against edits

	// Defaults for adapters, which don't inherit MemoryBytes and LoadTime from their base model.
	AdapterMemoryBytes uint64
	AdapterLoadTime    time.Duration
}

// Model is a model or adapter of the tree with its effective settings.
type Model struct {
	Name     api.ModelName
	Base     api.ModelName // set for adapters
	Path     Path
	Service  string
	Family   string
	Settings Settings
}

// Edit changes one node of the tree. It has one of four forms: Key and Value set a key, Key and Unset make
// the node inherit the key again, Remove deletes the node and all nodes below it, and Path alone creates
// the node without overrides. Setting a key of a node that does not exist also creates the node and its
// ancestors.
type Edit struct {
	Path   Path   `json:"path" yaml:"path"`
	Key    string `json:"key,omitempty" yaml:"key,omitempty"`
	Value  string `json:"value,omitempty" yaml:"value,omitempty"`
	Unset  bool   `json:"unset,omitempty" yaml:"unset,omitempty"`
	Remove bool   `json:"remove,omitempty" yaml:"remove,omitempty"`
}

// Change is a set of edits that is accepted or refused as a whole.
type Change struct {
	ID       string    `json:"id"` // unique per intended change; a repeated change with the same ID applies only once
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Base     Revision  `json:"base"`     // the revision on which the author based the change; 0: any
	Revision Revision  `json:"revision"` // assigned when the change is accepted
	Edits    []Edit    `json:"edits"`
}

// Origin is the effective value of a setting and where it is set.
type Origin struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	From  Path   `json:"from"` // empty: built-in default
}
