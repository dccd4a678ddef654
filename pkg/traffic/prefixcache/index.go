// Package prefixcache keeps an approximate index of the prompt prefixes that an engine
// has in its prefix cache. It is built from the engine's cache events, which arrive late
// and with gaps, and from the node's own routing decisions. It is a hint for routing: it
// may list prefixes that are not cached and lack some that are.
package prefixcache

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// How long entries of the index are valid.
const (
	EventLifetime = 10 * time.Minute // after an event that reported the prefix
	HintLifetime  = 1 * time.Minute  // after a request of this node with the prefix
	GapLifetime   = 1 * time.Minute  // after a gap in the events, for entries from before the gap
)

// DefaultCapacity is the default maximum number of prefixes per server.
const DefaultCapacity = 8192

// maxMisses is the number of unknown blocks in a row after which a lookup ends. It is
// above one, so that a single lost event does not hide a long match.
const maxMisses = 2

// Seed is combined with prefix hashes to separate the prefixes of different models.
type Seed uint64

// ModelSeed returns the seed of a model.
func ModelSeed(model api.ModelName) Seed {
	return Seed(xxhash.Sum64String(string(model)))
}

// Index holds the prefixes of one server. The zero value is ready to use with the default
// capacity. It is safe for concurrent use.
//
// It keeps two generations of entries, so that its memory is bounded by the capacity: an
// entry that is not seen again is evicted after the newer generation was filled twice.
type Index struct {
	Capacity int // in prefixes; DefaultCapacity if zero

	mutex    sync.Mutex
	newer    map[uint64]entry
	older    map[uint64]entry
	instance string
	last     uint64    // sequence number of the last event
	gapAt    time.Time // when the last gap was detected; zero if there was none
}

// entry records when a prefix was last seen and until when that is valid.
type entry struct {
	seenAt    time.Time
	expiresAt time.Time
}

// Observe processes a page of events.
func (x *Index) Observe(now time.Time, page engine.CacheEvents) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if page.Instance != x.instance {
		x.restart(page.Instance)
	}
	seeds := make(map[api.ModelName]Seed)
	for _, event := range page.Events {
		if event.Sequence <= x.last {
			continue
		}
		x.detectGap(now, event.Sequence)
		x.last = event.Sequence
		seed, known := seeds[event.Model]
		if !known {
			seed = ModelSeed(event.Model)
			seeds[event.Model] = seed
		}
		x.apply(now, seed, event)
	}
}

func (x *Index) apply(now time.Time, seed Seed, event engine.CacheEvent) {
	key := makeKey(seed, event.Prefix)
	if event.Stored {
		x.put(key, entry{seenAt: now, expiresAt: now.Add(EventLifetime)})
		return
	}
	delete(x.newer, key)
	delete(x.older, key)
}

// restart clears the index, because a restarted engine has an empty cache.
func (x *Index) restart(instance string) {
	x.newer, x.older = nil, nil
	x.instance = instance
	x.last = 0
	x.gapAt = time.Time{}
}

// detectGap detects a gap in the events. Entries from before a gap expire sooner, because
// the lost events may have reported their eviction.
func (x *Index) detectGap(now time.Time, sequence uint64) {
	if x.last != 0 && sequence != x.last+1 {
		x.gapAt = now
	}
}

// Hint records that a prompt with these prefixes was just sent to the server, which will
// most likely cache them.
func (x *Index) Hint(now time.Time, seed Seed, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	hint := entry{seenAt: now, expiresAt: now.Add(HintLifetime)}
	for _, prefix := range prefixes {
		key := makeKey(seed, prefix)
		if known, found := x.get(key); !found || known.expiresAt.Before(hint.expiresAt) {
			x.put(key, hint)
		}
	}
}

// Match returns the number of leading blocks of a prompt that are believed to be cached.
func (x *Index) Match(now time.Time, seed Seed, prefixes []uint64) int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	matched, misses := 0, 0
	for index, prefix := range prefixes {
		if x.valid(now, makeKey(seed, prefix)) {
			matched, misses = index+1, 0
			continue
		}
		misses++
		if misses == maxMisses {
			break
		}
	}
	return matched
}

func (x *Index) valid(now time.Time, key uint64) bool {
	known, found := x.get(key)
	if !found || !now.Before(known.expiresAt) {
		return false
	}
	return !known.seenAt.Before(x.gapAt) || now.Before(x.gapAt.Add(GapLifetime))
}

func (x *Index) get(key uint64) (entry, bool) {
	if known, found := x.newer[key]; found {
		return known, true
	}
	known, found := x.older[key]
	return known, found
}

func (x *Index) put(key uint64, known entry) {
	capacity := x.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	if x.newer == nil || len(x.newer) >= capacity/2 {
		x.older = x.newer
		x.newer = make(map[uint64]entry)
	}
	x.newer[key] = known
}

// Len returns the number of prefixes held.
func (x *Index) Len() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return len(x.newer) + len(x.older)
}

func makeKey(seed Seed, prefix uint64) uint64 {
	return prefix ^ uint64(seed)
}
