package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"martenwheel.dev/pkg/keeper"
)

// fakeClaims answers every claim with a fixed decision and records all calls.
type fakeClaims struct {
	decision keeper.Decision

	mutex     sync.Mutex
	claims    []keeper.Claim
	completed []keeper.Answer
	released  int
	notified  chan struct{} // receives an item for each completion or release
}

func newFakeClaims(decision keeper.Decision) *fakeClaims {
	return &fakeClaims{decision: decision, notified: make(chan struct{}, 1000)}
}

// newGrantingClaims returns a fakeClaims that grants every claim.
func newGrantingClaims() *fakeClaims {
	return newFakeClaims(keeper.Decision{Verdict: keeper.VerdictGranted, DispatchBefore: time.Now().Add(time.Hour)})
}

func (f *fakeClaims) Claim(_ context.Context, claim keeper.Claim) keeper.Decision {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.claims = append(f.claims, claim)
	return f.decision
}

func (f *fakeClaims) Complete(_ context.Context, _ keeper.Claim, answer keeper.Answer) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.completed = append(f.completed, answer)
	f.notified <- struct{}{}
}

func (f *fakeClaims) Release(context.Context, keeper.Claim) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.released++
	f.notified <- struct{}{}
}

// checkReleased checks whether the claim was released exactly once, and that it
// was not completed.
func checkReleased(t *testing.T, claims *fakeClaims, want bool) {
	t.Helper()
	if want {
		<-claims.notified
	}
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if got := claims.released == 1; got != want || len(claims.completed) != 0 {
		t.Errorf("claim released %t (%d times), want %t; completed %d times", got, claims.released, want, len(claims.completed))
	}
}
