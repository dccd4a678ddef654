package relay

import (
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
)

// setSoftware sets the software version of each server, in their order.
func (s *site) setSoftware(versions ...string) {
	for i, v := range versions {
		s.servers[i].Software = v
	}
	s.relay.Servers.Replace(s.servers, 2)
}

func TestORDERStreamIsMovedToAnotherVersion(t *testing.T) {
	for name, row := range map[string]struct {
		software []string
		goesTo   string
	}{
		"a server of its version is there": {[]string{"v1", "v2", "v2", "v1"}, "server-3"},
		"all others have another one":      {[]string{"v1", "v2", "v2"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveCluster(t, false, len(row.software), func(string) fault { return noFault })
			f.setSoftware(row.software...)
			got := f.runWithLeavingServer()
			if err := f.check(got, false); err != nil {
				t.Error(err)
			}
			if got.err != nil {
				t.Errorf("the stream broke: %v", got.err)
			}
			movedTo := ""
			if a := f.arrivals(); len(a) > 1 {
				movedTo = a[len(a)-1].server
			}
			if movedTo != row.goesTo {
				t.Errorf("ORDER: the stream moved to %q, want %q", movedTo, row.goesTo)
			}
		})
	}
}

func TestORDERStreamHasABackupAtAnotherVersion(t *testing.T) {
	f := newMoveCluster(t, false, 3, func(string) fault { return noFault })
	e := f.relay.Routes().Service("s").Engine
	e.Moves, e.Backups, e.CacheTokens = false, true, 60_000
	f.setSoftware("v1", "v2", "v2")
	f.relay.streams.connectionBroke("server-0", time.Now())
	request := f.request(t.Context(), http.MethodPost, "/p/x", f.id, "x")
	request.Header.Set(testHeaders.Model, "m")
	request.Header.Set(tokensHeader, "2000,200")
	if got := f.do(request); got.err != nil {
		t.Errorf("the stream broke: %v", got.err)
	}
	if f.backup != "" {
		t.Errorf("ORDER: %q, of another version, received copies of the run", f.backup)
	}
}

func TestORDERStreamIsBrokenOffForAServerOfAnotherVersion(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request, s seen) {
		w.Header().Set(testHeaders.Seal, "seal-"+s.server)
		w.Header().Set(testHeaders.RequestID, s.id)
		for i := 1; i <= 100 && r.Context().Err() == nil; i++ {
			_, _ = w.Write([]byte(eventsText(i, i)))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	}
	s := newSite(t, streamRoute(true), slow, events(100, 100, nil))
	s.setSoftware("v1", "v2")
	s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
	done := make(chan answer, 1)
	go func() { done <- s.post("id", "x") }()
	for len(s.arrivals()) == 0 {
		time.Sleep(time.Millisecond)
	}
	leaving := *s.servers[0]
	leaving.Draining, leaving.LeaveAt, leaving.Version = true, time.Now().Add(leaveMargin+100*time.Millisecond), 3
	s.relay.Servers.Replace([]*backend.Server{&leaving, s.servers[1]}, 3)
	got := <-done
	if got.err != nil || got.body != eventsText(1, 100) || len(s.arrivals()) != 1 {
		t.Errorf("ORDER: the caller got %d bytes, %v, from %d servers", len(got.body), got.err, len(s.arrivals()))
	}
}
