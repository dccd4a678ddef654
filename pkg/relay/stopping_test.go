package relay

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/admission"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/route"
)

// Guards against requests that a stop would cut off, and against refusals of those that it would not.
func TestStopPlanFits(t *testing.T) {
	began := clock.Now()
	plan := newStopPlan(began, stopGrace)
	end := stopGrace - finalAnswerTime
	early := time.Duration(stopUnknownShare * float64(stopGrace))
	for _, test := range []struct {
		name     string
		at       time.Duration // since the stop began
		deadline time.Duration
		expected expectation
		fits     bool
	}{
		{"short, at once", 0, time.Hour, expectation{time.Second, true}, true},
		{"short, as late as can be", end - time.Second, time.Hour, expectation{time.Second, true}, true},
		{"short, later", end - time.Second + 1, time.Hour, expectation{time.Second, true}, false},
		{"no time at all, at the end", end, time.Hour, expectation{0, true}, true},
		{"no time at all, after the end", end + 1, time.Hour, expectation{0, true}, false},
		{"long, at once", 0, time.Hour, expectation{stopGrace, true}, false},
		{"long, its own time is over before", 0, end, expectation{stopGrace, true}, true},
		{"long, its own time is over just after", 0, end + 1, expectation{stopGrace, true}, false},
		{"unknown, at once", 0, time.Hour, expectation{}, true},
		{"unknown, early", early, time.Hour, expectation{}, true},
		{"unknown, late", early + 1, time.Hour, expectation{}, false},
		{"unknown, late, its own time is over before", early + 1, end, expectation{}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, kind := range []route.Kind{route.Unsafe, route.Safe, route.Stream} {
				if got := plan.fits(kind, began.Add(test.at), began.Add(test.deadline), test.expected); got != test.fits {
					t.Errorf("%v fits: %v, want %v", kind, got, test.fits)
				}
			}
		})
	}
}

// Guards against a short grace in which a node that has just started refuses all, or sends requests that it is about to cut off.
func TestStopPlanOfAShortGrace(t *testing.T) {
	const grace = 3 * time.Second
	began := clock.Now()
	plan := newStopPlan(began, grace)
	for _, test := range []struct {
		kind route.Kind
		at   time.Duration
		fits bool
	}{
		{route.Unsafe, grace / 2, true},
		{route.Unsafe, grace - finalAnswerTime, true},
		{route.Unsafe, grace - finalAnswerTime + 1, false},
		{route.Stream, grace / 4, true},
		{route.Stream, grace / 2, false},
	} {
		if got := plan.fits(test.kind, began.Add(test.at), began.Add(time.Hour), expectation{}); got != test.fits {
			t.Errorf("%v of unknown duration at %v fits: %v, want %v", test.kind, test.at, got, test.fits)
		}
	}
}

// Guards against expected durations that requests of a steady, a changing or a varied service often exceed.
func TestExpectedDurations(t *testing.T) {
	const most = 5 // of 100 requests that may take longer than expected
	for name, took := range map[string]func(i int) time.Duration{
		"steady":           func(int) time.Duration { return time.Second },
		"slower by and by": func(i int) time.Duration { return time.Second + time.Duration(i)*10*time.Millisecond },
		"slower once":      func(i int) time.Duration { return time.Duration(1+i/50) * time.Second },
		"varied":           func(i int) time.Duration { return time.Duration(1+i*7%5) * 300 * time.Millisecond },
		"rarely long":      func(i int) time.Duration { return time.Duration(1+i%25/24) * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			var d durations
			key := durationKey{"s", "r", ""}
			if e := d.expectation(key); e.known {
				t.Error("known before any request")
			}
			exceeded, longest := 0, time.Duration(0)
			for i := range 100 {
				next := took(i)
				if e := d.expectation(key); e.known && next > e.duration {
					exceeded++
				}
				longest = max(longest, next)
				d.record(key, next)
			}
			if exceeded > most {
				t.Errorf("%d of 100 took longer than expected", exceeded)
			}
			if e := d.expectation(key); e.duration > 4*longest {
				t.Errorf("%v expected, while the longest took %v", e.duration, longest)
			}
			if e := d.expectation(durationKey{"s", "other", ""}); e.known {
				t.Error("the duration of another kind of requests is known")
			}
		})
	}
}

