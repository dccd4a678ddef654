// Package backpressure tracks what servers ask of their clients in their responses: to receive at most a
// given rate of requests from all nodes together (a limit), to receive nothing from one node for a while (a
// back-off), or to receive nothing new because they leave. It only computes and sends no messages.
//
// signals.go defines the signals of one response. state.go combines the signals that a node received from
// one incarnation of a server with those that other nodes reported. slots.go and ration.go share a limit among
// the nodes. brittle.go derives a limit for servers that fall over when they reject too much.
package backpressure

import (
	"math"
	"time"
)

// Signals are the backpressure signals of one response. The zero value asks for nothing.
type Signals struct {
	Limited bool
	Limit   float64       // requests per second from all nodes together, if Limited
	Leaving bool          // the server takes no new requests
	BackOff time.Duration // time for which the node that got the response must send nothing; zero: none
	// Brittle is the number of requests that the server can reject in a second without falling over; zero: it
	// does not say so.
	Brittle float64
	// Unreadable means that the response names a limit that can't be parsed. It neither sets nor ends a
	// limit.
	Unreadable bool
}

// Bounds of what servers may ask for.
const (
	// MinLimit replaces lower limits, in requests per second: a server that gets no requests could not
	// signal that its limit ended.
	MinLimit = 0.2
	// MaxLimit replaces higher limits, in requests per second: no server gets that many.
	MaxLimit = 1e6
	// MaxBackOff is the longest back-off. A server that still wants no requests afterwards asks for another
	// one.
	MaxBackOff = 10 * time.Minute
)

// Bounded returns the signals limited to the bounds.
func (s Signals) Bounded() Signals {
	if s.Limited {
		if math.IsNaN(s.Limit) || s.Limit < 0 {
			s.Limited, s.Limit, s.Unreadable = false, 0, true
		} else {
			s.Limit = min(max(s.Limit, MinLimit), MaxLimit)
		}
	}
	if math.IsNaN(s.Brittle) || s.Brittle < 0 {
		s.Brittle = 0
	}
	s.BackOff = min(max(s.BackOff, 0), MaxBackOff)
	return s
}
