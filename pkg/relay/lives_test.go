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

// lives is a server behind a proxy, which listens whether the server runs or not. It breaks
// off each request and starts again under the name that it had, if reborn is set.
type lives struct {
	*site
	*alone
	born   int64
	reborn bool
}

func newLives(t *testing.T, r route.Route) *lives {
	l := &lives{alone: &alone{}, born: 1000, reborn: true}
	l.site = newSite(t, r, func(w http.ResponseWriter, r *http.Request, got seen) {
		if len(l.arrivals()) > 1 && got.body != fatalBody {
			sealed(http.StatusOK, "good")(w, r, got)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if l.reborn {
			l.again()
		}
		cut(conn)
	})
	l.relay.Quarantine = l.alone
	l.again()
	return l
}

// again has the server start again.
func (l *lives) again() {
	l.born++
	next := *l.servers[0]
	next.ID = backend.Life{Instance: next.ID, Born: l.born}.ID()
	next.Version = revision.Revision(l.born)
	l.relay.Servers.Replace([]*backend.Server{&next}, next.Version)
}

// TestARequestThatMayHaveRunBeforeARebirth may have run: one that may not be repeated is not,
// and one that may goes to the next life as to another server.
func TestARequestThatMayHaveRunBeforeARebirth(t *testing.T) {
	for name, test := range map[string]struct {
		route    route.Route
		status   int
		arrivals int
	}{
		"unsafe": {route.Route{Kind: route.Unsafe}, http.StatusBadGateway, 1},
		"safe":   {route.Route{Kind: route.Safe, MaxAttempts: 2}, http.StatusOK, 2},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLives(t, test.route)
			if got := l.post("id", "x"); got.status != test.status {
				t.Errorf("the answer is %+v, want %d", got, test.status)
			}
			arrived := l.arrivals()
			if len(arrived) != test.arrivals {
				t.Errorf("it came to %d lives, want %d", len(arrived), test.arrivals)
			}
			for _, a := range arrived {
				if a.expect != "server-0" {
					t.Errorf("it was for %q", a.expect)
				}
			}
		})
	}
}

// TestBUDGETCountsTheLivesOfOneServer: a request that ends a server, which starts again under
// the name that it had, is in quarantine after three lives.
func TestBUDGETCountsTheLivesOfOneServer(t *testing.T) {
	l := newLives(t, route.Route{Kind: route.Safe, MaxAttempts: 1})
	l.reborn = false
	for n := range 3 {
		if got := l.post("id", fatalBody); got.status != http.StatusBadGateway {
			t.Fatalf("the answer is %+v", got)
		}
		l.again()
		for began := time.Now(); l.blamed() == n; time.Sleep(time.Millisecond) {
			if time.Since(began) > 10*time.Second {
				t.Fatalf("the end of life %d is not told", n)
			}
		}
	}
	if got := l.post("id", fatalBody); got.status != http.StatusServiceUnavailable {
		t.Errorf("the answer is %+v, want 503", got)
	}
	if n := len(l.arrivals()); n != 3 {
		t.Errorf("it came to %d lives, want 3", n)
	}
	f := quarantine.FingerprintOf(http.MethodPost, "site.example", "/p/x", []byte(fatalBody))
	if got := l.Standing(f); got != quarantine.Quarantined {
		t.Errorf("it is %v", got)
	}
}
