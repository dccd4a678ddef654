package main

import "testing"

// TestBefore checks that the caller's own time limit identifies a first attempt, also if the route
// sets a shorter limit.
func TestBefore(t *testing.T) {
	c := &class{Target: 4000, Whole: 30000, Worth: 10, Late: 1.5}
	for _, test := range []struct {
		name  string
		line  line
		loss  float64
		cause string
	}{
		{"in time, bounded by the route", line{Outcome: "served", Target: 4000, First: 100, Took: 1000, Left: 24800, Given: 29990}, 0, ""},
		{"came back", line{Outcome: "served", Target: 4000, First: 100, Took: 1000, Left: 20000, Given: 24000}, 8.5, "came back, late, waited for nothing"},
		{"paused", line{Outcome: "served", Target: 4000, First: 100, Took: 1000, Left: 28990, Given: 29990, Pause: 400, PauseMax: 300}, 8.5, "paused at the server"},
		{"paused in a second try", line{Outcome: "served", Target: 4000, First: 100, Took: 1000, Left: 27000, Given: 28000, Pause: 400, PauseMax: 300}, 8.5, "paused at the server"},
		{"without a key", line{Outcome: "refused", Status: 401, Target: 4000, Reason: "unknown key"}, 0, ""},
		{"refused before its time was read", line{Outcome: "refused", Status: 503, Target: 4000, Reason: "keys not confirmed in time"}, 0, ""},
		{"logs without the caller's time", line{Outcome: "served", Target: 4000, First: 5000, Took: 6000, Left: 23990}, 8.5, "late, waited for nothing"},
	} {
		if loss := test.line.loss(c); loss != test.loss {
			t.Errorf("%s: lost %v, want %v", test.name, loss, test.loss)
		}
		if test.loss > 0 && test.line.cause(c) != test.cause {
			t.Errorf("%s: %q, want %q", test.name, test.line.cause(c), test.cause)
		}
	}
}
