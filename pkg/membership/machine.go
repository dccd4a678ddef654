package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// Machine is the membership as one node sees it. It is not safe for use by
// several goroutines at once.
type Machine struct {
	self       *member
	seeds      []string
	random     *rand.Rand
	table      map[api.NodeID]*member
	ids        []api.NodeID // of table, sorted
	version    uint64
	listed     []Member // of Members; nil after a change
	tableHash  uint32
	around     neighbours
	liveCount  int
	stale      bool // around is to be worked out again
	superseded bool
	digest     digestState

	sequence  uint64
	schedule  map[api.NodeID]time.Time // when to probe each subject next
	probes    map[uint64]*probe
	relays    map[uint64]relay
	suspects  map[api.NodeID]time.Time // when each is declared dead
	rumours   rumours
	verify    []api.NodeID // to be probed because views of it differ
	differing map[api.NodeID]time.Time
	sweeps    sweeps

	lag        lag
	lastTick   time.Time
	nextRejoin time.Time
	nextSync   time.Time
	nextForget time.Time
}

// New returns the machine of a node that knows no other yet.
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
	m.stale = true
	return m
}

// Tick does what is due at now and returns the packets to send. It is called
// about every 100 ms.
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

// Receive takes a message from another node and returns the packets to send.
// A message of a foreign type or over the bounds is ignored.
func (m *Machine) Receive(now time.Time, from api.NodeRef, message any) []Packet {
	header, valid := headerOf(message)
	nameless := from.ID == "" || from.PeerAddress == ""
	if !valid || nameless || from.ID == m.self.update.Ref.ID || m.self.update.State == StateLeft {
		return nil
	}
	known := m.table[from.ID]
	if known != nil && known.update.Ref.Incarnation > from.Incarnation {
		return m.tellReplaced(from, known)
	}
	_, joins := message.(SyncRequest)
	packets := m.meet(now, from, header, joins)
	m.applyAll(now, from.ID, header.Updates)
	switch received := message.(type) {
	case Probe:
		packets = m.answerProbe(from, received, packets)
	case Ack:
		packets = m.takeAck(now, from, received, packets)
	case ProbeRequest:
		packets = m.relayProbe(now, from, received, packets)
	case RelayedAck:
		m.takeRelayedAck(received)
	case SyncRequest:
		packets = m.sendPage(from, received, packets)
	case SyncPage:
		packets = m.takePage(now, from, received, packets)
	}
	return m.compareTables(now, from, header.TableHash, packets)
}

// Leave tells the neighbours that this node stops as planned. The machine
// does nothing more, but a few ticks repeat the news.
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

// Members returns all nodes known, this one included, in order of ID. The
// slice is shared: it is not to be changed, and a later call returns another
// one if Version has grown.
func (m *Machine) Members() []Member {
	if m.listed == nil {
		m.listed = make([]Member, 0, len(m.ids))
		for _, id := range m.ids {
			m.listed = append(m.listed, m.table[id].public())
		}
	}
	return m.listed
}

// changed records that the result of Members changed.
func (m *Machine) changed() {
	m.version++
	m.listed = nil
}

// Member returns what is known of a node.
func (m *Machine) Member(id api.NodeID) (Member, bool) {
	known, ok := m.table[id]
	if !ok {
		return Member{}, false
	}
	return known.public(), true
}

// Version grows with each change of Members.
func (m *Machine) Version() uint64 {
	return m.version
}

// Superseded tells whether a later life of a node with this node's ID was
// heard of. Such a process is to stop: others do not count it as a member.
func (m *Machine) Superseded() bool {
	return m.superseded
}

// Self returns the reference of this node.
func (m *Machine) Self() api.NodeRef {
	return m.self.update.Ref
}

// SetDigest replaces what this node tells its neighbours about itself.
func (m *Machine) SetDigest(digest Digest) {
	m.digest.set(digest)
}

// Digest returns the last digest received from a live node. Only nodes that
// probe each other exchange digests: what is to reach all nodes must be
// repeated in the digests of those that learn it.
func (m *Machine) Digest(id api.NodeID) (Digest, bool) {
	known, ok := m.table[id]
	if !ok || !known.update.State.live() || known.digestSerial == 0 {
		return Digest{}, false
	}
	return known.digest, true
}

// Neighbours returns the live members that exchange probes with this node, in
// order of ID.
func (m *Machine) Neighbours() []api.NodeRef {
	refs := make([]api.NodeRef, 0, len(m.around.all))
	for _, id := range m.around.all {
		if known, ok := m.table[id]; ok {
			refs = append(refs, known.update.Ref)
		}
	}
	return refs
}

// header returns the header of a message to a node, with first ahead of the
// updates that wait to be spread.
func (m *Machine) header(to api.NodeID, first ...Update) Header {
	return Header{
		Refutation: m.self.update.Refutation,
		TableHash:  m.tableHash,
		Updates:    m.takeRumours(to, first),
	}
}

// refreshNeighbours works the rings out again after a change.
func (m *Machine) refreshNeighbours(now time.Time) {
	if !m.stale {
		return
	}
	m.stale = false
	live := make([]*member, 0, len(m.table))
	for _, known := range m.table {
		if known.update.State.live() {
			live = append(live, known)
		}
	}
	m.liveCount = len(live)
	m.around = findNeighbours(m.self, live)
	schedule := make(map[api.NodeID]time.Time, len(m.around.subjects))
	for _, id := range m.around.subjects {
		due, scheduled := m.schedule[id]
		if !scheduled {
			due = now.Add(time.Duration(m.random.Int64N(int64(ProbeInterval))))
		}
		schedule[id] = due
	}
	m.schedule = schedule
	for id := range m.differing {
		if !slices.Contains(m.around.all, id) {
			delete(m.differing, id)
		}
	}
}

// noteGap records the time between two ticks.
func (m *Machine) noteGap(gap time.Duration) {
	m.lag.tick(gap)
	if gap > StallLimit {
		m.forgiveStall(gap)
	}
}

// forgiveStall shifts all timers after this process was frozen: the others
// could not have answered in time.
func (m *Machine) forgiveStall(stalled time.Duration) {
	clear(m.probes)
	clear(m.relays)
	for id, deadline := range m.suspects {
		m.suspects[id] = deadline.Add(stalled)
	}
}
