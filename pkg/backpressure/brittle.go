package backpressure

import (
	"sync"
	"sync/atomic"
	"time"
)

// Brittle is what a node knows of a service whose servers may say that they are brittle: one that rejects more
// than a few requests in a second falls over, which leaves more requests to the others. What a server rejects
// can't be bounded by what each node has at it, as none knows what the others have. So its places are lent to the
// requests of all nodes; where nobody lends them, nodes keep to a rate that the server can run. The zero value is
// not brittle. Safe for concurrent use.
type Brittle struct {
	active atomic.Bool // readable without mu: every selection of a server checks it

	mu        sync.Mutex
	bound     float64   // rejections that a server bears, per second
	saidAt    time.Time // when the last response said so
	runTime   float64   // of a request, seconds; zero: unknown
	factor    float64   // part of the rate that is used, at factorAt
	factorAt  time.Time
	reducedAt time.Time
}

const (
	// brittleUse is the part of what a server can run that is sent to it: requests that last longer than
	// others, and servers that are slow for a moment, must not leave the next ones without a place.
	brittleUse = 0.5
	// defaultRunTime is assumed before any request was run, in seconds.
	defaultRunTime = 1.0
	// Weights of one run in the mean time. Servers that become slower have less room at once.
	slowerRunWeight = 0.5
	fasterRunWeight = 0.1
	// rejectedFactor multiplies the rate after a rejection, at most once per reduceInterval: those that were on
	// their way are rejected as well.
	rejectedFactor = 0.5
	reduceInterval = 200 * time.Millisecond
	minFactor      = 0.05
	recoveryPerS   = 0.1 // of the factor
)

// Observe applies what a response said that came now to a request that was sent at the given time, zero if
// unknown: the bound of rejections per second, zero if it names none. It returns the change.
func (b *Brittle) Observe(sent, now time.Time, bound float64) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case bound > 0:
		changed := b.bound != bound
		if b.bound == 0 {
			b.factor, b.factorAt = 1, now
		}
		b.bound, b.saidAt = bound, now
		b.active.Store(true)
		if changed {
			return BrittleSet
		}
	case b.bound > 0 && sent.After(b.saidAt):
		b.bound = 0
		b.active.Store(false)
		return BrittleEnded
	}
	return 0
}

// Ran records how long a server took for a request.
func (b *Brittle) Ran(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runTime == 0 {
		b.runTime = d.Seconds()
		return
	}
	weight := fasterRunWeight
	if d.Seconds() > b.runTime {
		weight = slowerRunWeight
	}
	b.runTime += weight * (d.Seconds() - b.runTime)
}

// Rejected records that a server had no room for a request.
func (b *Brittle) Rejected(now time.Time) {
	if !b.active.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.reducedAt) < reduceInterval {
		return
	}
	b.factor, b.factorAt, b.reducedAt = max(b.currentFactor(now)*rejectedFactor, minFactor), now, now
}

func (b *Brittle) currentFactor(now time.Time) float64 {
	return min(b.factor+recoveryPerS*now.Sub(b.factorAt).Seconds(), 1)
}

// Limit returns the requests per second that all nodes together may send to a server with some slots, or false if
// the service is not brittle.
func (b *Brittle) Limit(now time.Time, slots int) (float64, bool) {
	if !b.active.Load() {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	runTime := b.runTime
	if runTime == 0 {
		runTime = defaultRunTime
	}
	return max(brittleUse*b.currentFactor(now)*float64(max(slots, 1))/runTime, MinLimit), true
}

// Places returns how many of a server's slots may be lent to requests, and how long a request takes; zero if the
// service is not brittle. Others may use the server as well, so that some slots are not lent, and fewer are after a
// rejection.
func (b *Brittle) Places(now time.Time, slots int) (int, time.Duration) {
	if !b.active.Load() {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	unlent := (slots + unlentShare - 1) / unlentShare
	return max(int(b.currentFactor(now)*float64(slots-unlent)), 1), time.Duration(b.runTime * float64(time.Second))
}

// unlentShare is the part of a server's slots that is not lent: one of so many, and one at least.
const unlentShare = 8

// Bound returns the rejections per second that a server bears; zero if the service is not brittle.
func (b *Brittle) Bound() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bound
}
