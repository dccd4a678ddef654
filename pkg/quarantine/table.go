package quarantine

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"maps"
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
	// maxPauses bounds how often the time until the next trial of a subject in quarantine doubles.
	maxPauses = 6
	// refusalNews is how old the last refusal that a node knows must be for the next one to be told.
	refusalNews = Lifetime / 2
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
	refused    time.Time // when a request with the subject was last refused
	suspicions []suspicion
	heldSince  map[string]time.Time // by server, since when crashes that are held back are known

	// explained is valid while the table's change counter is explainedAtChange.
	explained         explanation
	explainedAtChange uint64
}

// Table is a node's knowledge of crashing requests and parts of prompts. The zero value is ready. It
// is safe for concurrent use.
type Table struct {
	mu             sync.Mutex
	entries        map[Fingerprint]*entry
	completed      completedSet // requests
	completedParts completedSet
	changes        uint64 // counts changes of entries
	// accused are the entries with a standing by themselves. They are valid while changes is
	// accusedAtChange.
	accused         []*entry
	accusedAtChange uint64
	// suspectedUntil is, for each server, until when there may be suspicions.
	suspectedUntil map[string]time.Time
}

// Change is the effect of new evidence on a request.
type Change struct {
	Evidence
	Before, Now Standing
	Accused     Standing // if no crash had been cleared
	New         bool     // whether anything was new
}

// Standing returns the standing of a request, given the fingerprints of all subjects that it has. It
// is that of the gravest of them.
func (t *Table) Standing(now time.Time, subjects ...Fingerprint) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	gravest := Free
	for _, f := range subjects {
		if e := t.liveEntry(now, f); e != nil {
			gravest = max(gravest, t.standing(now, e, subjects))
		}
	}
	return gravest
}

// NextRound returns the round, for a subject, of a run that begins now, see End.
func (t *Table) NextRound(now time.Time, f Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.liveEntry(now, f); e != nil {
		return e.rounds() + 1
	}
	return 1
}

// Evidence returns what is known of a subject of a request to a service, including suspicions.
func (t *Table) Evidence(now time.Time, f Fingerprint, service string) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.liveEntry(now, f); e != nil {
		return t.export(now, e)
	}
	return Evidence{Request: f, Service: service}
}

// Known returns what is known of those subjects of a request against which there is evidence,
// including suspicions.
func (t *Table) Known(now time.Time, subjects []Fingerprint) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Evidence
	for _, f := range subjects {
		if e := t.liveEntry(now, f); e != nil {
			list = append(list, t.export(now, e))
		}
	}
	return list
}

// export returns a copy of an entry's evidence with its suspicions. The caller holds mu.
func (t *Table) export(now time.Time, e *entry) Evidence {
	evidence := e.aged(now)
	evidence.Doubts = e.exportSuspicions(now)
	evidence.ClearedFor = t.clearedFor(now, e.Part, e.Request)
	return evidence
}

// Cleared reports whether a part of prompts is not blamed now because a request with it was answered
// within the last minute, here or at a node that told it.
func (t *Table) Cleared(now time.Time, part Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completedParts.remaining(now, part) > 0
}

// clearedFor returns how much longer a subject is not blamed. part is its ID if it is a part of prompts.
// The caller holds mu.
func (t *Table) clearedFor(now time.Time, part string, f Fingerprint) time.Duration {
	if part != "" {
		return t.completedParts.remaining(now, f)
	}
	return t.completed.remaining(now, f)
}

// liveEntry returns the entry of a request, or nil if there is none or it has expired. The caller
// holds mu.
func (t *Table) liveEntry(now time.Time, f Fingerprint) *entry {
	e := t.entries[f]
	if e == nil {
		return nil
	}
	if e.pruneSuspicions(now) {
		t.changes++
	}
	if now.Sub(e.lastNews()) > Lifetime || len(e.Ends) == 0 && len(e.suspicions) == 0 {
		t.drop(f)
		return nil
	}
	return e
}

// Merge adds evidence of this node or of another one.
func (t *Table) Merge(now time.Time, other Evidence) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, now.Add(-other.Age), other)
}

// merge adds evidence that last changed at the given time. The caller holds mu.
func (t *Table) merge(now, at time.Time, other Evidence) Change {
	e := t.liveEntry(now, other.Request)
	if e == nil && now.Sub(at) > Lifetime && other.RefusedAgo == 0 {
		return Change{Evidence: other}
	}
	if e == nil {
		t.makeRoom(now)
		e = &entry{Evidence: Evidence{Request: other.Request, Part: other.Part, Service: other.Service}, updated: at}
		if t.entries == nil {
			t.entries = make(map[Fingerprint]*entry)
		}
		t.entries[other.Request] = e
	}
	if other.ClearedFor > 0 {
		t.noteCompleted(now, now.Add(min(other.ClearedFor, completedTime)), other.Part, other.Request)
	}
	return t.change(now, at, e, func() bool {
		changed := e.dropClearedSuspicions(other)
		doubts := e.unclearedDoubts(other)
		changed = e.merge(other) || changed
		e.noteHeld(now)
		changed = e.noteRefused(now, other.RefusedAgo) || changed
		if t.clearedFor(now, other.Part, other.Request) > 0 {
			e.suspicions = nil
			return e.clear() || changed
		}
		e.pruneSuspicions(now)
		if e.mergeSuspicions(now, doubts) {
			t.noteSuspicions(now, e.suspicions)
			changed = true
		}
		return changed
	})
}

