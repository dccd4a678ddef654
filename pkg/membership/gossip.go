package membership

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// rumourRepeats is how often an update rides on probes and answers after it
// was sent to all neighbours. What still gets lost is found by the comparison
// of tables.
const rumourRepeats = 4

// rumour is an update that is still being spread.
type rumour struct {
	fresh     bool       // not yet sent to the neighbours
	heardFrom api.NodeID // has it already
	remaining int        // further messages that it rides on
}

// addRumour starts to spread the row of id.
func (m *Machine) addRumour(id, heardFrom api.NodeID) {
	m.rumours[id] = &rumour{fresh: true, heardFrom: heardFrom, remaining: rumourRepeats}
}

// spreadRumours sends the fresh updates to the neighbours, as many as fit into
// one message each; the rest waits for the next tick.
func (m *Machine) spreadRumours(packets []Packet) []Packet {
	batch := make([]api.NodeID, 0, MaxUpdates)
	for _, id := range sortedKeys(m.rumours) {
		if m.rumours[id].fresh && len(batch) < MaxUpdates {
			batch = append(batch, id)
		}
	}
	if len(batch) == 0 {
		return packets
	}
	for _, to := range m.around.all {
		updates := make([]Update, 0, len(batch))
		for _, id := range batch {
			if known, exists := m.table[id]; exists && m.rumours[id].heardFrom != to {
				updates = append(updates, known.update)
			}
		}
		receiver, exists := m.table[to]
		if len(updates) == 0 || !exists {
			continue
		}
		header := Header{Refutation: m.self.update.Refutation, TableHash: m.tableHash, Updates: updates}
		packets = append(packets, Packet{To: receiver.update.Ref, Message: Gossip{Header: header}})
	}
	for _, id := range batch {
		m.rumours[id].fresh = false
	}
	return packets
}

// takeRumours returns first and the updates that ride on a message to a node.
func (m *Machine) takeRumours(to api.NodeID, first []Update) []Update {
	if len(m.rumours) == 0 {
		return first
	}
	candidates := sortedKeys(m.rumours)
	slices.SortStableFunc(candidates, func(a, b api.NodeID) int {
		return cmp.Compare(m.rumours[b].remaining, m.rumours[a].remaining)
	})
	updates := slices.Clone(first)
	for _, id := range candidates {
		if len(updates) >= MaxUpdates {
			break
		}
		spread := m.rumours[id]
		known, exists := m.table[id]
		told := slices.ContainsFunc(first, func(u Update) bool { return u.Ref.ID == id })
		if exists && !told && spread.heardFrom != to {
			updates = append(updates, known.update)
		}
		spread.remaining--
		if !exists || spread.remaining <= 0 && !spread.fresh {
			delete(m.rumours, id)
		}
	}
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
	if now.Sub(since) < SyncInterval {
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
	ids := sortedKeys(m.table)
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
