package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/revision"
	"martenwheel.dev/pkg/route"
)

// localQuarantine is the quarantine of a single node.
type localQuarantine struct {
	noCoordinator bool // nobody grants trials

	table      quarantine.Table
	mu         sync.Mutex
	trials     quarantine.Trials
	crashes    []string // servers, as reported
	suspicions int      // reported
}

// Standing implements Quarantine.
func (a *localQuarantine) Standing(subjects ...quarantine.Fingerprint) quarantine.Standing {
	return a.table.Standing(time.Now(), subjects...)
}

// ServerCrashed implements Quarantine.
func (a *localQuarantine) ServerCrashed(runs ...quarantine.Run) {
	a.mu.Lock()
	a.crashes = append(a.crashes, runs[0].Server)
	a.mu.Unlock()
	for _, r := range runs {
		a.table.Merge(time.Now(), r.CrashEvidence())
	}
}

// NextRound implements Quarantine.
func (a *localQuarantine) NextRound(f quarantine.Fingerprint) int {
	return a.table.NextRound(time.Now(), f)
}

// SuspectedRounds implements Quarantine.
func (a *localQuarantine) SuspectedRounds(f quarantine.Fingerprint, server string) (rounds int, again bool) {
	return a.table.SuspectedRounds(time.Now(), f, server)
}

// suspect makes a request with the body suspected and returns its fingerprint.
func (a *localQuarantine) suspect(t *testing.T, body string) quarantine.Fingerprint {
	t.Helper()
	fingerprint := quarantine.FingerprintOf(http.MethodPost, "site.example", "/p/x", []byte(body))
	for round, server := range []string{"gone-1", "gone-2"} {
		a.ServerCrashed(quarantine.Run{Request: fingerprint, Service: "s", Server: server, Round: round + 1})
	}
	if got := a.Standing(fingerprint); got != quarantine.Suspected {
		t.Fatalf("the standing is %v, want suspected", got)
	}
	return fingerprint
}

// CrashSuspected implements Quarantine.
func (a *localQuarantine) CrashSuspected(_ context.Context, runs ...quarantine.Run) {
	a.mu.Lock()
	a.suspicions++
	a.mu.Unlock()
	for _, r := range runs {
		a.table.Suspect(time.Now(), r)
	}
}

// Completed implements Quarantine.
func (a *localQuarantine) Completed(f quarantine.Fingerprint) { a.table.Completed(time.Now(), f) }

// PartAnswered implements Quarantine.
func (a *localQuarantine) PartAnswered(id string, f quarantine.Fingerprint) {
	a.table.PartAnswered(time.Now(), id, f)
}

// Refused implements Quarantine.
func (a *localQuarantine) Refused(subjects ...quarantine.Fingerprint) {
	a.table.Refused(time.Now(), subjects...)
}

// ServerAlive implements Quarantine.
func (a *localQuarantine) ServerAlive(server string, sent time.Time) {
	a.table.ServerAlive(time.Now(), server, sent)
}

// RequestTrial implements Quarantine.
func (a *localQuarantine) RequestTrial(_ context.Context, _, server string, subjects ...quarantine.Fingerprint) (bool, error) {
	if a.noCoordinator {
		return false, errors.New("no holder")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.trials.Start(time.Now(), server, subjects...), nil
}

// ReleaseTrial implements Quarantine.
func (a *localQuarantine) ReleaseTrial(server string, subjects ...quarantine.Fingerprint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trials.End(server, subjects...)
}

// crashCount returns the number of reported crashes.
func (a *localQuarantine) crashCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.crashes)
}

// suspicionCount returns the number of reported suspicions.
func (a *localQuarantine) suspicionCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.suspicions
}

// crashingBody is the body of requests that crash the servers of these tests.
const crashingBody = "ends servers"

// newProxiedSite returns a site whose servers break off requests with the body crashingBody while
// connections are still accepted, as by a proxy.
func newProxiedSite(t *testing.T, servers int) *site {
	t.Helper()
	list := make([]answerer, servers)
	for i := range list {
		list[i] = func(w http.ResponseWriter, r *http.Request, got seen) {
			if got.body != crashingBody {
				sealed(http.StatusOK, "ok")(w, r, got)
				return
			}
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			resetConnection(conn)
		}
	}
	s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 3}, list...)
	s.relay.Quarantine = &localQuarantine{}
	return s
}

