package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/route"
)

// lineEnds are the line ends that events may have.
var lineEnds = map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"}

const eventStream = "text/event-stream"

// partialEvents are what may stand at the end of a stream that was broken off.
var partialEvents = map[string]string{
	"in its data":       "id: 4\ndata: piec",
	"in its id":         "id",
	"after a line":      "id: 4\ndata: piece 4\n",
	"in another field":  "event: tok",
	"in a comment line": ": kee",
}

// TestStreamClosedWithinAnEventLooksComplete guards against a broken answer that is framed as complete.
func TestStreamClosedWithinAnEventLooksComplete(t *testing.T) {
	for place, partial := range partialEvents {
		for lineEnd, text := range lineEnds {
			t.Run(place+", "+lineEnd, func(t *testing.T) {
				body := strings.ReplaceAll(eventsText(1, 3)+partial, "\n", text)
				s := newSite(t, streamRoute(false), unframedStream(eventStream, body, closeConnection))
				got := s.post("id", "x")
				if got.err == nil {
					t.Errorf("a broken stream ended as complete: %q", got.body)
				}
				if want := strings.ReplaceAll(eventsText(1, 3), "\n", text); got.body != want {
					t.Errorf("the caller got %q, want the whole events %q", got.body, want)
				}
			})
		}
	}
}

// TestStreamClosedBeforeItsFirstEventLooksComplete guards against an empty answer for a run that crashed.
func TestStreamClosedBeforeItsFirstEventLooksComplete(t *testing.T) {
	for place, body := range map[string]string{"after its head": "", "in its first event": "id: 1\ndata: pie", "after a comment": ": hello\n\n"} {
		t.Run(place, func(t *testing.T) {
			s := newSite(t, streamRoute(false), unframedStream(eventStream, body, closeConnection))
			if got := s.post("id", "x"); got.err == nil && got.status == http.StatusOK {
				t.Errorf("a stream without an event ended as complete: %q", got.body)
			}
			s = newSite(t, streamRoute(true), unframedStream(eventStream, body, closeConnection), events(8, 8, nil))
			s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
			if got := s.post("id", "x"); got.err != nil || !strings.HasSuffix(got.body, eventsText(1, 8)) {
				t.Errorf("the caller got %q, %v instead of the next server's stream", got.body, got.err)
			}
		})
	}
}

// TestStreamClosedWithinAnEventIsNotContinued guards against resumable streams that end where a server crashed.
func TestStreamClosedWithinAnEventIsNotContinued(t *testing.T) {
	for place, partial := range partialEvents {
		t.Run(place, func(t *testing.T) {
			s := newSite(t, streamRoute(true), unframedStream(eventStream, eventsText(1, 3)+partial, closeConnection), events(8, 8, nil))
			s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
			got := s.post("id", "x")
			if got.err != nil || got.body != eventsText(1, 8) {
				t.Errorf("the caller got %q, %v", got.body, got.err)
			}
			if arrived := s.arrivals(); len(arrived) != 2 || arrived[1].lastEvent != "3" {
				t.Errorf("the servers got %+v", arrived)
			}
		})
	}
}

// TestContinuedStreamWithoutEventsLooksComplete guards against an end that a server crashed before it sent the rest.
func TestContinuedStreamWithoutEventsLooksComplete(t *testing.T) {
	s := newSite(t, streamRoute(true), events(3, 8, resetConnection), unframedStream(eventStream, "", closeConnection))
	s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
	if got := s.post("id", "x"); got.err == nil {
		t.Errorf("a stream of 3 of 8 events ended as complete: %q", got.body)
	}
}

// TestCrashDuringAnUnframedStreamIsTakenForAnAnswer guards against requests that crash servers unnoticed.
func TestCrashDuringAnUnframedStreamIsTakenForAnAnswer(t *testing.T) {
	var s *site
	crash := func() { s.crash(0) }
	s = newSite(t, streamRoute(false), func(w http.ResponseWriter, r *http.Request, at seen) {
		crash()
		unframedStream(eventStream, "id: 1\ndata: pie", closeConnection)(w, r, at)
	})
	q := &localQuarantine{}
	s.relay.Quarantine = q
	s.post("id", "x")
	for end := time.Now().Add(time.Second); q.crashCount() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if q.crashCount() != 1 {
		t.Errorf("%d crashes were reported, want 1", q.crashCount())
	}
}