// Guards against durations that take more memory with each kind of requests.
func TestDurationsAreBounded(t *testing.T) {
	var d durations
	for i := range 2 * maxDurations {
		key := durationKey{"s", fmt.Sprint(i), ""}
		d.record(key, time.Second)
		if !d.expectation(key).known {
			t.Fatal("the newest kind is unknown")
		}
	}
	if len(d.byKind) != maxDurations {
		t.Errorf("%d kinds are kept", len(d.byKind))
	}
}

// lateSite is a site whose clock the test advances.
type lateSite struct {
	*site
	ahead *atomic.Int64
}

// newLateSite starts a relay before servers. Requests were measured to take a time; zero: none were.
func newLateSite(t *testing.T, r route.Route, measured time.Duration, answers ...answerer) *lateSite {
	t.Helper()
	r.Timeout = time.Hour
	s := &lateSite{newSite(t, r, answers...), new(atomic.Int64)}
	s.relay.Time = func() time.Time { return clock.Now().Add(time.Duration(s.ahead.Load())) }
	if measured > 0 {
		s.relay.durations.record(durationKey{"s", "r", ""}, measured)
	}
	return s
}

// stopFor begins a stop, and advances the clock.
func (s *lateSite) stopFor(d time.Duration) {
	s.relay.Stop(stopGrace)
	s.ahead.Add(int64(d))
}

// ask sends a request whose caller waits for long.
func (s *lateSite) ask() answer {
	r := s.request(s.t.Context(), http.MethodPost, "/p/x", "id", "x")
	r.Header.Set(testHeaders.Deadline, "3000000")
	return s.do(r)
}

// checkRefused checks that the request was refused and reached no server.
func (s *lateSite) checkRefused(got answer) {
	s.t.Helper()
	if got.status != http.StatusServiceUnavailable || got.err != nil || got.header.Get("Retry-After") == "" || len(s.arrivals()) != 0 {
		s.t.Errorf("status %d, %v, Retry-After %q, %d requests at servers, want a refusal", got.status, got.err, got.header.Get("Retry-After"), len(s.arrivals()))
	}
}

// Guards against requests that are sent to a server during a planned stop though they can't end before it.
func TestLOSTOfRequestsThatAStopWouldCutOff(t *testing.T) {
	for _, kind := range []route.Kind{route.Unsafe, route.Safe} {
		for _, test := range []struct {
			name     string
			measured time.Duration // of one request; zero: nothing was measured
			at       time.Duration // since the stop began
			sent     bool
		}{
			{"short, late", 50 * time.Millisecond, stopGrace / 2, true},
			{"short, at the end", 50 * time.Millisecond, stopGrace - finalAnswerTime, false},
			{"long, early", stopGrace / 10, stopGrace / 10, true},
			{"long, late", stopGrace / 4, stopGrace / 2, false},
			{"too long, at once", stopGrace, 0, false},
			{"unknown, early", 0, stopGrace / 10, true},
			{"unknown, late", 0, stopGrace / 2, false},
		} {
			t.Run(kind.String()+", "+test.name, func(t *testing.T) {
				s := newLateSite(t, route.Route{Kind: kind}, test.measured, sealed(http.StatusOK, "whole"))
				s.stopFor(test.at)
				got := s.ask()
				switch {
				case !test.sent:
					s.checkRefused(got)
				case got.status != http.StatusOK || got.err != nil || got.body != "whole":
					t.Errorf("status %d, %v, %q, want the server's answer", got.status, got.err, got.body)
				}
			})
		}
	}
}

