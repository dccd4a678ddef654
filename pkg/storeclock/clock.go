// Package storeclock computes an upper bound of the present time on the clock of the
// platform's store. The store puts timestamps into its answers. A node that knows the bound
// can bound the age of anything with such a timestamp, however long it was delayed in a
// queue, on a bad link or in the buffers of a frozen process.
package storeclock

import (
	"sync"
	"time"

	"martenwheel.dev/pkg/clock"
)

// drift is the largest relative rate by which the store's clock may run faster than this
// node's clock. Each clock may be off by up to 100 parts per million.
const drift = 200e-6

// resolution is the resolution of the store's timestamps.
const resolution = time.Millisecond

// Clock holds an upper bound of the store's clock. The zero value is ready to use and knows
// no bound. Clock is safe for concurrent use.
type Clock struct {
	Time clock.Clock // local clock; nil: the process's; must be set before the first use

	mu         sync.Mutex
	upperBound time.Duration // bound of the store's clock at observedAt
	observedAt time.Time     // local time to which upperBound applies
	known      bool
}

// Observe uses the store's timestamp from the answer to a request that was sent at a local
// time: at that time the store's clock showed no more than the timestamp.
func (c *Clock) Observe(sent time.Time, stamp time.Duration) {
	c.update(sent, stamp+resolution, stamp)
}

// ObserveLatest uses the Latest of another node from its answer to a request that was sent
// at a local time.
func (c *Clock) ObserveLatest(sent time.Time, latest time.Duration) { c.update(sent, latest, 0) }

// update uses the observation that the store's clock showed at most upperBound at a local
// time and shows at least lowerBound now.
func (c *Clock) update(at time.Time, upperBound, lowerBound time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Time.Now()
	// A clock ahead of the known bound was set forward, by a store that lost its time.
	if !c.known || lowerBound > c.latest(now) || project(upperBound, at, now) < c.latest(now) {
		c.upperBound, c.observedAt, c.known = upperBound, at, true
	}
}

// Latest returns the upper bound of the store's clock now, or zero and false if none is
// known.
func (c *Clock) Latest() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0, false
	}
	return c.latest(c.Time.Now()), true
}

// latest returns the upper bound at now. The caller holds mu.
func (c *Clock) latest(now time.Time) time.Duration { return project(c.upperBound, c.observedAt, now) }

// project returns the largest time that a clock can show now if it showed at most shown at a
// local time.
func project(shown time.Duration, at, now time.Time) time.Duration {
	elapsed := now.Sub(at)
	return shown + elapsed + time.Duration(drift*float64(elapsed))
}
