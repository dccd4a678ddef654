package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/route"
)

// newOpenSite starts a relay with one server that answers at once.
func newOpenSite(t *testing.T) *site {
	t.Helper()
	return newSite(t, route.Route{Kind: route.Unsafe, MaxAttempts: 1, Timeout: 20 * time.Second}, sealed(http.StatusOK, "a"))
}

// send opens a connection and sends a request's head with some lines, and a part of its body.
func (s *site) send(lines, part string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(3 * discardTime))
	head := "POST /p/x HTTP/1.1\r\nHost: site.example\r\n" + testHeaders.RequestID + ": sent\r\n" + lines + "\r\n\r\n"
	if _, err := io.WriteString(conn, head+part); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// receive returns the status and the body of an answer.
func receive(t *testing.T, conn net.Conn) (int, string) {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(text)
}

// Guards against bodies that stall as a node stops, whose callers are told nothing before their own time is over.
func TestREFUSEDIsToldAsANodeStopsToCallersWhoseBodiesStall(t *testing.T) {
	t.Parallel()
	s := newOpenSite(t)
	s.relay.Bodies = &memory.Budget{}
	conn := s.send("Content-Length: 10", "a")
	time.AfterFunc(100*time.Millisecond, func() {
		s.relay.Stop(time.Second)
		s.relay.CancelAll()
	})
	began := time.Now()
	if status, text := receive(t, conn); status != http.StatusServiceUnavailable || !strings.Contains(text, reasonStopping) || time.Since(began) > 10*time.Second {
		t.Errorf("status %d, %s, after %v", status, text, time.Since(began))
	}
}

// Guards against bodies that are awaited though their length alone is too much.
func TestTooLongBodiesAreNotAwaited(t *testing.T) {
	t.Parallel()
	s := newOpenSite(t)
	began := time.Now()
	conn := s.send("Content-Length: 1048577\r\n"+testHeaders.Deadline+": 10000", "a")
	if status, text := receive(t, conn); status != http.StatusRequestEntityTooLarge || time.Since(began) > 5*time.Second {
		t.Errorf("status %d, %s, after %v", status, text, time.Since(began))
	}
}

// Guards against the memory of bodies that is kept after their requests.
func TestBodiesOfServedRequestsAreReleased(t *testing.T) {
	t.Parallel()
	s := newOpenSite(t)
	s.relay.Bodies = &memory.Budget{Limit: 1 << 20}
	if status, text := receive(t, s.send("Content-Length: 100000", strings.Repeat("a", 100_000))); status != http.StatusOK {
		t.Fatalf("status %d, %s", status, text)
	}
	for began := time.Now(); s.relay.Bodies.Usage().Used > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatalf("%+v", s.relay.Bodies.Usage())
		}
	}
	if s.relay.Bodies.Usage().Most == 0 {
		t.Error("the body was not counted")
	}
}

// Guards against connections that are reset under callers who go on to send after their request was refused.
func TestCallersMaySendOnAfterTheirTime(t *testing.T) {
	t.Parallel()
	s := newOpenSite(t)
	conn := s.send("Content-Length: 1000000\r\n"+testHeaders.Deadline+": 200", "a")
	for range 12 { // longer than the HTTP server waits before it closes a connection
		time.Sleep(100 * time.Millisecond)
		if _, err := io.WriteString(conn, strings.Repeat("a", 50_000)); err != nil {
			t.Fatal(err)
		}
	}
	if status, text := receive(t, conn); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, %s", status, text)
	}
}

// Guards against refused callers who keep their connections, by silence or with single bytes.
func TestConnectionsOfRefusedCallersEnd(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		part        string
		pause, most time.Duration
	}{
		"silent":          {"", time.Hour, discardTime - time.Second},
		"in single bytes": {"a", discardPause / 5, discardTime + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := newOpenSite(t).send("Content-Length: 2000000", c.part)
			began := time.Now()
			go func() {
				for err := error(nil); err == nil; _, err = io.WriteString(conn, "a") {
					time.Sleep(c.pause)
				}
			}()
			_, _ = io.Copy(io.Discard, conn) // ends with the connection, however
			if took := time.Since(began); took > c.most {
				t.Errorf("the connection ended after %v", took)
			}
		})
	}
}
