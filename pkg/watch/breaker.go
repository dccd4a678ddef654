package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"martenwheel.dev/pkg/clock"
)

// breaker keeps the tables of a node from all asking a failing store at once: after a failure, one of them
// asks after a pause, and once it gets an answer all continue. It is safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int           // in a row; zero: closed
	failedAt time.Time     // end of the last failed call
	jitter   float64       // of the pause after it, as a factor
	probing  bool          // a call that finds out whether the store answers again is in progress
	changed  chan struct{} // closed when any of this changes
}

// maxDoublings limits how often retryPause is doubled: to a pause of some four seconds.
const maxDoublings = 5

// enter waits until the caller may ask the store. It reports whether the call is a probe, which finds out
// whether the store answers again. Unless it returns an error, leave or skip must follow. The limits of the pause may
// change while it waits, see wake.
func (b *breaker) enter(ctx context.Context, limits func() pauseLimits) (probe bool, err error) {
	for {
		wait, changed := b.try(clock.Now(), limits())
		if wait <= 0 {
			return changed == nil, ctx.Err()
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
	}
}

// maxProbeWait is the longest wait for another table's probe before the state is checked again.
const maxProbeWait = time.Minute

// try returns how long to wait before the store may be asked; the wait also ends when the channel is closed.
// Zero means now, and without a channel the call is a probe.
func (b *breaker) try(now time.Time, p pauseLimits) (time.Duration, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	switch {
	case b.failures == 0:
		return 0, b.changed
	case b.probing:
		return maxProbeWait, b.changed
	case now.Sub(b.failedAt) < b.pause(p):
		return b.pause(p) - now.Sub(b.failedAt), b.changed
	}
	b.probing = true
	return 0, nil
}

// skip ends a call that was allowed by enter and was not made.
func (b *breaker) skip() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	b.notify()
}

// pauseLimits bounds the pause after a failed call. The actual pause is random, up to pauseJitter shorter or longer.
type pauseLimits struct {
	min, max time.Duration
}

// pauseJitter spreads the calls of nodes that notice at the same moment that the store fails.
const pauseJitter = 0.25

// leave records how a call ended.
func (b *breaker) leave(failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.notify()
	b.probing = false
	if !failed {
		b.failures = 0
		return
	}
	b.failures++
	b.failedAt, b.jitter = clock.Now(), 1+pauseJitter*(2*rand.Float64()-1)
}

// pause returns the pause after the last failed call. The caller holds mu.
func (b *breaker) pause(p pauseLimits) time.Duration {
	pause := max(min(retryPause<<min(b.failures, maxDoublings), p.max), p.min)
	return time.Duration(b.jitter * float64(pause))
}

// pauseLeft returns the rest of the pause after a failed call, and the number of failures in a row.
func (b *breaker) pauseLeft(now time.Time, p pauseLimits) (left time.Duration, failures int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return 0, 0
	}
	return max(b.pause(p)-now.Sub(b.failedAt), 0), b.failures
}

// wake makes the waiting callers look at the limits of their pauses again.
func (b *breaker) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed != nil {
		b.notify()
	}
}

// notify wakes the waiting callers. The caller holds mu.
func (b *breaker) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}
