package quarantine

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// Bounds of a table.
const (
	// Lifetime is how long evidence counts after its last crash. Requests that crash servers come
	// again within seconds to minutes. A request that is wrongly in quarantine stays there no
	// longer than this.
	Lifetime = 10 * time.Minute
	// maxEntries bounds the requests of which a node keeps evidence, at some 300 bytes each. A loss
	// of 20 servers with 64 places each gives 1,280 entries. Beyond the bound, the entries with the
	// least evidence are dropped, the oldest of them first.
	maxEntries = 4096
	// maxRestricted bounds the evidence that nodes exchange again and that the store keeps, at some
	// 200 bytes each.
	maxRestricted = 64
)

// entry is a node's evidence on a request.
type entry struct {
	Evidence
	updated    time.Time // when the evidence last changed
	suspicions []suspicion

	// lastRoundShared is the cached result of Table.lastRoundShared. It is valid while the table's change
	// counter is sharedAtChange.
	lastRoundShared bool
	sharedAtChange  uint64
}

// Table is a node's knowledge of crashing requests. The zero value is ready. It is safe for
// concurrent use.
type Table struct {
	mu        sync.Mutex
	entries   map[Fingerprint]*entry
	completed completedSet
	changes   uint64 // counts changes of entries
	// suspectedUntil is, for each server, until when there may be suspicions.
	suspectedUntil map[string]time.Time
}

// Change is the effect of new evidence on a request.
type Change struct {
	Evidence
	Before, Now Standing
	New         bool // whether anything was new
}

// Standing returns the standing of a request.
func (t *Table) Standing(now time.Time, f Fingerprint) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.liveEntry(now, f); e != nil {
		return t.standing(now, e)
	}
	return Free
}

// standing considers the crashes of all requests. The run of the third round is a trial, so that a
// crash shows which request caused it. If another suspected request crashed the same server,
// because a node did not know of trials yet, the crash shows nothing and the next trial decides. A
// fourth round counts in any case: a request that crashes servers and is never alone crashes one more
// server. Suspicions alone never make a request more than suspected. The caller holds mu.
func (t *Table) standing(now time.Time, e *entry) Standing {
	s := e.Standing()
	if s == Free && e.suspectedBySuspicion() {
		return Suspected
	}
	if s == Quarantined && e.rounds() == quarantinedRounds && t.lastRoundShared(now, e) {
		return Suspected
	}
	return s
}

// lastRoundShared reports whether other suspected requests crashed all servers of a request's last
// round. The result is cached until an entry changes, since it takes a scan of all entries and a
// request in quarantine may come thousands of times. The caller holds mu.
func (t *Table) lastRoundShared(now time.Time, e *entry) bool {
	if e.sharedAtChange != t.changes {
		e.lastRoundShared = t.computeLastRoundShared(now, e)
		e.sharedAtChange = t.changes
	}
	return e.lastRoundShared
}

// computeLastRoundShared is lastRoundShared without the cache. The caller holds mu.
func (t *Table) computeLastRoundShared(now time.Time, e *entry) bool {
	last := e.serversFrom(e.rounds())
	for f := range t.entries {
		if len(last) == 0 {
			return true
		}
		other := t.liveEntry(now, f)
		if other == nil || other == e || other.Standing() == Free {
			continue
		}
		last = slices.DeleteFunc(last, other.crashed)
	}
	return len(last) == 0
}

// NextRound returns the round of a run that begins now, see End.
func (t *Table) NextRound(now time.Time, f Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.liveEntry(now, f); e != nil {
		return e.rounds() + 1
	}
	return 1
}

// Evidence returns what is known of a request to a service, including suspicions.
func (t *Table) Evidence(now time.Time, f Fingerprint, service string) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.liveEntry(now, f); e != nil {
		evidence := e.copy()
		evidence.Doubts = e.exportSuspicions(now)
		return evidence
	}
	return Evidence{Request: f, Service: service}
}

// liveEntry returns the entry of a request, or nil if there is none or it has expired. The caller
// holds mu.
func (t *Table) liveEntry(now time.Time, f Fingerprint) *entry {
	e := t.entries[f]
	if e == nil {
		return nil
	}
	e.pruneSuspicions(now)
	if now.Sub(e.updated) > Lifetime || len(e.Ends) == 0 && len(e.suspicions) == 0 {
		t.drop(f)
		return nil
	}
	return e
}

// Merge adds evidence of this node or of another one.
func (t *Table) Merge(now time.Time, other Evidence) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, now, other)
}

