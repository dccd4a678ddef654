package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

func TestRequestArrivesUnchangedAndAnswerIsPassedOn(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Unsafe}, sealed(http.StatusCreated, "hello"))
	got := s.post("id-1", "body")
	if got.status != http.StatusCreated || got.body != "hello" || got.header.Get(testHeaders.Seal) != "seal-server-0" {
		t.Errorf("the answer is %+v", got)
	}
	arrived := s.arrivals()
	if len(arrived) != 1 || arrived[0].id != "id-1" || arrived[0].body != "body" || arrived[0].target != "/p/x" || arrived[0].expect != "server-0" {
		t.Errorf("the server got %+v", arrived)
	}
	if ms, err := strconv.Atoi(arrived[0].deadline); err != nil || ms <= 0 || ms > 2000 {
		t.Errorf("the server's deadline is %q ms", arrived[0].deadline)
	}
}

// TestFailuresOfServers checks which failures of a server allow a retry and what the caller gets.
func TestFailuresOfServers(t *testing.T) {
	reset := raw("")
	foreign := raw("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nwrong")
	garbage := raw("this is no answer\r\n\r\n")
	short := raw("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nContent-Length: 50\r\n\r\nshort")
	stranger := raw("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	named := raw("HTTP/1.1 404 Not Found\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n")
	unsealed := raw("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 2\r\n\r\nok")
	for _, c := range []struct {
		name   string
		kind   route.Kind
		first  answerer
		status int // status that the caller receives
		runs   int // requests received by servers
	}{
		{"unsafe is not repeated after a reset", route.Unsafe, reset, http.StatusBadGateway, 1},
		{"safe is repeated after a reset", route.Safe, reset, http.StatusOK, 2},
		{"unsafe goes on after a server that did not run it", route.Unsafe, rejectWith(http.StatusServiceUnavailable), http.StatusOK, 2},
		{"unsafe goes on after another server's address", route.Unsafe, rejectWith(http.StatusMisdirectedRequest), http.StatusOK, 2},
		{"unsafe is not repeated after another's answer", route.Unsafe, foreign, http.StatusBadGateway, 1},
		{"safe is repeated after another's answer", route.Safe, foreign, http.StatusOK, 2},
		{"unsafe is not repeated after garbage", route.Unsafe, garbage, http.StatusBadGateway, 1},
		{"safe is repeated after a short answer", route.Safe, short, http.StatusOK, 2},
		{"unsafe with a short answer fails", route.Unsafe, short, http.StatusBadGateway, 1},
		{"a success without seal is none", route.Unsafe, unsealed, http.StatusBadGateway, 1},
		{"a failure without seal and id is no server's", route.Unsafe, stranger, http.StatusBadGateway, 1},
		{"safe is repeated after the failure of no server", route.Safe, stranger, http.StatusOK, 2},
		{"a failure with the id is the server's", route.Unsafe, named, http.StatusNotFound, 1},
		{"a server's failure is passed on", route.Unsafe, sealed(http.StatusInternalServerError, "bad"), http.StatusInternalServerError, 1},
		{"a server's failure is repeated if safe", route.Safe, sealed(http.StatusInternalServerError, "bad"), http.StatusOK, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, route.Route{Kind: c.kind, MaxAttempts: 2}, c.first, sealed(http.StatusOK, "fine"))
			s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now()) // makes the first server the first choice
			got := s.get("id")
			if got.status != c.status {
				t.Errorf("the caller got %d %q %v, want %d", got.status, got.body, got.err, c.status)
			}
			if got.status == http.StatusOK && got.body != "fine" {
				t.Errorf("the caller got the body %q", got.body)
			}
			if runs := len(s.arrivals()); runs != c.runs {
				t.Errorf("%d requests at servers, want %d", runs, c.runs)
			}
		})
	}
}

// TestNoMoreServersThanTheRouteAllows checks that MaxAttempts limits the servers that may have run
// a request.
func TestNoMoreServersThanTheRouteAllows(t *testing.T) {
	bad := raw("")
	s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2}, bad, bad, bad, bad)
	got := s.get("id")
	if got.status != http.StatusBadGateway || len(s.arrivals()) != 2 {
		t.Errorf("status %d after %d requests at servers, want 502 after 2", got.status, len(s.arrivals()))
	}
}

