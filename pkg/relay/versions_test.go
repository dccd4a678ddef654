package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/route"
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

// fakeLineage knows the origins of some streams, and records which it was told.
type fakeLineage struct {
	known    map[lineage.Key]lineage.Origin
	began    chan lineage.Key
	complete chan lineage.Key
}

func newFakeLineage() *fakeLineage {
	return &fakeLineage{known: make(map[lineage.Key]lineage.Origin), began: make(chan lineage.Key, 10), complete: make(chan lineage.Key, 10)}
}

func (l *fakeLineage) Began(key lineage.Key, _ lineage.Origin, _ time.Duration) { l.began <- key }
func (l *fakeLineage) Complete(key lineage.Key)                                 { l.complete <- key }
func (l *fakeLineage) FindStored(context.Context, lineage.Key) lineage.Found {
	return lineage.Found{}
}
func (l *fakeLineage) Find(_ context.Context, key lineage.Key) lineage.Found {
	o, known := l.known[key]
	return lineage.Found{Origin: o, Known: known}
}

// takeUp sends a request that continues a stream after its second event.
func (s *site) takeUp(id string, resumes ...string) answer {
	r := s.request(s.t.Context(), http.MethodPost, "/p/x", id, "x")
	r.Header.Set(testHeaders.LastEvent, "2")
	r.Header[testHeaders.Resumes] = resumes
	return s.do(r)
}

func TestORDERStreamOfAnUnknownVersionGoesOn(t *testing.T) {
	s := newSite(t, streamRoute(true), events(8, 8, nil), events(8, 8, nil))
	s.setSoftware("v1", "v2")
	l := newFakeLineage()
	s.relay.Lineage = l
	l.known[lineage.KeyOf("", "known")] = lineage.Origin{Service: "s", Software: "v2"}
	l.known[lineage.KeyOf("another tenant", "theirs")] = lineage.Origin{Service: "s", Software: "v2"}
	l.known[lineage.KeyOf("", "elsewhere")] = lineage.Origin{Service: "another", Software: "v2"}
	l.known[lineage.KeyOf("", "gone")] = lineage.Origin{Service: "s", Software: "v0"}
	for name, row := range map[string]struct {
		resumes []string
		status  int
	}{
		"known":                         {[]string{"known"}, http.StatusOK},
		"unknown":                       {[]string{"unknown"}, http.StatusServiceUnavailable},
		"names no attempt":              {nil, http.StatusServiceUnavailable},
		"names an empty one":            {[]string{""}, http.StatusServiceUnavailable},
		"names two":                     {[]string{"known", "known"}, http.StatusBadRequest},
		"names a very long one":         {[]string{strings.Repeat("k", 10_000)}, http.StatusBadRequest},
		"of another tenant":             {[]string{"theirs"}, http.StatusServiceUnavailable},
		"of another route's service":    {[]string{"elsewhere"}, http.StatusServiceUnavailable},
		"no server of its version left": {[]string{"gone"}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(s.arrivals())
			got := s.takeUp("id-"+name, row.resumes...)
			arrived := s.arrivals()[before:]
			if got.status != row.status || (len(arrived) == 1) != (row.status == http.StatusOK) {
				t.Errorf("status %d with %d requests at servers, want %d", got.status, len(arrived), row.status)
			}
			if len(arrived) == 1 && (arrived[0].server != "server-1" || got.body != eventsText(3, 8)) {
				t.Errorf("ORDER: %s went on with %q", arrived[0].server, got.body)
			}
		})
	}
}

func TestORDERStreamGoesOnAtAVersionThatServesAlone(t *testing.T) {
	for name, row := range map[string]struct {
		sole   lineage.SoleVersion
		listed string // version of the second server
		status int
	}{
		"always":                   {lineage.SoleVersion{Service: "s", Software: "v1"}, "v1", http.StatusOK},
		"for long":                 {lineage.SoleVersion{Service: "s", Software: "v1", Since: 1, Until: 10_001}, "v1", http.StatusOK},
		"not long enough":          {lineage.SoleVersion{Service: "s", Software: "v1", Since: 1, Until: 9_999}, "v1", http.StatusServiceUnavailable},
		"another has come since":   {lineage.SoleVersion{Service: "s", Software: "v1"}, "v2", http.StatusServiceUnavailable},
		"not known":                {lineage.SoleVersion{}, "v1", http.StatusServiceUnavailable},
		"the list is of before it": {lineage.SoleVersion{Service: "s", Software: "v0"}, "v1", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, streamRoute(true), events(8, 8, nil), events(8, 8, nil))
			s.setSoftware("v1", row.listed)
			s.relay.Lineage = newFakeLineage()
			s.relay.SoleVersion = func(string) lineage.SoleVersion { return row.sole }
			for _, resumes := range [][]string{nil, {"unknown"}} {
				if got := s.takeUp("id", resumes...); got.status != row.status {
					t.Errorf("status %d, want %d", got.status, row.status)
				}
			}
		})
	}
}

