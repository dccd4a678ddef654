package relay

import (
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
)

// Guards against a hedge that is ended since the first run broke off and a copy of it may exist.
func TestHedgeIsEndedForACopyThatNobodyCanUse(t *testing.T) {
	t.Parallel()
	first := func(w http.ResponseWriter, r *http.Request, s seen) {
		silentStream(2, 2, soundSilence+300*time.Millisecond)(w, r, s)
		panic(http.ErrAbortHandler)
	}
	slow := func(w http.ResponseWriter, r *http.Request, s seen) {
		if r.Header.Get(originHeader) != "" {
			rejectWith(http.StatusServiceUnavailable)(w, r, s)
			return
		}
		time.Sleep(600 * time.Millisecond)
		events(6, 6, nil)(w, r, s)
	}
	route := streamRoute(true)
	route.Sticky = true
	s := newSite(t, route, first, slow, slow)
	s.relay.Headers.Origin, s.relay.Headers.Backup, s.relay.Headers.Tokens = originHeader, backupHeader, tokensHeader
	s.relay.Mover = &moveCluster{site: s}
	e := s.relay.Routes().Service("s").Engine
	e.Backups, e.EventTokens, e.CacheTokens = true, 1, 60_000
	for _, server := range s.servers {
		server.Models = []backend.Holding{{Model: "m"}}
	}
	s.relay.Servers.Replace(s.servers, 2)
	for range 4 {
		s.relay.Servers.Snapshot().Member("server-1").Begin(time.Now(), "")
		s.relay.Servers.Snapshot().Member("server-2").Begin(time.Now(), "")
	}
	s.relay.streams.connectionBroke("server-0", time.Now())
	r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "x")
	r.Header.Set(testHeaders.Deadline, "5000")
	r.Header.Set(testHeaders.Model, "m")
	r.Header.Set(tokensHeader, "2000,200")
	if got := s.do(r); got.err != nil || got.body != eventsText(1, 6) {
		t.Errorf("the caller got %q, %v; %d arrivals", got.body, got.err, len(s.arrivals()))
	}
}
