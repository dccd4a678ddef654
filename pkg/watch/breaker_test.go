package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestBreaker: of several callers before a store that fails one asks now and then, and
// all go on once it is answered.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, away, took = 3, 10 * time.Second, 100 * time.Millisecond
		var b breaker
		var calls, served, probes atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		back := time.Now().Add(away)
		for range callers {
			go func() {
				for {
					probe, err := b.enter(ctx)
					if err != nil {
						return
					}
					if probe {
						probes.Add(1)
					}
					time.Sleep(took)
					failed := time.Now().Before(back)
					b.leave(failed, pauses{most: retryMost})
					if failed {
						calls.Add(1)
					} else {
						served.Add(1)
						<-ctx.Done()
						return
					}
				}
			}()
		}
		time.Sleep(away)
		// All fail once; then one asks after pauses of half of retryMost at least.
		if n := calls.Load(); n < 5 || n > callers+int64(away/(retryMost/2+took)) {
			t.Errorf("%d calls by %d callers in %v", n, callers, away)
		}
		if probes.Load() == 0 {
			t.Error("nobody was told to find out")
		}
		time.Sleep(3*retryMost/2 + 2*took)
		if n := served.Load(); n != callers {
			t.Errorf("%d of %d callers were served after the store came back", n, callers)
		}
		cancel()
		synctest.Wait()
	})
}

// TestBreakerPassesTheTurnOn: who may ask and has no need to any more does not hold up
// the others.
func TestBreakerPassesTheTurnOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b breaker
		if probe, err := b.enter(t.Context()); probe || err != nil {
			t.Fatalf("the first call: %v, %v", probe, err)
		}
		b.leave(true, pauses{most: retryMost})
		if probe, err := b.enter(t.Context()); !probe || err != nil {
			t.Fatalf("the call after a failure: %v, %v", probe, err)
		}
		b.skip()
		began := time.Now()
		if probe, err := b.enter(t.Context()); !probe || err != nil || time.Since(began) > 0 {
			t.Errorf("the next one: %v, %v after %v", probe, err, time.Since(began))
		}
	})
}