// Guards against streams that go on at the only version that a node has heard of, though another one may serve by now.
func TestORDERVersionThatServedAloneIsNotConfirmed(t *testing.T) {
	told := lineage.SoleVersion{Service: "s", Software: "v1"}
	for name, row := range map[string]struct {
		confirmed lineage.SoleVersion
		err       error
		status    int
	}{
		"confirmed":           {told, nil, http.StatusOK},
		"not confirmed":       {lineage.SoleVersion{}, errors.New("a test's fault"), http.StatusServiceUnavailable},
		"another one by now":  {lineage.SoleVersion{Service: "s", Software: "v2"}, nil, http.StatusServiceUnavailable},
		"alone for a moment":  {lineage.SoleVersion{Service: "s", Software: "v1", Since: 1, Until: 2}, nil, http.StatusServiceUnavailable},
		"no longer known now": {lineage.SoleVersion{}, nil, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, streamRoute(true), events(8, 8, nil))
			s.setSoftware("v1")
			s.relay.Lineage = newFakeLineage()
			s.relay.SoleVersion = func(string) lineage.SoleVersion { return told }
			s.relay.ConfirmSole = func(context.Context, string) (lineage.SoleVersion, error) { return row.confirmed, row.err }
			if got := s.takeUp("id", "unknown"); got.status != row.status {
				t.Errorf("status %d, want %d", got.status, row.status)
			}
		})
	}
}

func TestDRAINStreamOfAVersionIsSentToAServerThatMayBeGone(t *testing.T) {
	for name, row := range map[string]struct {
		drainTime time.Duration
		unseen    bool // the server drains when this node first lists it
		removed   bool // its record is removed without an announcement
		remaining time.Duration
		takesUp   bool
		status    int
	}{
		"drains":                        {drainTime: 2 * time.Second, takesUp: true, status: http.StatusOK},
		"record removed":                {drainTime: 2 * time.Second, removed: true, takesUp: true, status: http.StatusOK},
		"drains for unknown time":       {drainTime: 2 * time.Second, unseen: true, takesUp: true, status: http.StatusServiceUnavailable},
		"drain time is about over":      {drainTime: sendMargin, takesUp: true, status: http.StatusServiceUnavailable},
		"drain time is unknown":         {takesUp: true, status: http.StatusServiceUnavailable},
		"is gone in a moment":           {drainTime: 2 * time.Second, remaining: backMargin / 2, takesUp: true, status: http.StatusServiceUnavailable},
		"drains, and the stream is new": {drainTime: 2 * time.Second, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, streamRoute(true), events(8, 8, nil))
			s.relay.DrainTime = row.drainTime
			l := newFakeLineage()
			s.relay.Lineage = l
			l.known[lineage.KeyOf("", "began")] = lineage.Origin{Service: "s", Software: "v1"}
			leaving := *s.servers[0]
			leaving.Software, leaving.Draining, leaving.Version = "v1", true, 3
			if row.unseen {
				s.relay.Servers.Replace(nil, 2)
			} else {
				s.setSoftware("v1")
			}
			if row.remaining > 0 {
				leaving.LeaveAt = time.Now().Add(row.remaining)
			}
			if row.unseen {
				leaving.ID = "server-0~unseen"
			}
			if row.removed {
				s.relay.Servers.Replace(nil, 3)
			} else {
				s.relay.Servers.Replace([]*backend.Server{&leaving}, 3)
			}
			got := answer{}
			if row.takesUp {
				got = s.takeUp("id", "began")
			} else {
				got = s.post("id", "x")
			}
			if got.status != row.status {
				t.Errorf("status %d with %d requests at the server, want %d", got.status, len(s.arrivals()), row.status)
			}
		})
	}
}

func TestStreamIsNotToldWhenItBegins(t *testing.T) {
	s := newSite(t, streamRoute(true), events(8, 8, nil))
	l := newFakeLineage()
	s.relay.Lineage = l
	if got := s.post("whole", "x"); got.err != nil {
		t.Fatal(got.err)
	}
	key := lineage.KeyOf("", "whole")
	if told, complete := <-l.began, <-l.complete; told != key || complete != key {
		t.Errorf("told of %x, complete %x, want %x", told, complete, key)
	}
	l.known[key] = lineage.Origin{Service: "s"}
	s.takeUp("again", "whole")
	if told := []lineage.Key{<-l.began, <-l.began}; told[0] != lineage.KeyOf("", "again") || told[1] != key {
		t.Errorf("a stream that was taken up is told as %x", told)
	}
}

func TestStreamIsTakenUpAtAnotherServiceOfItsRoute(t *testing.T) {
	s := newSite(t, streamRoute(true), events(8, 8, nil), events(8, 8, nil))
	s.servers[1].Service = "other"
	s.setSoftware("v1", "v1")
	r := streamRoute(true)
	r.Name, r.Host, r.Prefix, r.Target = "r", "site.example", "/p/", time.Second
	r.Parts = []route.Part{{Service: "s", Weight: 99}, {Service: "other", Weight: 1}}
	table := route.NewTable(2, route.Limits{}, []*route.Route{&r}, []*route.Service{{Name: "s"}, {Name: "other"}})
	s.relay.Routes = func() *route.Table { return table }
	l := newFakeLineage()
	s.relay.Lineage = l
	l.known[lineage.KeyOf("", "began")] = lineage.Origin{Service: "other", Software: "v1"}
	for range 5 {
		if got := s.takeUp("id", "began"); got.body != eventsText(3, 8) {
			t.Errorf("the caller got %d, %q", got.status, got.body)
		}
	}
	for _, a := range s.arrivals() {
		if a.server != "server-1" {
			t.Errorf("the stream went on at %s, of another service", a.server)
		}
	}
}
