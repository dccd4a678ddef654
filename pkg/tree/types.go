// Package tree is the tree of settings by which operators steer martenwheel:
// defaults at the root, then service, model family, model and adapter. Each
// node of the tree inherits from its parent and overrides what it must.
//
// A Tree is immutable: an edit makes a new one with a higher revision.
package tree

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// Path names a node of the tree: "/" is the root, "/assistant" a service,
// "/assistant/llama" a family, "/assistant/llama/glaze-7b" a model and
// "/assistant/llama/glaze-7b/studio-3" an adapter. The names that callers use
// are "glaze-7b" and "glaze-7b:studio-3".
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

// Revision counts the accepted changes of the tree. A process that has seen a
// revision never uses a lower one again.
type Revision uint64

// Settings are the effective settings of one node of the tree. The keys, units,
// defaults and ranges are in Keys.
type Settings struct {
	// Loading.
	Checkpoint      string        // name in the weight store; empty: the model's name
	Version         string        // of the checkpoint
	MemoryBytes     uint64        // accelerator memory of the weights
	KVBytes         uint64        // accelerator memory kept for KV cache per replica
	LoadTime        time.Duration // expected load time from the weight store
	MinReplicas     int           // per region, kept loaded
	MaxReplicas     int           // per region, never exceeded
	KeepAlive       time.Duration // longest idle time before an unload
	ColdStartWeight float64       // 0: only idle accelerator hours matter, 1: only cold starts
	Policy          string        // keep-alive and prewarming policy
	Prewarm         bool

	// Traffic.
	Priority         int           // default; larger is more urgent
	Deadline         time.Duration // default time to the first token
	UnsafeToRepeat   bool          // default for requests without the header
	RepeatRetention  time.Duration // how long keys of unsafe requests are remembered
	QueueRequests    int           // waiting requests per node and model
	QueueTokens      int           // waiting prompt tokens per node and model
	MaxConcurrency   int           // running requests per replica
	MaxTokens        int           // running tokens per replica
	CallerRate       float64       // requests a second per caller and node; 0: no limit
	CallerTokenRate  float64       // tokens a second per caller and node; 0: no limit
	ModelRate        float64       // requests a second of all callers per model and node; 0: no limit
	ModelTokenRate   float64       // tokens a second of all callers per model and node; 0: no limit
	ServiceRate      float64       // requests a second of all callers per service and node; 0: no limit
	ServiceTokenRate float64       // tokens a second of all callers per service and node; 0: no limit
	FairShare        float64       // weight of this branch when a queue is contended
	RetryBudget      float64       // retries per first attempt
	DrainTime        time.Duration // longest planned stop
	WeightLoadRate   float64       // root only: loads a second of the weight store
	WeightFullSpeed  int           // root only: loads at once at full speed
	MaxBodyBytes     int           // root only: of a caller's request
	OperatorsMayEdit bool          // false freezes a branch against edits

	// Defaults of the adapters below, which don't inherit MemoryBytes and
	// LoadTime from their base model.
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

// Edit changes one node of the tree. Exactly one of four forms holds: set Key
// to Value; Unset Key (inherit again); Remove the node with all below it; a Path
// alone creates the node with nothing overridden. Setting a key of a node that
// does not exist creates the node, too, with its ancestors.
type Edit struct {
	Path   Path   `json:"path" yaml:"path"`
	Key    string `json:"key,omitempty" yaml:"key,omitempty"`
	Value  string `json:"value,omitempty" yaml:"value,omitempty"`
	Unset  bool   `json:"unset,omitempty" yaml:"unset,omitempty"`
	Remove bool   `json:"remove,omitempty" yaml:"remove,omitempty"`
}

// Change is a set of edits that is accepted or refused as a whole.
type Change struct {
	ID       string    `json:"id"` // unique per intended change; a repeat applies once
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Base     Revision  `json:"base"`     // the revision that the author saw; 0: any
	Revision Revision  `json:"revision"` // given on acceptance
	Edits    []Edit    `json:"edits"`
}

// Origin tells where an effective setting comes from.
type Origin struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	From  Path   `json:"from"` // empty when it is the built-in default
}
