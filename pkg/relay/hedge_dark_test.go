package relay

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a stream that hangs at a dark server since its hedge reached a dark one, too.
func TestStreamHangsWhenTheServerOfItsHedgeIsDark(t *testing.T) {
	t.Parallel()
	dark := func(w http.ResponseWriter, r *http.Request, s seen) { <-r.Context().Done() }
	route := streamRoute(true)
	route.MaxAttempts = 3
	s := newSite(t, route, silentStream(2, 6, time.Minute), dark, events(6, 6, nil))
	for range 3 {
		s.relay.Servers.Snapshot().Member("server-1").Begin(time.Now(), "")
	}
	for range 6 {
		s.relay.Servers.Snapshot().Member("server-2").Begin(time.Now(), "")
	}
	if got := s.patientPost("id"); got.err != nil || got.body != eventsText(1, 6) {
		t.Errorf("the caller got %q, %v; %d arrivals", got.body, got.err, len(s.arrivals()))
	}
}

// Guards against a stream that hangs at a dark server although a retry would be lent.
func TestStreamHangsAtADarkServerThoughARetryIsLent(t *testing.T) {
	t.Parallel()
	s := newSite(t, streamRoute(true), silentStream(2, 6, time.Minute), events(6, 6, nil))
	s.relay.Budget = BudgetConfig{Window: 10 * time.Second}
	s.relay.Lender = lateLender{time.Millisecond}
	s.preferFirst()
	if got := s.patientPost("id"); got.err != nil || got.body != eventsText(1, 6) {
		t.Errorf("the caller got %q, %v; %d arrivals", got.body, got.err, len(s.arrivals()))
	}
}
