// Package prefixcache keeps an approximate index of the prompt prefixes that an
// engine has in its prefix cache. It learns from the engine's cache events,
// which come late and with gaps, and from the node's own routing decisions.
// What it says is a hint for routing and may be wrong either way.
package prefixcache

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// The ages after which knowledge of a prefix no longer counts.
const (
	EventLifetime = 10 * time.Minute // told by an event
	HintLifetime  = 1 * time.Minute  // guessed from an own request
	GapLifetime   = 1 * time.Minute  // left after a gap in the events for what was known before it
)

// DefaultCapacity bounds the prefixes per server.
const DefaultCapacity = 8192

// maxMisses is the number of unknown blocks in a row after which a lookup ends.
// Above one, so that a single lost event doesn't hide a long match.
const maxMisses = 2

// Seed separates the prefixes of different models.
type Seed uint64

// ModelSeed returns the seed of a model.
func ModelSeed(model api.ModelName) Seed {
	return Seed(xxhash.Sum64String(string(model)))
}

// Index holds the prefixes of one server. The zero value is ready to use with
// the default capacity. Safe for concurrent use.
//
// It keeps two generations: what is not seen again until the newer one is full
// twice is forgotten. Memory is thus bounded by the capacity.
type Index struct {
	Capacity int // in prefixes; DefaultCapacity if zero

	mutex    sync.Mutex
	newer    map[uint64]entry
	older    map[uint64]entry
	instance string
	last     uint64    // sequence of the last event
	gapAt    time.Time // when the last gap showed; zero if there was none
}

// entry is what is known of one prefix.
type entry struct {
	noted  time.Time
	expiry time.Time
}

// Observe takes in a page of events.
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
		x.noteGap(now, event.Sequence)
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
		x.put(key, entry{noted: now, expiry: now.Add(EventLifetime)})
		return
	}
	delete(x.newer, key)
	delete(x.older, key)
}

// restart forgets all, for an engine that restarted has an empty cache.
func (x *Index) restart(instance string) {
	x.newer, x.older = nil, nil
	x.instance = instance
	x.last = 0
	x.gapAt = time.Time{}
}

// noteGap lets what was known before a gap age sooner, because the lost events
// may have told that it left the cache.
func (x *Index) noteGap(now time.Time, sequence uint64) {
	if x.last != 0 && sequence != x.last+1 {
		x.gapAt = now
	}
}

// Hint records that a prompt with these prefixes was just sent to the server,
// which will cache them in all likelihood.
func (x *Index) Hint(now time.Time, seed Seed, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	hint := entry{noted: now, expiry: now.Add(HintLifetime)}
	for _, prefix := range prefixes {
		key := makeKey(seed, prefix)
		if known, found := x.get(key); !found || known.expiry.Before(hint.expiry) {
			x.put(key, hint)
		}
	}
}

// Match returns how many leading blocks of a prompt are believed to be cached.
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
	if !found || !now.Before(known.expiry) {
		return false
	}
	return !known.noted.Before(x.gapAt) || now.Before(x.gapAt.Add(GapLifetime))
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
