package prefixcache

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
)

var (
	start  = time.Unix(1000, 0)
	prompt = []uint64{11, 12, 13, 14}
	seed   = ModelSeed("m")
)

func stored(sequence, prefix uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: sequence, Model: "m", Prefix: prefix, Stored: true}
}

func evicted(sequence, prefix uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: sequence, Model: "m", Prefix: prefix}
}

func page(instance string, events ...engine.CacheEvent) engine.CacheEvents {
	return engine.CacheEvents{Instance: instance, Events: events}
}

func TestMatch(t *testing.T) {
	cases := []struct {
		name  string
		pages []engine.CacheEvents
		hint  bool
		after time.Duration
		want  int
	}{
		{name: "nothing known"},
		{name: "three blocks", pages: []engine.CacheEvents{page("i", stored(1, 11), stored(2, 12), stored(3, 13))}, want: 3},
		{name: "one event lost", pages: []engine.CacheEvents{page("i", stored(1, 11), stored(3, 13))}, want: 3},
		{name: "evicted", pages: []engine.CacheEvents{page("i", stored(1, 11), stored(2, 12), evicted(3, 12))}, want: 1},
		{name: "repeated page", pages: []engine.CacheEvents{
			page("i", stored(1, 11), evicted(2, 11)), page("i", stored(1, 11))}, want: 0},
		{name: "engine restarted", pages: []engine.CacheEvents{page("i", stored(1, 11)), page("j")}, want: 0},
		{name: "own request", hint: true, want: 4},
		{name: "own request long ago", hint: true, after: HintLifetime, want: 0},
		{name: "event not that long ago", after: HintLifetime,
			pages: []engine.CacheEvents{page("i", stored(1, 11))}, want: 1},
		{name: "event long ago", after: EventLifetime,
			pages: []engine.CacheEvents{page("i", stored(1, 11))}, want: 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			index := &Index{}
			for _, page := range test.pages {
				index.Observe(start, page)
			}
			if test.hint {
				index.Hint(start, seed, prompt)
			}
			if got := index.Match(start.Add(test.after), seed, prompt); got != test.want {
				t.Errorf("matched %d blocks, want %d", got, test.want)
			}
			if got := index.Match(start, ModelSeed("other"), prompt); got != 0 {
				t.Errorf("matched %d blocks for another model, want 0", got)
			}
		})
	}
}

func TestGapExpiresEarlierEntries(t *testing.T) {
	index := &Index{}
	index.Observe(start, page("i", stored(1, 11)))
	gap := start.Add(time.Second)
	index.Observe(gap, page("i", stored(5, 99)))
	if got := index.Match(gap, seed, prompt); got != 1 {
		t.Errorf("matched %d blocks right after the gap, want 1", got)
	}
	if got := index.Match(gap.Add(GapLifetime), seed, prompt); got != 0 {
		t.Errorf("matched %d blocks long after the gap, want 0", got)
	}
}

func TestIndexIsBounded(t *testing.T) {
	index := &Index{Capacity: 100}
	for prefix := uint64(1); prefix <= 10_000; prefix++ {
		index.Observe(start, page("i", stored(prefix, prefix)))
	}
	if held := index.Len(); held > 100 {
		t.Errorf("%d prefixes held, want at most 100", held)
	}
	if got := index.Match(start, seed, []uint64{10_000}); got != 1 {
		t.Error("the newest prefix was evicted")
	}
}
