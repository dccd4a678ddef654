package watch

import (
	"time"

	"martenwheel.dev/pkg/revision"
)

// wants returns the parts that the node is to hold. The caller holds mu.
func (t *Table) wants() Parts {
	if !t.Parted {
		return AllParts
	}
	return told(t.wanted)
}

// missing returns the parts that are to be held and are not here. The caller holds mu.
func (t *Table) missing() Parts { return t.wants() &^ t.held }

// lacks returns the parts that are to be held and are not here, and those that are here with the
// version of what is known of them.
func (t *Table) lacks() (missing, held Parts, version revision.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.missing(), t.held, t.version
}

// Whole tells whether the node holds all rows.
func (t *Table) Whole() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows != nil && t.held == AllParts
}

// add has the node hold further parts.
func (t *Table) add(parts Parts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Parted {
		t.wanted = t.wants() | parts
	}
}

// setTotal notes how many rows the whole table has.
func (t *Table) setTotal(rows int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total = rows
}

// want sets the parts to be held. Those that are here and in use are kept.
func (t *Table) want(parts Parts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Parted && parts != t.wanted {
		t.wanted = parts
	}
	unwanted := t.held &^ t.wants()
	if unwanted == 0 {
		return
	}
	if unwanted = unwanted &^ t.used(unwanted); unwanted != 0 {
		t.drop(unwanted)
	}
}

// used returns the parts of some that have rows in use. The caller holds mu.
func (t *Table) used(parts Parts) Parts {
	var used Parts
	if t.InUse == nil {
		return used
	}
	for key := range t.rows {
		if part := PartOf(key); parts&part != 0 && used&part == 0 && t.InUse(key) {
			used |= part
		}
	}
	return used
}

// drop lets go of parts. The caller holds mu.
func (t *Table) drop(parts Parts) {
	var keys []string
	for key := range t.rows {
		if parts.Holds(key) {
			keys = append(keys, key)
			delete(t.rows, key)
		}
	}
	t.held &^= parts
	t.recent.reset(t.version)
	t.Logger.Info("parts dropped", "table", t.Name, "parts", parts.count(), "rows", len(keys), "held", t.held.count(), "version", t.version)
	if t.Dropped != nil {
		t.Dropped(keys)
	}
	t.Apply(t.rows, t.version)
}

// Merge takes in whole parts that were the newest so long ago. It refuses them if they are older
// than what is known.
func (t *Table) Merge(page Page, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Version < t.version {
		return false
	}
	parts := told(page.Parts) & t.wants()
	for i := range parts.each() {
		if t.floors[i] > page.Version {
			parts &^= partAt(i)
		}
	}
	if parts == 0 {
		return true
	}
	t.takeWhole(parts, page)
	t.merged(parts, page, age)
	t.Apply(t.rows, t.version)
	return true
}

// merged notes that parts were taken in as a whole. The caller holds mu.
func (t *Table) merged(parts Parts, page Page, age time.Duration) {
	others := t.held &^ parts
	t.held |= parts
	for i := range parts.each() {
		t.floors[i] = page.Version
	}
	t.lasts.note(parts, page.Version)
	t.recent.reset(page.Version)
	// Of rows taken in one part after the other, no more is known than of the oldest.
	oldest := page.Version
	for i := range others.each() {
		oldest = min(oldest, t.floors[i])
	}
	if oldest > t.version {
		t.enter(oldest)
		t.version = oldest
	}
	switch at := t.Time.Now().Add(-age); {
	case others == 0:
		t.confirm(age, page)
	case at.Before(t.freshAt): // all rows are as new as the oldest
		t.freshAt = at
		if page.Dated && page.AsOf < t.asOf {
			t.asOf = page.AsOf
		}
	}
	if others == 0 || oldest == page.Version {
		t.gapSince, t.reread = time.Time{}, false
	}
}
