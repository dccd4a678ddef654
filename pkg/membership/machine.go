package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// Machine is the membership as one node sees it. It is not safe for concurrent use.
type Machine struct {
	self            *member
	seeds           []string
	random          *rand.Rand
	table           map[api.NodeID]*member
	ids             []api.NodeID // of table, sorted
	version         uint64
	membersCache    []Member // result of Members; nil after a change
	tableHash       uint32
	neighbours      neighbours
	liveCount       int
	neighboursStale bool // neighbours must be computed again
	superseded      bool
	digest          digestState

	sequence  uint64
	schedule  map[api.NodeID]time.Time // time of the next probe by subject
	probes    map[uint64]*probe
	relays    map[uint64]relay
	suspects  map[api.NodeID]time.Time // time at which each is declared dead
	rumours   rumours
	toVerify  []api.NodeID             // members to be probed because nodes see them in different states
	differing map[api.NodeID]time.Time // time since which the table hash of a neighbour has differed
	sweeps    sweeps

	lag        lag
	lastTick   time.Time
	nextRejoin time.Time
	nextSync   time.Time
	nextForget time.Time
}

// New returns the machine of a node that knows no other node yet.
func New(config Config) *Machine {
	m := &Machine{
		random:    rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		table:     make(map[api.NodeID]*member),
		schedule:  make(map[api.NodeID]time.Time),
		probes:    make(map[uint64]*probe),
		relays:    make(map[uint64]relay),
		suspects:  make(map[api.NodeID]time.Time),
		differing: make(map[api.NodeID]time.Time),
		sweeps:    make(sweeps),
	}
	for _, seed := range config.Seeds {
		if seed != config.Self.PeerAddress {
			m.seeds = append(m.seeds, seed)
		}
	}
	m.self = newMember(Update{Ref: config.Self}, time.Time{})
	m.insert(m.self)
	m.tableHash = m.self.hash()
	m.neighboursStale = true
	return m
}

// Tick does what is due at now and returns the packets to send. It must be called about every 100 ms.
func (m *Machine) Tick(now time.Time) []Packet {
	if m.lastTick.IsZero() {
		m.self.since = now
		m.changed()
	}
	if !m.lastTick.IsZero() {
		m.noteGap(now.Sub(m.lastTick))
	}
	m.lastTick = now
	if m.self.update.State == StateLeft {
		return m.spreadRumours(nil)
	}
	m.refreshNeighbours(now)
	m.declareDead(now)
	m.forgetOld(now)
	var packets []Packet
	packets = m.checkProbes(now, packets)
	packets = m.sendProbes(now, packets)
	packets = m.sweep(now, packets)
	packets = m.verifyMembers(now, packets)
	packets = m.rejoin(now, packets)
	return m.spreadRumours(packets)
}

// Receive handles a message from another node and returns the packets to send. It ignores messages of unknown
// types and messages that exceed a limit.
func (m *Machine) Receive(now time.Time, from api.NodeRef, message any) []Packet {
	header, valid := headerOf(message)
	invalidSender := from.ID == "" || from.PeerAddress == ""
	if !valid || invalidSender || from.ID == m.self.update.Ref.ID || m.self.update.State == StateLeft {
		return nil
	}
	known := m.table[from.ID]
	if known != nil && known.update.Ref.Incarnation > from.Incarnation {
		return m.notifySuperseded(from, known)
	}
	_, joining := message.(SyncRequest)
	packets := m.noteSender(now, from, header, joining)
	m.applyAll(now, from.ID, header.Updates)
	switch received := message.(type) {
	case Probe:
		packets = m.answerProbe(from, received, packets)
	case Ack:
		packets = m.handleAck(now, from, received, packets)
	case ProbeRequest:
		packets = m.relayProbe(now, from, received, packets)
	case RelayedAck:
		m.handleRelayedAck(received)
	case SyncRequest:
		packets = m.sendPage(from, received, packets)
	case SyncPage:
		packets = m.applyPage(now, from, received, packets)
	}
	return m.compareTables(now, from, header.TableHash, packets)
}

