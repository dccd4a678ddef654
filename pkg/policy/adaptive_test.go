package policy

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"martenwheel.dev/pkg/engine"
)

// requestedEvery returns a change that records periodic arrivals, the last one age ago.
func requestedEvery(period, age time.Duration) func(*Model) {
	return func(m *Model) {
		m.Base = ""
		for i := 40; i >= 0; i-- {
			m.History.Observe(testNow.Add(-age - time.Duration(i)*period))
		}
	}
}

// with returns a change that applies several changes to a test model.
func with(changes ...func(*Model)) func(*Model) {
	return func(m *Model) {
		for _, change := range changes {
			change(m)
		}
	}
}

func loadedOn(server string, idle time.Duration) func(*Model) {
	return func(m *Model) { m.Replicas = []Replica{idleReplica(server, idle)} }
}

func weight(value float64) func(*Model) {
	return func(m *Model) { m.Settings.ColdStartWeight = value }
}

func cachedIn(server Server, tier engine.CacheTier, checkpoints ...string) Server {
	server.Cached = make(map[string]engine.CacheTier)
	for _, checkpoint := range checkpoints {
		server.Cached[checkpoint] = tier
	}
	return server
}

func TestAdaptive(t *testing.T) {
	minute := time.Minute
	cases := []struct {
		name   string
		models []Model
		server []Server // one empty server if nil
		want   []string
	}{
		{"a model requested each minute stays", []Model{
			testModel("a", with(requestedEvery(minute, 30*time.Second), loadedOn("s1", 30*time.Second))),
		}, nil, nil},
		{"a model requested each hour is unloaded", []Model{
			testModel("a", with(requestedEvery(time.Hour, minute), loadedOn("s1", minute))),
		}, nil, []string{"unload a on s1"}},
		{"a model just used stays, whatever its weight", []Model{
			testModel("a", with(requestedEvery(time.Hour, 0), loadedOn("s1", time.Second), weight(0))),
		}, nil, nil},
		{"only idle hours matter", []Model{
			testModel("a", with(requestedEvery(minute, 10*time.Second), loadedOn("s1", 10*time.Second), weight(0))),
		}, nil, []string{"unload a on s1"}},
		{"only cold starts matter", []Model{
			testModel("a", with(requestedEvery(20*minute, minute), loadedOn("s1", minute), weight(1), func(m *Model) {
				m.Settings.Prewarm = false
			})),
		}, nil, nil},
		{"never longer than keepAlive", []Model{
			testModel("a", with(requestedEvery(20*minute, 10*minute), loadedOn("s1", 10*minute), weight(1), func(m *Model) {
				m.Settings.Prewarm = false
			})),
		}, nil, []string{"unload a on s1"}},
		{"prewarmed shortly before the timer", []Model{
			testModel("a", with(requestedEvery(time.Hour, 58*minute), weight(0.9))),
		}, []Server{cachedIn(testServer("s1", 80), engine.TierMemory, "a")}, []string{"load a on s1"}},
		{"not prewarmed long before the timer", []Model{
			testModel("a", with(requestedEvery(time.Hour, 20*minute), weight(0.9))),
		}, []Server{cachedIn(testServer("s1", 80), engine.TierMemory, "a")}, nil},
		{"not prewarmed while a request waits for another load", []Model{
			testModel("a", with(requestedEvery(time.Hour, 58*minute), weight(0.9))),
			testModel("b", func(m *Model) { m.Demand = waiting(1, minute) }),
		}, []Server{cachedIn(testServer("s1", 80), engine.TierMemory, "a")}, []string{"load b on s1 urgent"}},
		{"not prewarmed if a replica would have to be evicted", []Model{
			testModel("a", with(requestedEvery(time.Hour, 58*minute), weight(0.9))),
			testModel("b", with(requestedEvery(minute, 30*time.Second), loadedOn("s1", 30*time.Second))),
		}, []Server{cachedIn(testServer("s1", 5), engine.TierMemory, "a")}, nil},
		{"loaded once to be cached", []Model{
			testModel("a", weight(0.9)),
		}, nil, []string{"load a on s1"}},
		{"cached where memory is free", []Model{
			testModel("a", weight(0.9)), testModel("b", nil), testModel("c", nil),
		}, []Server{
			func() Server {
				s := cachedIn(testServer("s1", 80), engine.TierMemory, "b", "c")
				s.Cached["a"] = engine.TierDisk
				return s
			}(),
			testServer("s2", 80),
		}, []string{"load a on s2"}},
		{"the base stays for its adapter's requests", []Model{
			testModel("a", with(requestedEvery(time.Hour, 30*minute), loadedOn("s1", minute))),
			testModel("a:x", with(requestedEvery(minute, 30*time.Second), func(m *Model) { m.Base = "a" })),
		}, nil, nil},
		{"the model expected later is evicted for a waiting one", []Model{
			testModel("a", func(m *Model) { m.Demand = waiting(1, minute); m.Settings.Priority = 9 }),
			testModel("b", with(requestedEvery(minute, 20*time.Second), loadedOn("s1", 20*time.Second))),
			testModel("c", with(requestedEvery(3*minute, 20*time.Second), loadedOn("s1", 20*time.Second))),
		}, []Server{testServer("s1", 5)}, []string{"unload c on s1"}},
	}
	decider, _ := ByName(NameAdaptive)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			input := Input{Models: test.models, Servers: test.server, LoadSlots: 8, LoadRate: 4}
			if test.server == nil {
				input.Servers = []Server{testServer("s1", 80)}
			}
			var got []string
			for _, action := range decider.Decide(testNow, input) {
				got = append(got, describe(action))
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestHistoryKeepsItsSize(t *testing.T) {
	var history History
	size := 0
	for i := range 2000 {
		history.Observe(testNow.Add(time.Duration(i*i) * time.Second))
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(&history); err != nil {
			t.Fatal(err)
		}
		size = max(size, buffer.Len())
	}
	if size > 1200 {
		t.Errorf("encoded in %d bytes, want at most 1200", size)
	}
	if most := 1/(1-gapDecay) + 1; history.Weight() > most {
		t.Errorf("weight %v, want at most %v", history.Weight(), most)
	}
}

func TestHistoryIgnoresBurstsAndTheOrderOfReports(t *testing.T) {
	var history History
	for _, seconds := range []int{0, 1, 3, 2, 60, 61, 59} {
		history.Observe(testNow.Add(time.Duration(seconds) * time.Second))
	}
	if history.Weight() != 1 || history.Gaps[bucketOf(57*time.Second)] != 1 {
		t.Errorf("got gaps of total weight %v, want only the gap of 57 s", history.Weight())
	}
}

func TestHistoryProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	properties := gopter.NewProperties(parameters)
	random := func(seed uint64) *History {
		var history History
		source := rand.New(rand.NewPCG(seed, 1))
		at := testNow
		for range source.IntN(200) {
			at = at.Add(time.Duration(source.ExpFloat64() * float64(10*time.Minute)))
			history.Observe(at)
		}
		return &history
	}
	properties.Property("a longer gap is never more probable", prop.ForAll(func(seed uint64) bool {
		survival := random(seed).survival()
		last := survival(0)
		for gap := time.Second; gap < 14*24*time.Hour; gap = gap * 5 / 4 {
			if next := survival(gap); next > last*1.0001 || next <= 0 {
				return false
			}
			last = survival(gap)
		}
		return true
	}, gen.UInt64()))
	properties.Property("decoding and merging forget nothing", prop.ForAll(func(first, second uint64) bool {
		one, other := random(first), random(second)
		var buffer bytes.Buffer
		var decoded History
		if gob.NewEncoder(&buffer).Encode(one) != nil || gob.NewDecoder(&buffer).Decode(&decoded) != nil {
			return false
		}
		want := one.Weight() + other.Weight()
		decoded.Merge(other)
		fresh := History{Last: decoded.Last, Gaps: decoded.Gaps}
		same := decoded.survival()(time.Hour) == fresh.survival()(time.Hour)
		return same && decoded.Weight() > want-0.01 && decoded.Weight() < want+0.01
	}, gen.UInt64(), gen.UInt64()))
	properties.TestingRun(t)
}

// BenchmarkDecide measures a decision for a cell with 12 servers and 95 models.
func BenchmarkDecide(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	input := Input{LoadSlots: 8, LoadRate: 2}
	for i := range 12 {
		input.Servers = append(input.Servers, cachedIn(testServer(fmt.Sprintf("s%02d", i), 80), engine.TierDisk))
	}
	for i := range 95 {
		input.Models = append(input.Models, randomModel(random, &input, fmt.Sprintf("m%02d", i), ""))
	}
	decider, _ := ByName(NameAdaptive)
	for b.Loop() {
		decider.Decide(testNow, input)
	}
}