// TestCompleteAnswerOfAStreamLooksBroken guards against complete answers that are taken for broken ones.
func TestCompleteAnswerOfAStreamLooksBroken(t *testing.T) {
	for lineEnd, text := range lineEnds {
		t.Run("events with "+lineEnd, func(t *testing.T) {
			body := strings.ReplaceAll(eventsText(1, 5), "\n", text)
			expectWhole(t, unframedStream(eventStream, body, closeConnection), body)
		})
	}
	comments := eventsText(1, 5) + ": the end\n"
	t.Run("comment at the end", func(t *testing.T) {
		expectWhole(t, unframedStream(eventStream, comments, closeConnection), comments)
	})
	rest := eventsText(1, 5) + "data: [DONE]"
	t.Run("chunked, without an empty line at its end", func(t *testing.T) {
		expectWhole(t, func(w http.ResponseWriter, r *http.Request, s seen) {
			w.Header().Set("Content-Type", eventStream)
			sealed(http.StatusOK, rest)(w, r, s)
		}, rest)
	})
	t.Run("no events", func(t *testing.T) {
		body := `{"answer": 1}`
		expectWhole(t, unframedStream("application/json", body, closeConnection), body)
	})
}

// expectWhole checks that a caller of a stream gets an answer as complete.
func expectWhole(t *testing.T, answer answerer, body string) {
	t.Helper()
	s := newSite(t, route.Route{Kind: route.Stream}, answer)
	if got := s.post("id", "x"); got.err != nil || got.status != http.StatusOK || got.body != body {
		t.Errorf("the caller got %d %q, %v", got.status, got.body, got.err)
	}
}

// TestBrokenStreamLooksCompleteToAnHTTP10Caller guards against breaks that such callers can't see.
func TestBrokenStreamLooksCompleteToAnHTTP10Caller(t *testing.T) {
	for name, c := range map[string]struct {
		answer answerer
		broken bool
	}{
		"reset":                  {events(3, 8, resetConnection), true},
		"closed within an event": {unframedStream(eventStream, eventsText(1, 3)+"id: 4\ndata: pie", closeConnection), true},
		"whole":                  {events(3, 3, nil), false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, streamRoute(false), c.answer)
			conn, err := net.Dial("tcp", s.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST /p/x HTTP/1.0\r\nHost: site.example\r\n%s: id\r\nContent-Length: 1\r\n\r\nx", testHeaders.RequestID)
			got, err := io.ReadAll(conn)
			if broken := err != nil; broken != c.broken {
				t.Errorf("the caller got %q, %v", got, err)
			}
		})
	}
}

// TestEventsWithOtherLineEndsAreHeldBack guards against events that arrive only when their stream ends.
func TestEventsWithOtherLineEndsAreHeldBack(t *testing.T) {
	for lineEnd, text := range lineEnds {
		t.Run(lineEnd, func(t *testing.T) {
			arrived := make(chan struct{})
			s := newSite(t, streamRoute(false), func(w http.ResponseWriter, r *http.Request, s seen) {
				sealed(http.StatusOK, strings.ReplaceAll(eventsText(1, 1), "\n", text))(w, r, s)
				_ = http.NewResponseController(w).Flush()
				select {
				case <-arrived:
				case <-time.After(time.Second):
				}
			})
			began := time.Now()
			response, err := http.DefaultClient.Do(s.request(t.Context(), http.MethodPost, "/p/x", "id", "x"))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			first := make([]byte, 64)
			n, _ := response.Body.Read(first)
			close(arrived)
			if n == 0 || time.Since(began) > 900*time.Millisecond {
				t.Errorf("%d bytes after %v while the server went on", n, time.Since(began))
			}
		})
	}
}
