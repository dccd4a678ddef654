// Package backpressure keeps what servers ask of their clients in the answers that they give: to be
// sent no more than so many requests a second by all nodes together (a limit), to be left alone by one
// node for a while (a rest), or to get nothing new because they leave. Its decisions need no network.
//
// signals.go is what one answer tells, state.go what a node believes of one life of a server by the
// answers that it got and by what other nodes told.
package backpressure

import (
	"math"
	"time"
)

// Signals is what one answer tells of its server. The zero value asks for nothing.
type Signals struct {
	Limited bool
	Limit   float64       // requests a second from all nodes together, of a limited server
	Leaving bool          // the server takes no new requests
	Rest    time.Duration // for which the node that got the answer is to send nothing; zero: not asked
	// Unclear tells that the answer names a limit that can't be read: it neither sets nor ends one.
	Unclear bool
}

// Bounds of what servers may ask for.
const (
	// LeastLimit stands for lower limits, in requests a second: a server that nobody sends anything
	// could not tell that its limit is over.
	LeastLimit = 0.2
	// MostLimit stands for higher limits, in requests a second: no server gets as many.
	MostLimit = 1e6
	// MostRest is the longest rest that is kept; a server that still wants none asks again then.
	MostRest = 10 * time.Minute
)

// Bounded returns the signals within the bounds.
func (w Signals) Bounded() Signals {
	if w.Limited {
		if math.IsNaN(w.Limit) || w.Limit < 0 {
			w.Limited, w.Limit, w.Unclear = false, 0, true
		} else {
			w.Limit = min(max(w.Limit, LeastLimit), MostLimit)
		}
	}
	w.Rest = min(max(w.Rest, 0), MostRest)
	return w
}
