// Package platform defines the interfaces to the platform that martenwheel runs
// on: a transactional table service, an object store and a list of machines. The
// interfaces are small, so that each kind of service is a separate package.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that implementations return, possibly wrapped.
var (
	// ErrNotFound means that the record or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict means that a condition of a transaction did not hold.
	// Nothing was written.
	ErrConflict = errors.New("platform: condition failed")
	// ErrUnavailable means that the service was not reached or refused the
	// request. Nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknownOutcome means that the request was sent but not answered:
	// a write may or may not have taken effect. The caller must read the state
	// to find out.
	ErrUnknownOutcome = errors.New("platform: outcome unknown")
	// ErrThrottled means that the service's rate limit refused the request.
	// Nothing was written.
	ErrThrottled = errors.New("platform: throttled")
)

// Record is one entry of the table service.
type Record struct {
	Key     string
	Value   []byte
	Version uint64 // 1 for a new record, incremented by each write
}

// Condition requires that the record Key has Version. A Version of zero requires
// that the record does not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes the record Key. Each written key needs a condition: the
// new version of the record is the version in the condition plus one.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is a set of writes that is applied atomically if all conditions
// hold. Token identifies the intended change; the service applies a token at most
// once while it remembers it.
type Transaction struct {
	Token      string
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table service. A read without consistent may be
// served by a replica that lags behind. Implementations are safe for concurrent
// use.
type Table interface {
	Get(ctx context.Context, key string, consistent bool) (Record, error)
	// List returns the records whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Record, error)
	Commit(ctx context.Context, transaction Transaction) error
}

// Objects is the object store. Implementations are safe for concurrent use.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that begin with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// MachineState is the state of a machine as reported by the platform.
type MachineState string

// The states of a machine. A gone machine never returns with its memory intact.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
	MachineGone    MachineState = "gone"
)

// Machine is a server with accelerators, as listed by the platform.
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

// MachineList is the list of machines at the time AsOf. It lags behind the actual
// state.
type MachineList struct {
	Version  uint64    `json:"version"`
	AsOf     time.Time `json:"as_of"`
	Machines []Machine `json:"machines"`
}

// Machines is the platform's list of machines. Implementations are safe for
// concurrent use.
type Machines interface {
	List(ctx context.Context, region string) (MachineList, error)
}
