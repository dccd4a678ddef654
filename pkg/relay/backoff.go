package relay

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
)

// errBackoff keeps a request from a server that asked this node for a back-off.
var errBackoff = errors.New("relay: the server asked for rest")

// firstBackoffEnd returns the back-off that ends first among the servers that could otherwise serve
// the request, or nil if there are none. Servers that are likely to accept requests afterwards
// precede others.
func (c *call) firstBackoffEnd(now time.Time) *backend.ExpectedReturn {
	var first *backend.ExpectedReturn
	for _, m := range c.servers() {
		r, serves := m.ExpectedReturn(now, c.need)
		if serves && (first == nil || r.Likely && !first.Likely || r.Likely == first.Likely && r.In < first.In) {
			first = &r
		}
	}
	return first
}

// shortageWith returns the shortage to report to the coordinator, with the server in back-off that
// holds the model.
func (c *call) shortageWith(backoff *backend.ExpectedReturn) shortage {
	s := c.shortage
	if backoff != nil {
		s.short, s.shortFor = backoff.Server, backoff.In
	}
	return s
}

// decideDuringBackoff decides about a request for which all suitable servers are in back-off.
// readyIn is the time until another server is expected to be ready, zero if none is.
func (c *call) decideDuringBackoff(backoff *backend.ExpectedReturn, readyIn time.Duration) holdDecision {
	if c.headSent { // the caller would have to start over
		return holdDecision{hold: true}
	}
	if backoff.Likely && (readyIn <= 0 || backoff.In < readyIn) {
		readyIn = backoff.In
	}
	decision := holdDecision{after: backoff.In + readyMargin}
	if readyIn > 0 {
		decision = c.estimateWait(readyIn).decide()
	}
	decision.after += rand.N(returnSpread)
	return decision
}

// returnSpread is the time over which callers return after a back-off. Otherwise all of them would
// return at its end.
const returnSpread = time.Second
