package relay

import (
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/route"
)

// Guards against a refusal that says that a request has not run, after its server crashed while running it.
func TestREFUSEDAfterACrashDoesNotSayNotRun(t *testing.T) {
	s, _ := newCrashingSite(t, 1, sealed(http.StatusOK, "ok"))
	s.relay.Routes = withTimeout(s.relay.Routes, 500*time.Millisecond)
	got := s.post("id", crashingBody)
	if n := len(s.arrivals()); n != 1 {
		t.Fatalf("%d runs", n)
	}
	if got.status == http.StatusServiceUnavailable {
		t.Errorf("the caller is told that nothing ran: %+v", got)
	}
}

// withTimeout returns a table with another time for each request, which may go to one server.
func withTimeout(routes func() *route.Table, d time.Duration) func() *route.Table {
	r := *routes().Match("site.example", "/p/x")
	r.Timeout, r.MaxAttempts = d, 1
	table := route.NewTable(2, route.Limits{BodyBytes: 1 << 20}, []*route.Route{&r}, []*route.Service{{Name: "s"}})
	return func() *route.Table { return table }
}
