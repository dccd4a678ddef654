package quarantine

import "time"

// Bounds on remembering completed requests.
const (
	// completedTime is how long a completed request is not blamed for crashes. A request that many
	// callers send runs on several servers at once, and another request may crash all of these
	// within a moment. If it does crash servers itself, this shows at the latest when this time has
	// passed since it last completed.
	completedTime = time.Minute
	// maxCompleted bounds the requests remembered in half of completedTime, at 40 bytes each.
	maxCompleted = 4096
)

// completedSet remembers which requests completed recently: those of the last half of completedTime
// and those of the half before.
type completedSet struct {
	current, last map[Fingerprint]time.Time
	began         time.Time // start of current
}

// add records that a request completed.
func (s *completedSet) add(now time.Time, f Fingerprint) {
	if s.current == nil || now.Sub(s.began) > completedTime/2 || len(s.current) >= maxCompleted {
		s.last, s.current, s.began = s.current, make(map[Fingerprint]time.Time), now
	}
	s.current[f] = now
}

// has reports whether a request completed recently.
func (s *completedSet) has(now time.Time, f Fingerprint) bool {
	at, known := s.current[f]
	if !known {
		at, known = s.last[f]
	}
	return known && now.Sub(at) <= completedTime
}