// merge adds evidence that last changed at the given time. The caller holds mu.
func (t *Table) merge(now, at time.Time, other Evidence) Change {
	e := t.liveEntry(now, other.Request)
	if e == nil {
		t.makeRoom(now)
		e = &entry{Evidence: Evidence{Request: other.Request, Service: other.Service}, updated: at}
		if t.entries == nil {
			t.entries = make(map[Fingerprint]*entry)
		}
		t.entries[other.Request] = e
	}
	return t.change(at, e, func() bool {
		changed := e.merge(other)
		if t.completed.has(now, other.Request) {
			return e.clear() || changed
		}
		e.pruneSuspicions(now)
		if e.mergeSuspicions(now, other.Doubts) {
			t.noteSuspicions(now, e.suspicions)
			changed = true
		}
		return changed
	})
}

// Aged is evidence with the time since it last changed.
type Aged struct {
	Evidence
	Age time.Duration
}

// MergeStored adds the evidence in the platform's store and returns what must be stored from now
// on: the evidence on all requests that are suspected or in quarantine.
func (t *Table) MergeStored(now time.Time, stored []Aged) []Aged {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range stored {
		if a.Age <= Lifetime {
			t.merge(now, now.Add(-a.Age), a.Evidence)
		}
	}
	var kept []Aged
	for _, e := range t.restricted(now) {
		kept = append(kept, Aged{e.copy(), now.Sub(e.updated)})
	}
	return kept
}

// Completed records that a request completed on this node, which clears it.
func (t *Table) Completed(now time.Time, f Fingerprint) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed.add(now, f)
	return t.clear(now, f)
}

// Clear marks a request as not crashing servers. Unlike after Completed, later crashes count.
func (t *Table) Clear(now time.Time, f Fingerprint) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(now, f)
}

// clear clears a request's evidence and suspicions. The caller holds mu.
func (t *Table) clear(now time.Time, f Fingerprint) Change {
	e := t.liveEntry(now, f)
	if e == nil {
		return Change{}
	}
	return t.change(now, e, func() bool {
		hadSuspicions := len(e.suspicions) > 0
		e.suspicions = nil
		return e.clear() || hadSuspicions
	})
}

// change applies f to an entry and returns the effect. at is the time of the new evidence. The caller
// holds mu.
func (t *Table) change(at time.Time, e *entry, f func() bool) Change {
	c := Change{Before: t.standing(at, e)}
	if c.New = f(); c.New {
		t.changes++
		if at.After(e.updated) {
			e.updated = at
		}
	}
	c.Now, c.Evidence = t.standing(at, e), e.copy()
	c.Doubts = e.exportSuspicions(at)
	return c
}

// makeRoom drops entries if there are too many. The caller holds mu.
func (t *Table) makeRoom(now time.Time) {
	if len(t.entries) < maxEntries {
		return
	}
	for f := range t.entries {
		t.liveEntry(now, f)
	}
	if len(t.entries) < maxEntries {
		return
	}
	list := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(a.Servers()), len(b.Servers())), a.updated.Compare(b.updated))
	})
	for _, e := range list[:len(list)/4] { // a quarter at a time, so that this is rare
		t.drop(e.Request)
	}
}

// drop removes an entry. The caller holds mu.
func (t *Table) drop(f Fingerprint) {
	delete(t.entries, f)
	t.changes++
}

// Restricted returns the evidence on requests that are suspected or in quarantine, which nodes that
// may have missed it must get. Nodes with the same knowledge return the same list.
func (t *Table) Restricted(now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Evidence
	for _, e := range t.restricted(now) {
		list = append(list, e.copy())
	}
	return list
}

// restricted implements Restricted. The caller holds mu.
func (t *Table) restricted(now time.Time) []*entry {
	var list []*entry
	for f := range t.entries {
		if e := t.liveEntry(now, f); e != nil && e.Standing() != Free {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.Standing(), a.Standing()), bytes.Compare(a.Request[:], b.Request[:]))
	})
	return list[:min(len(list), maxRestricted)]
}

// Differing returns this node's evidence on those requests in another node's list for which it
// differs from the other node's.
func (t *Table) Differing(now time.Time, theirs []Evidence) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Evidence
	for _, other := range theirs {
		if e := t.liveEntry(now, other.Request); e != nil && !slices.Equal(e.Ends, other.Ends) {
			list = append(list, e.copy())
		}
	}
	return list
}

// Sum returns a checksum that does not depend on the order of the list.
func Sum(list []Evidence) uint64 {
	total := uint64(0)
	for _, e := range list {
		sum := fnv.New64a()
		_, _ = sum.Write(e.Request[:]) // never fails
		for _, end := range e.Ends {
			_, _ = sum.Write([]byte(end.Server))
			if end.Cleared {
				_, _ = sum.Write([]byte{1})
			}
			_, _ = sum.Write([]byte{0, byte(end.Round)})
		}
		total += sum.Sum64()
	}
	return total
}

// Count returns the number of requests with a standing.
func (t *Table) Count(now time.Time, standing Standing) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for f := range t.entries {
		if e := t.liveEntry(now, f); e != nil && t.standing(now, e) == standing {
			n++
		}
	}
	return n
}
