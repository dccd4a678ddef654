package relay

import (
	"time"

	"martenwheel.dev/pkg/route"
)

// waitEstimate is what is known about a request that no server may get now.
type waitEstimate struct {
	waited   time.Duration // since the request arrived
	patience time.Duration // time from arrival until the caller leaves without a first byte
	readyIn  time.Duration // expected time until a server can serve it; zero: unknown
	started  bool          // part of the answer was sent
}

// holdDecision tells whether to hold or refuse such a request.
type holdDecision struct {
	hold  bool
	after time.Duration // retry time if refused
}

// decide decides by the benefit to the caller, who measures time from its first attempt, so that a
// refusal never improves an answer. A request that can be served before its caller leaves is held,
// even if it will be late. Otherwise it is refused at once with the time when it could be served,
// so that the caller neither waits in vain nor returns too soon. An answer that has begun is not
// given up: the caller would have to start over.
func (p waitEstimate) decide() holdDecision {
	readyIn := p.readyIn
	if readyIn <= 0 {
		readyIn = unknownReady
	}
	if p.started || p.waited+readyIn+readyMargin <= p.patience {
		return holdDecision{hold: true}
	}
	return holdDecision{after: readyIn + readyMargin}
}

// unknownReady is the assumed load time when nothing is known: about the time for another node to
// take over as coordinator and have the model loaded.
const unknownReady = 4 * time.Second

// takeoverTime is how long after its loss another coordinator has answered, if there is one: the lease expires after 2.5 s,
// nodes look for it each 0.4 s, and a call to the lost one may last 0.7 s.
const takeoverTime = 3600 * time.Millisecond

// readyUnanswered returns the assumed time until the model is ready while no coordinator answers and none told: part of
// unknownReady has passed, and none of the load.
func (c *call) readyUnanswered(silence time.Duration) time.Duration {
	if silence >= takeoverTime {
		return unknownReady
	}
	load := time.Duration(0)
	if c.engine != nil && c.need.Adapter == "" && c.engine.Models[c.need.Model] != nil {
		load = c.engine.Models[c.need.Model].LoadTime
	}
	return max(unknownReady-silence, min(load, unknownReady))
}

// readyMargin is how much later than expected models are usually ready: the end of a load is
// noticed by a record and a poll, each about 100 ms old.
const readyMargin = 300 * time.Millisecond

// patience is how long the caller waits for the first byte of an answer. Callers of streams leave
// before their deadline: after two seconds, four times the target or eight times the longest pause
// between events, whichever is longest.
func (c *call) patience() time.Duration {
	whole := c.deadline.Sub(c.arrived)
	if c.route.Kind != route.Stream {
		return whole
	}
	return min(whole, max(minPatience, 4*c.route.Target, 8*c.route.GapTarget))
}

// minPatience is the minimum time that a caller of a stream waits for an event, as documented for
// users.
const minPatience = 2 * time.Second

// estimateWait returns what is known about the request if a server is expected after readyIn.
func (c *call) estimateWait(readyIn time.Duration) waitEstimate {
	return waitEstimate{waited: c.relay.Time.Since(c.arrived), patience: c.patience(), readyIn: readyIn, started: c.headSent}
}
