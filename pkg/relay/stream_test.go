package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// backendServer is a shorter name for use in lists.
type backendServer = backend.Server

// eventsText returns the text of the events of a test stream in a range.
func eventsText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// events answers with the events after Last-Event-Id up to stop. If that is before last, end then
// breaks the answer off.
func events(stop, last int, end func(net.Conn)) answerer {
	return func(w http.ResponseWriter, r *http.Request, s seen) {
		first := 1
		if n, err := strconv.Atoi(s.lastEvent); err == nil {
			first = n + 1
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(testHeaders.Seal, "seal-"+s.server)
		w.Header().Set(testHeaders.RequestID, s.id)
		_, _ = io.WriteString(w, eventsText(first, min(stop, last)))
		_ = http.NewResponseController(w).Flush()
		if stop >= last {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		end(conn)
	}
}

// resetConnection closes a connection with a reset.
func resetConnection(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// halfEvent writes part of an event and resets the connection.
func halfEvent(conn net.Conn) {
	_, _ = io.WriteString(conn, "10\r\nid: 4\ndata: piec\r\n")
	resetConnection(conn)
}

func streamRoute(resumable bool) route.Route {
	return route.Route{Kind: route.Stream, Resumable: resumable, MaxAttempts: 2, Timeout: 5 * time.Second,
		GapTarget: 50 * time.Millisecond}
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	s := newSite(t, streamRoute(false), events(5, 5, nil))
	if got := s.post("id", "x"); got.err != nil || got.body != eventsText(1, 5) {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
}

// TestBrokenStreamGoesOnElsewhere checks that no event is lost or duplicated and that the head is
// that of the first server.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	for name, end := range map[string]func(net.Conn){"cut": resetConnection, "within an event": halfEvent} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, streamRoute(true), events(3, 8, end), events(8, 8, nil))
			s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
			got := s.post("id", "x")
			if got.err != nil || got.body != eventsText(1, 8) || got.header.Get(testHeaders.Seal) != "seal-server-0" {
				t.Errorf("the caller got %q, %v, seal %q", got.body, got.err, got.header.Get(testHeaders.Seal))
			}
			arrived := s.arrivals()
			if len(arrived) != 2 || arrived[1].lastEvent != "3" || arrived[1].server != "server-1" {
				t.Errorf("the servers got %+v", arrived)
			}
		})
	}
}

// TestBrokenStreamThatMayNotGoOnLooksBroken checks that a broken stream does not end like a
// complete one.
func TestBrokenStreamThatMayNotGoOnLooksBroken(t *testing.T) {
	s := newSite(t, streamRoute(false), events(3, 8, resetConnection), events(8, 8, nil))
	s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
	got := s.post("id", "x")
	if got.err == nil {
		t.Errorf("a broken stream ended as complete: %q", got.body)
	}
	if len(s.arrivals()) != 1 {
		t.Errorf("%d requests at servers for a stream that may run once", len(s.arrivals()))
	}
}

