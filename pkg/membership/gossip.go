package membership

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// rumourRepeats is how often an update rides on probes and answers after it
// was sent to all neighbours. What still gets lost is found by the comparison
// of tables.
const rumourRepeats = 4

// rumour is a row of the table that is still being spread.
type rumour struct {
	id        api.NodeID
	heardFrom api.NodeID // has it already
	remaining int        // further messages that it rides on
}

// rumours are the rows to be spread: first those not yet sent to the
// neighbours, then those that ride on probes and answers.
type rumours struct {
	fresh  []*rumour
	riding []*rumour // the ones that rode least lately first
}

// addRumour starts to spread the row of id, in place of an earlier rumour.
func (m *Machine) addRumour(id, heardFrom api.NodeID) {
	sameID := func(r *rumour) bool { return r.id == id }
	m.rumours.fresh = slices.DeleteFunc(m.rumours.fresh, sameID)
	m.rumours.riding = slices.DeleteFunc(m.rumours.riding, sameID)
	m.rumours.fresh = append(m.rumours.fresh, &rumour{id: id, heardFrom: heardFrom, remaining: rumourRepeats})
}

// spreadRumours sends the fresh rumours to the neighbours, as many as fit into
// one message each; the rest waits for the next tick.
func (m *Machine) spreadRumours(packets []Packet) []Packet {
	batch := m.rumours.fresh[:min(MaxUpdates, len(m.rumours.fresh))]
	if len(batch) == 0 {
		return packets
	}
	for _, to := range m.around.all {
		receiver, exists := m.table[to]
		updates := m.updatesFor(to, batch)
		if len(updates) == 0 || !exists {
			continue
		}
		header := Header{Refutation: m.self.update.Refutation, TableHash: m.tableHash, Updates: updates}
		packets = append(packets, Packet{To: receiver.update.Ref, Message: Gossip{Header: header}})
	}
	m.rumours.riding = append(m.rumours.riding, batch...)
	m.rumours.fresh = slices.Clone(m.rumours.fresh[len(batch):])
	return packets
}

// updatesFor returns the rows of a batch that a node does not have yet.
func (m *Machine) updatesFor(to api.NodeID, batch []*rumour) []Update {
	updates := make([]Update, 0, len(batch))
	for _, spread := range batch {
		if known, exists := m.table[spread.id]; exists && spread.heardFrom != to {
			updates = append(updates, known.update)
		}
	}
	return updates
}

// takeRumours returns first and the rumours that ride on a message to a node.
func (m *Machine) takeRumours(to api.NodeID, first []Update) []Update {
	room := min(MaxUpdates-len(first), len(m.rumours.riding))
	if room <= 0 {
		return first
	}
	batch := m.rumours.riding[:room]
	waiting := slices.Clone(m.rumours.riding[room:])
	updates := append(slices.Clone(first), m.updatesFor(to, batch)...)
	for _, spread := range batch {
		spread.remaining--
		if spread.remaining > 0 {
			waiting = append(waiting, spread)
		}
	}
	m.rumours.riding = waiting
	return updates
}

// compareTables asks a neighbour for its table if it has differed from the own
// one for longer than updates take to spread.
func (m *Machine) compareTables(now time.Time, from api.NodeRef, hash uint32, packets []Packet) []Packet {
	if hash == m.tableHash {
		delete(m.differing, from.ID)
		return packets
	}
	if !slices.Contains(m.around.all, from.ID) {
		return packets
	}
	since, differed := m.differing[from.ID]
	if !differed {
		m.differing[from.ID] = now
		return packets
	}
	if now.Sub(since) < DifferTimeout {
		return packets
	}
	delete(m.differing, from.ID)
	return append(packets, m.requestSync(now, from)...)
}

// requestSync asks a node for its table, at most once per SyncInterval.
func (m *Machine) requestSync(now time.Time, to api.NodeRef) []Packet {
	if now.Before(m.nextSync) {
		return nil
	}
	m.nextSync = now.Add(SyncInterval)
	return []Packet{{To: to, Message: SyncRequest{Header: m.header(to.ID)}}}
}

// sendPage answers a request for the table with one page.
func (m *Machine) sendPage(from api.NodeRef, request SyncRequest, packets []Packet) []Packet {
	ids := m.ids
	start, found := slices.BinarySearch(ids, request.After)
	if found {
		start++
	}
	end := min(start+MaxPageMembers, len(ids))
	page := SyncPage{Header: m.header(from.ID), More: end < len(ids)}
	for _, id := range ids[start:end] {
		page.Members = append(page.Members, m.table[id].update)
	}
	return append(packets, Packet{To: from, Message: page})
}

// takePage takes over a page of another node's table and asks for the next.
func (m *Machine) takePage(now time.Time, from api.NodeRef, page SyncPage, packets []Packet) []Packet {
	for _, update := range page.Members {
		known, exists := m.table[update.Ref.ID]
		sameLife := exists && known.update.Ref.Incarnation == update.Ref.Incarnation
		saidDead := sameLife && update.State == StateDead && known.update.State.live()
		heldDead := sameLife && update.State.live() && known.update.State == StateDead
		if update.Ref.ID != m.self.update.Ref.ID && (saidDead || heldDead) && !known.settles(update) {
			// One of the two was cut off from the member. Ask the member
			// itself, else a healed cut would have all declared dead.
			m.addVerify(update.Ref.ID)
			continue
		}
		m.apply(now, from.ID, update)
	}
	if !page.More || len(page.Members) == 0 {
		return packets
	}
	last := page.Members[len(page.Members)-1].Ref.ID
	next := SyncRequest{Header: m.header(from.ID), After: last}
	return append(packets, Packet{To: from, Message: next})
}

// settles tells whether the member itself spoke after the older of the row and
// an update about the same life, so that the newer one is to be believed.
func (r *member) settles(update Update) bool {
	if update.State.live() {
		return update.Refutation > r.update.Refutation
	}
	return update.Refutation < r.update.Refutation
}
