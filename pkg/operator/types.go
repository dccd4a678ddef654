// Package operator is the HTTP API for operators: the settings tree, the state
// of the system, health checks and metrics. It reads everything and writes only
// the tree; nothing in it commands a machine.
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

// Trees reads and edits the settings tree; *tree.Editor is one.
type Trees interface {
	Current() *tree.Tree
	Commit(ctx context.Context, change tree.Change) (tree.Revision, error)
	History(ctx context.Context, n int) ([]tree.Change, error)
	At(ctx context.Context, revision tree.Revision) (*tree.Tree, error)
}

// Authorizer checks operators' API keys. It compares in constant time.
type Authorizer interface {
	// Authorize returns the name of the operator whose key it is.
	Authorize(key string) (operator string, ok bool)
}

// StatusSource tells the state of the system as this node knows it.
type StatusSource interface {
	Status() Status
	// Ready returns why the node is not ready to serve callers, or nil.
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
	Address      string        `json:"address"` // IP:port for peers
	Zone         string        `json:"zone"`
	Region       string        `json:"region"`
	State        string        `json:"state"` // such as "alive" or "suspect"
	TreeRevision tree.Revision `json:"tree_revision"`
}

// CellStatus is one cell.
type CellStatus struct {
	Name    api.CellName `json:"name"`
	Owner   api.NodeID   `json:"owner"`
	Term    uint64       `json:"term"`
	Version uint64       `json:"version"`
	Members []api.NodeID `json:"members"`
}

// ServerStatus is one server.
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

// ReplicaStatus is one model or adapter on one server.
type ReplicaStatus struct {
	Model   api.ModelName `json:"model"`
	Base    api.ModelName `json:"base,omitempty"`
	Cell    api.CellName  `json:"cell"`
	Server  api.ServerID  `json:"server"`
	State   string        `json:"state"`
	ReadyBy *time.Time    `json:"ready_by,omitempty"` // estimate while loading
}

// QueueStatus is what waits and runs of one model at the answering node.
type QueueStatus struct {
	Model    api.ModelName `json:"model"`
	Waiting  int           `json:"waiting"`
	InFlight int           `json:"in_flight"`
}

// EditRequest asks to change the tree. The author is the operator of the key.
type EditRequest struct {
	ID    string        `json:"id"`   // unique per intended change; a repeat applies once
	Base  tree.Revision `json:"base"` // the revision that the operator saw; 0: any
	Edits []tree.Edit   `json:"edits"`
}

// EditAnswer tells that a change was accepted.
type EditAnswer struct {
	Revision tree.Revision `json:"revision"`
}

// EffectiveAnswer holds the effective settings of a node of the tree.
type EffectiveAnswer struct {
	Path     tree.Path         `json:"path"`
	Revision tree.Revision     `json:"revision"`
	Settings map[string]string `json:"settings"` // by key
}

// ExplainAnswer tells where the effective settings of a node come from.
type ExplainAnswer struct {
	Path     tree.Path     `json:"path"`
	Revision tree.Revision `json:"revision"`
	Origins  []tree.Origin `json:"origins"`
}

// HistoryAnswer holds accepted changes, the newest first.
type HistoryAnswer struct {
	Changes []tree.Change `json:"changes"`
}

// DiffAnswer holds the edits that lead from one revision to another.
type DiffAnswer struct {
	From  tree.Revision `json:"from"`
	To    tree.Revision `json:"to"`
	Edits []tree.Edit   `json:"edits"`
}

// ErrorCode classifies what went wrong.
type ErrorCode string

// The error codes, with their HTTP status.
const (
	CodeBadRequest     ErrorCode = "bad_request"        // 400
	CodeUnauthorized   ErrorCode = "unauthorized"       // 401
	CodeNotFound       ErrorCode = "not_found"          // 404
	CodeConflict       ErrorCode = "conflict"           // 409
	CodeTooLarge       ErrorCode = "too_large"          // 413
	CodeInvalid        ErrorCode = "invalid"            // 422
	CodeInternal       ErrorCode = "internal"           // 500
	CodeUnavailable    ErrorCode = "table_service_down" // 503
	CodeOutcomeUnknown ErrorCode = "outcome_unknown"    // 503; repeat under the same ID
)

// ErrorAnswer is the body of every answer that is no success.
type ErrorAnswer struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong.
type ErrorDetail struct {
	Code     ErrorCode           `json:"code"`
	Message  string              `json:"message"`
	Findings []findings.Finding  `json:"findings,omitempty"`
	Conflict *tree.ConflictError `json:"conflict,omitempty"`
}
