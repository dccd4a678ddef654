package backend

import (
	"math"
	"testing"
	"time"
)

// TestSlownessComparesServersByTheirModels: a server is slow if others are faster on the same model, not
// because its models are large.
func TestSlownessComparesServersByTheirModels(t *testing.T) {
	d := &Directory{}
	d.Replace([]*Server{{ID: "fast", Service: "s"}, {ID: "slow", Service: "s"}, {ID: "large", Service: "s"}}, 1)
	slowness := func(id string) float64 { return d.Snapshot().Member(id).Slowness() }
	for range 20 {
		d.RecordPace("fast", "m", 20*time.Millisecond)
		d.RecordPace("slow", "m", 26*time.Millisecond)
		d.RecordPace("large", "n", 100*time.Millisecond)
	}
	for id, want := range map[string]float64{"fast": 1, "slow": 1.3, "large": 1} {
		if got := slowness(id); got < want-0.01 || got > want+0.01 {
			t.Errorf("%s has slowness %.3f, want %.3f", id, got, want)
		}
	}
	for range 20 {
		d.RecordPace("slow", "m", 20*time.Millisecond)
	}
	if got := slowness("slow"); got > 1.02 {
		t.Errorf("a server that became fast again has slowness %.3f", got)
	}
	d.RecordPace("slow", "m", 0)
	d.RecordPace("gone", "m", time.Second)
	if got := slowness("slow"); got > 1.02 {
		t.Errorf("after a stream without a pace the slowness is %.3f", got)
	}
}

// TestReportsOfOtherNodesAreChecked: implausible values are ignored, and the queue of paces is bounded.
func TestReportsOfOtherNodesAreChecked(t *testing.T) {
	d := &Directory{}
	d.Replace([]*Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, 1)
	for _, s := range []Slowness{{Server: "gone", Ratio: 2}, {Server: "a", Ratio: math.NaN()}, {Server: "a", Ratio: 1e9},
		{Server: "a", Ratio: 0.2}, {Server: "a", Ratio: -1}, {Server: "a", Ratio: 2, Age: time.Hour}, {Server: "a", Ratio: 2, Age: -1}} {
		d.LearnSlowness([]Slowness{s})
		if got := d.Snapshot().Member("a").Slowness(); got != 1 {
			t.Errorf("implausible report %+v was accepted: slowness %v", s, got)
		}
	}
	d.LearnSlowness([]Slowness{{Server: "a", Ratio: 2}})
	if got := d.Snapshot().Member("a").Slowness(); got != 2 {
		t.Errorf("the slowness is %v, want the reported 2", got)
	}
	d.LearnPaces([]Pace{{"b", "m", time.Second}, {"b", "m", -1}, {"b", "m", math.MaxInt64}, {"gone", "m", 1}, {"a", "m", time.Second}})
	if got := d.Snapshot().Member("b").eventTime("m"); got != time.Second {
		t.Errorf("the time per event is %v, want 1 s", got)
	}
	for range 10 * maxQueuedPaces {
		d.QueuePace(Pace{"a", "m", time.Second})
	}
	d.QueuePace(Pace{"a", "m", 0})
	if got := len(d.TakeQueuedPaces(math.MaxInt)); got != maxQueuedPaces {
		t.Errorf("%d paces are queued, want maxQueuedPaces", got)
	}
	if got := len(d.TakeQueuedPaces(9)); got != 0 {
		t.Errorf("%d reports were returned a second time", got)
	}
	for i := range 20 {
		d.QueuePace(Pace{"a", "m", time.Duration(i + 1)})
	}
	if got := d.TakeQueuedPaces(3); len(got) != 3 || got[2].PerEvent != 20 {
		t.Errorf("got %v, want the newest 3 of 20 reports", got)
	}
	now := time.Unix(100, 0)
	d.Time = func() time.Time { return now }
	d.QueuePace(Pace{"a", "m", time.Second})
	now = now.Add(time.Hour)
	if got := len(d.TakeQueuedPaces(9)); got != 0 {
		t.Errorf("%d reports from an hour ago were returned", got)
	}
}

// Guards against expected durations that are unknown, or those of another service, for a model that nothing streamed yet.
func TestTimePerEventOfUnknownModelIsThatOfItsService(t *testing.T) {
	d := &Directory{}
	d.Replace([]*Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "other"}}, 1)
	if got := d.TimePerEvent("s", "m"); got != 0 {
		t.Errorf("%v though nothing streamed", got)
	}
	d.RecordPace("a", "m", 20*time.Millisecond)
	d.RecordPace("b", "m", 40*time.Millisecond)
	d.RecordPace("b", "large", 90*time.Millisecond)
	d.RecordPace("c", "m", time.Second)
	for model, want := range map[string]time.Duration{"m": 30 * time.Millisecond, "large": 90 * time.Millisecond, "new": 50 * time.Millisecond} {
		if got := d.TimePerEvent("s", model); got != want {
			t.Errorf("%s: %v, want %v", model, got, want)
		}
	}
}
