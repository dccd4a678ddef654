package backend

import (
	"math"
	"testing"
	"time"
)

// TestSlownessComparesServersByTheirModels: a server is slow by what others need
// for the same model, not because its models are large.
func TestSlownessComparesServersByTheirModels(t *testing.T) {
	d := &Directory{}
	d.Replace([]*Server{{ID: "fast", Service: "s"}, {ID: "slow", Service: "s"}, {ID: "large", Service: "s"}}, 1)
	slowness := func(id string) float64 { return d.Snapshot().Member(id).Slowness() }
	for range 20 {
		d.Paced("fast", "m", 20*time.Millisecond)
		d.Paced("slow", "m", 26*time.Millisecond)
		d.Paced("large", "n", 100*time.Millisecond)
	}
	for id, want := range map[string]float64{"fast": 1, "slow": 1.3, "large": 1} {
		if got := slowness(id); got < want-0.01 || got > want+0.01 {
			t.Errorf("the slowness of %s is %.3f, want %.3f", id, got, want)
		}
	}
	for range 20 {
		d.Paced("slow", "m", 20*time.Millisecond)
	}
	if got := slowness("slow"); got > 1.02 {
		t.Errorf("a server that is fast again has the slowness %.3f", got)
	}
	d.Paced("slow", "m", 0)
	d.Paced("gone", "m", time.Second)
	if got := slowness("slow"); got > 1.02 {
		t.Errorf("a stream that tells no pace left the slowness %.3f", got)
	}
}

// TestWordsOfOtherNodesAreChecked: what can't be is left out, and reports are bounded.
func TestWordsOfOtherNodesAreChecked(t *testing.T) {
	d := &Directory{}
	d.Replace([]*Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, 1)
	for _, s := range []Slowness{{Server: "gone", Ratio: 2}, {Server: "a", Ratio: math.NaN()}, {Server: "a", Ratio: 1e9},
		{Server: "a", Ratio: 0.2}, {Server: "a", Ratio: -1}, {Server: "a", Ratio: 2, Age: time.Hour}, {Server: "a", Ratio: 2, Age: -1}} {
		d.Believed([]Slowness{s})
		if got := d.Snapshot().Member("a").Slowness(); got != 1 {
			t.Errorf("%+v is believed: %v", s, got)
		}
	}
	d.Believed([]Slowness{{Server: "a", Ratio: 2}})
	if got := d.Snapshot().Member("a").Slowness(); got != 2 {
		t.Errorf("the slowness is %v, 2 was told", got)
	}
	d.Learn([]Pace{{"b", "m", time.Second}, {"b", "m", -1}, {"b", "m", math.MaxInt64}, {"gone", "m", 1}, {"a", "m", time.Second}})
	if got := d.Snapshot().Member("b").pace("m"); got != time.Second {
		t.Errorf("the pace is %v", got)
	}
	for range 10 * mostReports {
		d.Report(Pace{"a", "m", time.Second})
	}
	d.Report(Pace{"a", "m", 0})
	if got := len(d.TakeReports(math.MaxInt)); got != mostReports {
		t.Errorf("%d reports are kept", got)
	}
	if got := len(d.TakeReports(9)); got != 0 {
		t.Errorf("%d reports are told twice", got)
	}
	for i := range 20 {
		d.Report(Pace{"a", "m", time.Duration(i + 1)})
	}
	if got := d.TakeReports(3); len(got) != 3 || got[2].PerEvent != 20 {
		t.Errorf("the newest 3 of 20 reports are %v", got)
	}
	now := time.Unix(100, 0)
	d.Time = func() time.Time { return now }
	d.Report(Pace{"a", "m", time.Second})
	now = now.Add(time.Hour)
	if got := len(d.TakeReports(9)); got != 0 {
		t.Errorf("%d reports of an hour ago are told", got)
	}
}
