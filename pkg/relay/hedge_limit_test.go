package relay

import (
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/route"
)

// Guards against hedges that go to one full server after the other.
func TestHedgesOfOneRequestAreUnlimited(t *testing.T) {
	t.Parallel()
	answers := []answerer{silentStream(2, 6, 3*time.Second)}
	for range 11 {
		answers = append(answers, rejecting())
	}
	s := newSite(t, streamRoute(true), answers...)
	for _, m := range s.relay.Servers.Snapshot().Service("s") {
		if m.ID != "server-0" {
			for range 3 {
				m.Begin(time.Now(), "")
			}
		}
	}
	got := s.patientPost("id")
	if got.err != nil || got.body != eventsText(1, 6) {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
	if n := len(s.arrivals()); n > maxSends {
		t.Errorf("the request was sent %d times, at most %d allowed", n, maxSends)
	}
}

// Guards against the loss of a retry that a hedge took, went on with after the first run failed, and did not use.
func TestRetryOfAnUnsentHedgeIsLost(t *testing.T) {
	t.Parallel()
	s := newSite(t, streamRoute(true), events(6, 6, nil), events(6, 6, nil))
	s.relay.BudgetStart = time.Time{}
	c := &call{relay: s.relay, request: request{route: &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2, Parts: []route.Part{{Service: "s", Weight: 1}}},
		service: "s", arrived: time.Now(), deadline: time.Now().Add(time.Minute)}}
	c.http = s.request(t.Context(), http.MethodPost, "/p/x", "id", "x")
	for range 100 {
		s.relay.budgets.arrive(s.relay.Budget, time.Time{}, time.Now(), "s")
	}
	left := func() float64 { return s.relay.budgets.left(s.relay.Budget, time.Now(), "s", 1) }
	before := left()
	r := newRun(t.Context(), s.relay.Servers.Snapshot().Member("server-0"), &try{})
	s.crash(1)
	if !c.beginHedge(t.Context(), r) {
		t.Fatal("no hedge")
	}
	v, err := c.goOnWithHedge(t.Context()) // the first run failed meanwhile
	if v != notRun || c.sends != 0 {
		t.Fatalf("the hedge got %v, %v", v, err)
	}
	if after := left(); after < before-0.5 {
		t.Errorf("%v retries left of %v though nothing was sent", after, before)
	}
}
