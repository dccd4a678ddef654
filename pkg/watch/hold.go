package watch

import (
	"time"

	"martenwheel.dev/pkg/revision"
)

// wantedParts returns the parts that the node is to hold. The caller holds mu.
func (t *Table) wantedParts() Parts {
	if !t.Partitioned {
		return AllParts
	}
	return partsOrAll(t.wanted)
}

// missing returns the wanted parts that are not held. The caller holds mu.
func (t *Table) missing() Parts { return t.wantedParts() &^ t.held }

// partStatus returns the wanted parts that are not held, and those that are held with the table's version.
func (t *Table) partStatus() (missing, held Parts, version revision.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.missing(), t.held, t.version
}

// Whole reports whether the node holds all rows.
func (t *Table) Whole() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows != nil && t.held == AllParts
}

// addWanted adds parts to those that the node is to hold.
func (t *Table) addWanted(parts Parts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Partitioned {
		t.wanted = t.wantedParts() | parts
	}
}

// setTotalRows sets the number of rows of the whole table.
func (t *Table) setTotalRows(rows int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totalRows = rows
}

// setWanted sets the parts to hold. Other parts that are held and in use are kept.
func (t *Table) setWanted(parts Parts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Partitioned && parts != t.wanted {
		t.wanted = parts
	}
	unwanted := t.held &^ t.wantedParts()
	if unwanted == 0 {
		return
	}
	if unwanted = unwanted &^ t.partsInUse(unwanted); unwanted != 0 {
		t.dropParts(unwanted)
	}
}

// partsInUse returns those of the given parts that have rows in use. The caller holds mu.
func (t *Table) partsInUse(parts Parts) Parts {
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

// dropParts removes the rows of parts. The caller holds mu.
func (t *Table) dropParts(parts Parts) {
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

// Merge takes in whole parts that were up to date the given time ago. It refuses them if they are older than
// the table.
func (t *Table) Merge(page Page, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Version < t.version {
		return false
	}
	parts := partsOrAll(page.Parts) & t.wantedParts()
	for i := range parts.each() {
		if t.baseVersions[i] > page.Version {
			parts &^= partAt(i)
		}
	}
	if parts == 0 {
		return true
	}
	t.applyWhole(parts, page)
	t.noteMerged(parts, page, age)
	t.Apply(t.rows, t.version)
	return true
}

// noteMerged updates the state after parts were taken in as a whole. The caller holds mu.
func (t *Table) noteMerged(parts Parts, page Page, age time.Duration) {
	others := t.held &^ parts
	t.held |= parts
	for i := range parts.each() {
		t.baseVersions[i] = page.Version
	}
	t.lastChanged.note(parts, page.Version)
	t.recent.reset(page.Version)
	// If parts were read one after the other, the table is only as new as its oldest part.
	oldest := page.Version
	for i := range others.each() {
		oldest = min(oldest, t.baseVersions[i])
	}
	if oldest > t.version {
		t.enterEpoch(oldest)
		t.version = oldest
	}
	switch at := t.Time.Now().Add(-age); {
	case others == 0:
		t.confirm(age, page)
	case at.Before(t.confirmedAt): // the table is only as new as its oldest part
		t.confirmedAt = at
		if page.Dated && page.AsOf < t.asOf {
			t.asOf = page.AsOf
		}
	}
	if others == 0 || oldest == page.Version {
		t.gapSince, t.reread = time.Time{}, false
	}
}
