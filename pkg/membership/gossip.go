package membership

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// rumourRepeats is how many probes and answers carry an update after it was sent to all neighbours. Updates
// that still get lost are found by comparing tables.
const rumourRepeats = 4

// rumour is a row of the table that is still being spread.
type rumour struct {
	id        api.NodeID
	heardFrom api.NodeID // node that sent it and so needs no copy
	remaining int        // number of further messages that carry it
}

// rumours are the rows that are being spread: first those not yet sent to the neighbours, then those
// piggybacked on probes and answers.
type rumours struct {
	unsent      []*rumour
	piggybacked []*rumour // the least recently sent first
}

// addRumour starts to spread the row of id. It replaces an earlier rumour about it.
func (m *Machine) addRumour(id, heardFrom api.NodeID) {
	sameID := func(r *rumour) bool { return r.id == id }
	m.rumours.unsent = slices.DeleteFunc(m.rumours.unsent, sameID)
	m.rumours.piggybacked = slices.DeleteFunc(m.rumours.piggybacked, sameID)
	m.rumours.unsent = append(m.rumours.unsent, &rumour{id: id, heardFrom: heardFrom, remaining: rumourRepeats})
}

// spreadRumours sends the unsent rumours to the neighbours, as many as fit into one message; the rest waits
// for the next tick.
func (m *Machine) spreadRumours(packets []Packet) []Packet {
	batch := m.rumours.unsent[:min(MaxUpdates, len(m.rumours.unsent))]
	if len(batch) == 0 {
		return packets
	}
	for _, to := range m.neighbours.all {
		receiver, exists := m.table[to]
		updates := m.updatesFor(to, batch)
		if len(updates) == 0 || !exists {
			continue
		}
		header := Header{Refutation: m.self.update.Refutation, TableHash: m.tableHash, Updates: updates}
		packets = append(packets, Packet{To: receiver.update.Ref, Message: Gossip{Header: header}})
	}
	m.rumours.piggybacked = append(m.rumours.piggybacked, batch...)
	m.rumours.unsent = slices.Clone(m.rumours.unsent[len(batch):])
	return packets
}

// updatesFor returns the rows of a batch that a node may lack.
func (m *Machine) updatesFor(to api.NodeID, batch []*rumour) []Update {
	updates := make([]Update, 0, len(batch))
	for _, spread := range batch {
		if known, exists := m.table[spread.id]; exists && spread.heardFrom != to {
			updates = append(updates, known.update)
		}
	}
	return updates
}

// piggybackRumours returns first and the rumours to be carried by a message to a node.
func (m *Machine) piggybackRumours(to api.NodeID, first []Update) []Update {
	free := min(MaxUpdates-len(first), len(m.rumours.piggybacked))
	if free <= 0 {
		return first
	}
	batch := m.rumours.piggybacked[:free]
	waiting := slices.Clone(m.rumours.piggybacked[free:])
	updates := append(slices.Clone(first), m.updatesFor(to, batch)...)
	for _, spread := range batch {
		spread.remaining--
		if spread.remaining > 0 {
			waiting = append(waiting, spread)
		}
	}
	m.rumours.piggybacked = waiting
	return updates
}

// compareTables asks a neighbour for its table if its hash has differed from the own one for longer than
// updates take to spread.
func (m *Machine) compareTables(now time.Time, from api.NodeRef, hash uint32, packets []Packet) []Packet {
	if hash == m.tableHash {
		delete(m.differing, from.ID)
		return packets
	}
	if !slices.Contains(m.neighbours.all, from.ID) {
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

// applyPage applies a page of another node's table and asks for the next one.
func (m *Machine) applyPage(now time.Time, from api.NodeRef, page SyncPage, packets []Packet) []Packet {
	for _, update := range page.Members {
		known, exists := m.table[update.Ref.ID]
		sameIncarnation := exists && known.update.Ref.Incarnation == update.Ref.Incarnation
		reportedDead := sameIncarnation && update.State == StateDead && known.update.State.live()
		knownDead := sameIncarnation && update.State.live() && known.update.State == StateDead
		if update.Ref.ID != m.self.update.Ref.ID && (reportedDead || knownDead) && !known.decidedByRefutation(update) {
			// One of the two nodes was cut off from the member. Probe the member itself; otherwise, after a
			// partition heals, all nodes would be declared dead.
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

// decidedByRefutation reports whether the refutation counters show which of the row and an update about the
// same incarnation is newer, because the member itself refuted the older one.
func (r *member) decidedByRefutation(update Update) bool {
	if update.State.live() {
		return update.Refutation > r.update.Refutation
	}
	return update.Refutation < r.update.Refutation
}
