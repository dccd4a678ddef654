package relay

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/route"
)

// silentStream writes events, falls silent for a time after the given one, and goes on.
func silentStream(after, last int, silence time.Duration) answerer {
	return func(w http.ResponseWriter, r *http.Request, s seen) {
		w.Header().Set(testHeaders.Seal, "seal-"+s.server)
		w.Header().Set(testHeaders.RequestID, s.id)
		_, _ = io.WriteString(w, eventsText(1, after))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(silence):
			_, _ = io.WriteString(w, eventsText(after+1, last))
		}
	}
}

// lateAnswer answers after a time.
func lateAnswer(d time.Duration) answerer {
	return func(w http.ResponseWriter, r *http.Request, s seen) {
		time.Sleep(d)
		sealed(http.StatusOK, "late")(w, r, s)
	}
}

// rejecting rejects each request.
func rejecting() answerer { return rejectWith(http.StatusServiceUnavailable) }

// preferFirst makes the first of two servers preferred.
func (s *site) preferFirst() {
	for range 4 {
		s.relay.Servers.Snapshot().Member("server-1").Begin(time.Now(), "")
	}
}

const silentBeyondLimit = soundSilence + 300*time.Millisecond

// Guards against a stream that is cut off over a silence since no retry is left for a second run.
func TestSilentStreamIsCutOffWhenNoRetryIsLeft(t *testing.T) {
	t.Parallel()
	s := newSite(t, streamRoute(true), silentStream(2, 6, silentBeyondLimit), events(6, 6, nil))
	s.relay.Budget = BudgetConfig{Window: 10 * time.Second}
	s.preferFirst()
	if got := s.patientPost("id"); got.err != nil || got.body != eventsText(1, 6) {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
	if n := len(s.arrivals()); n != 1 {
		t.Errorf("%d requests at servers without a retry", n)
	}
}

// Guards against a stream that is cut off over a silence since the other server rejects it or breaks it off.
func TestSilentStreamIsCutOffWhenTheOtherServerFails(t *testing.T) {
	t.Parallel()
	for name, other := range map[string]answerer{
		"rejects":      rejecting(),
		"answers 500":  sealed(http.StatusInternalServerError, "failed"),
		"breaks off":   raw("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nContent-Length: 100\r\n\r\nid: 3\n"),
		"is no server": raw("no answer"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, streamRoute(true), silentStream(2, 6, silentBeyondLimit), other)
			s.preferFirst()
			if got := s.patientPost("id"); got.err != nil || got.body != eventsText(1, 6) {
				t.Errorf("the caller got %q, %v", got.body, got.err)
			}
		})
	}
}

// Guards against a request that fails though its server would have answered: it was given up before the other one rejected it.
func TestSlowRequestFailsWhenTheOtherServerRejects(t *testing.T) {
	t.Parallel()
	s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2, Target: 100 * time.Millisecond}, lateAnswer(700*time.Millisecond), rejecting())
	s.preferFirst()
	if got := s.get("id"); got.err != nil || got.status != http.StatusOK || got.body != "late" {
		t.Errorf("the caller got %+v", got)
	}
}

// Guards against requests that wait for a silent server although another one is free.
func TestSlowRequestDoesNotGoOnAtAFreeServer(t *testing.T) {
	t.Parallel()
	s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2, Target: 100 * time.Millisecond}, lateAnswer(1500*time.Millisecond), sealed(http.StatusOK, "soon"))
	s.preferFirst()
	if got := s.get("id"); got.err != nil || got.status != http.StatusOK || got.body != "soon" {
		t.Errorf("the caller got %+v", got)
	}
}

