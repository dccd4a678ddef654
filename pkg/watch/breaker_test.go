package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestBreaker checks that of several callers of a failing store only one asks now and then, and that all
// continue once it gets an answer.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, outage, took = 3, 10 * time.Second, 100 * time.Millisecond
		var b breaker
		limits := func() pauseLimits { return pauseLimits{max: maxRetryPause} }
		var calls, served, probes atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		back := time.Now().Add(outage)
		for range callers {
			go func() {
				for {
					probe, err := b.enter(ctx, limits)
					if err != nil {
						return
					}
					if probe {
						probes.Add(1)
					}
					time.Sleep(took)
					failed := time.Now().Before(back)
					b.leave(failed)
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
		time.Sleep(outage)
		// All callers fail once; then one asks after pauses of at least half of maxRetryPause.
		if n := calls.Load(); n < 5 || n > callers+int64(outage/(maxRetryPause/2+took)) {
			t.Errorf("%d calls by %d callers in %v", n, callers, outage)
		}
		if probes.Load() == 0 {
			t.Error("no call was a probe")
		}
		time.Sleep(3*maxRetryPause/2 + 2*took)
		if n := served.Load(); n != callers {
			t.Errorf("%d of %d callers were served after the store answered again", n, callers)
		}
		cancel()
		synctest.Wait()
	})
}

// TestBreakerSkipLetsTheNextCallerProbe checks that a caller that may probe but has no need to any more does
// not block the others.
func TestBreakerSkipLetsTheNextCallerProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b breaker
		limits := func() pauseLimits { return pauseLimits{max: maxRetryPause} }
		if probe, err := b.enter(t.Context(), limits); probe || err != nil {
			t.Fatalf("first call: probe %v, error %v", probe, err)
		}
		b.leave(true)
		if probe, err := b.enter(t.Context(), limits); !probe || err != nil {
			t.Fatalf("call after a failure: probe %v, error %v", probe, err)
		}
		b.skip()
		began := time.Now()
		if probe, err := b.enter(t.Context(), limits); !probe || err != nil || time.Since(began) > 0 {
			t.Errorf("call after a skipped probe: probe %v, error %v after %v", probe, err, time.Since(began))
		}
	})
}
