package watch

import (
	"time"

	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/revision"
)

// maxFollowers limits the followers of a node; other nodes choose another parent.
const maxFollowers = 256

// chunkBytes is the packed size from which on an answer gets no further part. It takes some 40 ms on the
// slowest links, so that an answer arrives in time however large the table is.
const chunkBytes = 48 << 10

// follower is a node that follows this one.
type follower struct {
	tables  map[string]Parts
	bare    bool      // it gets no records
	expires time.Time // unless it sends another Follow
}

// addFollower adds or renews a follower. A new follower is sent the current versions.
func (h *Hub) addFollower(f Follow) {
	now := clock.Now()
	h.mu.Lock()
	for address, other := range h.followers {
		if now.After(other.expires) {
			delete(h.followers, address)
		}
	}
	before, known := h.followers[f.Follower]
	full := !known && len(h.followers) >= maxFollowers
	if !full {
		h.followers[f.Follower] = follower{f.Tables, f.Bare, now.Add(followLifetime)}
	}
	h.mu.Unlock()
	if full || known && before.bare == f.Bare {
		return
	}
	for _, t := range h.Tables {
		if parts, wanted := f.Tables[t.Name]; wanted && t.Whole() && !t.stale() {
			h.Transport.Send(f.Follower, h.newsFor(t, t.emptyUpdate(), parts))
		}
	}
}

// newsFor returns the news of some parts for a follower, without records.
func (h *Hub) newsFor(t *Table, n update, parts Parts) News {
	t.mu.Lock()
	rows := t.totalRows
	t.mu.Unlock()
	return News{Table: t.Name, After: n.previous.latest(parts), Version: n.page.Version, Age: t.Age(), AsOf: n.page.AsOf, Dated: n.page.Dated,
		Watcher: h.Self.Peers, Parts: parts, Rows: rows}
}

// sendToFollowers sends an update to the followers of this node, or a heartbeat if it has no changes.
// Followers of the same parts get the same bytes, packed once. Followers without a change in their parts
// learn with the next heartbeat that there was none.
func (h *Hub) sendToFollowers(t *Table, n update) {
	if !t.Whole() || t.stale() {
		return
	}
	followers := h.followersOf(t.Name)
	packed := make(map[Parts][]byte)
	for address, f := range followers {
		parts := f.tables[t.Name]
		message := h.newsFor(t, n, parts)
		if len(n.page.Records) > 0 {
			if _, done := packed[parts]; !done && !f.bare {
				packed[parts] = h.packFor(t, n, parts)
			}
			if message.Records = packed[parts]; f.bare || message.Records == nil {
				continue
			}
		}
		h.Transport.Send(address, message)
	}
}

// packFor packs the records of an update that are in some parts; nil if there are none.
func (h *Hub) packFor(t *Table, n update, parts Parts) []byte {
	var records []Record
	for _, r := range n.page.Records {
		if parts.Holds(r.Key) {
			records = append(records, r)
		}
	}
	packed, err := pack(records)
	if err != nil {
		h.Logger.Error("changes not packed", "table", t.Name, "error", err)
	}
	return packed
}

// followersOf returns the followers of a table by address.
func (h *Hub) followersOf(table string) map[string]follower {
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make(map[string]follower, len(h.followers))
	for address, f := range h.followers {
		if _, follows := f.tables[table]; follows && now.Before(f.expires) {
			list[address] = f
		}
	}
	return list
}

// partPack has the rows of a part, packed once for each version of it.
type partPack struct {
	version revision.Revision
	packed  []byte
	known   bool // packed is up to date with version
}

// partsAnswer returns the changes in parts after a version if they are known, and otherwise as many of the
// parts as a message carries.
func (t *Table) partsAnswer(p Pull) (PullAnswer, error) {
	t.packing.Lock()
	defer t.packing.Unlock()
	t.mu.Lock()
	a := PullAnswer{Known: t.rows != nil && t.held == AllParts, Version: t.version, AsOf: t.asOf, Dated: t.dated, Rows: t.totalRows}
	var changes []Record
	if a.Known && p.After > 0 {
		changes, a.Changes = t.recent.since(p.After, p.Parts)
	}
	var stale map[int][]Record
	if a.Known && !a.Changes {
		stale = t.stalePacks(p.Parts)
	}
	t.mu.Unlock()
	a.Age = t.Age()
	if !a.Known {
		return a, nil
	}
	if a.Changes {
		a.Parts = p.Parts
		packed, err := pack(changes)
		a.Packs = [][]byte{packed}
		return a, err
	}
	return t.addChunks(a, p.Parts, stale)
}

// stalePacks returns the rows of the parts whose packs are out of date, and sets the new versions of those
// packs. The caller holds mu and packing.
func (t *Table) stalePacks(parts Parts) map[int][]Record {
	stale := make(map[int][]Record)
	for i := range parts.each() {
		if pack := &t.partPacks[i]; !pack.known || pack.version != t.lastChanged[i] {
			stale[i] = nil
			*pack = partPack{version: t.lastChanged[i]}
		}
	}
	if len(stale) == 0 {
		return nil
	}
	for key, r := range t.rows {
		i := partIndex(key)
		if list, wanted := stale[i]; wanted && t.inCurrentEpoch(r) {
			stale[i] = append(list, r)
		}
	}
	return stale
}

// addChunks adds packed parts to an answer up to chunkBytes. The caller holds packing.
func (t *Table) addChunks(a PullAnswer, parts Parts, stale map[int][]Record) (PullAnswer, error) {
	size := 0
	for i := range parts.each() {
		p := &t.partPacks[i]
		if size >= chunkBytes {
			break
		}
		if !p.known {
			packed, err := pack(stale[i])
			if err != nil {
				return PullAnswer{}, err
			}
			p.packed, p.known = packed, true
		}
		a.Parts |= partAt(i)
		if len(p.packed) > 0 {
			a.Packs = append(a.Packs, p.packed)
			size += len(p.packed)
		}
	}
	return a, nil
}
