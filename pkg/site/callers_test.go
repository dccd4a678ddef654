package site

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/route"
)

// callerSite is an HTTP server on callers' connections, with limits that can be changed.
type callerSite struct {
	t       *testing.T
	callers *callers
	limits  atomic.Pointer[route.Limits]
	served  atomic.Int64
}

func newCallerSite(t *testing.T, least callerTimes, limits route.Limits) *callerSite {
	t.Helper()
	return newCallerSiteOf(t, least, limits, func(*callers) {})
}

// newCallerSiteOf is newCallerSite after a change of the callers.
func newCallerSiteOf(t *testing.T, least callerTimes, limits route.Limits, change func(c *callers)) *callerSite {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &callerSite{t: t}
	s.limits.Store(&limits)
	s.callers = &callers{
		Listener: listener, limits: func() route.Limits { return *s.limits.Load() }, min: least,
		open: make(map[*callerConn]struct{}), logger: hclog.NewNullLogger(),
	}
	change(s.callers)
	server := s.callers.newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.served.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
	go func() { _ = server.Serve(s.callers) }()
	go s.callers.run(t.Context())
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// connect opens a connection, with a request that was answered if used.
func (s *callerSite) connect(used bool) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.callers.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if used {
		if err := ask(conn); err != nil {
			s.t.Fatal(err)
		}
	}
	return conn
}

const siteRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nask"

// ask sends a request and reads its answer.
func ask(conn net.Conn) error {
	if _, err := io.WriteString(conn, siteRequest); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return err
}

// Guards against connections that are closed before a limit that was in force while they were at rest.
func TestConnectionsAreClosedBeforeTheLimitsOfTheConfiguration(t *testing.T) {
	t.Parallel()
	const long, short = 4 * time.Second, 10 * time.Millisecond
	for _, test := range []struct {
		name          string
		used          bool
		before, after time.Duration // limit, and that which follows after a quarter of long
		rest          time.Duration
		closed        bool
	}{
		{"new", false, long, long, long * 4 / 5, false},
		{"used", true, long, long, long * 4 / 5, false},
		{"used, lowered", true, long, short, long * 4 / 5, false},
		{"used, raised", true, long / 2, long, long * 4 / 5, false},
		{"new, over the limit", false, long / 2, long / 2, long, true},
		{"used, over the limit", true, long / 2, long / 2, long, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newCallerSite(t, callerTimes{head: short, idle: short}, route.Limits{IdleTime: test.before})
			conn := s.connect(test.used)
			time.Sleep(long / 4)
			s.limits.Store(&route.Limits{IdleTime: test.after})
			time.Sleep(test.rest - long/4)
			if err := ask(conn); (err != nil) != test.closed {
				t.Errorf("after a rest of %v: %v", test.rest, err)
			}
		})
	}
}

// Guards against heads that are cut off before their limit, and connections that are kept though their head does not end.
func TestHeadsAreCutOffBeforeTheLimitOfTheConfiguration(t *testing.T) {
	t.Parallel()
	const limit = 3 * time.Second
	for name, used := range map[string]bool{"new": false, "used": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCallerSite(t, callerTimes{head: time.Millisecond, idle: time.Millisecond}, route.Limits{HeaderTime: limit, IdleTime: time.Minute})
			slow, endless := s.connect(used), s.connect(used)
			for _, conn := range []net.Conn{slow, endless} {
				if _, err := io.WriteString(conn, siteRequest[:20]); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(limit * 4 / 5)
			if _, err := io.WriteString(slow, siteRequest[20:]); err != nil {
				t.Fatal(err)
			}
			if _, err := http.ReadResponse(bufio.NewReader(slow), nil); err != nil {
				t.Errorf("slow head: %v", err)
			}
			_ = endless.SetReadDeadline(time.Now().Add(limit))
			if _, err := endless.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("a head that does not end keeps its connection open")
			}
		})
	}
}

// acceptCaller returns a caller's connection at both ends, without an HTTP server.
func acceptCaller(t *testing.T) (s *callers, caller net.Conn, accepted *callerConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s = &callers{Listener: listener, limits: func() route.Limits { return route.Limits{} }, open: make(map[*callerConn]struct{})}
	caller, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := s.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return s, caller, conn.(*callerConn)
}