// TestRetriesStopWhileCrashIsUnknown checks that the third run of a request whose connections break
// repeatedly is a trial, and that no other run begins before the result of that one is known.
func TestRetriesStopWhileCrashIsUnknown(t *testing.T) {
	s := newProxiedSite(t, 8)
	for i := range 3 {
		s.post(fmt.Sprint(i), crashingBody)
	}
	if n := len(s.arrivals()); n != 3 {
		t.Errorf("the request reached servers %d times, want 3", n)
	}
	if got := s.post("other", "harmless"); got.status != http.StatusOK {
		t.Errorf("another request got %+v", got)
	}
}

// newCrashingSite returns a site whose servers crash when they begin to run a request with the body
// crashingBody. Other requests are handled by answers.
func newCrashingSite(t *testing.T, servers int, answers answerer) (*site, *localQuarantine) {
	t.Helper()
	var s *site
	list := make([]answerer, servers)
	for i := range list {
		list[i] = func(w http.ResponseWriter, r *http.Request, got seen) {
			if got.body != crashingBody {
				answers(w, r, got)
				return
			}
			s.crash(i)
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			resetConnection(conn)
		}
	}
	s = newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 3}, list...)
	q := &localQuarantine{}
	s.relay.Quarantine = q
	return s, q
}

// TestCrashingRequestIsStopped sends a crashing request twice. The first one crashes three servers,
// the second one reaches none and gets the reason.
func TestCrashingRequestIsStopped(t *testing.T) {
	s, _ := newCrashingSite(t, 8, sealed(http.StatusOK, "ok"))
	if got := s.post("first", crashingBody); got.status != http.StatusBadGateway {
		t.Errorf("the first request got %+v, want 502 as it ran", got)
	}
	if n := len(s.arrivals()); n != 3 {
		t.Errorf("the first request reached %d servers, want 3", n)
	}
	got := s.post("second", crashingBody)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "" {
		t.Errorf("the second request got %+v, want 503 without Retry-After", got)
	}
	if !strings.Contains(got.body, "servers ended when they ran this request") {
		t.Errorf("the second request got %q", got.body)
	}
	if n := len(s.arrivals()); n != 3 {
		t.Errorf("%d requests at servers after the second request, want 3", n)
	}
	if got := s.post("other", "harmless"); got.status != http.StatusOK {
		t.Errorf("another request got %+v", got)
	}
}

// TestSuspectedRequestsWaitWithoutCoordinator checks that a request with two crashes is refused
// with a retry time, and not sent, while nobody grants trials.
func TestSuspectedRequestsWaitWithoutCoordinator(t *testing.T) {
	s, q := newCrashingSite(t, 8, sealed(http.StatusOK, "ok"))
	q.noCoordinator = true
	s.post("first", crashingBody)
	got := s.post("second", crashingBody)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("the second request got %+v, want 503 with Retry-After", got)
	}
	if n := len(s.arrivals()); n != 2 {
		t.Errorf("the requests reached %d servers, want 2", n)
	}
}

// TestBrokenConnectionsAreNoEvidence checks that running servers that break connections are not
// reported as crashed.
func TestBrokenConnectionsAreNoEvidence(t *testing.T) {
	reset := func(w http.ResponseWriter, _ *http.Request, _ seen) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		resetConnection(conn)
	}
	s, q := newCrashingSite(t, 4, reset)
	for i := range 10 {
		s.post(fmt.Sprint(i), "innocent")
	}
	if n := q.crashCount(); n != 0 {
		t.Errorf("%d crashes of running servers were reported", n)
	}
}