// HeldSince returns since when this node knows that a server crashed under a subject, if the crash is held back, see
// Run.UndecidedEvidence.
func (t *Table) HeldSince(now time.Time, f Fingerprint, server string) (since time.Time, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.liveEntry(now, f); e != nil {
		since, held = e.heldSince[server]
	}
	return since, held
}

// Decide counts the crash of a server under a subject with its round if it is held back, see HeldSince.
func (t *Table) Decide(now time.Time, f Fingerprint, server string) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.liveEntry(now, f)
	if e == nil || t.clearedFor(now, e.Part, f) > 0 {
		return Change{}
	}
	return t.change(now, now, e, func() bool {
		changed := e.decide(server)
		e.noteHeld(now)
		return changed
	})
}

// Aged is evidence with the time since it last changed.
type Aged struct {
	Evidence
	Age time.Duration
}

// MergeStored adds the evidence in the platform's store and returns what must be stored from now
// on: the evidence on all requests that are suspected or in quarantine. Suspicions that expire after
// SuspicionTime are not stored.
func (t *Table) MergeStored(now time.Time, stored []Aged) []Aged {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range stored {
		if a.Age <= Lifetime {
			t.merge(now, now.Add(-a.Age), a.Evidence)
		}
	}
	var kept []Aged
	for _, e := range t.gravest(now, func(e *entry) bool { return e.Standing() != Free || e.hasLastingStanding() }) {
		stored := e.aged(now)
		stored.Age, stored.Doubts = 0, e.exportLastingSuspicions(now)
		kept = append(kept, Aged{stored, now.Sub(e.updated)})
	}
	return kept
}

// Completed records that a request completed on this node, which clears it.
func (t *Table) Completed(now time.Time, f Fingerprint) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteCompleted(now, now.Add(completedTime), "", f)
	return t.clear(now, f)
}

// PartAnswered records that a request with a part of prompts was answered on this node, which clears
// the part.
func (t *Table) PartAnswered(now time.Time, id string, f Fingerprint) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteCompleted(now, now.Add(completedTime), id, f)
	return t.clear(now, f)
}

// noteCompleted records that a subject is not blamed until a time. part is its ID if it is a part of
// prompts. The caller holds mu.
func (t *Table) noteCompleted(now, until time.Time, part string, f Fingerprint) {
	if part != "" {
		t.completedParts.add(now, until, f, maxCompletedParts)
		return
	}
	t.completed.add(now, until, f, maxCompleted)
}

// Clear marks a request or part as not crashing servers. Unlike after Completed, later crashes count.
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
	return t.change(now, now, e, func() bool {
		hadSuspicions := len(e.suspicions) > 0
		e.suspicions = nil
		return e.clear() || hadSuspicions
	})
}

// change applies f to an entry and returns the effect. at is the time of the new evidence. The caller
// holds mu.
func (t *Table) change(now, at time.Time, e *entry, f func() bool) Change {
	c := Change{Before: t.standingAlone(now, e)}
	if c.New = f(); c.New {
		t.changes++
		if at.After(e.updated) {
			e.updated = at
		}
	}
	c.Now, c.Evidence, c.Accused = t.standingAlone(now, e), t.export(now, e), e.standingIfNotCleared()
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

// noteHeld records since when crashes that are held back are known.
func (e *entry) noteHeld(now time.Time) {
	held := e.HeldServers()
	maps.DeleteFunc(e.heldSince, func(server string, _ time.Time) bool { return !slices.Contains(held, server) })
	for _, server := range held {
		if e.heldSince == nil {
			e.heldSince = make(map[string]time.Time)
		}
		if _, known := e.heldSince[server]; !known {
			e.heldSince[server] = now
		}
	}
}

// drop removes an entry. The caller holds mu.
func (t *Table) drop(f Fingerprint) {
	delete(t.entries, f)
	t.changes++
}

// Restricted returns the evidence on subjects that are suspected or in quarantine, which nodes that
// may have missed it must get. Nodes with the same knowledge return the same list.
func (t *Table) Restricted(now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Evidence
	for _, e := range t.restricted(now) {
		list = append(list, e.aged(now))
	}
	return list
}

// restricted implements Restricted. The caller holds mu.
func (t *Table) restricted(now time.Time) []*entry {
	return t.gravest(now, func(e *entry) bool { return e.Standing() != Free })
}

// gravest returns the wanted entries, the gravest first, maxRestricted at most. The caller holds mu.
func (t *Table) gravest(now time.Time, wanted func(*entry) bool) []*entry {
	var list []*entry
	for f := range t.entries {
		if e := t.liveEntry(now, f); e != nil && wanted(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.Standing(), a.Standing()), compareKinds(a, b), bytes.Compare(a.Request[:], b.Request[:]))
	})
	return list[:min(len(list), maxRestricted)]
}

// compareKinds orders parts of prompts before requests: a part stands for many requests.
func compareKinds(a, b *entry) int {
	switch {
	case (a.Part == "") == (b.Part == ""):
		return 0
	case a.Part != "":
		return -1
	default:
		return 1
	}
}

// Differing returns this node's evidence on those subjects in another node's list for which it
// differs from the other node's.
func (t *Table) Differing(now time.Time, theirs []Evidence) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Evidence
	for _, other := range theirs {
		if e := t.liveEntry(now, other.Request); e != nil && !slices.Equal(e.Ends, other.Ends) {
			list = append(list, e.aged(now))
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

// Count returns the number of subjects with a standing.
func (t *Table) Count(now time.Time, standing Standing) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for f := range t.entries {
		if e := t.liveEntry(now, f); e != nil && t.standingAlone(now, e) == standing {
			n++
		}
	}
	return n
}
