package outlier

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// fail records as many consecutive failures as eject a server, and returns whether the last
// one did.
func fail(tracker *Tracker, now time.Time) bool {
	ejected := false
	for range defaultConsecutiveFailures {
		ejected = tracker.Record(now, false)
	}
	return ejected
}

func TestConsecutiveFailuresEject(t *testing.T) {
	tracker := New(Config{})
	for range 20 {
		for range defaultConsecutiveFailures - 1 {
			tracker.Record(start, false)
		}
		tracker.Record(start, true)
	}
	if tracker.Status(start).Ejected {
		t.Error("ejected although successes interrupted the failures")
	}
	if !fail(tracker, start) || !tracker.Status(start).Ejected {
		t.Error("not ejected after consecutive failures")
	}
	if off := New(Config{Off: true}); fail(off, start) {
		t.Error("ejected with detection off")
	}
}

func TestEjectionGrowsAndReturnsSlowly(t *testing.T) {
	tracker := New(Config{})
	now := start
	for _, want := range []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second} {
		fail(tracker, now)
		until := tracker.Status(now).Until
		if until.Sub(now) != want {
			t.Errorf("ejected for %v, want %v", until.Sub(now), want)
		}
		half := tracker.Status(until.Add(defaultRamp / 2)).Share
		if half <= minShare || half >= 1 {
			t.Errorf("share %v in the middle of the ramp, want between minShare and 1", half)
		}
		if whole := tracker.Status(until.Add(defaultRamp)).Share; whole != 1 {
			t.Errorf("share %v at the end of the ramp, want 1", whole)
		}
		now = until
	}
	now = now.Add(10 * defaultMaxEjection)
	fail(tracker, now)
	if length := tracker.Status(now).Until.Sub(now); length != defaultBaseEjection {
		t.Errorf("ejected for %v after a long time without failures, want %v", length, defaultBaseEjection)
	}
}

func TestCompareEjectsTheWorst(t *testing.T) {
	cases := []struct {
		name     string
		failures []int // number of failures in 100 requests, by server
		want     int   // index of the ejected server; -1: none
	}{
		{"all well", []int{0, 1, 0, 2}, -1},
		{"one bad", []int{1, 0, 40, 2}, 2},
		{"all bad alike", []int{40, 38, 41, 42}, -1},
		{"too few peers", []int{0, 60}, -1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var trackers []*Tracker
			for _, failures := range test.failures {
				tracker := New(Config{})
				for request := range 100 {
					tracker.Record(start, request*failures/100 == (request+1)*failures/100)
				}
				trackers = append(trackers, tracker)
			}
			Compare(start, Config{}, trackers)
			for index, tracker := range trackers {
				if got := tracker.Status(start).Ejected; got != (index == test.want) {
					t.Errorf("server %d ejected: %t", index, got)
				}
			}
		})
	}
}
