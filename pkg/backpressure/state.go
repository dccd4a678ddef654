package backpressure

import "time"

// State is what a node believes of one life of a server. The zero value believes nothing. Not safe for
// concurrent use.
//
// A server that leaves does so for the rest of its life, whatever later answers lack. A limit ends with
// an answer that names none, if it was surely given later than the last one that named it. After a rest one
// request goes first, to find out whether the server takes any: of all that wait for it each would be turned
// away by a server that does not.
type State struct {
	limited   bool
	limit     float64
	limitedAt time.Time // when the last word with a limit came
	endedAt   time.Time // when the last word came that ended one
	endedBy   time.Time // when the request was sent whose answer ended it
	leaving   bool
	closed    bool // it asked for rest, and has not taken a request since
	restUntil time.Time
	rests     int       // in a row
	probedAt  time.Time // when a request last went to find out whether the rest is over
}

// Change tells how signals changed what is believed.
type Change uint8

// Changes; an answer may bring several.
const (
	LimitSet Change = 1 << iota // or moved
	LimitEnded
	Left // the server is known to leave now
	RestSet
)

// overtakeTime is how much later an answer may come than another one that was given after it.
const overtakeTime = time.Second

// Hear takes in the signals of an answer that came now to a request that was sent at a time; the zero time
// if that is not known.
func (s *State) Hear(sent, now time.Time, w Signals) Change {
	w = w.Bounded()
	var change Change
	if w.Leaving && !s.leaving {
		s.leaving = true
		change |= Left
	}
	change |= s.hearRest(sent, now, w.Rest)
	switch {
	case w.Unclear:
	case w.Limited:
		change |= s.setLimit(sent, now, w.Limit)
	case s.limited && sent.After(s.limitedAt):
		s.limited, s.limit, s.endedAt, s.endedBy = false, 0, now, sent
		change |= LimitEnded
	}
	return change
}

// Belief is what a node believes of a server for all nodes. Rests are between a server and one node.
type Belief struct {
	Leaving bool
	Limited bool
	Limit   float64 // of one that is limited
	// LimitAt is when the limit was heard, or, of one that ended, when the request was sent whose answer told
	// it; zero: no limit is known of.
	LimitAt time.Time
}

// Belief returns what is believed for all nodes.
func (s *State) Belief() Belief {
	b := Belief{Leaving: s.leaving, Limited: s.limited, Limit: s.limit, LimitAt: s.endedBy}
	if s.limited {
		b.LimitAt = s.limitedAt
	}
	return b
}

// Tell takes in what another node believes.
func (s *State) Tell(b Belief) Change {
	var change Change
	if b.Leaving && !s.leaving {
		s.leaving = true
		change |= Left
	}
	w, at := Signals{Limited: b.Limited, Limit: b.Limit}.Bounded(), b.LimitAt
	switch {
	case w.Unclear:
	case w.Limited && at.After(s.limitedAt) && at.After(s.endedAt):
		if !s.limited || s.limit != w.Limit {
			change |= LimitSet
		}
		s.limited, s.limit, s.limitedAt = true, w.Limit, at
	case !w.Limited && s.limited && at.After(s.limitedAt):
		s.limited, s.limit, s.endedAt, s.endedBy = false, 0, at, at
		change |= LimitEnded
	}
	return change
}

// setLimit takes in a limit, unless it was overtaken by the word that ended it.
func (s *State) setLimit(sent, now time.Time, limit float64) Change {
	if !s.limited && sent.Before(s.endedAt) && now.Sub(s.endedAt) < overtakeTime {
		return 0
	}
	before, was := s.limit, s.limited
	s.limited, s.limit, s.limitedAt = true, limit, now
	if was && before == limit {
		return 0
	}
	return LimitSet
}

// Limit returns how many requests a second the server takes from all nodes together, false if it
// names no limit.
func (s *State) Limit() (float64, bool) { return s.limit, s.limited }

// Asks tells whether the server asks for anything.
func (s *State) Asks() bool { return s.limited || s.leaving || s.closed }

// Leaving tells whether the server said that it leaves.
func (s *State) Leaving() bool { return s.leaving }

// hearRest takes in the rest that an answer asked for; zero: none.
func (s *State) hearRest(sent, now time.Time, rest time.Duration) Change {
	if rest <= 0 {
		if s.closed && !sent.Before(s.restUntil) {
			s.closed, s.rests = false, 0
		}
		return 0
	}
	until := now.Add(rest)
	if !until.After(s.restUntil) {
		return 0
	}
	if !s.closed || !sent.Before(s.restUntil) {
		s.rests++
	}
	s.closed, s.restUntil, s.probedAt = true, until, time.Time{}
	return RestSet
}

// probeTime is how long one request after a rest is waited for before the next one goes: servers that turn
// requests away do so at once.
const probeTime = 500 * time.Millisecond

// Rest returns for how much longer this node is to send nothing; zero: it may.
func (s *State) Rest(now time.Time) time.Duration {
	switch {
	case !s.closed:
		return 0
	case now.Before(s.restUntil):
		return s.restUntil.Sub(now)
	case s.probedAt.IsZero():
		return 0
	}
	return max(probeTime-now.Sub(s.probedAt), 0)
}

// Take tells whether a request may go to the server now by its rests, and counts it.
func (s *State) Take(now time.Time) bool {
	if s.Rest(now) > 0 {
		return false
	}
	if s.closed {
		s.probedAt = now
	}
	return true
}

// Returns returns in what time the server is expected to take requests, if it is at rest. It is not hopeful of
// one that asked for rest again after a rest: requests are not to wait for it.
func (s *State) Returns(now time.Time) (in time.Duration, hopeful bool) {
	return s.Rest(now), s.rests <= 1
}
