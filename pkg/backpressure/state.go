package backpressure

import "time"

// State is what a node knows of one incarnation of a server by its signals. The zero value means no signal.
// Not safe for concurrent use.
//
// Leaving is permanent for the incarnation, even if later responses lack the signal. A limit ends with a
// response that names none, if that response was certainly sent after the last one that named it. After a
// back-off, a single request probes whether the server accepts requests, since a server that does not would
// reject all those that wait for it.
type State struct {
	limited             bool
	limit               float64
	limitedAt           time.Time // when the last response or report with the limit came
	limitEndedAt        time.Time // when the last response or report came that ended a limit
	limitEndRequestedAt time.Time // when the request was sent whose response ended the limit
	leaving             bool
	backingOff          bool // the server asked for a back-off and has not accepted a request since then
	backOffUntil        time.Time
	backOffs            int       // consecutive
	probedAt            time.Time // when the last probe after the back-off was sent; zero: none
}

// Change is a set of changes to the state of a server.
type Change uint8

// The changes. One response may cause several.
const (
	LimitSet Change = 1 << iota // a new or different limit
	LimitEnded
	LeavingSet // the server is now known to leave
	BackOffSet
	BrittleSet // the service's servers now say that they are brittle, or another bound
	BrittleEnded
)

// reorderTime is by how much a response may be overtaken by one that the server sent later.
const reorderTime = time.Second

// Observe applies the signals of a response that came now to a request that was sent at the given time,
// which is zero if unknown.
func (s *State) Observe(sent, now time.Time, signals Signals) Change {
	signals = signals.Bounded()
	var change Change
	if signals.Leaving && !s.leaving {
		s.leaving = true
		change |= LeavingSet
	}
	change |= s.observeBackOff(sent, now, signals.BackOff)
	switch {
	case signals.Unreadable:
	case signals.Limited:
		change |= s.setLimit(sent, now, signals.Limit)
	case s.limited && sent.After(s.limitedAt):
		s.limited, s.limit, s.limitEndedAt, s.limitEndRequestedAt = false, 0, now, sent
		change |= LimitEnded
	}
	return change
}

// SharedState is the part of a server's state that applies to all nodes. Back-offs are not part of it,
// since they apply to one node only.
type SharedState struct {
	Leaving bool
	Limited bool
	Limit   float64 // requests per second, if Limited
	// LimitAt is when the limit was received. For a limit that ended, it is when the request was sent whose
	// response ended it. Zero: the server never had a limit.
	LimitAt time.Time
}

// Shared returns the part of the state that applies to all nodes.
func (s *State) Shared() SharedState {
	shared := SharedState{Leaving: s.leaving, Limited: s.limited, Limit: s.limit, LimitAt: s.limitEndRequestedAt}
	if s.limited {
		shared.LimitAt = s.limitedAt
	}
	return shared
}

// Merge applies the state that another node reported.
func (s *State) Merge(shared SharedState) Change {
	var change Change
	if shared.Leaving && !s.leaving {
		s.leaving = true
		change |= LeavingSet
	}
	signals, at := Signals{Limited: shared.Limited, Limit: shared.Limit}.Bounded(), shared.LimitAt
	switch {
	case signals.Unreadable:
	case signals.Limited && at.After(s.limitedAt) && at.After(s.limitEndedAt):
		if !s.limited || s.limit != signals.Limit {
			change |= LimitSet
		}
		s.limited, s.limit, s.limitedAt = true, signals.Limit, at
	case !signals.Limited && s.limited && at.After(s.limitedAt):
		s.limited, s.limit, s.limitEndedAt, s.limitEndRequestedAt = false, 0, at, at
		change |= LimitEnded
	}
	return change
}

// setLimit applies a limit, unless a response sent later has overtaken it and already ended the limit.
func (s *State) setLimit(sent, now time.Time, limit float64) Change {
	if !s.limited && sent.Before(s.limitEndedAt) && now.Sub(s.limitEndedAt) < reorderTime {
		return 0
	}
	before, wasLimited := s.limit, s.limited
	s.limited, s.limit, s.limitedAt = true, limit, now
	if wasLimited && before == limit {
		return 0
	}
	return LimitSet
}

// Limit returns the limit in requests per second from all nodes together, or false if the server set none.
func (s *State) Limit() (float64, bool) { return s.limit, s.limited }

// Active reports whether any signal is in effect.
func (s *State) Active() bool { return s.limited || s.leaving || s.backingOff }

// Leaving reports whether the server announced that it leaves.
func (s *State) Leaving() bool { return s.leaving }

// observeBackOff applies the back-off of a response; zero: none.
func (s *State) observeBackOff(sent, now time.Time, backOff time.Duration) Change {
	if backOff <= 0 {
		if s.backingOff && !sent.Before(s.backOffUntil) {
			s.backingOff, s.backOffs = false, 0
		}
		return 0
	}
	until := now.Add(backOff)
	if !until.After(s.backOffUntil) {
		return 0
	}
	if !s.backingOff || !sent.Before(s.backOffUntil) {
		s.backOffs++
	}
	s.backingOff, s.backOffUntil, s.probedAt = true, until, time.Time{}
	return BackOffSet
}

// probeTime is how long to wait for the response to a probe before the next request is sent: servers that
// reject requests do so at once.
const probeTime = 500 * time.Millisecond

// BackOff returns how much longer this node must not send requests to the server; zero: it may send.
func (s *State) BackOff(now time.Time) time.Duration {
	switch {
	case !s.backingOff:
		return 0
	case now.Before(s.backOffUntil):
		return s.backOffUntil.Sub(now)
	case s.probedAt.IsZero():
		return 0
	}
	return max(probeTime-now.Sub(s.probedAt), 0)
}

// Admit reports whether the back-offs allow a request now, and records it as a probe if one is due.
func (s *State) Admit(now time.Time) bool {
	if s.BackOff(now) > 0 {
		return false
	}
	if s.backingOff {
		s.probedAt = now
	}
	return true
}

// ExpectedReturn returns the remaining back-off, and whether the server is likely to accept requests
// afterwards. It is not likely after consecutive back-offs, so requests should not wait for such a server.
func (s *State) ExpectedReturn(now time.Time) (in time.Duration, likely bool) {
	return s.BackOff(now), s.backOffs <= 1
}
