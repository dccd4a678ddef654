package membership

import (
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenwheel.dev/pkg/api"
)

// member is a row of the table.
type member struct {
	update    Update
	since     time.Time // when the member entered its state
	positions [ringCount]uint64

	digest           Digest // received from the member
	digestSerial     uint64 // serial of digest; zero: none received
	peerDigestSerial uint64 // serial of this node's digest that the member has
}

func newMember(update Update, now time.Time) *member {
	return &member{update: update, since: now, positions: ringPositions(update.Ref.ID)}
}

func (r *member) public() Member {
	return Member{Ref: r.update.Ref, State: r.update.State, Since: r.since}
}

// hash returns the row's part of the table's hash, zero unless the row is live. It does not depend on
// suspicions, which end by themselves.
func (r *member) hash() uint32 {
	if !r.update.State.live() {
		return 0
	}
	data := make([]byte, 0, 64)
	data = append(data, r.update.Ref.ID...)
	data = binary.BigEndian.AppendUint64(data, r.update.Ref.Incarnation)
	data = binary.BigEndian.AppendUint32(data, r.update.Refutation)
	return uint32(xxhash.Sum64(data))
}

// applyAll applies updates received from a node.
func (m *Machine) applyAll(now time.Time, from api.NodeID, updates []Update) {
	for _, update := range updates {
		m.apply(now, from, update)
	}
}

// apply stores and spreads an update if it supersedes the known row, and reports whether it did.
func (m *Machine) apply(now time.Time, from api.NodeID, update Update) bool {
	if update.Ref.ID == "" || update.Ref.PeerAddress == "" || update.State > StateLeft {
		return false
	}
	if update.Ref.ID == m.self.update.Ref.ID {
		m.refute(update)
		return false
	}
	known, exists := m.table[update.Ref.ID]
	if exists && !update.supersedes(known.update) {
		return false
	}
	if !exists && !update.State.live() {
		return false // there is no live row to change
	}
	m.store(now, known, update)
	m.addRumour(update.Ref.ID, from)
	return true
}

// insert adds a row to the table. It replaces the row of an earlier incarnation.
func (m *Machine) insert(row *member) {
	id := row.update.Ref.ID
	m.table[id] = row
	if place, found := slices.BinarySearch(m.ids, id); !found {
		m.ids = slices.Insert(m.ids, place, id)
	}
}

// store writes an update into the table.
func (m *Machine) store(now time.Time, known *member, update Update) {
	id := update.Ref.ID
	newIncarnation := known == nil || known.update.Ref.Incarnation != update.Ref.Incarnation
	wasLive := known != nil && known.update.State.live()
	if known != nil {
		m.tableHash ^= known.hash()
	}
	if newIncarnation {
		known = newMember(update, now)
		m.insert(known)
	}
	if known.update.State != update.State {
		known.since = now
	}
	known.update = update
	m.tableHash ^= known.hash()
	m.changed()
	m.neighboursStale = m.neighboursStale || newIncarnation || wasLive != update.State.live()
	if !update.State.live() {
		known.digest, known.digestSerial, known.peerDigestSerial = Digest{}, 0, 0
	}
	if update.State == StateDead {
		m.sweeps.recordDeath(now, update.Ref.Zone)
	}
	if update.State == StateSuspect {
		m.suspects[id] = now.Add(m.suspicionTimeout())
	} else {
		delete(m.suspects, id)
	}
}

// refute handles an update about this node that another node sent, and refutes a suspicion.
func (m *Machine) refute(update Update) {
	self := &m.self.update
	if update.Ref.Incarnation > self.Ref.Incarnation {
		m.superseded = true
		return
	}
	if update.Ref.Incarnation < self.Ref.Incarnation || self.State == StateLeft {
		return
	}
	outdated := update.Refutation > self.Refutation ||
		update.Refutation == self.Refutation && update.State != StateAlive
	if !outdated || update.Refutation == math.MaxUint32 {
		return
	}
	m.tableHash ^= m.self.hash()
	self.Refutation = update.Refutation + 1
	m.tableHash ^= m.self.hash()
	m.changed()
	m.lag.raise()
	m.addRumour(self.Ref.ID, "")
}

// noteSender records that a message came from a node. It returns a request for the node's table if the two
// nodes were cut off from each other, or did not know each other. A node that has just started has no table
// worth asking for.
func (m *Machine) noteSender(now time.Time, from api.NodeRef, header Header, joining bool) []Packet {
	known, exists := m.table[from.ID]
	wasCutOff := exists && known.update.State == StateDead && known.update.Ref.Incarnation == from.Incarnation
	isUnknown := !exists && !joining
	m.apply(now, from.ID, Update{Ref: from, Refutation: header.Refutation})
	known = m.table[from.ID]
	if known.update.State == StateSuspect || known.update.State == StateDead {
		m.addVerify(from.ID)
	}
	if !wasCutOff && !isUnknown {
		return nil
	}
	return m.requestSync(now, known.update.Ref)
}

// notifySuperseded answers a node that has a later incarnation.
func (m *Machine) notifySuperseded(from api.NodeRef, known *member) []Packet {
	return []Packet{{To: from, Message: Gossip{Header: m.header(from.ID, known.update)}}}
}

// declareDead declares suspects dead that did not refute in time.
func (m *Machine) declareDead(now time.Time) {
	for _, id := range sortedKeys(m.suspects) {
		if now.Before(m.suspects[id]) {
			continue
		}
		update := m.table[id].update
		update.State = StateDead
		m.apply(now, "", update)
	}
}

// suspect starts the suspicion of a member.
func (m *Machine) suspect(now time.Time, id api.NodeID) {
	known, exists := m.table[id]
	if !exists || known.update.State != StateAlive {
		return
	}
	update := known.update
	update.State = StateSuspect
	m.apply(now, "", update)
}

// suspicionTimeout returns how long a suspect has to refute in a cluster of this size.
func (m *Machine) suspicionTimeout() time.Duration {
	base := bits.Len(uint(SuspicionScaleNodes))
	size := max(base, bits.Len(uint(len(m.table))))
	return m.lag.extend(SuspicionTimeout * time.Duration(size) / time.Duration(base))
}

// forgetOld removes members that died or left long ago.
func (m *Machine) forgetOld(now time.Time) {
	if now.Before(m.nextForget) {
		return
	}
	m.nextForget = now.Add(ForgetLeftAfter / 10)
	m.ids = slices.DeleteFunc(m.ids, func(id api.NodeID) bool {
		known := m.table[id]
		age := now.Sub(known.since)
		expired := known.update.State == StateDead && age > ForgetDeadAfter ||
			known.update.State == StateLeft && age > ForgetLeftAfter
		if expired {
			delete(m.table, id)
			m.changed()
		}
		return expired
	})
}

func sortedKeys[K ~string, V any](table map[K]V) []K {
	keys := make([]K, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