// Guards against durations that are not learnt from what servers answer.
func TestDurationsOfAnswersAreLearnt(t *testing.T) {
	var s *lateSite
	s = newLateSite(t, route.Route{Kind: route.Unsafe}, 0, func(w http.ResponseWriter, r *http.Request, got seen) {
		s.ahead.Add(int64(stopGrace))
		sealed(http.StatusOK, "whole")(w, r, got)
	})
	if got := s.ask(); got.status != http.StatusOK {
		t.Fatalf("status %d, %v", got.status, got.err)
	}
	s.stopFor(0)
	if got := s.ask(); got.status != http.StatusServiceUnavailable || len(s.arrivals()) != 1 {
		t.Errorf("status %d, %v, %d requests at servers, want a refusal", got.status, got.err, len(s.arrivals()))
	}
}

// Guards against a second server that gets a request late in a stop, in place of the answer that the caller could have had.
func TestFailuresLateInAStopArePassedOn(t *testing.T) {
	var s *lateSite
	fail := func(w http.ResponseWriter, r *http.Request, got seen) {
		s.ahead.Add(int64(stopGrace / 2)) // too late for another one
		sealed(http.StatusInternalServerError, "failed")(w, r, got)
	}
	s = newLateSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2}, stopGrace/6, fail, fail)
	s.stopFor(0)
	got := s.ask()
	if got.status != http.StatusInternalServerError || got.body != "failed" || len(s.arrivals()) != 1 {
		t.Errorf("status %d, %v, %q, %d requests at servers, want the failure of the first", got.status, got.err, got.body, len(s.arrivals()))
	}
}

// Guards against requests that go to a second server late in a stop, where they can't end.
func TestRetriesLateInAStopAreNotBegun(t *testing.T) {
	var s *lateSite
	breakOff := func(w http.ResponseWriter, r *http.Request, got seen) {
		s.ahead.Add(int64(stopGrace / 2))
		raw("")(w, r, got)
	}
	s = newLateSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2}, stopGrace/6, breakOff, breakOff)
	s.stopFor(0)
	if got := s.ask(); got.status != http.StatusBadGateway || len(s.arrivals()) != 1 {
		t.Errorf("status %d, %v, %d requests at servers, want 502 and one", got.status, got.err, len(s.arrivals()))
	}
}

// Guards against hedges that begin late in a stop.
func TestHedgesLateInAStopAreNotBegun(t *testing.T) {
	for name, test := range map[string]struct{ at, measured time.Duration }{
		"in time":  {0, time.Second},
		"too late": {stopGrace / 2, stopGrace / 3},
	} {
		t.Run(name, func(t *testing.T) {
			const silence = time.Second // longer than the time after which a hedge begins
			s := newLateSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2, Target: 100 * time.Millisecond}, test.measured,
				sealedAfter(silence, "whole"), sealedAfter(silence, "whole"))
			s.relay.durations = durations{}
			answers := make(chan answer, 1)
			go func() { answers <- s.ask() }()
			for len(s.arrivals()) == 0 {
				time.Sleep(time.Millisecond)
			}
			s.relay.durations.record(durationKey{"s", "r", ""}, test.measured)
			s.stopFor(test.at)
			got := <-answers
			hedged := len(s.arrivals()) > 1
			if got.status != http.StatusOK || hedged != (name == "in time") {
				t.Errorf("status %d, %v, hedged %v", got.status, got.err, hedged)
			}
		})
	}
}

// sealedAfter is sealed after a silence.
func sealedAfter(d time.Duration, body string) answerer {
	return func(w http.ResponseWriter, r *http.Request, got seen) {
		time.Sleep(d)
		sealed(http.StatusOK, body)(w, r, got)
	}
}

// timedLoader has every model ready after a time.
type timedLoader struct{ readyIn time.Duration }

func (l timedLoader) RequestLoad(context.Context, LoadRequest) (LoadStatus, error) {
	return LoadStatus{ReadyIn: l.readyIn}, nil
}

