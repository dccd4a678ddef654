// Package platform defines what martenwheel needs of the platform it runs on:
// a transactional table service, an object store and a list of machines. Each
// is a narrow interface, so that another kind is one more package.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that implementations return, possibly wrapped.
var (
	// ErrNotFound means that there is no such record or object.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict means that a condition of a transaction did not hold.
	// Nothing was written.
	ErrConflict = errors.New("platform: condition failed")
	// ErrUnavailable means that the service was not reached or refused the
	// request. Nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknownOutcome means that the request was sent but not answered:
	// a write may or may not have taken effect. The caller reads back.
	ErrUnknownOutcome = errors.New("platform: outcome unknown")
	// ErrThrottled means that the service's rate limit refused the request.
	// Nothing was written.
	ErrThrottled = errors.New("platform: throttled")
)

// Record is one entry of the table service.
type Record struct {
	Key     string
	Value   []byte
	Version uint64 // 1 for a new record, one more with each write
}

// Condition asks that the record Key has Version; zero means no record.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes the record Key. The version of a set record becomes
// the version in the transaction's condition on that key plus one, so each
// written key needs a condition.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is applied whole or not at all. Token is unique per intended
// change; the service applies a token at most once while it remembers it.
type Transaction struct {
	Token      string
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table service. Reads may be served by a replica
// that lags behind unless consistent is set. Safe for concurrent use.
type Table interface {
	Get(ctx context.Context, key string, consistent bool) (Record, error)
	// List returns the records whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Record, error)
	Commit(ctx context.Context, transaction Transaction) error
}

// Objects is the object store. Safe for concurrent use.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that begin with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// MachineState is the platform's word about a machine.
type MachineState string

// The states of a machine. A gone machine never comes back with its memory.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
	MachineGone    MachineState = "gone"
)

// Machine is one server with accelerators, as the platform lists it.
type Machine struct {
	ID          string       `json:"id"`
	Address     string       `json:"address"` // IP:port of the engine
	Service     string       `json:"service"`
	Zone        string       `json:"zone"`
	Region      string       `json:"region"`
	State       MachineState `json:"state"`
	Accelerator string       `json:"accelerator"`
	MemoryBytes uint64       `json:"memory_bytes"`
	Instance    string       `json:"instance"` // changes when the machine is replaced
}

// MachineList is a list with its age. It lags behind the truth.
type MachineList struct {
	Version  uint64    `json:"version"`
	AsOf     time.Time `json:"as_of"`
	Machines []Machine `json:"machines"`
}

// Machines is the platform's list of machines. Safe for concurrent use.
type Machines interface {
	List(ctx context.Context, region string) (MachineList, error)
}
