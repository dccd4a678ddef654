package watch

import (
	"time"

	"martenwheel.dev/pkg/revision"
)

// A store that was restored from a backup lacks what was written after the backup was made, and has again what
// was removed after it. The owner of a row writes it again a moment later, but until then the restored table is
// older than what this node knows. So the node reads a table of a new epoch as a whole, and
//
//   - keeps rows that the restored table lacks until keepLostTime is over; their revisions are of an earlier epoch;
//   - holds back rows that it saw being removed until holdBackTime is over, unless they are written again.
//
// Neither kind of row is sent to other nodes, which decide by what they knew before the restore.

const (
	// keepLostTime is how long a row that the restored table lacks is kept. Entries of running servers are
	// written again within two seconds after the store's return; the rest of the time is for the change to
	// arrive.
	keepLostTime = 2500 * time.Millisecond
	// holdBackTime is how long a removed row that is back in a restored table must stay there to be accepted,
	// if nobody writes it again. The entry of a server that is gone expires before.
	holdBackTime = 5 * time.Second
	// removedTime is how long a removed row is remembered, which limits the age of a backup after which
	// removed rows are still recognized.
	removedTime = time.Minute
	// maxRemoved limits the number of removed rows that are remembered.
	maxRemoved = 1 << 14
	// maxLoggedKeys limits the number of keys in a log line.
	maxLoggedKeys = 20
)

// restoreState is what a table keeps to take in the rows of a restored store. The table's mu guards it.
type restoreState struct {
	removed       map[string]time.Time // when rows were removed, by key
	heldBack      map[string]Record    // rows of this epoch that were removed in an earlier one and are not accepted yet
	keepUntil     time.Time            // end of the time in which rows of earlier epochs are kept; zero: there are none
	rewrittenAt   time.Time            // when owners have written again what the backup lacks
	previousAsOf  time.Duration        // Table.asOf of the previous epoch; counts until the rows are confirmed after rewrittenAt
	previousDated bool                 // previousAsOf is known
	acceptAt      time.Time            // when rows that are held back are accepted; zero: there are none
}

// enterEpoch prepares the table for rows of a version that may be of a new epoch. The caller holds mu.
func (t *Table) enterEpoch(version revision.Revision) {
	if version.Epoch() == t.version.Epoch() || t.version == 0 {
		return
	}
	now := t.Time.Now()
	if !t.mayLackWrites() {
		t.restored.previousAsOf, t.restored.previousDated = t.asOf, t.dated
	}
	t.dated = false // the store's clock may have gone back as well
	t.restored.keepUntil = now.Add(keepLostTime)
	t.restored.rewrittenAt = t.restored.keepUntil
	t.restored.acceptAt = now.Add(holdBackTime)
	lost := 0
	for _, r := range t.rows {
		if r.Version.Epoch() < version.Epoch() {
			lost++
		}
	}
	t.Logger.Warn("table of a new epoch", "table", t.Name, "version", version, "before", t.version, "rows", len(t.rows),
		"kept", lost, "held_back", len(t.restored.heldBack), "until_ms", keepLostTime.Milliseconds())
}

// mayLackWrites reports whether the rows may lack writes that the backup lacks: they were not confirmed since
// their owners have had the time to write them again. It is not enough to wait, as a failing store may answer
// once and then be silent for seconds. The caller holds mu.
func (t *Table) mayLackWrites() bool { return t.confirmedAt.Before(t.restored.rewrittenAt) }

// noteRemoved remembers that a row was removed. The caller holds mu.
func (t *Table) noteRemoved(key string) {
	now := t.Time.Now()
	if t.restored.removed == nil {
		t.restored.removed = make(map[string]time.Time)
	}
	if len(t.restored.removed) >= maxRemoved {
		for other, at := range t.restored.removed {
			if now.Sub(at) > removedTime {
				delete(t.restored.removed, other)
			}
		}
	}
	if len(t.restored.removed) < maxRemoved {
		t.restored.removed[key] = now
	}
}

// tryHoldBack holds back a row of a whole table or part that was removed in an earlier epoch and is back in a
// restored table. It returns false if the row may be accepted. heldBack has the rows that were held back
// before. The caller holds mu.
func (t *Table) tryHoldBack(r Record, heldBack map[string]Record) bool {
	if first, known := heldBack[r.Key]; known {
		if r.Version > first.Version && r.Version.Epoch() == first.Version.Epoch() {
			return false // it was written again
		}
		t.holdBack(r)
		return true
	}
	at, removed := t.restored.removed[r.Key]
	if !removed || r.Version.Epoch() <= t.version.Epoch() || t.Time.Since(at) > removedTime {
		return false
	}
	t.holdBack(r)
	return true
}

// holdBack keeps a row that is not accepted yet. The caller holds mu.
func (t *Table) holdBack(r Record) {
	if t.restored.heldBack == nil {
		t.restored.heldBack = make(map[string]Record)
	}
	t.restored.heldBack[r.Key] = r
}

// expireRestoreState drops rows of earlier epochs, and accepts rows that were held back, once their time is
// over.
func (t *Table) expireRestoreState() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Time.Now()
	var changed []string
	if !t.restored.keepUntil.IsZero() && now.After(t.restored.keepUntil) {
		t.restored.keepUntil = time.Time{}
		changed = t.dropUnconfirmed()
	}
	if !t.restored.acceptAt.IsZero() && now.After(t.restored.acceptAt) {
		t.restored.acceptAt = time.Time{}
		changed = append(changed, t.acceptHeldBack()...)
	}
	if len(changed) > 0 {
		t.Apply(t.rows, t.version)
	}
}

// dropUnconfirmed drops rows of earlier epochs and returns their keys. The caller holds mu.
func (t *Table) dropUnconfirmed() []string {
	var keys []string
	for key, r := range t.rows {
		if !t.inCurrentEpoch(r) {
			delete(t.rows, key)
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		t.Logger.Warn("dropped rows that were not written again after the restore", "table", t.Name, "rows", len(keys), "version", t.version,
			"keys", keys[:min(len(keys), maxLoggedKeys)])
	}
	return keys
}

// acceptHeldBack accepts the rows that were held back and returns their keys. The caller holds mu.
func (t *Table) acceptHeldBack() []string {
	var keys []string
	for key, r := range t.restored.heldBack {
		if _, has := t.rows[key]; !has && t.held.Holds(key) {
			t.rows[key] = r
			keys = append(keys, key)
		}
	}
	t.restored.heldBack = nil
	if len(keys) > 0 {
		t.Logger.Warn("accepted removed rows that the restored store has again", "table", t.Name, "rows", len(keys), "version", t.version,
			"keys", keys[:min(len(keys), maxLoggedKeys)])
	}
	return keys
}

// inCurrentEpoch reports whether a row is of the epoch of the table. The caller holds mu.
func (t *Table) inCurrentEpoch(r Record) bool { return r.Version.Epoch() >= t.version.Epoch() }
