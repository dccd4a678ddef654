package relay

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/affinity"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/prompt"
	"martenwheel.dev/pkg/route"
)

// stickySite returns a site whose servers all hold the model "m".
func stickySite(t *testing.T, log *bytes.Buffer, answers ...answerer) (*site, *prometheus.Registry) {
	r := streamRoute(true)
	r.Sticky, r.Target, r.GapTarget, r.MaxAttempts = true, 800*time.Millisecond, 300*time.Millisecond, 3
	s := newSite(t, r, answers...)
	for _, server := range s.servers {
		server.Models = []backend.Holding{{Model: "m", Version: 1}}
	}
	s.relay.Servers.Replace(s.servers, 2)
	s.relay.Routes().Service("s").Engine.EventTokens = 6
	s.relay.Headers.Tokens, s.relay.Headers.Parts = "X-Tokens", "X-Parts"
	s.relay.Logger = hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true})
	registry := prometheus.NewRegistry()
	s.relay.Metrics = NewMetrics(registry)
	return s, registry
}

// askWith sends a request with prompt parts and waits for the complete answer.
func (s *site) askWith(id, parts string) {
	s.t.Helper()
	r := s.request(s.t.Context(), http.MethodPost, "/p/x", id, "x")
	r.Header.Set(testHeaders.Model, "m")
	r.Header.Set("X-Tokens", "9200,54")
	if parts != "" {
		r.Header.Set("X-Parts", parts)
	}
	if got := s.do(r); got.status != http.StatusOK {
		s.t.Fatalf("request %s: status %d", id, got.status)
	}
	s.awaitIdle()
}

// choiceCounts returns the counters of choices.
func choiceCounts(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, f := range families {
		if f.GetName() != "martenwheel_relay_preferred_replicas_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			got[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
		}
	}
	return got
}

const sharedParts = "5c1e07a2:2520,91bd3f06:3780,e4402b7d:2900"

// TestSharedPartsGoToOneServer checks that requests with the same shared parts go to one server,
// that requests without parts have no preference, and that log and metrics show both.
func TestSharedPartsGoToOneServer(t *testing.T) {
	log := &bytes.Buffer{}
	s, registry := stickySite(t, log, events(3, 3, nil), events(3, 3, nil), events(3, 3, nil), events(3, 3, nil))
	for i := range 8 {
		s.askWith(fmt.Sprintf("id-%d", i), sharedParts)
	}
	for _, got := range s.arrivals() {
		if got.server != s.arrivals()[0].server {
			t.Errorf("%s went to %s, the first one to %s", got.id, got.server, s.arrivals()[0].server)
		}
	}
	s.askWith("other", "")
	if got := choiceCounts(t, registry); got[preferenceTaken] != 8 || got[preferenceNone] != 1 {
		t.Errorf("choices are %v", got)
	}
	if line := log.String(); !strings.Contains(line, `"preferred":"taken"`) || !strings.Contains(line, `"lane":"long"`) ||
		!strings.Contains(line, `"shared_tokens":6300`) {
		t.Errorf("log: %s", line)
	}
}

// TestPreferredServerThatFailsIsPassedOver checks that all requests go to the second server in the
// order while the preferred one is avoided.
func TestPreferredServerThatFailsIsPassedOver(t *testing.T) {
	s, registry := stickySite(t, &bytes.Buffer{}, events(3, 3, nil), events(3, 3, nil), events(3, 3, nil), events(3, 3, nil))
	s.askWith("first", sharedParts)
	preferred := s.arrivals()[0].server
	s.relay.Servers.Snapshot().Member(preferred).Failed(s.relay.Time.Now().Add(time.Hour))
	for i := range 4 {
		s.askWith(fmt.Sprintf("id-%d", i), sharedParts)
	}
	rest := s.arrivals()[1:]
	for _, got := range rest {
		if got.server == preferred || got.server != rest[0].server {
			t.Errorf("%s went to %s, the first one to %s", got.id, got.server, rest[0].server)
		}
	}
	if got := choiceCounts(t, registry); got[preferencePassed] != 4 {
		t.Errorf("choices are %v", got)
	}
}

// callWithServers returns a call with many servers, some of which hold its model.
func callWithServers(servers, holders int) *call {
	var list []*backend.Server
	for i := range servers {
		model := "m"
		if i >= holders {
			model = "other"
		}
		list = append(list, &backend.Server{ID: fmt.Sprintf("server-%04d-0123456789", i), Service: "s", Zone: "a", Slots: 48,
			Models: []backend.Holding{{Model: model, Version: 1}}})
	}
	r := &Relay{Zone: "a", Servers: &backend.Directory{}}
	r.Servers.Replace(list, 1)
	c := &call{relay: r, request: request{service: "s", arrived: time.Now(), need: backend.Need{Model: "m"}, engine: &route.Engine{EventTokens: 6},
		route:  &route.Route{Kind: route.Stream, Sticky: true, Target: 800 * time.Millisecond, GapTarget: 300 * time.Millisecond},
		prompt: prompt.Parse(prompt.Fields{Tokens: "9200,54", Parts: sharedParts})}}
	c.computeAffinity()
	return c
}

// TestChoiceAllocatesNothing checks that choices do not allocate once the buffers have grown.
func TestChoiceAllocatesNothing(t *testing.T) {
	c := callWithServers(150, 150)
	if n := testing.AllocsPerRun(200, func() { c.choose() }); n >= 1 {
		t.Errorf("%v allocations for a choice", n)
	}
}

func BenchmarkChoice(b *testing.B) {
	for _, holders := range []int{11, 150} {
		for _, prefers := range []bool{true, false} {
			b.Run(fmt.Sprintf("150servers/%dreplicas/prefers=%v", holders, prefers), func(b *testing.B) {
				c := callWithServers(150, holders)
				if !prefers {
					c.affinityReq = affinity.Request{}
				}
				b.ReportAllocs()
				for b.Loop() {
					c.choose()
				}
			})
		}
	}
}

// TestSpeedsAreReportedForLongPrompts checks that the speed of a stream is reported to other nodes
// only if long prompts can delay its events.
func TestSpeedsAreReportedForLongPrompts(t *testing.T) {
	c := callWithServers(2, 2)
	m := c.choose()
	c.record.try(m, time.Now())
	for i := range 20 {
		c.record.eventsSent(time.Unix(100, 0).Add(time.Duration(i)*30*time.Millisecond), 10, 1)
	}
	c.reportSpeed(m)
	if got := c.relay.Servers.TakeQueuedPaces(9); len(got) != 1 || got[0].Server != m.ID || got[0].Model != "m" || got[0].PerEvent <= 0 {
		t.Errorf("reported %+v, want one speed of the server", got)
	}
	c.affinityReq = affinity.Request{}
	c.reportSpeed(m)
	if got := c.relay.Servers.TakeQueuedPaces(9); len(got) != 0 {
		t.Errorf("reported %+v, want nothing", got)
	}
}
