package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/route"
)

// stalledBody sends a part of a request, and returns the answer.
func (s *site) stalledBody(framing, part string) *http.Response {
	s.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	text := "POST /p/x HTTP/1.1\r\nHost: site.example\r\n" + testHeaders.RequestID + ": stalled\r\n" + testHeaders.Deadline + ": 400\r\n" + framing + "\r\n\r\n"
	if _, err := io.WriteString(conn, text+part); err != nil {
		s.t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = answer.Body.Close()
	return answer
}

// Guards against requests that are held without an answer for as long as their callers do not go on.
func TestREFUSEDIsToldToCallersWhoseBodiesStall(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		framing, part string
		budget        int64
		stops         bool
	}{
		"with a length":      {"Content-Length: 10", "a", 0, false},
		"in chunks":          {"Transfer-Encoding: chunked", "1\r\na\r\n", 0, false},
		"as the node stops":  {"Content-Length: 10", "a", 0, true},
		"without any memory": {"Content-Length: 100000", strings.Repeat("a", 50_000), 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, route.Route{Kind: route.Unsafe, MaxAttempts: 1}, func(w http.ResponseWriter, _ *http.Request, _ seen) { w.WriteHeader(http.StatusOK) })
			s.relay.Bodies = &memory.Budget{Limit: c.budget}
			if c.stops {
				time.AfterFunc(100*time.Millisecond, func() {
					s.relay.Stop(time.Second)
					s.relay.CancelAll()
				})
			}
			answer := s.stalledBody(c.framing, c.part)
			if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || !answer.Close {
				t.Errorf("status %d, header %v", answer.StatusCode, answer.Header)
			}
			if seen := s.arrivals(); len(seen) > 0 {
				t.Errorf("a server got %+v", seen)
			}
			if u := s.relay.Bodies.Usage(); u.Used != 0 {
				t.Errorf("%d bytes are still held", u.Used)
			}
		})
	}
}

// Guards against answers that are held for as long as their callers do not read them.
func TestAnswersThatAreNotReadEndWithTheirTime(t *testing.T) {
	t.Parallel()
	s := newSite(t, route.Route{Kind: route.Unsafe, MaxAttempts: 1}, func(w http.ResponseWriter, _ *http.Request, _ seen) {
		w.Header().Set(testHeaders.Seal, "seal")
		_, _ = w.Write(make([]byte, 4<<20))
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	request := "POST /p/x HTTP/1.1\r\nHost: site.example\r\n" + testHeaders.RequestID + ": unread\r\n" + testHeaders.Deadline + ": 400\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(conn, strings.Repeat(request, 20)); err != nil {
		t.Fatal(err)
	}
	const samples = 50 // between two requests of the connection none is in progress
	began := time.Now()
	for idle := 0; idle < samples || len(s.arrivals()) == 0; time.Sleep(10 * time.Millisecond) {
		idle++
		if s.relay.InFlight() > 0 {
			idle = 0
		}
		if time.Since(began) > 20*time.Second {
			t.Fatalf("%d requests are still in progress", s.relay.InFlight())
		}
	}
}

// Guards against connections that stay for as long as the callers of refused requests do, who stop once no more is read.
func TestFAULTOfRefusedBodiesThatStallLate(t *testing.T) {
	t.Parallel()
	s := newSite(t, route.Route{Kind: route.Unsafe, MaxAttempts: 1}, func(w http.ResponseWriter, _ *http.Request, _ seen) { w.WriteHeader(http.StatusOK) })
	s.relay.Bodies = &memory.Budget{Limit: 1}
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * discardTime))
	const piece = 32 << 10
	chunk := fmt.Sprintf("%x\r\n%s\r\n", piece, strings.Repeat("a", piece))
	go func() {
		_, _ = io.WriteString(conn, "POST /p/x HTTP/1.1\r\nHost: site.example\r\n"+testHeaders.RequestID+": late\r\nTransfer-Encoding: chunked\r\n\r\n"+
			strings.Repeat(chunk, int(s.relay.Routes().Limits().BodyBytes)/piece+3))
	}()
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is still open")
	}
}

// Guards against requests of no route that are held for as long as their bodies stall.
func TestREFUSEDIsToldToCallersOfTheWholeServer(t *testing.T) {
	t.Parallel()
	s := newSite(t, route.Route{Kind: route.Unsafe, MaxAttempts: 1}, func(w http.ResponseWriter, _ *http.Request, _ seen) { w.WriteHeader(http.StatusOK) })
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * discardTime))
	if _, err := io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: site.example\r\nContent-Length: 10\r\n\r\na"); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 404 ") || len(s.arrivals()) > 0 {
		t.Errorf("answer %q, %v; servers got %+v", text, err, s.arrivals())
	}
}

// Guards against requests that wait for memory beyond their time.
func TestBodiesThatWaitForMemoryHaveTheirTime(t *testing.T) {
	t.Parallel()
	s := newSite(t, route.Route{Kind: route.Unsafe, MaxAttempts: 1}, func(w http.ResponseWriter, _ *http.Request, _ seen) { w.WriteHeader(http.StatusOK) })
	s.relay.Bodies = &memory.Budget{Limit: 256 << 10}
	r, w := io.Pipe()
	defer w.Close()
	go func() { _ = memory.NewIncoming(s.relay.Bodies, func() {}).Fill(r, -1, 256<<10) }() // is slow to give way
	if _, err := w.Write(make([]byte, 100<<10)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond) // it has stalled
	began := time.Now()
	answer := s.stalledBody("Content-Length: 200000", strings.Repeat("a", 150_000)) // has 400 ms
	if took := time.Since(began); answer.StatusCode != http.StatusServiceUnavailable || took > 800*time.Millisecond {
		t.Errorf("status %d after %v", answer.StatusCode, took)
	}
}

// Guards against callers' deadlines that lift the time of the route, and so the only limit of bodies that stall.
func TestCONFIGOfCallersWithoutADeadline(t *testing.T) {
	t.Parallel()
	for _, deadline := range []string{"0", "0.0000001", "1e30", "1e13", "NaN", "+Inf"} {
		t.Run(deadline, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, route.Route{Kind: route.Unsafe, MaxAttempts: 1, Timeout: 200 * time.Millisecond},
				func(_ http.ResponseWriter, _ *http.Request, got seen) { <-got.disconnected })
			r := s.request(t.Context(), http.MethodPost, "/p/x", "a", "body")
			r.Header.Set(testHeaders.Deadline, deadline)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			if got := s.do(r.WithContext(ctx)); got.err != nil || got.status == http.StatusOK {
				t.Errorf("got %+v", got)
			}
		})
	}
}
