package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"martenwheel.dev/pkg/keeper"
)

// fakeClaims gives a fixed decision and records what it is told.
type fakeClaims struct {
	decision keeper.Decision

	mutex     sync.Mutex
	claims    []keeper.Claim
	completed []keeper.Answer
	released  int
	told      chan struct{} // one item for each completion or release
}

func newFakeClaims(decision keeper.Decision) *fakeClaims {
	return &fakeClaims{decision: decision, told: make(chan struct{}, 1000)}
}

func granted() *fakeClaims {
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
	f.told <- struct{}{}
}

func (f *fakeClaims) Release(context.Context, keeper.Claim) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.released++
	f.told <- struct{}{}
}

// checkReleased checks that the one claim was released, or that it stands.
func checkReleased(t *testing.T, claims *fakeClaims, want bool) {
	t.Helper()
	if want {
		<-claims.told
	}
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if got := claims.released == 1; got != want || len(claims.completed) != 0 {
		t.Errorf("claim released %t (%d times), want %t; completed %d times", got, claims.released, want, len(claims.completed))
	}
}
