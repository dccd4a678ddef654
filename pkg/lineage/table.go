package lineage

import (
	"sync"
	"time"
)

// Limits of what a node keeps.
const (
	// MaxLifetime limits how long a stream is known. Callers take streams up within their deadlines.
	MaxLifetime = 10 * time.Minute
	// defaultMaxStreams takes about 8 MB.
	defaultMaxStreams = 1 << 17
)

// entry is what is known of a stream.
type entry struct {
	origin      Origin
	learned     time.Time
	until       time.Time
	conflicting bool // different origins were told
}

// table holds the origins of streams. The zero value is ready to use. It is safe for concurrent use.
type table struct {
	max int // streams; zero: defaultMaxStreams

	mu      sync.Mutex
	entries map[Key]entry
	queue   []Key // of all entries, in the order in which they are looked at for removal
	evicted int   // streams that were removed before their time, for lack of space
}

// put records the origin of a stream for some time. It reports whether an older stream had to make room.
func (t *table) put(now time.Time, key Key, o Origin, left time.Duration) (evicted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(min(left, MaxLifetime))
	if e, known := t.entries[key]; known && now.Before(e.until) {
		e.conflicting = e.conflicting || e.origin != o
		e.until = latest(e.until, until)
		t.entries[key] = e
		return false
	}
	if t.entries == nil {
		t.entries = make(map[Key]entry)
	}
	if _, expired := t.entries[key]; !expired {
		evicted = t.makeRoom(now)
		t.queue = append(t.queue, key)
	}
	t.entries[key] = entry{origin: o, learned: now, until: until}
	return evicted
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expiryChecks is how many entries are looked at for each new one, so that expired ones do not accumulate.
const expiryChecks = 2

// makeRoom removes some of the expired entries, and the entry at the front of the queue if there is still no
// space for another one. It reports whether that one had not expired. The caller holds mu.
func (t *table) makeRoom(now time.Time) (evicted bool) {
	for range min(expiryChecks, len(t.queue)) {
		key := t.pop()
		if now.Before(t.entries[key].until) {
			t.queue = append(t.queue, key)
		} else {
			delete(t.entries, key)
		}
	}
	most := t.max
	if most == 0 {
		most = defaultMaxStreams
	}
	if len(t.entries) < most {
		return false
	}
	delete(t.entries, t.pop())
	t.evicted++
	return true
}

// pop removes and returns the key at the front of the queue. The caller holds mu.
func (t *table) pop() Key {
	key := t.queue[0]
	t.queue = t.queue[1:]
	return key
}

// find returns what is known of a stream; Known and Conflicting are false if nothing is.
func (t *table) find(now time.Time, key Key) Found {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[key]
	if !known || !now.Before(e.until) {
		return Found{}
	}
	return Found{Origin: e.origin, Known: !e.conflicting, Conflicting: e.conflicting, Age: now.Sub(e.learned)}
}

// size returns the number of streams, and of those that were removed before their time.
func (t *table) size() (streams, evicted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.evicted
}
