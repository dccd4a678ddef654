package backpressure

import (
	"math"
	"testing"
	"time"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// response is a response with its signals, and when its request was sent and it came, in seconds.
type response struct {
	sent, came float64
	Signals
}

func limitOf(n float64) Signals { return Signals{Limited: true, Limit: n} }

// TestALimitEndsWithALaterAnswerOnly: a response that overtook another one must neither end nor restore a
// limit.
func TestALimitEndsWithALaterAnswerOnly(t *testing.T) {
	for name, c := range map[string]struct {
		responses []response
		want      float64 // zero: no limit
	}{
		"it is named":                          {[]response{{0, 1, limitOf(2)}}, 2},
		"it moves":                             {[]response{{0, 1, limitOf(2)}, {1, 2, limitOf(3)}}, 3},
		"a later answer names none":            {[]response{{0, 1, limitOf(2)}, {2, 3, Signals{}}}, 0},
		"an answer from before comes late":     {[]response{{0, 2, limitOf(2)}, {1, 3, Signals{}}}, 2},
		"it is named by one that is overtaken": {[]response{{0, 1, limitOf(2)}, {2, 3, Signals{}}, {2.5, 3.2, limitOf(2)}}, 0},
		"it is named again":                    {[]response{{0, 1, limitOf(2)}, {2, 3, Signals{}}, {3.1, 3.2, limitOf(2)}}, 2},
		"one that waited long names it again":  {[]response{{0, 1, limitOf(2)}, {2, 3, Signals{}}, {2.5, 9, limitOf(2)}}, 2},
		"nothing that can be read":             {[]response{{0, 1, limitOf(2)}, {2, 3, Signals{Unreadable: true}}}, 2},
		"nobody knows when it was sent":        {[]response{{0, 1, limitOf(2)}, {-1e6, 3, Signals{}}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var s State
			for _, r := range c.responses {
				s.Observe(at(r.sent), at(r.came), r.Signals)
			}
			if got, limited := s.Limit(); got != c.want || limited != (c.want > 0) {
				t.Errorf("got limit %v, limited %v, want limit %v", got, limited, c.want)
			}
		})
	}
}

func TestLeavingIsPermanent(t *testing.T) {
	var s State
	if s.Observe(at(0), at(1), Signals{Leaving: true}) != LeavingSet {
		t.Error("the signal that the server leaves changed nothing")
	}
	if s.Observe(at(2), at(3), Signals{}) != 0 || !s.Leaving() {
		t.Error("a later response without the signal ended it")
	}
}

func TestTheLongestBackOffCounts(t *testing.T) {
	var s State
	s.Observe(at(0), at(1), Signals{BackOff: 3 * time.Second})
	s.Observe(at(0), at(2), Signals{BackOff: time.Second})
	s.Observe(at(0), at(2), Signals{})
	if got := s.BackOff(at(2)); got != 2*time.Second {
		t.Errorf("back-off of %v left, want 2 s", got)
	}
	if got := s.BackOff(at(9)); got != 0 {
		t.Errorf("back-off of %v left after its end", got)
	}
}

// TestOneRequestGoesFirstAfterABackOff: the other requests wait for the response to the first one, and a
// server that asks for a further back-off is not expected to accept requests after it.
func TestOneRequestGoesFirstAfterABackOff(t *testing.T) {
	var s State
	s.Observe(at(0), at(1), Signals{BackOff: 2 * time.Second})
	s.Observe(at(0.5), at(1.1), Signals{BackOff: 2 * time.Second}) // its request was sent before the first back-off came
	if in, likely := s.ExpectedReturn(at(2)); s.Admit(at(2)) || in != 1100*time.Millisecond || !likely {
		t.Errorf("during the back-off a request may go, or the back-off ends in %v, likely %t; want 1.1 s, true", in, likely)
	}
	if !s.Admit(at(3.2)) || s.Admit(at(3.3)) {
		t.Error("not exactly one request goes first")
	}
	s.Observe(at(3.2), at(3.4), Signals{BackOff: 2 * time.Second})
	if in, likely := s.ExpectedReturn(at(3.4)); in != 2*time.Second || likely {
		t.Errorf("after the second consecutive back-off: return in %v, likely %t, want 2 s, false", in, likely)
	}
	if !s.Admit(at(5.5)) || s.Admit(at(5.9)) || !s.Admit(at(6.01)) {
		t.Error("without a response, the next probe does not go after probeTime")
	}
	s.Observe(at(6.01), at(6.1), Signals{})
	if !s.Admit(at(6.1)) || !s.Admit(at(6.11)) {
		t.Error("a server that accepted a request gets no others")
	}
	s.Observe(at(6.1), at(6.2), Signals{BackOff: time.Second})
	if in, likely := s.ExpectedReturn(at(6.2)); in != time.Second || !likely {
		t.Errorf("for a back-off after accepted requests: return in %v, likely %t, want 1 s, true", in, likely)
	}
}

func TestSignalsAreBounded(t *testing.T) {
	for _, c := range []struct{ signals, want Signals }{
		{limitOf(0), limitOf(MinLimit)},
		{limitOf(math.Inf(1)), limitOf(MaxLimit)},
		{limitOf(-1), Signals{Unreadable: true}},
		{limitOf(math.NaN()), Signals{Unreadable: true}},
		{limitOf(7.5), limitOf(7.5)},
		{Signals{BackOff: 365 * 24 * time.Hour}, Signals{BackOff: MaxBackOff}},
		{Signals{BackOff: -time.Second}, Signals{}},
	} {
		if got := c.signals.Bounded(); got != c.want {
			t.Errorf("Bounded of %+v is %+v, want %+v", c.signals, got, c.want)
		}
	}
}

// TestSignalsOfOtherNodes: the newest signal counts, whether this node or another one received it.
func TestSignalsOfOtherNodes(t *testing.T) {
	var s State
	limited := func(second, limit float64) SharedState {
		return SharedState{Limited: true, Limit: limit, LimitAt: at(second)}
	}
	if s.Merge(limited(1, 3)) != LimitSet || s.Merge(limited(1, 3)) != 0 {
		t.Error("a limit that another node reported is not applied exactly once")
	}
	s.Observe(at(4), at(5), limitOf(2))
	if s.Merge(SharedState{LimitAt: at(4)}) != 0 || s.Merge(limited(4.5, 9)) != 0 {
		t.Error("an outdated report was applied")
	}
	if s.Merge(SharedState{Leaving: true}) != LeavingSet || !s.Leaving() {
		t.Error("the report that the server leaves was not applied")
	}
	if got := s.Shared(); got != (SharedState{true, true, 2, at(5)}) {
		t.Errorf("the shared state is %+v, want leaving, limit 2 from second 5", got)
	}
	if s.Merge(SharedState{LimitAt: at(6)}) != LimitEnded {
		t.Error("the report that the limit ended was not applied")
	}
	if s.Merge(limited(5.5, 2)) != 0 {
		t.Error("a limit from before its end was applied")
	}
	if _, limited := s.Limit(); limited || s.BackOff(at(6)) != 0 || s.Shared().LimitAt != at(6) {
		t.Errorf("the server still has a limit or a back-off: %+v", s.Shared())
	}
}
