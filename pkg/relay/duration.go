package relay

import (
	"sync"
	"time"
)

// maxDurations limits the kinds of requests whose durations are kept. A kind that gives way to another is unknown until its
// next answer.
const maxDurations = 4096

// durations holds how long servers take for requests other than streams, by kind of request. The zero value is ready to use.
// It is safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	byKind map[durationKey]spread
}

// durationKey names requests that are expected to take servers the same time.
type durationKey struct{ service, route, model string }

// durationKey returns the kind of the request.
func (c *call) durationKey() durationKey {
	return durationKey{c.service, c.route.Name, c.need.Model}
}

// record adds the duration of a request.
func (d *durations) record(key durationKey, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byKind == nil {
		d.byKind = make(map[durationKey]spread)
	}
	known, there := d.byKind[key]
	if !there && len(d.byKind) >= maxDurations {
		d.dropOne()
	}
	d.byKind[key] = known.with(took)
}

// dropOne makes room for another kind of requests. The caller holds mu.
func (d *durations) dropOne() {
	for key := range d.byKind {
		delete(d.byKind, key)
		return
	}
}

// expectation returns how long the next request of a kind is expected to take.
func (d *durations) expectation(key durationKey) expectation {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, there := d.byKind[key]
	return expectation{known.bound(), there}
}

// spread is the moving mean of durations and of their deviations from it, as TCP estimates round-trip times (RFC 6298).
type spread struct {
	mean, deviation time.Duration
	known           bool
}

// Weights of the newest duration, and the deviations within which nearly all durations are.
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviations      = 4
)

// with returns the spread with one more duration.
func (s spread) with(d time.Duration) spread {
	if !s.known {
		return spread{mean: d, deviation: d / 2, known: true}
	}
	off := d - s.mean
	s.deviation += time.Duration(deviationWeight * float64(off.Abs()-s.deviation))
	s.mean += time.Duration(meanWeight * float64(off))
	return s
}

// bound returns a duration that is rarely exceeded.
func (s spread) bound() time.Duration {
	return max(s.mean+deviations*s.deviation, time.Duration(expectedMargin*float64(s.mean)))
}
