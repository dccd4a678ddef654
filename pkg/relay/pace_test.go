package relay

import (
	"fmt"
	"testing"
	"time"
)

// TestSlowServersGetFewRequests: while the fast server has room it gets the
// requests.
func TestSlowServersGetFewRequests(t *testing.T) {
	s := newSite(t, streamRoute(true), events(3, 3, nil), events(3, 3, nil))
	for range 20 {
		s.relay.Servers.Paced("server-0", "", 26*time.Millisecond)
		s.relay.Servers.Paced("server-1", "", 20*time.Millisecond)
	}
	const requests = 20
	for i := range requests {
		s.post(fmt.Sprintf("id-%d", i), "x")
		s.settle()
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

// settle waits until the servers' connections are back in their pools: a caller has its
// answer a little before that, and a connection that stands counts in the choice.
func (s *site) settle() {
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

// TestPaceOfAStream: the longest pause and the first wait don't count.
func TestPaceOfAStream(t *testing.T) {
	r := &record{tries: make([]try, 1)}
	now := time.Now()
	for i := range 20 {
		if i == 10 {
			now = now.Add(time.Second)
		}
		r.sent(now, 40, 1)
		now = now.Add(20 * time.Millisecond)
	}
	if got := r.pace(); got < 19*time.Millisecond || got > 21*time.Millisecond {
		t.Errorf("the pace is %v", got)
	}
	r.tries = make([]try, 2)
	if got := r.pace(); got != 0 {
		t.Errorf("a stream of two servers tells the pace %v", got)
	}
	short := &record{tries: make([]try, 1)}
	short.sent(now, 40, 2)
	if got := short.pace(); got != 0 {
		t.Errorf("two events tell the pace %v", got)
	}
}
