package watch

import (
	"time"

	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/revision"
)

// mostFollowers bounds the followers of a node; others find another one.
const mostFollowers = 256

// chunkBytes is from how many packed bytes on an answer carries no further part: some 40 ms of the
// slowest links, so that an answer has time to come however large the table is.
const chunkBytes = 48 << 10

// follower is a node that follows this one.
type follower struct {
	tables map[string]Parts
	bare   bool
	until  time.Time
}

// followedBy takes in a follower and tells it how things stand.
func (h *Hub) followedBy(f Follow) {
	now := clock.Now()
	h.mu.Lock()
	for address, other := range h.followers {
		if now.After(other.until) {
			delete(h.followers, address)
		}
	}
	before, known := h.followers[f.Follower]
	full := !known && len(h.followers) >= mostFollowers
	if !full {
		h.followers[f.Follower] = follower{f.Tables, f.Bare, now.Add(followTime)}
	}
	h.mu.Unlock()
	if full || known && before.bare == f.Bare {
		return
	}
	for _, t := range h.Tables {
		if parts, wanted := f.Tables[t.Name]; wanted && t.Whole() && !t.stale() {
			h.Transport.Send(f.Follower, h.newsFor(t, t.state(), parts))
		}
	}
}

// newsFor returns the news for a follower of parts, but for records.
func (h *Hub) newsFor(t *Table, n news, parts Parts) News {
	t.mu.Lock()
	rows := t.total
	t.mu.Unlock()
	return News{Table: t.Name, After: n.before.of(parts), Version: n.page.Version, Age: t.Age(), AsOf: n.page.AsOf, Dated: n.page.Dated,
		Watcher: h.Self.Peers, Parts: parts, Rows: rows}
}

// tellFollowers tells those who follow this node of changes, or that there are none. Followers of the
// same parts get the same bytes, packed once. Those without a change in their parts learn with the
// next pulse that there was none.
func (h *Hub) tellFollowers(t *Table, n news) {
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

// packFor packs the records of news that are in some parts; nil: there are none.
func (h *Hub) packFor(t *Table, n news, parts Parts) []byte {
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

// followersOf returns those who follow a table.
func (h *Hub) followersOf(table string) map[string]follower {
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make(map[string]follower, len(h.followers))
	for address, f := range h.followers {
		if _, follows := f.tables[table]; follows && now.Before(f.until) {
			list[address] = f
		}
	}
	return list
}

// partPack is the rows of a part, packed once for each version of it.
type partPack struct {
	version revision.Revision
	packed  []byte
	known   bool
}

// answer returns what changed in parts after a version if that is known, else as many of the parts as
// a message carries.
func (t *Table) answer(p Pull) (PullAnswer, error) {
	t.packing.Lock()
	defer t.packing.Unlock()
	t.mu.Lock()
	a := PullAnswer{Known: t.rows != nil && t.held == AllParts, Version: t.version, AsOf: t.asOf, Dated: t.dated, Rows: t.total}
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
	return t.chunk(a, p.Parts, stale)
}

// stalePacks returns the rows of the parts whose packs are not of now, and notes their versions. The
// caller holds mu and packing.
func (t *Table) stalePacks(parts Parts) map[int][]Record {
	stale := make(map[int][]Record)
	for i := range parts.each() {
		if pack := &t.packs[i]; !pack.known || pack.version != t.lasts[i] {
			stale[i] = nil
			*pack = partPack{version: t.lasts[i]}
		}
	}
	if len(stale) == 0 {
		return nil
	}
	for key, r := range t.rows {
		i := partIndex(key)
		if list, wanted := stale[i]; wanted && t.confirmedRow(r) {
			stale[i] = append(list, r)
		}
	}
	return stale
}

// chunk fills an answer with parts. The caller holds packing.
func (t *Table) chunk(a PullAnswer, parts Parts, stale map[int][]Record) (PullAnswer, error) {
	size := 0
	for i := range parts.each() {
		p := &t.packs[i]
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
