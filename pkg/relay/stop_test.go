package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/route"
)

// Times of the tests of planned stops, by a clock that jumps.
const (
	stopGrace  = time.Minute
	stopTarget = 10 * time.Second
	stopPace   = 200 * time.Millisecond // per event
)

// Guards against streams that are sent to a server during a planned stop though they can't end before it.
func TestStreamsThatAStopWouldCutAreRefusedAsNotRun(t *testing.T) {
	for _, test := range []struct {
		name   string
		tokens string        // of prompt and answer; empty: unknown
		wait   time.Duration // from the start of the stop until a server can take the stream
		time   string        // that the caller waits, in milliseconds
		sent   bool
	}{
		{"unknown length, at once", "", 0, "300000", true},
		{"unknown length, early", "", stopGrace / 10, "300000", true},
		{"unknown length, late", "", stopGrace / 2, "300000", false},
		{"short, late", "10,10", stopGrace / 2, "300000", true},
		{"long, late", "10,100", stopGrace / 2, "300000", false},
		{"long, early", "10,100", stopGrace / 10, "300000", true},
		{"too long, at once", "10,300", 0, "300000", false},
		{"too long, early", "10,300", stopGrace / 10, "300000", false},
		{"too long, the caller leaves before", "10,300", stopGrace / 2, "45000", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, jump := newStoppingSite(t)
			s.relay.Servers.OverrideHolding("server-0", backend.Need{}, test.wait == 0, clock.Now().Add(time.Hour))
			answers := make(chan answer, 1)
			if test.wait == 0 {
				s.relay.Stop(stopGrace)
			}
			go func() { answers <- s.stream(test.tokens, test.time) }()
			if test.wait > 0 {
				for s.relay.InFlight() == 0 {
					time.Sleep(time.Millisecond)
				}
				s.relay.Stop(stopGrace)
				jump(test.wait)
				s.relay.Servers.OverrideHolding("server-0", backend.Need{}, true, clock.Now().Add(time.Hour))
			}
			got := <-answers
			want := http.StatusServiceUnavailable
			if test.sent {
				want = http.StatusOK
			}
			if got.status != want || got.err != nil || (len(s.arrivals()) > 0) != test.sent {
				t.Errorf("status %d, %v, %d requests at servers, want status %d", got.status, got.err, len(s.arrivals()), want)
			}
			if !test.sent && got.header.Get("Retry-After") == "" {
				t.Error("the refusal does not tell when to return")
			}
		})
	}
}

// Guards against streams that are sent although the stop came too near while their connection was made.
func TestStreamThatConnectsDuringAStopIsRefused(t *testing.T) {
	s, jump := newStoppingSite(t)
	connecting, goOn := make(chan struct{}), make(chan struct{})
	dial := s.relay.Servers.Dialer
	s.relay.Servers.Dialer = func(ctx context.Context, address string) (net.Conn, error) {
		close(connecting)
		<-goOn
		return dial(ctx, address)
	}
	s.add("server-1", events(3, 3, nil))
	s.relay.Servers.Replace(s.servers[1:], 2)
	answers := make(chan answer, 1)
	go func() { answers <- s.stream("", "300000") }()
	<-connecting
	s.relay.Stop(stopGrace)
	jump(stopGrace / 2)
	close(goOn)
	if got := <-answers; got.status != http.StatusServiceUnavailable || len(s.arrivals()) != 0 {
		t.Errorf("status %d, %v, %d requests at servers, want 503 and none", got.status, got.err, len(s.arrivals()))
	}
}

// Guards against callers who aren't told that their connection will be closed, as their request arrived before the stop.
func TestAnswersDuringAStopDoNotTellThatTheirConnectionEnds(t *testing.T) {
	for name, answer := range map[string]answerer{"served": sealed(http.StatusOK, "whole"), "refused": rejectWith(http.StatusServiceUnavailable)} {
		t.Run(name, func(t *testing.T) {
			arrived, goOn := make(chan struct{}), make(chan struct{})
			var once sync.Once
			s := newSite(t, route.Route{Kind: route.Unsafe}, func(w http.ResponseWriter, r *http.Request, got seen) {
				once.Do(func() {
					close(arrived)
					<-goOn
				})
				answer(w, r, got)
			})
			go func() {
				<-arrived
				s.relay.Stop(stopGrace)
				close(goOn)
			}()
			response, err := http.DefaultClient.Do(s.request(t.Context(), http.MethodPost, "/p/x", "id", "x"))
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if !response.Close {
				t.Errorf("status %d without Connection: close", response.StatusCode)
			}
		})
	}
}

// newStoppingSite starts a relay before one server whose speed is known, and returns a function that advances the clock.
func newStoppingSite(t *testing.T) (*site, func(time.Duration)) {
	t.Helper()
	s := newSite(t, route.Route{Kind: route.Stream, Timeout: 5 * time.Minute, Target: stopTarget, GapTarget: time.Second, Sticky: true},
		events(3, 3, nil))
	s.relay.Headers.Tokens = "X-Tokens"
	var ahead atomic.Int64
	s.relay.Time = func() time.Time { return clock.Now().Add(time.Duration(ahead.Load())) }
	s.relay.Servers.RecordPace("server-0", "", stopPace)
	return s, func(d time.Duration) { ahead.Add(int64(d)) }
}

// stream sends a request for a stream.
func (s *site) stream(tokens, wait string) answer {
	r := s.request(s.t.Context(), http.MethodPost, "/p/x", "id", "x")
	r.Header.Set(testHeaders.Deadline, wait)
	if tokens != "" {
		r.Header.Set("X-Tokens", tokens)
	}
	return s.do(r)
}