// Guards against a connection that is ended though a request has arrived on it, which a node that was held up has not read yet.
func TestRequestThatArrivedBeforeItsConnectionEndedIsLost(t *testing.T) {
	t.Parallel()
	s, caller, conn := acceptCaller(t)
	all := func(*callerConn) bool { return true }
	buffer := make([]byte, 2*len(siteRequest))
	for i := range 2 { // what it reads undoes its end, so that the next one can be read as well
		if _, err := io.WriteString(caller, siteRequest); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // until it has arrived
		s.endWhere(all)
		if n, err := conn.Read(buffer); err != nil || string(buffer[:n]) != siteRequest {
			t.Errorf("request %d: %q, %v", i, buffer[:n], err)
		}
	}
	s.endWhere(all)
	if n, err := conn.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("nothing arrived, yet a read returns %d bytes, %v", n, err)
	}
}

// Guards against connections that are closed after a request was read from them.
func TestLOSTOfRequestsReadAsTheirConnectionsEnd(t *testing.T) {
	t.Parallel()
	const connections, rounds = 50, 10
	s := newCallerSite(t, callerTimes{time.Minute, time.Minute}, route.Limits{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for t.Context().Err() == nil && s.served.Load() < connections*rounds/2 {
			s.callers.endWhere(func(c *callerConn) bool { return c.begun.IsZero() && c.used })
			time.Sleep(time.Millisecond)
		}
	}()
	answered, closed := make(chan int, connections), make(chan int, connections)
	for range connections {
		go func() {
			n, ends := 0, 0
			for range rounds {
				conn, err := net.Dial("tcp", s.callers.Addr().String())
				if err != nil {
					t.Error(err)
					break
				}
				for ask(conn) == nil {
					n++
					if n%rounds == 0 {
						break
					}
					time.Sleep(time.Millisecond)
				}
				ends++
				_ = conn.Close()
			}
			answered <- n
			closed <- ends
		}()
	}
	answers, closes := 0, 0
	for range connections {
		answers += <-answered
		closes += <-closed
	}
	<-ended
	if served := int(s.served.Load()); served != answers {
		t.Errorf("LOST: %d requests were read and served, %d answered", served, answers)
	}
	t.Logf("%d answers, %d connections", answers, closes)
}

// Guards against a request that is cut off within because its connection was to end as its first bytes were read.
func TestRestOfARequestIsCutOffAsItsConnectionEnds(t *testing.T) {
	t.Parallel()
	for name, read := range map[string]func(s *callers, c *callerConn) error{
		"before its first bytes are noted": func(s *callers, c *callerConn) error {
			c.mu.Lock() // holds the read up once it has its bytes
			go func() {
				defer c.mu.Unlock()
				time.Sleep(50 * time.Millisecond) // until it has them
				c.end()
			}()
			_, err := c.Read(make([]byte, len(siteRequest)))
			return err
		},
		"before its head is noted": func(s *callers, c *callerConn) error {
			_, err := c.Read(make([]byte, len(siteRequest)))
			s.endWhere(func(*callerConn) bool { return true })
			s.stateChanged(c, http.StateActive)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, caller, c := acceptCaller(t)
			if _, err := io.WriteString(caller, siteRequest[:20]); err != nil {
				t.Fatal(err)
			}
			if err := read(s, c); err != nil {
				t.Fatal(err)
			}
			go func() {
				time.Sleep(50 * time.Millisecond) // so that a read finds nothing at first
				_, _ = io.WriteString(caller, siteRequest[20:])
			}()
			rest := make([]byte, len(siteRequest))
			if n, err := c.Read(rest); err != nil || string(rest[:n]) != siteRequest[20:] {
				t.Errorf("the rest of the request: %q, %v", rest[:n], err)
			}
		})
	}
}

// Guards against a rest that is counted from before the last request, or that ends by the minimum of another kind of connection.
func TestRestOfAConnectionIsMistaken(t *testing.T) {
	const head, idle = 10 * time.Second, 2 * time.Minute
	least := callerTimes{head: head, idle: idle}
	for name, test := range map[string]struct {
		used, begun bool
		rest        time.Duration
		want        bool
	}{
		"new":                      {rest: head - time.Second},
		"new, overdue":             {rest: head + time.Second, want: true},
		"used":                     {used: true, rest: idle - time.Second},
		"used, overdue":            {used: true, rest: idle + time.Second, want: true},
		"used, in a head, overdue": {used: true, begun: true, rest: head + time.Second, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			c := &callerConn{since: now.Add(-time.Hour)}
			if test.used {
				c.startWaiting(callerTimes{})
			} else {
				c.since = now
			}
			if test.begun {
				c.begun = now
			}
			if got := c.overdue(now.Add(test.rest), callerTimes{}, least); got != test.want {
				t.Errorf("after %v overdue: %v", test.rest, got)
			}
		})
	}
}