// TestStalledStreamMovesAndStopsAtTheOldServer checks that a run stops at the old server as soon as another one brings the
// next event.
func TestStalledStreamMovesAndStopsAtTheOldServer(t *testing.T) {
	stalled := func(w http.ResponseWriter, r *http.Request, s seen) {
		w.Header().Set(testHeaders.Seal, "seal-"+s.server)
		w.Header().Set(testHeaders.RequestID, s.id)
		_, _ = io.WriteString(w, eventsText(1, 2))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	var s *site
	// The second server goes on after its first event once the connection to the first server is closed.
	waiting := func(w http.ResponseWriter, r *http.Request, at seen) {
		select {
		case <-s.arrivals()[0].disconnected:
			t.Error("the old server's run was ended before another server went on")
		default:
		}
		w.Header().Set(testHeaders.Seal, "seal-"+at.server)
		w.Header().Set(testHeaders.RequestID, at.id)
		_, _ = io.WriteString(w, eventsText(3, 3))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-s.arrivals()[0].disconnected:
		case <-time.After(2 * time.Second):
			t.Error("the old server still works on a stream that continued elsewhere")
		}
		_, _ = io.WriteString(w, eventsText(4, 6))
	}
	s = newSite(t, streamRoute(true), stalled, waiting)
	for range 4 { // makes the first server preferred
		s.relay.Servers.Snapshot().Member("server-1").Begin(time.Now(), "")
	}
	got := s.patientPost("id")
	if got.err != nil || got.body != eventsText(1, 6) {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
	arrived := s.arrivals()
	if len(arrived) != 2 || arrived[0].server != "server-0" {
		t.Fatalf("the servers got %+v", arrived)
	}
}

// TestStreamLeavesAServerThatWillBeGone checks that a stream moves in time from a server that
// leaves at short notice.
func TestStreamLeavesAServerThatWillBeGone(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request, s seen) {
		w.Header().Set(testHeaders.Seal, "seal-"+s.server)
		w.Header().Set(testHeaders.RequestID, s.id)
		for i := 1; i <= 200 && r.Context().Err() == nil; i++ {
			_, _ = io.WriteString(w, eventsText(i, i))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	}
	s := newSite(t, streamRoute(true), slow, events(200, 200, nil))
	s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
	done := make(chan answer, 1)
	go func() { done <- s.post("id", "x") }()
	for len(s.arrivals()) == 0 {
		time.Sleep(time.Millisecond)
	}
	leaving := *s.servers[0]
	leaving.Draining, leaving.LeaveAt, leaving.Version = true, time.Now().Add(leaveMargin+100*time.Millisecond), 2
	s.relay.Servers.Replace([]*backendServer{&leaving, s.servers[1]}, 2)
	got := <-done
	if got.err != nil || got.body != eventsText(1, 200) {
		t.Errorf("the caller got %d bytes, %v", len(got.body), got.err)
	}
	if arrived := s.arrivals(); len(arrived) != 2 || arrived[1].server != "server-1" {
		t.Errorf("the stream did not move: %d requests at servers", len(arrived))
	}
}

// TestResumedStreamThatFailsLooksBroken checks that a failure of the next server is neither part of
// the answer nor its regular end.
func TestResumedStreamThatFailsLooksBroken(t *testing.T) {
	s := newSite(t, streamRoute(true), events(3, 8, resetConnection), sealed(http.StatusInternalServerError, "bad"))
	for range 4 { // makes the first server preferred
		s.relay.Servers.Snapshot().Member("server-1").Begin(time.Now(), "")
	}
	got := s.post("id", "x")
	if got.err == nil || got.body != eventsText(1, 3) {
		t.Errorf("the caller got %q as a complete answer (%v)", got.body, got.err)
	}
}

// slowLoader reports that a model will be ready after the target of the test's route.
type slowLoader struct{}

func (slowLoader) RequestLoad(context.Context, LoadRequest) (LoadStatus, error) {
	return LoadStatus{ReadyIn: 3 * time.Second}, nil
}

// TestBrokenStreamWaitsForItsModel checks that a stream that has begun is not refused while it can
// still continue.
func TestBrokenStreamWaitsForItsModel(t *testing.T) {
	r := streamRoute(true)
	r.Sticky = true // the service has an engine with the model m
	var s *site
	goneThenCut := func(conn net.Conn) {
		s.relay.Servers.Replace(s.servers[1:], 3)
		resetConnection(conn)
	}
	s = newSite(t, r, events(3, 8, goneThenCut), events(8, 8, nil))
	s.relay.Loader = slowLoader{}
	s.servers[0].Models = []backend.Holding{{Model: "m"}}
	s.relay.Servers.Replace(s.servers, 2)
	request := s.request(t.Context(), http.MethodPost, "/p/x", "id", "x")
	request.Header.Set(testHeaders.Model, "m")
	done := make(chan answer, 1)
	go func() { done <- s.do(request) }()
	for len(s.arrivals()) == 0 {
		time.Sleep(time.Millisecond)
	}
	holds := *s.servers[1]
	holds.Version, holds.Models = 2, []backend.Holding{{Model: "m"}}
	time.Sleep(300 * time.Millisecond)
	s.relay.Servers.Replace([]*backendServer{&holds}, 4)
	if got := <-done; got.err != nil || got.body != eventsText(1, 8) {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
}

// TestCrashedServersDoNotCount crashes the server of a request whose route allows one server. The
// request may go to another one.
func TestCrashedServersDoNotCount(t *testing.T) {
	for name, whenCut := range map[string]int{"before its answer": 0, "midway": 3} {
		t.Run(name, func(t *testing.T) {
			r := streamRoute(true)
			r.MaxAttempts = 1
			var s *site
			crash := func(conn net.Conn) {
				s.crash(0)
				resetConnection(conn)
			}
			first := events(whenCut, 8, crash)
			if whenCut == 0 {
				first = func(w http.ResponseWriter, _ *http.Request, _ seen) {
					conn, _, _ := w.(http.Hijacker).Hijack()
					crash(conn)
				}
			}
			s = newSite(t, r, first, events(8, 8, nil))
			s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
			got := s.post("id", "x")
			if got.err != nil || got.body != eventsText(1, 8) {
				t.Errorf("the caller got %q, %v", got.body, got.err)
			}
			if n := len(s.arrivals()); n != 2 {
				t.Errorf("%d requests at servers, want 2", n)
			}
		})
	}
}

// TestRunningServersCount breaks the connection to a running server of a request whose route allows
// one server. The request must not go to another one.
func TestRunningServersCount(t *testing.T) {
	r := streamRoute(true)
	r.MaxAttempts = 1
	s := newSite(t, r, events(3, 8, resetConnection), events(8, 8, nil))
	s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
	if got := s.post("id", "x"); got.err == nil {
		t.Errorf("the caller got %q as a complete answer", got.body)
	}
	if n := len(s.arrivals()); n != 1 {
		t.Errorf("%d requests at running servers, want 1", n)
	}
}
