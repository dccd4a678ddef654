package relay

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
)

// errResting keeps a request from a server that wants nothing from this node for a while.
var errResting = errors.New("relay: the server asked for rest")

// resting returns the return of the server at rest that may get the request first, nil if none could get it but
// for its rest.
func (c *call) resting(now time.Time) *backend.Return {
	var first *backend.Return
	for _, m := range c.relay.Servers.Snapshot().Service(c.service) {
		r, serves := m.Returns(now, c.need)
		if serves && (first == nil || r.Hopeful && !first.Hopeful || r.Hopeful == first.Hopeful && r.In < first.In) {
			first = &r
		}
	}
	return first
}

// lackingOr is what the holder is told that the request lacks, with the server at rest that holds it.
func (c *call) lackingOr(resting *backend.Return) lacking {
	by := c.lacking
	if resting != nil {
		by.short, by.shortFor = resting.Server, resting.In
	}
	return by
}

// courseAtRest is what to do with a request that only servers at rest could get; readyIn is when another one
// is expected to have what it needs, zero if none is.
func (c *call) courseAtRest(resting *backend.Return, readyIn time.Duration) course {
	if c.headSent { // its caller would have to begin anew
		return course{hold: true}
	}
	if resting.Hopeful && (readyIn <= 0 || resting.In < readyIn) {
		readyIn = resting.In
	}
	next := course{after: resting.In + readyMargin}
	if readyIn > 0 {
		next = c.prospect(readyIn).course()
	}
	next.after += rand.N(returnSpread)
	return next
}

// returnSpread is the time over which callers return that wait for the end of one rest: all of them would be
// there at its end.
const returnSpread = time.Second
