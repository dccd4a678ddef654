package relay

import (
	"time"

	"martenwheel.dev/pkg/route"
)

// stopPlan tells which requests a stopping relay still accepts.
type stopPlan struct {
	streamsUntil time.Time // new streams are refused afterwards
	unknownUntil time.Time // other requests of unknown duration are refused afterwards
	until        time.Time // nothing is sent to servers afterwards
}

// stopUnknownShare is the part of the stop period in which new streams, and requests of unknown duration, are accepted.
const stopUnknownShare = 0.3

// minUnknownTime is the least time for which requests of unknown duration other than streams are accepted: until most callers
// have learnt of the stop.
const minUnknownTime = 2400 * time.Millisecond

// finalAnswerTime is reserved at the end of the stop period for answers in progress.
const finalAnswerTime = 1200 * time.Millisecond

// newStopPlan returns the plan of a stop that begins now and ends after grace.
func newStopPlan(now time.Time, grace time.Duration) *stopPlan {
	early := time.Duration(stopUnknownShare * float64(grace))
	return &stopPlan{
		streamsUntil: now.Add(early),
		unknownUntil: now.Add(max(early, minUnknownTime)),
		until:        now.Add(grace - finalAnswerTime),
	}
}

// expectation is how long a server is expected to take for a request, with a margin.
type expectation struct {
	duration time.Duration
	known    bool
}

// fits reports whether a request that is sent at a time is expected to end before the stop, or before its own deadline.
func (p *stopPlan) fits(kind route.Kind, at, deadline time.Time, e expectation) bool {
	switch {
	case !deadline.After(p.until):
		return true
	case e.known || at.After(p.until):
		return !at.Add(e.duration).After(p.until)
	case kind == route.Stream:
		return !at.After(p.streamsUntil)
	}
	return !at.After(p.unknownUntil)
}

// Stop begins a planned stop that ends after grace. Each connection closes with the next answer that begins,
// and requests that can't be completed in time are refused.
func (r *Relay) Stop(grace time.Duration) {
	r.stop.Store(newStopPlan(r.Time.Now(), grace))
}

// stopped reports whether a planned stop forbids sending a request.
func (r *Relay) stopped(kind route.Kind, isNew bool) bool {
	plan := r.stop.Load()
	if plan == nil {
		return false
	}
	now := r.Time.Now()
	return now.After(plan.until) || isNew && kind == route.Stream && now.After(plan.streamsUntil)
}

// stopTooNear reports whether a planned stop would cut off the request if it were sent after some time. A stream goes on
// once a server may have run it: what is left of it is not known.
func (c *call) stopTooNear(after time.Duration) bool {
	plan := c.relay.stop.Load()
	if plan == nil || c.headSent || c.resumption.from != "" || c.route.Kind == route.Stream && !c.unrun {
		return false
	}
	return !plan.fits(c.route.Kind, c.relay.Time.Now().Add(after), c.deadline, c.expectation())
}

// describeStop returns the log fields of a request that a planned stop left no time for: how long it was expected to take, if
// known, and the time for which requests were still sent.
func (c *call) describeStop() []any {
	plan := c.relay.stop.Load()
	if plan == nil || c.route == nil || c.record.err == nil || c.record.err.Error() != reasonStopping {
		return nil
	}
	fields := []any{"stop_left_ms", c.relay.Time.Until(plan.until).Milliseconds()}
	if e := c.expectation(); e.known {
		fields = append(fields, "work_ms", e.duration.Milliseconds())
	}
	return fields
}

// expectation returns how long a server is expected to take for the whole request.
func (c *call) expectation() expectation {
	if c.route.Kind == route.Stream {
		return c.expectedStream()
	}
	return c.relay.durations.expectation(c.durationKey())
}

// expectedMargin is the safety factor of expected durations: callers' estimates are right only in the median, and servers
// differ in speed.
const expectedMargin = 1.5

// expectedStream is expectation for a stream.
func (c *call) expectedStream() expectation {
	tokens := c.prompt.ExpectedOutput()
	perEvent := c.relay.Servers.TimePerEvent(c.service, c.need.Model)
	if c.engine == nil || tokens <= 0 || perEvent <= 0 {
		return expectation{}
	}
	events := float64(tokens) / float64(max(c.engine.EventTokens, 1))
	return expectation{c.route.Target + time.Duration(expectedMargin*events*float64(perEvent)), true}
}