// TestRetriesKeepToBudget checks that failures are final after one of ten nodes spent its share.
func TestRetriesKeepToBudget(t *testing.T) {
	bad := raw("")
	s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2}, bad, bad)
	s.relay.Budget = BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 20}
	s.relay.Nodes = func() int { return 10 }
	const requests = 20
	for range requests {
		s.get("id")
	}
	repeats := len(s.arrivals()) - requests
	if most := int(0.2*requests + 2); repeats > most || repeats == 0 {
		t.Errorf("%d retries of %d requests, want 1 to %d", repeats, requests, most)
	}
}

// TestUnavailableMeansNotRun checks that 503 is sent only if no server may have run the request.
func TestUnavailableMeansNotRun(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Unsafe, MaxAttempts: 3}, rejectWith(http.StatusServiceUnavailable), raw(""))
	s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
	if got := s.post("id", "x"); got.status != http.StatusBadGateway {
		t.Errorf("status %d for a request that may have run, want 502", got.status)
	}
	s = newSite(t, route.Route{Kind: route.Unsafe}, rejectWith(http.StatusServiceUnavailable))
	got := s.post("id", "x")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q for a request that no server ran", got.status, got.header.Get("Retry-After"))
	}
}

// TestTimeoutOfTheRoute checks that the final answer comes at the route's timeout.
func TestTimeoutOfTheRoute(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request, _ seen) { <-r.Context().Done() }
	s := newSite(t, route.Route{Kind: route.Unsafe, Timeout: 150 * time.Millisecond}, hang)
	started := time.Now()
	got := s.post("id", "x")
	if took := time.Since(started); got.status != http.StatusGatewayTimeout || took > 600*time.Millisecond {
		t.Errorf("status %d after %v, want 504 within 600ms", got.status, took)
	}
}

// TestCallerThatLeavesStopsTheServer checks that the connection to the server closes.
func TestCallerThatLeavesStopsTheServer(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request, _ seen) { <-r.Context().Done() }
	s := newSite(t, route.Route{Kind: route.Stream, Timeout: 20 * time.Second}, hang)
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan answer, 1)
	r := s.request(ctx, http.MethodPost, "/p/x", "id", "x")
	r.Header.Set(testHeaders.Deadline, "20000")
	go func() { done <- s.do(r) }()
	for len(s.arrivals()) == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	select {
	case <-s.arrivals()[0].disconnected:
	case <-time.After(5 * time.Second):
		t.Error("the server still works for a caller that left")
	}
	<-done
}

// TestNoServerThatLeavesGetsARequest covers draining and removed servers.
func TestNoServerThatLeavesGetsARequest(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Unsafe, Timeout: 300 * time.Millisecond}, sealed(http.StatusOK, "a"), sealed(http.StatusOK, "b"))
	draining := *s.servers[0]
	draining.Draining, draining.Version = true, 2
	s.relay.Servers.Replace(s.servers[1:], 2)
	s.relay.Servers.Replace([]*backendServer{&draining, s.servers[1]}, 3)
	for range 10 {
		if got := s.get("id"); got.body != "b" {
			t.Fatalf("the answer is %+v", got)
		}
	}
	s.relay.Servers.Replace([]*backendServer{&draining}, 4)
	if got := s.get("id"); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d with no server left, want 503", got.status)
	}
}

// TestHopByHopHeadersAreDropped covers both directions.
func TestHopByHopHeadersAreDropped(t *testing.T) {
	var got http.Header
	s := newSite(t, route.Route{Kind: route.Unsafe}, func(w http.ResponseWriter, r *http.Request, at seen) {
		got = r.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=7")
		sealed(http.StatusOK, "ok")(w, r, at)
	})
	r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "x")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("X-End", "2")
	answer := s.do(r)
	if got.Get("X-Hop") != "" || got.Get("X-End") != "2" || answer.header.Get("Keep-Alive") != "" {
		t.Errorf("the server got %v, the caller %v", got, answer.header)
	}
}

// TestRequestsBeforeAnyTableAreUnavailable checks that a node without a configuration answers 503,
// not 404.
func TestRequestsBeforeAnyTableAreUnavailable(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Unsafe}, sealed(http.StatusOK, "ok"))
	r := s.request(t.Context(), http.MethodGet, "/other/", "id", "")
	if got := s.do(r); got.status != http.StatusNotFound {
		t.Errorf("status %d for a path without a route, want 404", got.status)
	}
	s.relay.Routes = func() *route.Table { return nil }
	if got := s.get("id"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d without a table, want 503 with Retry-After", got.status)
	}
}

