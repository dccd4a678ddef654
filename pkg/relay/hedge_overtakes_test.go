package relay

import (
	"testing"
)

// Guards against a run that lives and is ended for a hedge whose unframed stream closed within its first event.
func TestHedgeThatClosesWithinItsFirstEventEndsTheFirstRun(t *testing.T) {
	t.Parallel()
	for name, body := range map[string]string{"within an event": "id: 3\n", "before an event": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, streamRoute(true), silentStream(2, 6, silentBeyondLimit), unframedStream("text/event-stream", body, closeConnection))
			s.preferFirst()
			if got := s.patientPost("id"); got.err != nil || got.body != eventsText(1, 6) {
				t.Errorf("the caller got %q, %v", got.body, got.err)
			}
		})
	}
}

// Guards against a run that lives and is ended for a hedge that brought a comment but no event.
func TestHedgeThatBringsACommentOnlyEndsTheFirstRun(t *testing.T) {
	t.Parallel()
	s := newSite(t, streamRoute(true), silentStream(2, 6, silentBeyondLimit),
		raw("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 100\r\n\r\n: working\n\n"))
	s.preferFirst()
	if got := s.patientPost("id"); got.err != nil || got.body != eventsText(1, 6) {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
}
