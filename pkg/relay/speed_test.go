package relay

import (
	"fmt"
	"testing"
	"time"
)

// TestSlowServersGetFewRequests checks that a fast server with free capacity is preferred.
func TestSlowServersGetFewRequests(t *testing.T) {
	s := newSite(t, streamRoute(true), events(3, 3, nil), events(3, 3, nil))
	for range 20 {
		s.relay.Servers.RecordPace("server-0", "", 26*time.Millisecond)
		s.relay.Servers.RecordPace("server-1", "", 20*time.Millisecond)
	}
	const requests = 20
	for i := range requests {
		s.post(fmt.Sprintf("id-%d", i), "x")
		s.awaitIdle()
	}
	slow := 0
	for _, got := range s.arrivals() {
		if got.server == "server-0" {
			slow++
		}
	}
	if slow > requests/10 {
		t.Errorf("%d of %d requests went to the slow server", slow, requests)
	}
}

// awaitIdle waits until the connections of the servers are back in their pools. That happens
// shortly after the caller's answer, and open connections influence the choice.
func (s *site) awaitIdle() {
	s.t.Helper()
	used := make(map[string]bool)
	for _, got := range s.arrivals() {
		used[got.server] = true
	}
	for id := range used {
		m := s.relay.Servers.Snapshot().Member(id)
		for m.InFlight() > 0 || m.Idle() == 0 {
			if s.t.Context().Err() != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// TestTimePerEvent checks that the longest pause and the initial wait do not count.
func TestTimePerEvent(t *testing.T) {
	r := &record{tries: make([]*try, 1)}
	now := time.Now()
	for i := range 20 {
		if i == 10 {
			now = now.Add(time.Second)
		}
		r.eventsSent(now, 40, 1)
		now = now.Add(20 * time.Millisecond)
	}
	if got := r.timePerEvent(); got < 19*time.Millisecond || got > 21*time.Millisecond {
		t.Errorf("the time per event is %v", got)
	}
	r.tries = make([]*try, 2)
	if got := r.timePerEvent(); got != 0 {
		t.Errorf("a stream of two servers has the time per event %v, want none", got)
	}
	short := &record{tries: make([]*try, 1)}
	short.eventsSent(now, 40, 2)
	if got := short.timePerEvent(); got != 0 {
		t.Errorf("a stream of two events has the time per event %v, want none", got)
	}
}
