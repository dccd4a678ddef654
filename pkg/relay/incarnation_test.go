package relay

import (
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/revision"
	"martenwheel.dev/pkg/route"
)

// restartingServer is a server behind a proxy that listens whether the server runs or not. It
// breaks off each request and, if restarts is set, restarts under the same name.
type restartingServer struct {
	*site
	*localQuarantine
	bornAt   int64
	restarts bool
}

func newRestartingServer(t *testing.T, r route.Route) *restartingServer {
	l := &restartingServer{localQuarantine: &localQuarantine{}, bornAt: 1000, restarts: true}
	l.site = newSite(t, r, func(w http.ResponseWriter, r *http.Request, got seen) {
		if len(l.arrivals()) > 1 && got.body != crashingBody {
			sealed(http.StatusOK, "good")(w, r, got)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if l.restarts {
			l.restart()
		}
		resetConnection(conn)
	})
	l.relay.Quarantine = l.localQuarantine
	l.restart()
	return l
}

// restart starts a new incarnation of the server.
func (l *restartingServer) restart() {
	l.bornAt++
	next := *l.servers[0]
	next.ID = backend.Incarnation{Instance: next.ID, Started: l.bornAt}.ID()
	next.Version = revision.Revision(l.bornAt)
	l.relay.Servers.Replace([]*backend.Server{&next}, next.Version)
}

// TestRequestMayHaveRunBeforeRestart checks that a request at a server that restarts counts as
// possibly run: an unsafe one is not retried, a safe one is retried at the next incarnation as at
// another server.
func TestRequestMayHaveRunBeforeRestart(t *testing.T) {
	for name, test := range map[string]struct {
		route    route.Route
		status   int
		arrivals int
	}{
		"unsafe": {route.Route{Kind: route.Unsafe}, http.StatusBadGateway, 1},
		"safe":   {route.Route{Kind: route.Safe, MaxAttempts: 2}, http.StatusOK, 2},
	} {
		t.Run(name, func(t *testing.T) {
			l := newRestartingServer(t, test.route)
			if got := l.post("id", "x"); got.status != test.status {
				t.Errorf("the answer is %+v, want %d", got, test.status)
			}
			arrived := l.arrivals()
			if len(arrived) != test.arrivals {
				t.Errorf("the request reached %d incarnations, want %d", len(arrived), test.arrivals)
			}
			for _, a := range arrived {
				if a.expect != "server-0" {
					t.Errorf("the request was meant for server %q, want server-0", a.expect)
				}
			}
		})
	}
}

// TestBUDGETCountsIncarnationsOfOneServer checks that a request that crashes a server, which restarts
// under the same name, is quarantined after three incarnations.
func TestBUDGETCountsIncarnationsOfOneServer(t *testing.T) {
	l := newRestartingServer(t, route.Route{Kind: route.Safe, MaxAttempts: 1})
	l.restarts = false
	for n := range 3 {
		if got := l.post("id", crashingBody); got.status != http.StatusBadGateway {
			t.Fatalf("the answer is %+v", got)
		}
		l.restart()
		for began := time.Now(); l.crashCount() == n; time.Sleep(time.Millisecond) {
			if time.Since(began) > 10*time.Second {
				t.Fatalf("the crash of incarnation %d was not reported", n)
			}
		}
	}
	if got := l.post("id", crashingBody); got.status != http.StatusServiceUnavailable {
		t.Errorf("the answer is %+v, want 503", got)
	}
	if n := len(l.arrivals()); n != 3 {
		t.Errorf("the request reached %d incarnations, want 3", n)
	}
	f := quarantine.FingerprintOf(http.MethodPost, "site.example", "/p/x", []byte(crashingBody))
	if got := l.Standing(f); got != quarantine.Quarantined {
		t.Errorf("the standing is %v, want quarantined", got)
	}
}