// TestCompletedRunClearsSuspicion checks that a suspected harmless request is served in a trial and
// is no longer suspected afterwards.
func TestCompletedRunClearsSuspicion(t *testing.T) {
	s, q := newCrashingSite(t, 3, sealed(http.StatusOK, "ok"))
	fingerprint := q.suspect(t, "innocent")
	if got := s.post("id", "innocent"); got.status != http.StatusOK {
		t.Errorf("the request got %+v", got)
	}
	if got := q.Standing(fingerprint); got != quarantine.Free {
		t.Errorf("the standing after a completed run is %v", got)
	}
	if !q.trials.Start(time.Now(), "server-0", fingerprint) {
		t.Error("the trial was not released")
	}
}

// TestServerErrorDoesNotClearSuspicion checks that a server's own failure leaves the request
// suspected.
func TestServerErrorDoesNotClearSuspicion(t *testing.T) {
	s, q := newCrashingSite(t, 3, sealed(http.StatusGatewayTimeout, "late"))
	fingerprint := q.suspect(t, "innocent")
	s.post("id", "innocent")
	if got := q.Standing(fingerprint); got != quarantine.Suspected {
		t.Errorf("the standing after a server's failure is %v", got)
	}
}

// TestAStreamThatRanForLongIsNotBlamed crashes a server during a stream, long after its first event
// or right after it. Only the latter is blamed on the request.
func TestAStreamThatRanForLongIsNotBlamed(t *testing.T) {
	for name, test := range map[string]struct {
		runs   time.Duration
		blamed int
	}{"long": {quarantine.SettleTime + 100*time.Millisecond, 0}, "short": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *site
			s = newSite(t, streamRoute(false), events(3, 8, func(conn net.Conn) {
				time.Sleep(test.runs)
				s.crash(0)
				resetConnection(conn)
			}))
			q := &localQuarantine{}
			s.relay.Quarantine = q
			s.post("id", "x")
			if n := q.crashCount(); n != test.blamed {
				t.Errorf("%d crashes were reported, want %d", n, test.blamed)
			}
		})
	}
}

// TestServerCrashAfterCallerLeft checks that a crash is reported although the caller of the request
// left before it.
func TestServerCrashAfterCallerLeft(t *testing.T) {
	crashed := make(chan struct{})
	var s *site
	s = newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 1}, func(_ http.ResponseWriter, r *http.Request, _ seen) {
		<-r.Context().Done()
		s.crash(0)
		close(crashed)
	})
	q := &localQuarantine{}
	s.relay.Quarantine = q
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, leave)
	s.do(s.request(ctx, http.MethodPost, "/p/x", "id", "x"))
	<-crashed
	s.relay.Servers.Snapshot().Member("server-0").Ended(t.Context()) // as done for another request
	for range 100 {
		if q.crashCount() == 1 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("the crash of the server was not reported")
}

// TestASuspectedRequestThatBreaksWaits breaks the connection of a trial while the address still
// accepts connections, as a proxy does for a crashed server. Neither the request nor its next
// attempt may go to another server.
func TestASuspectedRequestThatBreaksWaits(t *testing.T) {
	s, q := newCrashingSite(t, 4, func(w http.ResponseWriter, _ *http.Request, _ seen) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		resetConnection(conn)
	})
	q.suspect(t, "breaks")
	if got := s.post("first", "breaks"); got.status != http.StatusBadGateway {
		t.Errorf("the first request got %+v", got)
	}
	if got := s.post("second", "breaks"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("the second request got %+v, want 503 with Retry-After", got)
	}
	if n := len(s.arrivals()); n != 1 {
		t.Errorf("the requests reached %d servers, want 1", n)
	}
}

// brieflyQuarantined is a quarantine in which a request is quarantined for one check only, as if
// another node then reported a completed run.
type brieflyQuarantined struct {
	*localQuarantine
	looks atomic.Int32
}

// Standing implements Quarantine.
func (b *brieflyQuarantined) Standing(...quarantine.Fingerprint) quarantine.Standing {
	if b.looks.Add(1) == 2 { // the first check is made when the request is accepted
		return quarantine.Quarantined
	}
	return quarantine.Free
}

