// Package operator is the HTTP API for operators: the settings tree, the state of the
// system, health checks and metrics. Of these only the tree can be changed; the API
// has no commands for nodes or servers.
package operator

import (
	"context"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/tree"
)

// Paths of the API.
const (
	PathTree      = "/v1/tree"
	PathEffective = "/v1/tree/effective"
	PathExplain   = "/v1/tree/explain"
	PathHistory   = "/v1/tree/history"
	PathDiff      = "/v1/tree/diff"
	PathEdits     = "/v1/tree/edits"
	PathStatus    = "/status"
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
	PathMetrics   = "/metrics"
)

// Trees reads and edits the settings tree. *tree.Editor implements it.
type Trees interface {
	Current() *tree.Tree
	Commit(ctx context.Context, change tree.Change) (tree.Revision, error)
	History(ctx context.Context, n int) ([]tree.Change, error)
	At(ctx context.Context, revision tree.Revision) (*tree.Tree, error)
}

// Authorizer checks operators' API keys. Implementations must not leak key bytes
// through their running time.
type Authorizer interface {
	// Authorize returns the name of the operator that owns the key.
	Authorize(key string) (operator string, ok bool)
}

// StatusSource provides the state of the system as this node knows it.
type StatusSource interface {
	Status() Status
	// Ready returns nil if the node is ready to serve callers, and otherwise the
	// reason why it is not.
	Ready() error
}

// Status is the state of the system as one node knows it.
type Status struct {
	Node         api.NodeID      `json:"node"`
	Region       string          `json:"region"`
	At           time.Time       `json:"at"`
	TreeRevision tree.Revision   `json:"tree_revision"`
	Nodes        []NodeStatus    `json:"nodes"`
	Cells        []CellStatus    `json:"cells"`
	Servers      []ServerStatus  `json:"servers"`
	Replicas     []ReplicaStatus `json:"replicas"`
	Queues       []QueueStatus   `json:"queues"`
}

// NodeStatus is one node as the answering node sees it.
type NodeStatus struct {
	ID           api.NodeID    `json:"id"`
	Incarnation  uint64        `json:"incarnation"`
	Address      string        `json:"address"` // IP:port of the listener for peers
	Zone         string        `json:"zone"`
	Region       string        `json:"region"`
	State        string        `json:"state"` // such as "alive" or "suspect"
	TreeRevision tree.Revision `json:"tree_revision"`
}

// CellStatus is the state of one cell.
type CellStatus struct {
	Name    api.CellName `json:"name"`
	Owner   api.NodeID   `json:"owner"`
	Term    uint64       `json:"term"`
	Version uint64       `json:"version"`
	Members []api.NodeID `json:"members"`
}

// ServerStatus is the state of one server.
type ServerStatus struct {
	ID            api.ServerID `json:"id"`
	Cell          api.CellName `json:"cell"`
	Zone          string       `json:"zone"`
	Address       string       `json:"address"` // IP:port of the engine
	CapacityBytes uint64       `json:"capacity_bytes"`
	ReservedBytes uint64       `json:"reserved_bytes"`
	Leaving       bool         `json:"leaving"`
	Reachable     bool         `json:"reachable"`
}

// ReplicaStatus is the state of one model or adapter on one server.
type ReplicaStatus struct {
	Model   api.ModelName `json:"model"`
	Base    api.ModelName `json:"base,omitempty"`
	Cell    api.CellName  `json:"cell"`
	Server  api.ServerID  `json:"server"`
	State   string        `json:"state"`
	ReadyBy *time.Time    `json:"ready_by,omitempty"` // estimated time, while loading
}

// QueueStatus counts the waiting and running requests for one model at the answering
// node.
type QueueStatus struct {
	Model    api.ModelName `json:"model"`
	Waiting  int           `json:"waiting"`
	InFlight int           `json:"in_flight"`
}

// EditRequest is a request to change the tree. The author of the change is the
// operator that owns the API key.
type EditRequest struct {
	ID    string        `json:"id"`   // unique per intended change; a repeated request with the same ID is applied once
	Base  tree.Revision `json:"base"` // revision that the edits are based on; 0 means any
	Edits []tree.Edit   `json:"edits"`
}

// EditAnswer is the answer to an accepted change.
type EditAnswer struct {
	Revision tree.Revision `json:"revision"`
}

// EffectiveAnswer contains the effective settings of a node of the tree.
type EffectiveAnswer struct {
	Path     tree.Path         `json:"path"`
	Revision tree.Revision     `json:"revision"`
	Settings map[string]string `json:"settings"` // values by key
}

// ExplainAnswer contains the origins of the effective settings of a node of the tree.
type ExplainAnswer struct {
	Path     tree.Path     `json:"path"`
	Revision tree.Revision `json:"revision"`
	Origins  []tree.Origin `json:"origins"`
}

// HistoryAnswer contains accepted changes, newest first.
type HistoryAnswer struct {
	Changes []tree.Change `json:"changes"`
}

// DiffAnswer contains the edits that lead from one revision to another.
type DiffAnswer struct {
	From  tree.Revision `json:"from"`
	To    tree.Revision `json:"to"`
	Edits []tree.Edit   `json:"edits"`
}

// ErrorCode classifies errors.
type ErrorCode string

// Error codes, with their HTTP status.
const (
	CodeBadRequest     ErrorCode = "bad_request"        // 400
	CodeUnauthorized   ErrorCode = "unauthorized"       // 401
	CodeNotFound       ErrorCode = "not_found"          // 404
	CodeConflict       ErrorCode = "conflict"           // 409
	CodeTooLarge       ErrorCode = "too_large"          // 413
	CodeInvalid        ErrorCode = "invalid"            // 422
	CodeInternal       ErrorCode = "internal"           // 500
	CodeUnavailable    ErrorCode = "table_service_down" // 503
	CodeOutcomeUnknown ErrorCode = "outcome_unknown"    // 503; the request may be repeated with the same ID
)

// ErrorAnswer is the body of every error response.
type ErrorAnswer struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code     ErrorCode           `json:"code"`
	Message  string              `json:"message"`
	Findings []findings.Finding  `json:"findings,omitempty"`
	Conflict *tree.ConflictError `json:"conflict,omitempty"`
}
