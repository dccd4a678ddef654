package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// refreshInterval is how long, on the monotonic clock, the time of suspension is used before it
	// is read from the system again. Reading it takes 0.3 microseconds for two system calls.
	refreshInterval = 20 * time.Millisecond
	// driftTolerance is how far the time of day may drift from the monotonic clock between two
	// readings. A larger drift is a step of the time of day or a suspension and causes a reading at
	// once. Clock adjustments are below 500 parts per million, 10 microseconds per refreshInterval.
	driftTolerance = time.Millisecond
)

// reader is a clock that adds the time of suspension to the monotonic clock. It is safe for
// concurrent use.
//
// A node must notice a suspension before it does anything else. The time of day advances during a
// suspension and is read together with the monotonic clock, so a difference between the two shows
// it at once. The system's own count takes system calls. It is read to confirm a difference, and
// at intervals in case the time of day was set back during the suspension.
type reader struct {
	monotonic func() time.Time              // monotonic clock and time of day
	count     func() (time.Duration, error) // time of suspension since a fixed moment

	start time.Time    // when the reader was created
	slept atomic.Int64 // nanoseconds of suspension since start
	last  atomic.Pointer[reading]

	mu              sync.Mutex     // guards the fields below, and writes to slept and last
	firstCount      *time.Duration // first count read; nil: none yet
	wakeCallbacks   map[int]func(time.Duration)
	lastCallbackKey int   // key of the callback that was added last
	failure         error // error of the last refresh
}

// reading records when the time of suspension was last read.
type reading struct {
	elapsed     time.Duration // time since the start on the monotonic clock
	wallElapsed time.Duration // time since the start by the time of day
}

func newReader(monotonic func() time.Time, count func() (time.Duration, error)) *reader {
	r := &reader{monotonic: monotonic, count: count, start: monotonic()}
	r.refresh(0, 0)
	return r
}

// now returns the monotonic clock's time plus the time of suspension.
func (r *reader) now() time.Time {
	t := r.monotonic()
	elapsed := t.Sub(r.start)
	wallElapsed := time.Duration(t.UnixNano() - r.start.UnixNano())
	last := r.last.Load()
	if drift := wallElapsed - elapsed - (last.wallElapsed - last.elapsed); drift > driftTolerance || drift < -driftTolerance || elapsed-last.elapsed > refreshInterval {
		r.refresh(elapsed, wallElapsed)
	}
	return t.Add(time.Duration(r.slept.Load()))
}

// refresh reads the time of suspension. The known time never decreases: a count that goes back or
// can't be read has no effect on it.
func (r *reader) refresh(elapsed, wallElapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var count time.Duration
	count, r.failure = r.count()
	if r.failure == nil && (count < 0 || count > maxSlept) {
		r.failure = errBadCount
	}
	switch {
	case r.failure != nil:
	case r.firstCount == nil:
		r.firstCount = &count
	default:
		r.recordSlept(count - *r.firstCount)
	}
	r.last.Store(&reading{elapsed: elapsed, wallElapsed: wallElapsed})
}

// maxSlept bounds the time of suspension. A larger count is an error.
const maxSlept = 10 * 365 * 24 * time.Hour

// errBadCount means that the system reported an impossible time of suspension.
var errBadCount = errors.New("clock: the reported time of suspension is negative or implausibly long")

// minSuspension is the shortest time that counts as a suspension. The two clocks behind a count are
// read some hundred nanoseconds apart, and that gap varies. Without this threshold the time of
// suspension would change with each reading. Code that compares it with an earlier value, as the
// pools of connections do, would then detect a suspension each time.
const minSuspension = 10 * time.Millisecond

// recordSlept records the time of suspension since the start and calls the callbacks if it grew.
// The caller holds mu.
func (r *reader) recordSlept(total time.Duration) {
	before := time.Duration(r.slept.Load())
	if total-before < minSuspension {
		return
	}
	r.slept.Store(int64(total))
	for _, f := range r.wakeCallbacks {
		go f(total - before)
	}
}

// onWake implements OnWake.
func (r *reader) onWake(f func(time.Duration)) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wakeCallbacks == nil {
		r.wakeCallbacks = make(map[int]func(time.Duration))
	}
	r.lastCallbackKey++
	key := r.lastCallbackKey
	r.wakeCallbacks[key] = f
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.wakeCallbacks, key)
	}
}

// err returns the error of the last refresh.
func (r *reader) err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure
}