// TestQuarantineJustBeforeSendIsAnswered quarantines a request when it is about to be sent and
// lifts the quarantine a moment later. The refusal must still give the reason.
func TestQuarantineJustBeforeSendIsAnswered(t *testing.T) {
	s, q := newCrashingSite(t, 2, sealed(http.StatusOK, "ok"))
	s.relay.Quarantine = &brieflyQuarantined{localQuarantine: q}
	got := s.post("id", "innocent")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "servers ended when they ran this request") {
		t.Errorf("the request got %+v, want 503 with the reason", got)
	}
	if n := len(s.arrivals()); n != 0 {
		t.Errorf("the request reached %d servers", n)
	}
}

// evidenceSharing is a quarantine whose coordinator reports another crash together with a trial.
type evidenceSharing struct{ *localQuarantine }

// RequestTrial implements Quarantine.
func (i evidenceSharing) RequestTrial(ctx context.Context, service, server string, subjects ...quarantine.Fingerprint) (bool, error) {
	i.ServerCrashed(quarantine.Run{Request: subjects[0], Service: service, Server: "gone-2", Round: 2})
	return i.localQuarantine.RequestTrial(ctx, service, server, subjects...)
}

// TestRoundIncludesEvidenceFromTrial checks that a run in a trial belongs to the round after the
// evidence received with the trial, so that its crash is of the third round and leads to
// quarantine.
func TestRoundIncludesEvidenceFromTrial(t *testing.T) {
	s, q := newCrashingSite(t, 4, sealed(http.StatusOK, "ok"))
	s.relay.Quarantine = evidenceSharing{q}
	fingerprint := quarantine.FingerprintOf(http.MethodPost, "site.example", "/p/x", []byte(crashingBody))
	for _, server := range []string{"gone-1a", "gone-1b", "gone-1c"} { // copies of the request in one round, which make it suspected
		q.ServerCrashed(quarantine.Run{Request: fingerprint, Service: "s", Server: server, Round: 1})
	}
	s.post("id", crashingBody)
	if n := len(s.arrivals()); n != 1 {
		t.Errorf("the request reached %d servers after two reported rounds, want 1", n)
	}
	if got := q.Standing(fingerprint); got != quarantine.Quarantined {
		t.Errorf("the standing after three rounds is %v", got)
	}
}

// throughAnother is a connection through another node.
type throughAnother struct{ net.Conn }

func (throughAnother) Indirect() {}

// TestBrokenLinkOfTheNodeAccusesTheServer guards against innocent requests in the quarantine of all nodes.
func TestBrokenLinkOfTheNodeAccusesTheServer(t *testing.T) {
	for name, c := range map[string]struct {
		reachedByOther bool
		suspected      int
	}{"this node's link broke": {true, 0}, "the connection broke": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, streamRoute(false), events(3, 8, resetConnection))
			var dials atomic.Int32
			directory := &backend.Directory{Dialer: func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				if err == nil && dials.Add(1) > 1 && c.reachedByOther {
					return throughAnother{conn}, nil
				}
				return conn, err
			}}
			directory.Replace(s.servers, 1)
			q := &localQuarantine{}
			s.relay.Servers, s.relay.Quarantine = directory, q
			if got := s.post("id", "x"); got.err == nil {
				t.Fatal("the stream did not break")
			}
			if n := q.suspicionCount(); n != c.suspected {
				t.Errorf("%d suspicions, want %d", n, c.suspected)
			}
		})
	}
}

func TestOneEndOfAServerCountsAsTwo(t *testing.T) {
	later := func(s *site, started int64) *backend.Server {
		return &backend.Server{ID: backend.Incarnation{Instance: "server-0", Started: started}.ID(), Service: "s", Address: s.servers[0].Address, Slots: 8, Version: 1}
	}
	for name, c := range map[string]struct {
		lists [][]int64 // starts of the incarnations listed one after the other
		ends  int
	}{
		"its record vanishes":                    {[][]int64{{}}, 1},
		"another incarnation takes its place":    {[][]int64{{2000}}, 1},
		"the incarnation in its place ends, too": {[][]int64{{2000}, {3000}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newProxiedSite(t, 1)
			q := s.relay.Quarantine.(*localQuarantine)
			s.relay.Servers.Replace([]*backend.Server{later(s, 1000)}, 2)
			for _, id := range []string{"first", "second"} {
				s.post(id, crashingBody)
			}
			for i, starts := range c.lists {
				var list []*backend.Server
				for _, started := range starts {
					list = append(list, later(s, started))
				}
				s.relay.Servers.Replace(list, revision.Revision(i+3))
			}
			time.Sleep(100 * time.Millisecond)
			f := quarantine.FingerprintOf(http.MethodPost, "site.example", "/p/x", []byte(crashingBody))
			if ends := q.table.Evidence(time.Now(), f, "s").Ends; len(ends) != c.ends {
				t.Errorf("ends %+v, want %d", ends, c.ends)
			}
		})
	}
}

