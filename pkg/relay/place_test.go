package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"martenwheel.dev/pkg/admission"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/route"
)

// fakePlaces decides on places as the test specifies and records the reports.
type fakePlaces struct {
	decide func(n int, r *admission.Request) (admission.Verdict, error) // n: number of requests before

	mu    sync.Mutex
	count uint64
	asked []admission.Request
	sent  []admission.Report
	first []uint64
	left  []uint64
}

func (k *fakePlaces) NewPlaceID() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count++
	return k.count
}

func (k *fakePlaces) RequestPlace(_ context.Context, r *admission.Request) (admission.Verdict, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked = append(k.asked, *r)
	return k.decide(len(k.asked)-1, r)
}

func (k *fakePlaces) ReportPlaceSent(r admission.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent = append(k.sent, r)
}

func (k *fakePlaces) ReportPlaceAnswered(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.first = append(k.first, id)
}

func (k *fakePlaces) ReleasePlace(id uint64, _ admission.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left = append(k.left, id)
}

// overloadedSite returns a site whose servers hold the model "m" and whose engine declares its
// memory.
func overloadedSite(t *testing.T, r route.Route, k *fakePlaces, answers ...answerer) *site {
	t.Helper()
	r.Sticky = true
	s := newSite(t, r, answers...)
	for _, server := range s.servers {
		server.Models = []backend.Holding{{Model: "m", Version: 1, Adapters: []string{"a"}}}
	}
	s.relay.Servers.Replace(s.servers, 2)
	s.relay.Headers.Tokens, s.relay.Headers.Parts, s.relay.Headers.Likely = "X-Tokens", "X-Parts", "X-Likely"
	s.relay.Routes().Service("s").Engine.CacheTokens = 250_000
	s.relay.Places = k
	return s
}

// askWithPrompt sends a request with a prompt.
func (s *site) askWithPrompt(id string) answer {
	s.t.Helper()
	r := s.request(s.t.Context(), http.MethodPost, "/p/x", id, "x")
	r.Header.Set("X-Model", "m/a")
	r.Header.Set("X-Tokens", "9200,80")
	r.Header.Set("X-Parts", "c:2500,s:3800,o:2900")
	return s.do(r)
}

// fixedVerdict always returns the same verdict.
func fixedVerdict(v admission.Verdict) func(int, *admission.Request) (admission.Verdict, error) {
	return func(int, *admission.Request) (admission.Verdict, error) { return v, nil }
}

// TestRequestGoesToGrantedServer checks that a request goes to the server of its verdict and that
// its progress is reported.
func TestRequestGoesToGrantedServer(t *testing.T) {
	k := &fakePlaces{decide: fixedVerdict(admission.Verdict{Kind: admission.Go, Server: "server-2", First: time.Millisecond})}
	s := overloadedSite(t, streamRoute(false), k, events(5, 5, nil), events(5, 5, nil), events(5, 5, nil))
	for range 5 {
		if got := s.askWithPrompt("id"); got.body != eventsText(1, 5) {
			t.Fatalf("the caller got %+v", got)
		}
	}
	for _, got := range s.arrivals() {
		if got.server != "server-2" {
			t.Errorf("a request went to %s, want server-2", got.server)
		}
	}
	r := k.asked[0]
	if r.Key != (admission.Key{Service: "s", Model: "m"}) || r.Need != "m/a" || r.Work.Tokens != 9200 || r.Work.Out != 80 ||
		len(r.Work.Parts) != 3 || len(r.Servers) != 3 || r.Target <= 0 || r.Patience <= r.Target || !r.Valid() && r.Place.Node != "" {
		t.Errorf("the place request is %+v", r)
	}
	if len(k.sent) != 5 || k.sent[0].Server != "server-2" || !k.sent[0].Granted || len(k.first) < 5 || len(k.left) != 5 {
		t.Errorf("reported sent %+v, answered %v, left %v", k.sent, k.first, k.left)
	}
}

// TestARefusedRequestIsNotRun checks that a refused request reaches no server and that its caller
// gets the retry time.
func TestARefusedRequestIsNotRun(t *testing.T) {
	k := &fakePlaces{decide: fixedVerdict(admission.Verdict{Kind: admission.Refuse, After: 700 * time.Millisecond})}
	s := overloadedSite(t, streamRoute(false), k, events(5, 5, nil))
	got := s.askWithPrompt("id")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "0.700" || len(s.arrivals()) != 0 {
		t.Errorf("the caller got %+v, the servers got %v", got, s.arrivals())
	}
	s.front.Close() // waits for the end of the request
	if len(k.left) != 1 || len(k.sent) != 0 {
		t.Errorf("reported left %v, sent %v", k.left, k.sent)
	}
}

