// Package keeper makes a request that is unsafe to repeat run at most once.
// The keepers of a cell, three nodes in different zones, replicate the keys of
// such requests. A node forwards a request only when a majority of the keepers
// has granted its claim.
//
// Client claims keys on behalf of the gateway: attempt.go holds the protocol as
// a pure state machine, without network or clock, and client.go makes the calls.
// Keeper answers claims on a node: store.go is the state machine of one cell,
// records.go holds its records, copy.go transfers them to a new member, and
// keeper.go runs the stores of all cells.
package keeper

import (
	"context"
	"time"

	"martenwheel.dev/pkg/api"
)

// Key identifies a request that is unsafe to repeat.
type Key struct {
	Cell   api.CellName
	Caller string
	Value  string // value of the caller's idempotency key header
}

// Claim asks for the right to run a request once.
type Claim struct {
	Key       Key
	Digest    [32]byte      // digest of the request body
	Attempt   string        // unique per claim
	Retention time.Duration // how long the key must not run again
}

// Verdict is the overall result of a claim at all keepers.
type Verdict uint8

// Verdicts on a claim.
const (
	VerdictGranted  Verdict = iota + 1 // the request may run now, once
	VerdictAnswered                    // the request ran before; Answer holds the stored answer
	VerdictInDoubt                     // the key was claimed before; unknown whether the request ran
	VerdictRunning                     // the key is claimed by an attempt that is still in progress
	VerdictMismatch                    // the key was used with a different body
	VerdictNoQuorum                    // too few keepers answered; the request was not run and may be retried
)

// Answer is the stored response of a request that ran.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte // nil if larger than MaxKeptAnswer bytes or if the keeper had no capacity for it
}

// Decision is a verdict with its details.
type Decision struct {
	Verdict    Verdict
	Answer     *Answer
	RetryAfter time.Duration

	// DispatchBefore is when a grant ends: the request must be forwarded
	// before it, or else released and refused as not run. It is zero unless
	// the claim was granted.
	DispatchBefore time.Time
}

// StillValid reports whether a granted request may still be forwarded. It must
// be called right before the first byte is sent: a node that was frozen after
// its claim may wake up when the keepers have already forgotten the claim.
func (d Decision) StillValid(now time.Time) bool {
	return d.Verdict == VerdictGranted && now.Before(d.DispatchBefore)
}

// Claims is the router's interface to the keepers. It is safe for concurrent
// use.
type Claims interface {
	// Claim asks the keepers for the right to run a request. It returns
	// within the context's deadline; a claim whose context ends first is not
	// granted.
	Claim(ctx context.Context, claim Claim) Decision
	// Complete records the answer of a granted claim.
	Complete(ctx context.Context, claim Claim, answer Answer)
	// Release gives a granted claim back. It must only be called if the
	// request certainly did not run.
	Release(ctx context.Context, claim Claim)
}