// TestStoppingNodeServesAndThenRefuses checks that a stopping node serves requests, and refuses
// those it can't complete.
func TestStoppingNodeServesAndThenRefuses(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Unsafe}, sealed(http.StatusOK, "ok"))
	s.relay.Stop(time.Minute)
	got := s.get("id")
	if got.status != http.StatusOK {
		t.Errorf("a stopping node answered %d", got.status)
	}
	s.relay.Stop(finalAnswerTime)
	time.Sleep(time.Millisecond)
	if got := s.get("id"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d at the end of a stop, want 503 with Retry-After", got.status)
	}
	if len(s.arrivals()) != 1 {
		t.Errorf("%d requests at servers, want 1", len(s.arrivals()))
	}
}

// TestBodyLimit checks that a body over the table's limit is refused and reaches no server.
func TestBodyLimit(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Unsafe}, sealed(http.StatusOK, "ok"))
	got := s.post("id", strings.Repeat("x", 1<<20+1))
	if got.status != http.StatusRequestEntityTooLarge || len(s.arrivals()) != 0 {
		t.Errorf("status %d, %d requests at servers", got.status, len(s.arrivals()))
	}
}

// TestAnswerWithoutLengthIsWholeOnlyAtACleanEnd checks that a server may end its answer by closing
// the connection.
func TestAnswerWithoutLengthIsWholeOnlyAtACleanEnd(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Unsafe}, raw("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nConnection: close\r\n\r\nto the end"))
	if got := s.get("id"); got.status != http.StatusOK || got.body != "to the end" {
		t.Errorf("the answer is %+v", got)
	}
}

// TestDeadServersAreNotDialledInALoop checks that servers that refuse connections are dialled only
// a few times.
func TestDeadServersAreNotDialledInALoop(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Unsafe, Timeout: 600 * time.Millisecond}, sealed(http.StatusOK, "never"))
	var dials atomic.Int32
	directory := &backend.Directory{Dialer: func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		return nil, errors.New("connection refused")
	}}
	directory.Replace(s.servers, 1)
	s.relay.Servers = directory
	got := s.post("id", "x")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, want 503 with Retry-After", got.status)
	}
	if n := dials.Load(); n > 10 {
		t.Errorf("%d dials for one request", n)
	}
}

// TestTriesThatReachNoServerCostNoBudget uses three servers, one of which breaks off and one is
// down, and a budget of one retry.
func TestTriesThatReachNoServerCostNoBudget(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2}, raw(""), sealed(http.StatusOK, "never"), sealed(http.StatusOK, "good"))
	s.relay.Budget = BudgetConfig{Window: 10 * time.Second, Slack: 1 / (budgetSafetyFactor * (1 - lentShare) * slackBurst)}
	s.crash(1)
	for i, id := range []string{"server-0", "server-1", "server-2"} {
		for range 4 * i { // makes the servers tried in this order
			s.relay.Servers.Snapshot().Member(id).Begin(time.Now(), "")
		}
	}
	if got := s.get("id"); got.status != http.StatusOK || got.body != "good" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
	if n := len(s.arrivals()); n != 2 {
		t.Errorf("%d requests at servers, want 2", n)
	}
}

// TestAFullServerIsLeftAlone checks that the only server, which rejects requests as full, is tried
// again only after pauses.
func TestAFullServerIsLeftAlone(t *testing.T) {
	var mu sync.Mutex
	var at []time.Time
	full := func(w http.ResponseWriter, r *http.Request, s seen) {
		mu.Lock()
		at = append(at, time.Now())
		mu.Unlock()
		rejectWith(http.StatusServiceUnavailable)(w, r, s)
	}
	s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2}, full)
	if got := s.get("id"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("the answer is %d %v", got.status, got.header)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(at) != maxSends {
		t.Errorf("%d requests at the server, want %d", len(at), maxSends)
	}
	for i := 1; i < len(at); i++ {
		if pause := at[i].Sub(at[i-1]); pause < fullPause<<(i-1) {
			t.Errorf("request %d arrived after %v", i+1, pause)
		}
	}
}

// TestAnEndedServerKeepsItsPort checks that no other server can listen there and that connections
// are refused.
func TestAnEndedServerKeepsItsPort(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 1}, sealed(http.StatusOK, "x"))
	address := s.running[0].Listener.Addr().String()
	s.crash(0)
	if other, err := net.Listen("tcp", address); err == nil {
		_ = other.Close()
		t.Error("another server can listen on the port")
	}
	if connection, err := net.Dial("tcp", address); err == nil {
		_ = connection.Close()
		t.Error("a connection to the port was accepted")
	}
}