// Guards against servers that are blamed for a pause of the node itself: its timers fire late, what came lies unread.
func TestOwnPauseBeginsAHedge(t *testing.T) {
	t.Parallel()
	s := newSite(t, streamRoute(true), events(6, 6, nil), events(6, 6, nil))
	c := &call{relay: s.relay, request: request{route: &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2, Parts: []route.Part{{Service: "s", Weight: 1}}},
		service: "s", arrived: time.Now(), deadline: time.Now().Add(time.Minute)}}
	c.http = s.request(t.Context(), http.MethodPost, "/p/x", "id", "x")
	r := newRun(t.Context(), s.relay.Servers.Snapshot().Member("server-0"), &try{})
	c.silenceDue = time.Now().Add(-2 * maxTimerDelay)
	if c.silenceElapsed(t.Context(), r); c.hedge != nil {
		t.Error("a hedge began though the node was held up")
	}
	c.silenceDue = time.Now()
	if c.silenceElapsed(t.Context(), r); c.hedge == nil {
		t.Fatal("no hedge began after a silence")
	}
	c.dropHedge()
}

// Guards against events that a caller gets twice: those of a stream without IDs that another server begins anew.
func TestStreamWithoutIDsBeginsAnewElsewhere(t *testing.T) {
	t.Parallel()
	first := func(w http.ResponseWriter, r *http.Request, s seen) {
		w.Header().Set(testHeaders.Seal, "seal-"+s.server)
		w.Header().Set(testHeaders.RequestID, s.id)
		_, _ = io.WriteString(w, "data: first\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(silentBeyondLimit):
			panic(http.ErrAbortHandler)
		}
	}
	s := newSite(t, streamRoute(true), first, first)
	if got := s.patientPost("id"); got.err == nil || got.body != "data: first\n\n" {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
}

// Guards against a hedge that holds an event without end beside what its silent first run holds.
func TestFAULTOfEventsWithoutEndOfAHedge(t *testing.T) {
	c := &call{request: request{route: &route.Route{Kind: route.Stream}}}
	for size, want := range map[int]error{maxHedgeBytes: errNotReady, maxHedgeBytes + 1: errEventTooLong} {
		h := &run{answer: &backend.Answer{Status: http.StatusOK}, content: &update{data: make([]byte, size)}}
		if _, err := c.hedgeReady(t.Context(), h); !errors.Is(err, want) {
			t.Errorf("%d bytes: %v", size, err)
		}
	}
}

// Guards against an answer to which that of a hedge is joined, as the first run went on late and its answer can't be held.
func TestMIXEDOfAnswersBeyondTheBudgetAndHedges(t *testing.T) {
	t.Parallel()
	late := func(w http.ResponseWriter, _ *http.Request, _ seen) {
		time.Sleep(500 * time.Millisecond)
		w.Header().Set(testHeaders.Seal, "seal")
		_, _ = io.WriteString(w, longBody[:len(longBody)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(700 * time.Millisecond)
		_, _ = io.WriteString(w, longBody[len(longBody)/2:])
	}
	begun := func(w http.ResponseWriter, r *http.Request, _ seen) {
		w.Header().Set(testHeaders.Seal, "seal")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(600 * time.Millisecond):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "another answer")
	}
	s := newShortSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2, Target: 100 * time.Millisecond}, late, begun)
	s.preferFirst()
	if got := s.get("id"); got.err != nil || got.status != http.StatusOK || got.body != longBody {
		t.Errorf("%d with %d bytes of %d, %v", got.status, len(got.body), len(longBody), got.err)
	}
	if n := len(s.arrivals()); n != 2 {
		t.Errorf("%d runs, no hedge began", n)
	}
}

// Guards against a hedge that holds an answer for which the budget had no room.
func TestHedgesBeyondTheBudgetEnd(t *testing.T) {
	c := &call{request: request{route: &route.Route{Kind: route.Safe}}}
	h := &run{answer: &backend.Answer{Status: http.StatusOK}, content: &update{data: []byte("a part")}}
	if _, err := c.hedgeReady(t.Context(), h); !errors.Is(err, memory.ErrUsedUp) {
		t.Error(err)
	}
}
