package backpressure

import "time"

// State is what a node believes of one life of a server. The zero value believes nothing. Not safe for
// concurrent use.
//
// A server that leaves does so for the rest of its life, whatever later answers lack. A limit ends with
// an answer that names none, if it was surely given later than the last one that named it.
type State struct {
	limited   bool
	limit     float64
	limitedAt time.Time // when the last word with a limit came
	endedAt   time.Time // when the last word came that ended one
	leaving   bool
	restUntil time.Time
}

// Change tells how a word changed what is believed.
type Change uint8

// Changes; a word may bring several.
const (
	LimitSet Change = 1 << iota // or moved
	LimitEnded
	Left // the server is known to leave now
	RestSet
)

// overtakeTime is how much later an answer may come than another one that was given after it.
const overtakeTime = time.Second

// Hear takes in the word of an answer that came now to a request that was sent at a time; the zero time
// if that is not known.
func (s *State) Hear(sent, now time.Time, w Word) Change {
	w = w.Bounded()
	var change Change
	if w.Leaving && !s.leaving {
		s.leaving = true
		change |= Left
	}
	if until := now.Add(w.Rest); w.Rest > 0 && until.After(s.restUntil) {
		s.restUntil = until
		change |= RestSet
	}
	switch {
	case w.Unclear:
	case w.Limited:
		change |= s.setLimit(sent, now, w.Limit)
	case s.limited && sent.After(s.limitedAt):
		s.limited, s.limit, s.endedAt = false, 0, now
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

// Leaving tells whether the server said that it leaves.
func (s *State) Leaving() bool { return s.leaving }

// Rest returns for how much longer this node is to send nothing; zero: it may.
func (s *State) Rest(now time.Time) time.Duration { return max(s.restUntil.Sub(now), 0) }
