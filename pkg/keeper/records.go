package keeper

import (
	"container/heap"
	"sort"
	"time"

	"martenwheel.dev/pkg/indexedheap"
)

// records indexes the records of a cell by key, by insertion order (for copying)
// and by expiry. It is not safe for concurrent use.
type records struct {
	byKey       map[Key]*record
	perCaller   map[string]int
	byExpiry    indexedheap.Heap[*record] // ordered by expiresAt, earliest first
	bySequence  []*record                 // in ascending sequence; may contain removed records
	sequence    uint64
	answerBytes int
}

// record is what a store remembers about one key.
type record struct {
	claim     Claim
	round     uint32
	answer    *Answer
	grantedAt time.Time
	expiresAt time.Time
	sequence  uint64
	heapIndex int // position in byExpiry; negative once removed
}

func newRecords() *records {
	return &records{byKey: map[Key]*record{}, perCaller: map[string]int{}}
}

func (r *records) add(added *record) {
	r.sequence++
	added.sequence = r.sequence
	r.byKey[added.claim.Key] = added
	r.perCaller[added.claim.Key.Caller]++
	r.bySequence = append(r.bySequence, added)
	heap.Push(&r.byExpiry, added)
}

func (r *records) remove(removed *record) {
	key := removed.claim.Key
	delete(r.byKey, key)
	if r.perCaller[key.Caller]--; r.perCaller[key.Caller] == 0 {
		delete(r.perCaller, key.Caller)
	}
	r.setAnswer(removed, nil)
	heap.Remove(&r.byExpiry, removed.heapIndex)
	r.compact()
}

// setAnswer replaces the record's answer and updates answerBytes.
func (r *records) setAnswer(target *record, answer *Answer) {
	if target.answer != nil {
		r.answerBytes -= len(target.answer.Body)
	}
	if answer != nil {
		r.answerBytes += len(answer.Body)
	}
	target.answer = answer
}

// extend moves the record's expiry to the given time unless it is later already.
func (r *records) extend(kept *record, until time.Time) {
	if until.After(kept.expiresAt) {
		kept.expiresAt = until
		heap.Fix(&r.byExpiry, kept.heapIndex)
	}
}

func (r *records) expire(now time.Time) {
	for len(r.byExpiry) > 0 && !now.Before(r.byExpiry[0].expiresAt) {
		r.remove(r.byExpiry[0])
	}
}

// compact drops removed records from bySequence once they make up more than
// half of it.
func (r *records) compact() {
	if len(r.bySequence) <= 2*len(r.byKey)+minCompactRecords {
		return
	}
	kept := make([]*record, 0, len(r.byKey))
	for _, each := range r.bySequence {
		if each.heapIndex >= 0 {
			kept = append(kept, each)
		}
	}
	r.bySequence = kept
}

const minCompactRecords = 64 // removed records that compact tolerates in addition

// page returns records with a sequence above after, oldest first. The page ends
// at maxRecords records or once its answers add up to maxBytes. done reports
// whether no records are left after it.
func (r *records) page(after uint64, maxRecords, maxBytes int) (page []*record, done bool) {
	start := sort.Search(len(r.bySequence), func(i int) bool {
		return r.bySequence[i].sequence > after
	})
	bytes := 0
	for _, each := range r.bySequence[start:] {
		if each.heapIndex < 0 {
			continue
		}
		if len(page) == maxRecords || bytes >= maxBytes {
			return page, false
		}
		page = append(page, each)
		if each.answer != nil {
			bytes += len(each.answer.Body)
		}
	}
	return page, true
}

// Before implements indexedheap.Entry.
func (r *record) Before(other *record) bool { return r.expiresAt.Before(other.expiresAt) }

// SetPosition implements indexedheap.Entry.
func (r *record) SetPosition(position int) { r.heapIndex = position }