// Guards against callers that take all descriptors with connections on which they send nothing, or no whole head.
func TestConnectionsThatWaitGiveWayToNewOnes(t *testing.T) {
	t.Parallel()
	const most = 4
	for name, begin := range map[string]string{"bare": "", "stopped head": siteRequest[:20]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCallerSiteOf(t, callerTimes{head: time.Minute, idle: time.Minute}, route.Limits{}, func(c *callers) { c.most = most })
			var conns []net.Conn
			for range 3 * most {
				conn := s.connect(false)
				if _, err := io.WriteString(conn, begin); err != nil {
					t.Fatal(err)
				}
				conns = append(conns, conn)
			}
			last := s.connect(false)
			if err := ask(last); err != nil {
				t.Errorf("the newest: %v", err)
			}
			if n := len(s.callers.all()); n > most {
				t.Errorf("%d connections are open, %d may be", n, most)
			}
			_ = conns[0].SetReadDeadline(time.Now().Add(time.Second))
			if _, err := conns[0].Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the oldest is kept")
			}
		})
	}
}

// Guards against bodies of requests that the HTTP server answers by itself, whose rests it awaits for as long as the caller stays.
func TestFAULTOfBodiesThatNoHandlerReads(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"of a known length": "POST / HTTP/1.1\r\nHost: a\r\nExpect: else\r\nContent-Length: 2\r\n\r\na",
		"in chunks":         "POST / HTTP/1.1\r\nHost: a\r\nExpect: else\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCallerSite(t, callerTimes{head: 200 * time.Millisecond, idle: time.Minute}, route.Limits{})
			conn := s.connect(false)
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.WriteString(conn, head); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection is still open")
			}
		})
	}
}

// Guards against bodies of served requests that are cut off by the limit for those that no handler reads.
func TestBodiesThatAHandlerReadsHaveItsTime(t *testing.T) {
	t.Parallel()
	const least = 200 * time.Millisecond
	s := newCallerSite(t, callerTimes{head: least, idle: time.Minute}, route.Limits{})
	conn := s.connect(false)
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, siteRequest[:len(siteRequest)-1]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * least)
	if _, err := io.WriteString(conn, siteRequest[len(siteRequest)-1:]); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil || string(body) != "ask" {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against successes that no server gave, and requests without a line in the log: the HTTP server answers some by itself.
func TestMIXEDOfRequestsThatTheHTTPServerAnswers(t *testing.T) {
	t.Parallel()
	s := newCallerSite(t, callerTimes{head: time.Minute, idle: time.Minute}, route.Limits{})
	conn := s.connect(false)
	if _, err := io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if s.served.Load() != 1 {
		t.Errorf("status %d, and the handler was not asked", answer.StatusCode)
	}
}

// Guards against callers whose bodies stall and keep all connections.
func TestStalledBodiesGiveWayToNewConnections(t *testing.T) {
	t.Parallel()
	var stalled net.Conn
	yielded := make(chan struct{})
	s := newCallerSiteOf(t, callerTimes{head: time.Minute, idle: time.Minute}, route.Limits{}, func(c *callers) {
		c.most, c.yieldBody = 1, func() bool {
			select {
			case <-yielded:
			default:
				close(yielded)
				_ = stalled.Close()
			}
			return true
		}
	})
	stalled = s.connect(false)
	if _, err := io.WriteString(stalled, siteRequest[:len(siteRequest)-1]); err != nil {
		t.Fatal(err)
	}
	for s.served.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	next := s.connect(false)
	_ = next.SetDeadline(time.Now().Add(5 * time.Second))
	if err := ask(next); err != nil {
		t.Error(err)
	}
}

// Guards against listeners that keep more connections than they may, or close the newest.
func TestOldestConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const most = 2
	l := LimitConns(inner, most, hclog.NewNullLogger())
	defer l.Close()
	var conns []net.Conn
	for range 2 * most {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		conns = append(conns, conn)
	}
	for i, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		if open := errors.Is(err, os.ErrDeadlineExceeded); open != (i >= most) {
			t.Errorf("connection %d: %v", i, err)
		}
	}
}
