// Package traffic assigns the requests that arrive at a node to replicas: rate
// limits, queueing, routing and retries. It only decides; package gateway
// transfers the data.
//
// The files follow the path of a request: dispatcher.go checks rate limits and
// finds the pool of the base model; pool.go queues, serves and refuses requests
// under the pool's lock; place.go chooses a replica with the filters and scorers
// of package routing; forecast.go estimates whether the deadline can be met;
// grant.go ends or retries an attempt; run.go rechecks the queues periodically
// and reports demand.
package traffic

import (
	"context"
	"fmt"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// Request holds the properties of a caller's request that the decisions need.
// Its strings must be copies, not slices of a buffer of the HTTP server.
type Request struct {
	ID           string
	Caller       string // from the API key, never the key itself
	Model        api.ModelName
	Priority     int
	Arrived      time.Time
	Deadline     time.Time // for the first token
	PromptTokens int       // estimate
	MaxTokens    int       // maximum number of tokens to generate
	Prefixes     []uint64  // hashes of the prompt's leading blocks, shortest first
	Unsafe       bool      // not safe to run twice
}

// Target is the replica that a request is assigned to.
type Target struct {
	Server  api.ServerID
	Address string // IP:port of the engine
	Zone    string
}

// Outcome describes how an attempt on a target ended.
type Outcome struct {
	Kind         OutcomeKind
	FirstToken   time.Duration // time to the first token; zero if there was none
	Tokens       int
	CachedTokens int  // cached tokens of the prompt, as reported by the engine
	Leaving      bool // whether the engine reported that it takes no new work
}

// OutcomeKind classifies the end of an attempt.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	OutcomeServed    OutcomeKind = iota + 1
	OutcomeNotRun                // the request certainly did not reach the engine, or the engine refused it
	OutcomeUnknown               // sent, but no complete answer came
	OutcomeCancelled             // the caller left
)

// Grant is a slot on a replica for one attempt. Done must be called exactly once.
type Grant interface {
	Target() Target
	// Done ends the attempt and releases the slot.
	Done(Outcome)
	// Retry ends the attempt with outcome and acquires a slot on another
	// replica. It returns a *Refusal if the request must not be repeated
	// (unsafe, and it may have run), the retry budget is spent or the deadline
	// is too near.
	Retry(ctx context.Context, outcome Outcome) (Grant, error)
}

// Movable is a Grant whose running stream can continue on another replica.
type Movable interface {
	Grant
	// Leaving reports whether the replica's server takes no new work.
	Leaving() bool
	// Move acquires a slot on another ready replica of the same model for the
	// rest of the running request. It never waits: it returns a *Refusal if no
	// replica has a free slot now. The Grant itself keeps its slot until its own
	// Done.
	Move() (Movable, error)
}

// Dispatcher assigns requests to replicas. It is safe for concurrent use.
type Dispatcher interface {
	// Acquire waits until the request has a slot on a replica. It returns a
	// *Refusal as soon as it is known that the request can't be served by its
	// deadline, and when ctx ends (the caller left or the node stops).
	Acquire(ctx context.Context, request Request) (Grant, error)
}

// RefusalReason classifies refusals.
type RefusalReason string

// The reasons for a refusal, as given in the error's code field.
const (
	ReasonUnknownModel   RefusalReason = "model_not_found"
	ReasonRateLimited    RefusalReason = "rate_limited"
	ReasonQueueFull      RefusalReason = "queue_full"
	ReasonDeadline       RefusalReason = "deadline_unreachable"
	ReasonLoadFailed     RefusalReason = "load_failed"
	ReasonNoCapacity     RefusalReason = "no_capacity"
	ReasonStopping       RefusalReason = "stopping"
	ReasonCallerLeft     RefusalReason = "caller_left"
	ReasonEngineFailed   RefusalReason = "engine_failed"
	ReasonOutcomeUnknown RefusalReason = "outcome_unknown"
	ReasonKeyInUse       RefusalReason = "idempotency_key_in_use"
	ReasonKeyMismatch    RefusalReason = "idempotency_key_mismatch"
	ReasonUnavailable    RefusalReason = "unavailable"
	ReasonQuarantined    RefusalReason = "quarantined" // servers crashed while they ran the request
)

// Refusal is the final answer to a request that is not served.
type Refusal struct {
	Reason     RefusalReason
	Message    string
	NotRun     bool          // true only if no engine ran any part of the request
	RetryAfter time.Duration // when to try again; zero: unknown
}

// Error describes the refusal for logs.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s, not run: %t): %s", r.Reason, r.NotRun, r.Message)
}

// Directory is the routers' immutable view of the cells of their region.
type Directory struct {
	Cells    map[api.CellName]api.CellView
	Replicas map[api.ModelName][]api.Replica // ready and loading replicas
	Servers  map[api.ServerID]api.ServerView
}

// Control is the interface of the control plane that a Router uses. It is safe for
// concurrent use, and no method blocks on the network.
type Control interface {
	// Tree returns the newest settings in force and their revision.
	Tree() (*tree.Tree, tree.Revision)
	// Directory returns the newest view of the cells.
	Directory() *Directory
	// Changed returns a channel that is closed at the next change of the tree
	// or the directory.
	Changed() <-chan struct{}
	// Report adds to the demand that is sent to the owner of the model's cell.
	// The first waiting request for a model without a replica is sent at once.
	Report(demand api.ModelDemand)
	// Estimate returns the owner's latest answer about a model that is not
	// ready; false if there is none yet.
	Estimate(model api.ModelName) (api.LoadEstimate, bool)
}
