// Package keeper makes a request that is unsafe to repeat run at most once:
// the keepers of a cell, three nodes in different zones, remember the keys of
// such requests, and a node sends a request on only when a majority of them
// has granted its claim.
//
// A Client claims for the gateway: attempt.go decides, without network or clock,
// whom to ask and what the answers mean, and client.go makes the calls. A Keeper
// answers for a node: store.go is the state machine of one cell, records.go what
// it remembers, copy.go how a new member gets that from the others, and
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
	Value  string // of the caller's idempotency key header
}

// Claim asks for the right to run a request once.
type Claim struct {
	Key       Key
	Digest    [32]byte // of the request's body
	Attempt   string   // unique per claim
	Retention time.Duration
}

// Verdict is the result of a claim.
type Verdict uint8

// The verdicts on a claim.
const (
	VerdictGranted  Verdict = iota + 1 // run it now, once
	VerdictAnswered                    // ran before; Answer holds the kept answer
	VerdictInDoubt                     // claimed before; whether it ran is not known here
	VerdictRunning                     // claimed by an attempt that is still under way
	VerdictMismatch                    // the key was used with another body
	VerdictNoQuorum                    // too few keepers answered: not run, try again
)

// Answer is a kept answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte // at most MaxKeptAnswer bytes; nil if larger
}

// Decision is a verdict with its details.
type Decision struct {
	Verdict    Verdict
	Answer     *Answer
	RetryAfter time.Duration

	// DispatchBefore ends a grant: the request is sent on before, or released
	// and refused as not run. It is zero without a grant.
	DispatchBefore time.Time
}

// StillValid tells whether a granted request may be sent on. It is called last
// before the first byte: a node that was frozen since its claim may wake when
// the keepers have forgotten it.
func (d Decision) StillValid(now time.Time) bool {
	return d.Verdict == VerdictGranted && now.Before(d.DispatchBefore)
}

// Claims is the router's side. Safe for concurrent use.
type Claims interface {
	// Claim returns within the context's deadline. A claim whose context
	// ends first counts as not granted.
	Claim(ctx context.Context, claim Claim) Decision
	// Complete records the answer of a granted claim.
	Complete(ctx context.Context, claim Claim, answer Answer)
	// Release gives a granted claim back. Only for a request that surely did
	// not run.
	Release(ctx context.Context, claim Claim)
}