// Guards against requests that wait for a model although the stop leaves no time for them afterwards.
func TestRequestsWhoseModelIsReadyTooLateForAStopAreRefused(t *testing.T) {
	for name, wait := range map[string]time.Duration{"refused": stopGrace / 2, "held": stopGrace / 10} {
		t.Run(name, func(t *testing.T) {
			s := newLateSite(t, route.Route{Kind: route.Unsafe, Sticky: true, Target: time.Hour}, 0, sealed(http.StatusOK, "whole"))
			s.relay.Loader = timedLoader{wait}
			s.relay.durations.record(durationKey{"s", "r", "m"}, stopGrace/4)
			s.relay.Stop(stopGrace)
			s.ahead.Add(int64(stopGrace / 10))
			r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "x")
			r.Header.Set(testHeaders.Deadline, "3000000")
			r.Header.Set(testHeaders.Model, "m")
			answers := make(chan answer, 1)
			go func() { answers <- s.do(r) }()
			select {
			case got := <-answers:
				if name == "held" {
					t.Errorf("status %d, %v, want it held", got.status, got.err)
				}
				s.checkRefused(got)
			case <-time.After(time.Second):
				if name == "refused" {
					t.Error("not refused at once")
				}
				s.relay.CancelAll()
				s.checkRefused(<-answers)
			}
		})
	}
}

// Guards against streams that wait for a place at a crowded server although the stop leaves no time for them afterwards.
func TestStreamsWhosePlaceIsFreeTooLateForAStopAreRefused(t *testing.T) {
	k := &fakePlaces{decide: fixedVerdict(admission.Verdict{Kind: admission.Wait, After: stopGrace / 2})}
	r := streamRoute(false)
	r.Timeout, r.Target = time.Hour, 10*time.Minute
	s := overloadedSite(t, r, k, events(3, 3, nil))
	s.relay.Stop(stopGrace)
	answers := make(chan answer, 1)
	go func() {
		r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "x")
		r.Header.Set(testHeaders.Deadline, "3000000")
		r.Header.Set(testHeaders.Model, "m")
		r.Header.Set("X-Tokens", "9200,80")
		answers <- s.do(r)
	}()
	select {
	case got := <-answers:
		(&lateSite{site: s}).checkRefused(got)
	case <-time.After(stopGrace / 10):
		t.Error("not refused at once")
		s.relay.CancelAll()
	}
}

// Guards against refusals of a stopping node whose line doesn't tell why they fit no more.
func TestRefusalsOfAStopAreExplained(t *testing.T) {
	for name, test := range map[string]struct {
		measured time.Duration
		want     string
	}{
		"known":   {stopGrace, `"work_ms":180000`},
		"unknown": {0, `"stop_left_ms":28`},
	} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			s := newLateSite(t, route.Route{Kind: route.Unsafe}, test.measured, sealed(http.StatusOK, "whole"))
			s.relay.Logger = hclog.New(&hclog.LoggerOptions{Output: &text, JSONFormat: true})
			s.stopFor(stopGrace / 2)
			s.checkRefused(s.ask())
			s.front.Close() // waits for the line
			if line := text.String(); !strings.Contains(line, test.want) || strings.Contains(line, "work_ms") != (test.measured > 0) {
				t.Errorf("%s is missing: %s", test.want, line)
			}
		})
	}
}

// Guards against durations that are learnt from answers which took no work.
func TestDurationsOfFailuresAreNotLearnt(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError} {
		s := newLateSite(t, route.Route{Kind: route.Unsafe}, 0, sealed(status, "no"))
		if got := s.ask(); got.status != status {
			t.Fatalf("status %d, %v", got.status, got.err)
		}
		s.stopFor(stopGrace / 2)
		if got := s.ask(); got.status != http.StatusServiceUnavailable || len(s.arrivals()) != 1 {
			t.Errorf("status %d, %v, %d requests at servers, want a refusal", got.status, got.err, len(s.arrivals()))
		}
	}
}

// Guards against durations of one route, or model, that are taken for those of another.
func TestDurationsOfOtherKindsAreNotTaken(t *testing.T) {
	for _, other := range []durationKey{{"other", "r", ""}, {"s", "other", ""}, {"s", "r", "other"}} {
		s := newLateSite(t, route.Route{Kind: route.Unsafe}, 0, sealed(http.StatusOK, "whole"))
		s.relay.durations.record(other, time.Millisecond)
		s.stopFor(stopGrace / 2)
		s.checkRefused(s.ask())
	}
}
