// Package clock is the clock for everything that expires: leases, permits, keys, quotas, server
// entries. The monotonic clock of time.Now stops while the machine is suspended, so that a node
// that resumes would consider expired data as fresh. The clock of this package includes the time
// of suspension.
//
// Use times of this package only to compute differences between them. Their time of day is off by
// the time of suspension, and so is a difference to a time from time.Now. Timers and the deadlines
// of contexts and connections use the monotonic clock: give them durations (Until). They fire late
// by the time of suspension, so code that must not act after a deadline checks the time itself.
package clock

import "time"

// Clock is a source of the current time. A nil Clock is the clock of this process; tests use
// others.
type Clock func() time.Time

// Now returns the current time.
func (c Clock) Now() time.Time {
	if c == nil {
		return Now()
	}
	return c()
}

// Since returns the time since t, which must be a time of this clock.
func (c Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t, which must be a time of this clock.
func (c Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Now returns the current time of this process: the monotonic clock plus the time of suspension.
func Now() time.Time { return processClock.now() }

// Since returns the time since t, which must be a time of this process's clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which must be a time of this process's clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Slept returns for how long the machine is known to have been suspended since the process
// started.
func Slept() time.Duration {
	processClock.now()
	return time.Duration(processClock.slept.Load())
}

// OnWake registers f to be called in its own goroutine each time a suspension of the machine is
// detected, with the length of the suspension. The returned function unregisters it.
func OnWake(f func(slept time.Duration)) (stop func()) { return processClock.onWake(f) }

// Err returns the error of the last attempt to read the time of suspension, nil if it succeeded.
func Err() error { return processClock.err() }

var processClock = newReader(time.Now, readSlept)
