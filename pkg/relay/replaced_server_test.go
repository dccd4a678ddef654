package relay

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lineage"
)

// reportTarget is where the servers of these tests tell which process they are.
const reportTarget = "/report"

// replacedSite is a site of two servers. The first one may be another process than its record tells.
type replacedSite struct {
	*site
	replaced atomic.Bool
	streams  atomic.Int64 // that began at the other process
	reports  atomic.Int64 // that the first server was asked for
}

func newReplacedSite(t *testing.T, second string) *replacedSite {
	s := &replacedSite{}
	stream := events(8, 8, nil)
	first := func(w http.ResponseWriter, r *http.Request, got seen) {
		switch {
		case got.target == reportTarget && s.replaced.Load():
			s.reports.Add(1)
			w.WriteHeader(http.StatusConflict)
		case got.target == reportTarget:
			s.reports.Add(1)
		case s.replaced.Load():
			s.streams.Add(1)
			stream(w, r, got)
		default:
			stream(w, r, got)
		}
	}
	r := streamRoute(true)
	r.Sticky = true // its service has an engine
	s.site = newSite(t, r, first, stream)
	s.setSoftware("v1", second)
	s.relay.Lineage = &fakeLineage{began: make(chan lineage.Key, 100), complete: make(chan lineage.Key, 100)}
	s.relay.Identify = func(*backend.Member) *backend.Probe {
		return &backend.Probe{Message: &backend.Message{Method: http.MethodGet, Target: reportTarget, Head: []byte("Host: x\r\n")},
			Accept: func(status int, _ []byte) error {
				if status != http.StatusOK {
					return errors.New("another process")
				}
				return nil
			}}
	}
	return s
}

// aloneForLong tells of a version that has served alone since the site started.
var aloneForLong = lineage.SoleVersion{Service: "s", Software: "v1"}

// begin has a stream begin, at the first server unless that does not take it.
func (s *replacedSite) begin() {
	s.t.Helper()
	s.preferFirst()
	if got := s.post("id", "x"); got.status != http.StatusOK || got.body != eventsText(1, 8) {
		s.t.Errorf("the caller got %d, %q, %v", got.status, got.body, got.err)
	}
}

// replace puts another process in the place of the first server. Connections to the earlier one end.
func (s *replacedSite) replace() {
	s.replaced.Store(true)
	s.running[0].CloseClientConnections()
	m := s.relay.Servers.Snapshot().Member("server-0")
	for began := time.Now(); m.Idle() > 0 && time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
	}
}

// Guards against new streams whose origin is taken from the record of a server that was replaced a moment before.
func TestORDERNewStreamAtAServerReplacedInPlaceHasAWrongOrigin(t *testing.T) {
	for name, row := range map[string]struct {
		second    string              // version of the second server
		sole      lineage.SoleVersion // what the holder tells
		connected bool                // the node had a connection to the first server
	}{
		"of two versions":                    {"v2", lineage.SoleVersion{}, false},
		"of two versions, connected":         {"v2", lineage.SoleVersion{}, true},
		"of one version for a moment":        {"v1", lineage.SoleVersion{Service: "s", Software: "v1", Since: 1, Until: 1001}, false},
		"of one version for long, connected": {"v1", aloneForLong, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newReplacedSite(t, row.second)
			s.relay.SoleVersion = func(string) lineage.SoleVersion { return row.sole }
			if row.connected {
				s.begin()
			}
			s.replace()
			for range 3 {
				s.begin()
			}
			if n := s.streams.Load(); n > 0 {
				t.Errorf("ORDER: %d streams began at a process that the node took for another one", n)
			}
		})
	}
}

// Guards against probes that delay each stream: one goes over each new connection at most, and none if nothing speaks for one.
func TestReportIsAskedForEachStream(t *testing.T) {
	for name, row := range map[string]struct {
		second  string
		sole    lineage.SoleVersion
		reports int64
	}{
		"one version alone": {"v1", aloneForLong, 0},
		"two versions":      {"v2", lineage.SoleVersion{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newReplacedSite(t, row.second)
			s.relay.SoleVersion = func(string) lineage.SoleVersion { return row.sole }
			for range 4 {
				s.begin()
				m := s.relay.Servers.Snapshot().Member("server-0")
				for began := time.Now(); m.Idle() == 0 && time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
				}
			}
			if n := s.reports.Load(); n != row.reports {
				t.Errorf("%d reports were asked for on one connection, want %d", n, row.reports)
			}
		})
	}
}

// Guards against new streams whose origin is wrong since the server was replaced while the node had no connection to it.
func TestORDERNewStreamAtAServerReplacedUnseenHasAWrongOrigin(t *testing.T) {
	s := newReplacedSite(t, "v1")
	s.relay.SoleVersion = func(string) lineage.SoleVersion { return aloneForLong }
	s.replace()
	s.begin()
	if n := s.streams.Load(); n > 0 {
		t.Errorf("ORDER: %d streams began at a process that the node took for another one", n)
	}
}

// Guards against streams that go on from a copy at a server which was replaced before the copy was made.
func TestORDERStreamIsMovedToAServerReplacedInPlace(t *testing.T) {
	for name, row := range map[string]struct {
		replaced error
		goesTo   string
	}{
		"the process of the record": {nil, "server-1"},
		"another process":           {errors.New("another process"), "server-0"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveCluster(t, false, 2, func(string) fault { return noFault })
			f.setSoftware("v1", "v1")
			f.relay.Identify = func(m *backend.Member) *backend.Probe {
				if m.ID == "server-0" { // so that the first arrival is the stream's
					return nil
				}
				return &backend.Probe{Message: &backend.Message{Method: http.MethodGet, Target: reportTarget, Head: []byte("Host: x\r\n")},
					Accept: func(int, []byte) error { return row.replaced }}
			}
			got := f.runWithLeavingServer()
			if err := f.check(got, false); err != nil {
				t.Error(err)
			}
			if got.err != nil {
				t.Errorf("the stream broke: %v", got.err)
			}
			ran := ""
			for _, a := range f.arrivals() {
				if a.target != reportTarget {
					ran = a.server
				}
			}
			if ran != row.goesTo {
				t.Errorf("ORDER: the stream went on at %q, want %q", ran, row.goesTo)
			}
		})
	}
}
