package lab

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestWeightStore(t *testing.T) {
	limits := WeightStore{LoadsPerSecond: 2, FullSpeed: 2, GigabytesPerSecond: 1}
	cases := []struct {
		name     string
		fetches  int
		urgent   int // index of the only urgent fetch; -1 for none
		slowdown float64
		want     string // when each fetch completes, in tenths of a second
	}{
		{"one at full speed", 1, -1, 1, "[20]"},
		{"starts are limited", 2, -1, 1, "[20 25]"},
		// The third fetch starts at 1 s. Three then share the bandwidth of two until the first
		// completes at 2.5 s, when the others have 0.5 and 1 GB left.
		{"beyond full speed all are slower", 3, -1, 1, "[25 30 35]"},
		{"urgent ones start first", 3, 2, 1, "[25 35 30]"},
		{"slow", 1, -1, 5, "[100]"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := &clock{}
			store := newWeightStore(c, limits)
			store.setSlowdown(test.slowdown)
			done := make([]int, test.fetches)
			for i := range test.fetches {
				store.fetch(2*gigabyte, i == test.urgent, func() { done[i] = int(c.elapsed.Seconds()*10 + 0.5) })
			}
			for c.step(time.Minute) {
			}
			if got := fmt.Sprint(done); got != test.want {
				t.Errorf("completed at %s, want %s", got, test.want)
			}
		})
	}
}

func TestCheckpointCacheDropsTheLeastRecentlyUsed(t *testing.T) {
	cache := newCheckpointCache(10)
	put := func(index int) { cache.put(&model{index: index, weightBytes: 4 * gigabyte}) }
	put(1)
	put(2)
	put(1)
	put(3)
	if got := fmt.Sprint(cache.models()); got != "[1 3]" {
		t.Errorf("cached %s, want [1 3]", got)
	}
	cache.put(&model{index: 4, weightBytes: 11 * gigabyte})
	if cache.has(4) || cache.used != 8*gigabyte {
		t.Error("cached a checkpoint larger than the cache")
	}
}

func TestMinHoldTime(t *testing.T) {
	load := 10 * time.Second
	at := func(from, to int) span {
		return span{time.Duration(from) * time.Second, time.Duration(to) * time.Second}
	}
	cases := []struct {
		name  string
		spans []span
		want  time.Duration
	}{
		{"never wanted", nil, 0},
		{"loaded once", []span{at(100, 105)}, load},
		{"held over a short gap", []span{at(100, 105), at(109, 110)}, load + 4*time.Second},
		{"loaded again after a long gap", []span{at(100, 105), at(900, 901)}, 2 * load},
		{"overlapping requests", []span{at(100, 200), at(110, 120), at(203, 204)}, load + 3*time.Second},
	}
	for _, test := range cases {
		if got := minHoldTime(test.spans, load); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestTraceDependsOnTheSeedOnly(t *testing.T) {
	scenario := loadScenario(t, "delta-piney", "duration=6h")
	generate := func(seed uint64) *trace {
		return generateTrace(scenario, generateCatalog(scenario, newRandom(seed, streamCatalog)), newRandom(seed, streamTrace))
	}
	first, repeated, other := generate(1), generate(1), generate(2)
	if fmt.Sprint(first.arrivals) != fmt.Sprint(repeated.arrivals) {
		t.Error("the same seed gave a different trace")
	}
	if fmt.Sprint(first.arrivals) == fmt.Sprint(other.arrivals) {
		t.Error("different seeds gave the same trace")
	}
	if len(first.wakes) == 0 {
		t.Error("the trace has no wakes")
	}
	for i := 1; i < len(first.arrivals); i++ {
		if first.arrivals[i].at < first.arrivals[i-1].at {
			t.Fatal("the trace is not ordered by time")
		}
	}
}

func TestScenarioFindings(t *testing.T) {
	cases := []struct {
		name string
		set  []string
		want []string // parts of the error message
	}{
		{"no assignment", []string{"nodes"}, []string{"--set nodes", "path=value"}},
		{"several at once", []string{"services.nobody.servers=1", "services.booking.caches=x"},
			[]string{`no "nobody"`, "services.booking.caches=x"}},
		{"unknown key", []string{"nodez=3"}, []string{"nodez"}},
		{"impossible values", []string{"nodes=0", "services.booking.servers=-1", "services.assistant.arrivals.sessions.pause=0s"},
			[]string{"nodes: 0", "services.booking.servers: -1", "arrivals.sessions"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := LoadScenario("hornada", test.set)
			if err == nil {
				t.Fatal("accepted")
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not contain %q", err, part)
				}
			}
		})
	}
	if _, err := LoadScenario("nowhere", nil); err == nil || !strings.Contains(err.Error(), "hornada") {
		t.Errorf("unknown scenario: %v", err)
	}
	scenario := loadScenario(t, "hornada", "services.booking.settings.coldStartWeight=0.9", "weight_store.loads_per_second=7")
	if scenario.Services[1].Settings.ColdStartWeight != 0.9 || scenario.WeightStore.LoadsPerSecond != 7 {
		t.Error("assignments had no effect")
	}
}

func TestSilenceEndsOrSkipsAJob(t *testing.T) {
	c := &clock{}
	batch := &sharedRate{clock: c, rate: func(int) float64 { return 10 }}
	var done []time.Duration
	end := func() { done = append(done, c.elapsed.Round(time.Millisecond)) }
	batch.add(10, end)
	c.after(500*time.Millisecond, func() { batch.setPaused(true) })
	c.after(time.Second, func() { batch.add(10, end) })
	c.after(2*time.Second, func() { batch.setPaused(false) })
	for c.step(time.Minute) {
	}
	if want := "[2.5s 3s]"; fmt.Sprint(done) != want {
		t.Errorf("jobs ended at %v, want %s", done, want)
	}
}