// TestARequestWaitsAndAsksAgain checks that a waiting request asks again under the same ID.
func TestARequestWaitsAndAsksAgain(t *testing.T) {
	k := &fakePlaces{decide: func(n int, _ *admission.Request) (admission.Verdict, error) {
		if n < 2 {
			return admission.Verdict{Kind: admission.Wait, After: 20 * time.Millisecond}, nil
		}
		return admission.Verdict{Kind: admission.Go, Server: "server-0"}, nil
	}}
	s := overloadedSite(t, streamRoute(false), k, events(5, 5, nil))
	if got := s.askWithPrompt("id"); got.body != eventsText(1, 5) {
		t.Fatalf("the caller got %+v", got)
	}
	if len(k.asked) != 3 || k.asked[2].Place.ID != k.asked[0].Place.ID || k.asked[2].Waited < 40*time.Millisecond {
		t.Errorf("the place requests are %+v", k.asked)
	}
}

// TestNobodyWaitsBeyondItsCaller checks that a request that repeatedly has to wait is refused
// before its caller leaves.
func TestNobodyWaitsBeyondItsCaller(t *testing.T) {
	k := &fakePlaces{decide: fixedVerdict(admission.Verdict{Kind: admission.Wait, After: 100 * time.Millisecond})}
	r := streamRoute(false)
	r.Timeout = time.Second
	s := overloadedSite(t, r, k, events(5, 5, nil))
	began := time.Now()
	if got := s.askWithPrompt("id"); got.status != http.StatusServiceUnavailable || time.Since(began) >= time.Second {
		t.Errorf("the caller got %+v after %v", got, time.Since(began))
	}
}

// TestNodeChoosesWithoutVerdict checks that the node chooses if nobody answers or the granted
// server is gone.
func TestNodeChoosesWithoutVerdict(t *testing.T) {
	for name, decide := range map[string]func(int, *admission.Request) (admission.Verdict, error){
		"nobody answers": func(int, *admission.Request) (admission.Verdict, error) {
			return admission.Verdict{}, errors.New("no answer")
		},
		"the server is gone": fixedVerdict(admission.Verdict{Kind: admission.Go, Server: "gone"}),
	} {
		k := &fakePlaces{decide: decide}
		s := overloadedSite(t, streamRoute(false), k, events(5, 5, nil))
		if got := s.askWithPrompt("id"); got.body != eventsText(1, 5) {
			t.Errorf("%s: the caller got %+v", name, got)
		}
		if len(k.sent) != 1 || k.sent[0].Server != "server-0" {
			t.Errorf("%s: reported sent %+v", name, k.sent)
		}
	}
}

// TestAnAnswerThatHasBegunIsNotRefused checks that a broken stream continues at another server
// without asking for a place.
func TestAnAnswerThatHasBegunIsNotRefused(t *testing.T) {
	k := &fakePlaces{decide: func(n int, _ *admission.Request) (admission.Verdict, error) {
		if n == 0 {
			return admission.Verdict{Kind: admission.Go, Server: "server-0"}, nil
		}
		return admission.Verdict{Kind: admission.Refuse, After: time.Second}, nil
	}}
	s := overloadedSite(t, streamRoute(true), k, events(3, 6, halfEvent), events(6, 6, nil))
	if got := s.askWithPrompt("id"); got.body != eventsText(1, 6) {
		t.Errorf("the caller got %+v", got)
	}
	if len(k.asked) != 1 || len(k.sent) != 2 || len(k.left) != 2 {
		t.Errorf("%d place requests, reported sent %+v, left %v", len(k.asked), k.sent, k.left)
	}
}

// TestARefusalAfterARunSaysSo checks that the status of a refusal tells that a server may have run
// the request.
func TestARefusalAfterARunSaysSo(t *testing.T) {
	k := &fakePlaces{decide: func(n int, _ *admission.Request) (admission.Verdict, error) {
		if n == 0 {
			return admission.Verdict{Kind: admission.Go, Server: "server-0"}, nil
		}
		return admission.Verdict{Kind: admission.Refuse, After: time.Second}, nil
	}}
	s := overloadedSite(t, streamRoute(true), k, raw("HTTP/1.1 200 OK\r\n"), events(6, 6, nil))
	if got := s.askWithPrompt("id"); got.status != http.StatusBadGateway {
		t.Errorf("the caller got %+v", got)
	}
}

