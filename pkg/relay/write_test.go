package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/route"
)

// limitWriteBuffers makes the node's system hold little of what callers do not read.
func (s *site) limitWriteBuffers() {
	s.front.Close()
	s.front = httptest.NewUnstartedServer(s.relay)
	s.front.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
		return ConnContext(ctx, conn)
	}
	s.front.Start()
	s.t.Cleanup(s.front.Close)
}

// Guards against callers that read nothing and hold the memory of their answers for as long as they stay.
func TestFAULTOfAnswersThatAreNotRead(t *testing.T) {
	events := func(w http.ResponseWriter, _ *http.Request, _ seen) {
		w.Header().Set(testHeaders.Seal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		for range 5 {
			_, _ = io.WriteString(w, "data: "+longBody[:maxEventBytes/2]+"\n\n")
		}
	}
	for kind, answer := range map[route.Kind]answerer{
		route.Safe: sealed(http.StatusOK, strings.Repeat(longBody, 3)), route.Stream: events,
	} {
		s := newSite(t, route.Route{Kind: kind, MaxAttempts: 1, Timeout: 500 * time.Millisecond}, answer)
		s.limitWriteBuffers()
		s.relay.Answers = &memory.Budget{Limit: 64 << 20}
		for i := range 4 {
			conn, err := net.Dial("tcp", s.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: site.example\r\n%s: id%d\r\nContent-Length: 1\r\n\r\nx", testHeaders.RequestID, i)
		}
		awaitHeld(t, s.relay.Answers, func(used int64) bool { return used > 0 })
		awaitHeld(t, s.relay.Answers, func(used int64) bool { return used == 0 })
	}
}

// awaitHeld waits until as much of a budget is held as asked for.
func awaitHeld(t *testing.T, b *memory.Budget, enough func(int64) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !enough(b.Usage().Used); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%+v", b.Usage())
		}
	}
}

// Guards against a time for writing that lasts on when the connection is used again.
func TestConnectionsOutlastTheTimesOfTheirAnswers(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 1, Timeout: 200 * time.Millisecond}, sealed(http.StatusOK, "ok"))
	conn, err := net.Dial("tcp", s.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, c := range []struct {
		path string
		want int
	}{{"/p/x", http.StatusOK}, {"/no-route", http.StatusNotFound}} {
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: site.example\r\n%s: id\r\nContent-Length: 1\r\n\r\nx", c.path, testHeaders.RequestID)
		got, err := http.ReadResponse(reader, nil)
		if err != nil || got.StatusCode != c.want {
			t.Fatalf("%s: %+v, %v", c.path, got, err)
		}
		_, _ = io.Copy(io.Discard, got.Body)
		time.Sleep(200*time.Millisecond + writeMargin + 100*time.Millisecond)
	}
}