// Leave announces to the neighbours that this node stops as planned. Afterwards the machine only repeats the
// announcement in the next ticks.
func (m *Machine) Leave(now time.Time) []Packet {
	m.refreshNeighbours(now)
	left := m.self.update
	left.State = StateLeft
	m.self.update = left
	m.self.since = now
	m.changed()
	m.addRumour(left.Ref.ID, "")
	return m.spreadRumours(nil)
}

// Members returns all known nodes, including this one, in order of ID. The slice is shared and must not be
// changed. A later call returns a new slice if Version has grown.
func (m *Machine) Members() []Member {
	if m.membersCache == nil {
		m.membersCache = make([]Member, 0, len(m.ids))
		for _, id := range m.ids {
			m.membersCache = append(m.membersCache, m.table[id].public())
		}
	}
	return m.membersCache
}

// changed must be called after each change of the result of Members.
func (m *Machine) changed() {
	m.version++
	m.membersCache = nil
}

// Member returns the member with an ID.
func (m *Machine) Member(id api.NodeID) (Member, bool) {
	known, ok := m.table[id]
	if !ok {
		return Member{}, false
	}
	return known.public(), true
}

// Version returns a number that grows with each change of Members.
func (m *Machine) Version() uint64 {
	return m.version
}

// Superseded reports whether a later incarnation of this node is known. This process must then stop, as other
// nodes no longer count it as a member.
func (m *Machine) Superseded() bool {
	return m.superseded
}

// Self returns the reference of this node.
func (m *Machine) Self() api.NodeRef {
	return m.self.update.Ref
}

// SetDigest sets the digest that this node sends to its neighbours.
func (m *Machine) SetDigest(digest Digest) {
	m.digest.set(digest)
}

// Digest returns the last digest received from a live node. Only nodes that probe each other exchange
// digests; information for all nodes has to be repeated in the digests of those that learn it.
func (m *Machine) Digest(id api.NodeID) (Digest, bool) {
	known, ok := m.table[id]
	if !ok || !known.update.State.live() || known.digestSerial == 0 {
		return Digest{}, false
	}
	return known.digest, true
}

// Neighbours returns the live members that exchange probes with this node, in order of ID.
func (m *Machine) Neighbours() []api.NodeRef {
	refs := make([]api.NodeRef, 0, len(m.neighbours.all))
	for _, id := range m.neighbours.all {
		if known, ok := m.table[id]; ok {
			refs = append(refs, known.update.Ref)
		}
	}
	return refs
}

// header returns the header of a message to a node, with the updates of first ahead of the rumours.
func (m *Machine) header(to api.NodeID, first ...Update) Header {
	return Header{
		Refutation: m.self.update.Refutation,
		TableHash:  m.tableHash,
		Updates:    m.piggybackRumours(to, first),
	}
}

// refreshNeighbours computes the neighbours again after a change of the members.
func (m *Machine) refreshNeighbours(now time.Time) {
	if !m.neighboursStale {
		return
	}
	m.neighboursStale = false
	live := make([]*member, 0, len(m.table))
	for _, known := range m.table {
		if known.update.State.live() {
			live = append(live, known)
		}
	}
	m.liveCount = len(live)
	m.neighbours = findNeighbours(m.self, live)
	schedule := make(map[api.NodeID]time.Time, len(m.neighbours.subjects))
	for _, id := range m.neighbours.subjects {
		due, scheduled := m.schedule[id]
		if !scheduled {
			due = now.Add(time.Duration(m.random.Int64N(int64(ProbeInterval))))
		}
		schedule[id] = due
	}
	m.schedule = schedule
	for id := range m.differing {
		if !slices.Contains(m.neighbours.all, id) {
			delete(m.differing, id)
		}
	}
}

// noteGap updates the lag by the time between two ticks, and shifts the timers if this process was frozen.
func (m *Machine) noteGap(gap time.Duration) {
	m.lag.tick(gap)
	if gap > StallLimit {
		m.shiftTimers(gap)
	}
}

// shiftTimers drops open probes and postpones deadlines after this process was frozen, as the answers of
// others could not be received in time.
func (m *Machine) shiftTimers(stalled time.Duration) {
	clear(m.probes)
	clear(m.relays)
	for id, deadline := range m.suspects {
		m.suspects[id] = deadline.Add(stalled)
	}
}