// TestAPlaceExpiresDuringASuspension suspends the node between verdict and send. It must ask again.
func TestAPlaceExpiresDuringASuspension(t *testing.T) {
	var mu sync.Mutex
	var slept time.Duration
	k := &fakePlaces{decide: fixedVerdict(admission.Verdict{Kind: admission.Go, Server: "server-0"})}
	s := overloadedSite(t, streamRoute(false), k, events(5, 5, nil), events(5, 5, nil))
	s.relay.Time = clock.Clock(func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return time.Now().Add(slept)
	})
	s.relay.Servers = &backend.Directory{Time: s.relay.Time, Dialer: func(ctx context.Context, address string) (net.Conn, error) {
		mu.Lock()
		if slept == 0 {
			slept = time.Second // suspension while connecting
		}
		mu.Unlock()
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
	s.relay.Servers.Replace(s.servers, 1)
	if got := s.askWithPrompt("id"); got.body != eventsText(1, 5) {
		t.Errorf("the caller got %+v", got)
	}
	if len(k.asked) != 2 || len(s.arrivals()) != 1 {
		t.Fatalf("%d place requests and %d requests at servers, want two and one", len(k.asked), len(s.arrivals()))
	}
	if n := len(k.asked[1].Servers); n != 2 {
		t.Errorf("%d servers named the second time, want 2: nothing was sent to either", n)
	}
}

// TestPlacesAreForLongPromptsOnly checks that other routes, engines and requests neither ask for
// places nor report.
func TestPlacesAreForLongPromptsOnly(t *testing.T) {
	for name, change := range map[string]func(s *site, r *http.Request){
		"its prompt is not told":    func(_ *site, r *http.Request) { r.Header.Del("X-Tokens") },
		"the memory is not told":    func(s *site, _ *http.Request) { s.relay.Routes().Service("s").Engine.CacheTokens = 0 },
		"its route shares no parts": func(s *site, _ *http.Request) { s.relay.Routes().Match("site.example", "/p/x").Sticky = false },
		"it needs no model":         func(_ *site, r *http.Request) { r.Header.Del("X-Model") },
		"no places are coordinated": func(s *site, _ *http.Request) { s.relay.Places = nil },
	} {
		k := &fakePlaces{decide: fixedVerdict(admission.Verdict{Kind: admission.Refuse})}
		s := overloadedSite(t, streamRoute(false), k, events(5, 5, nil))
		r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "x")
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Tokens", "900,80")
		change(s, r)
		if got := s.do(r); got.body != eventsText(1, 5) {
			t.Errorf("%s: the caller got %+v", name, got)
		}
		if len(k.asked)+len(k.sent)+len(k.left) != 0 {
			t.Errorf("%s: requested %v, reported sent %v, left %v", name, k.asked, k.sent, k.left)
		}
	}
}

// TestPlaceRequestsNameAllReplicas checks that each request names a different selection of many
// replicas. Otherwise some would be full while others are free.
func TestPlaceRequestsNameAllReplicas(t *testing.T) {
	const replicas = 3 * maxPlaceServers
	k := &fakePlaces{}
	s := overloadedSite(t, streamRoute(false), k, events(1, 1, nil))
	servers := []*backend.Server{s.servers[0]}
	for i := range replicas - 1 {
		server := *s.servers[0]
		server.ID = "replica-" + strconv.Itoa(i)
		servers = append(servers, &server)
	}
	s.relay.Servers.Replace(servers, 3)
	c := &call{relay: s.relay, request: request{service: "s", need: backend.Need{Model: "m"}}}
	own, named := s.relay.Servers.Snapshot().Member("server-0"), make(map[string]bool)
	for range 100 {
		list := c.placeServers(own)
		if len(list) != maxPlaceServers || list[0] != own.ID {
			t.Fatalf("the request names %v", list)
		}
		slices.Sort(list)
		if len(slices.Compact(list)) != maxPlaceServers {
			t.Fatal("the request names a server twice")
		}
		for _, id := range list {
			named[id] = true
		}
	}
	if len(named) != replicas {
		t.Errorf("%d of %d replicas were named", len(named), replicas)
	}
}