// crashesMeanwhile is a quarantine that learns of crashes right after a request was permitted.
type crashesMeanwhile struct {
	*localQuarantine
	servers []string
	asked   atomic.Int32 // how often the standing was asked for
}

// Standing implements Quarantine. The first call accepts the request, the second permits its run.
func (c *crashesMeanwhile) Standing(subjects ...quarantine.Fingerprint) quarantine.Standing {
	standing := c.localQuarantine.Standing(subjects...)
	if c.asked.Add(1) == 2 {
		for i, gone := range c.servers {
			c.ServerCrashed(quarantine.Run{Request: subjects[0], Service: "s", Server: gone, Round: i + 1})
		}
	}
	return standing
}

func TestRequestIsSentAlthoughServersWereFoundToHaveEndedUnderItMeanwhile(t *testing.T) {
	for name, servers := range map[string][]string{
		"it is suspected":   {"gone-1", "gone-2"},
		"it is quarantined": {"gone-1", "gone-2", "gone-3"},
	} {
		t.Run(name, func(t *testing.T) {
			s, q := newCrashingSite(t, 2, sealed(http.StatusOK, "ok"))
			q.noCoordinator = true
			s.relay.Quarantine = &crashesMeanwhile{localQuarantine: q, servers: servers}
			if got := s.post("id", "any"); got.status != http.StatusServiceUnavailable {
				t.Errorf("the request got %+v", got)
			}
			if n := len(s.arrivals()); n != 0 {
				t.Errorf("the request reached %d servers", n)
			}
		})
	}
}

func TestEndOfAServerThatAnotherNodeConnectsToIsForgotten(t *testing.T) {
	s := newProxiedSite(t, 3)
	var dials sync.Map
	directory := &backend.Directory{Dialer: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if _, again := dials.LoadOrStore(address, true); err == nil && again && address == s.servers[0].Address {
			return throughAnother{conn}, nil // something accepts connections in place of the server
		}
		return conn, err
	}}
	directory.Replace(s.servers, 1)
	s.relay.Servers = directory
	if got := s.post("id", crashingBody); got.status != http.StatusBadGateway || len(s.arrivals()) != 3 {
		t.Fatalf("the request got %+v after %d servers", got, len(s.arrivals()))
	}
	directory.Replace(nil, 2)
	f := quarantine.FingerprintOf(http.MethodPost, "site.example", "/p/x", []byte(crashingBody))
	deadline := time.Now().Add(2 * time.Second)
	for s.relay.Quarantine.Standing(f) != quarantine.Quarantined {
		if time.Now().After(deadline) {
			t.Fatalf("three servers ended one after the other; it is %v by %+v", s.relay.Quarantine.Standing(f),
				s.relay.Quarantine.(*localQuarantine).table.Evidence(time.Now(), f, "s").Ends)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestLineOfARequestUnderWhichAServerEndedDoesNotNameItsParts(t *testing.T) {
	for body, want := range map[string]bool{crashingBody: true, "harmless": false} {
		s, _ := newCrashingSite(t, 2, sealed(http.StatusOK, "ok"))
		var lines strings.Builder
		s.relay.Logger = hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
		r := s.request(t.Context(), http.MethodPost, "/p/x", "id", body)
		r.Header.Set(testHeaders.Parts, "aa:10,bb:20,cc:30")
		s.do(r)
		s.front.Close() // waits until the line is written
		if got := strings.Contains(lines.String(), `"parts":["aa","bb"]`); got != want {
			t.Errorf("%q: the line names the parts: %t, want %t: %s", body, got, want, lines.String())
		}
	}
}
