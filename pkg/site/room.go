package site

import (
	"time"

	"martenwheel.dev/pkg/clock"
)

// minWait is the least time for which a connection has waited for a request before it gives way.
const minWait = 100 * time.Millisecond

// makeRoom ends waits until there is room for one more connection: of those that wait for a request, or for the rest of a
// head, the one that has waited longest, and otherwise the body that has stalled for longest.
func (s *callers) makeRoom() {
	if s.most <= 0 {
		return
	}
	ended, yielded := 0, 0
	for ; s.count() >= s.most && !s.closed.Load(); time.Sleep(closePollInterval) {
		switch {
		case s.endLongest():
			ended++
		case s.yieldBody != nil && s.yieldBody():
			yielded++
		}
	}
	if ended+yielded > 0 {
		s.reportRoom(ended, yielded)
	}
}

// reportRoom logs, from time to time, that connections gave way.
func (s *callers) reportRoom(ended, yielded int) {
	if clock.Since(s.logged) < acceptLogInterval {
		return
	}
	s.logged = clock.Now()
	s.logger.Warn("connections of callers give way to new ones", "most", s.most, "waits_ended", ended, "bodies_ended", yielded)
}

// count returns the number of open connections.
func (s *callers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// endLongest ends the longest wait, and reports whether one ends.
func (s *callers) endLongest() bool {
	var longest *callerConn
	var since time.Time
	for _, c := range s.all() {
		c.mu.Lock()
		waiting, ending, began := c.waiting, c.ending, c.since
		c.mu.Unlock()
		if ending {
			return true
		}
		if waiting && (longest == nil || began.Before(since)) {
			longest, since = c, began
		}
	}
	if longest == nil || clock.Since(since) < minWait {
		return false
	}
	longest.mu.Lock()
	defer longest.mu.Unlock()
	if longest.waiting {
		longest.end()
	}
	return longest.waiting
}
