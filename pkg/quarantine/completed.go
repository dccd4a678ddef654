package quarantine

import "time"

// Bounds on remembering what ran to its end.
const (
	// completedTime is how long a subject that ran to its end is not blamed for crashes. A request that
	// many callers send, or a part of many prompts, runs on several servers at once, and another one may
	// crash all of these within a moment. If it does crash servers itself, this shows at the latest when
	// this time has passed since it last ran to its end.
	completedTime = time.Minute
	// maxCompleted bounds the requests remembered in half of completedTime, at 40 bytes each.
	maxCompleted = 4096
	// maxCompletedParts is maxCompleted for parts of prompts. Prompts with many parts of their own shorten
	// the time for which rare parts are remembered.
	maxCompletedParts = 8192
)

// completedSet remembers which subjects ran to their end recently: those of the last half of
// completedTime and those of the half before.
type completedSet struct {
	current, last map[Fingerprint]time.Time // until when they are not blamed
	began         time.Time                 // start of current
}

// add records that a subject is not blamed until a time. most bounds the subjects of half of
// completedTime.
func (s *completedSet) add(now, until time.Time, f Fingerprint, most int) {
	if s.current == nil || now.Sub(s.began) > completedTime/2 || len(s.current) >= most {
		s.last, s.current, s.began = s.current, make(map[Fingerprint]time.Time), now
	}
	if until.After(s.current[f]) {
		s.current[f] = until
	}
}

// remaining returns how much longer a subject is not blamed; zero: it is.
func (s *completedSet) remaining(now time.Time, f Fingerprint) time.Duration {
	return max(s.current[f].Sub(now), s.last[f].Sub(now), 0)
}
