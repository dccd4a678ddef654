package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/tree"
)

// Machine is the control plane of one node. It is owned by one goroutine.
type Machine struct {
	config         Config
	timing         Timing
	random         *rand.Rand
	membership     Membership
	now            time.Time
	liveNodesCache []api.NodeRef // cached result of liveNodes for the current step; nil if not computed

	settings       Settings
	treeSeen       tree.Revision // highest revision known from any node or from this one's own tree
	treeFetchedAt  time.Time     // when the tree was last requested from a peer
	nextTreePollAt time.Time     // when the platform is next asked for a tree

	cells     map[api.CellName]*cellControl
	cellOrder []api.CellName // sorted
	modelCell map[api.ModelName]api.CellName

	demand          demandBuffer
	listRequestedAt time.Time // when the pending machine list request was sent; zero if none is pending
	nextListAt      time.Time // when the machine list is next read
	// antiEntropyAt and claimsAt are when the digests are next compared and the
	// claims next refreshed.
	antiEntropyAt time.Time
	claimsAt      time.Time

	stopping bool
	// stopDeadline is when a planned stop ends even if groups still depend on
	// this node.
	stopDeadline   time.Time
	leaveAnnounced bool // the departure was announced to the other nodes

	effects []Effect
}

// New returns the control plane of a node that has no settings yet.
func New(config Config) *Machine {
	if config.Timing == (Timing{}) {
		config.Timing = DefaultTiming()
	}
	m := &Machine{
		config:     config,
		timing:     config.Timing,
		random:     rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		membership: config.Membership,
		cells:      make(map[api.CellName]*cellControl),
		modelCell:  make(map[api.ModelName]api.CellName),
		demand:     newDemandBuffer(),
	}
	if m.membership == nil {
		m.membership = newMembership(config)
	}
	return m
}

// Step handles one event at time now, which must never decrease, and returns the
// effects to carry out. It returns no error: failures are reported as events and
// effects too. It must be called from the goroutine that owns the machine.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.begin(now)
	switch e := event.(type) {
	case Tick:
		m.tick()
	case PeerReceived:
		m.receive(e.From, e.Message)
	case DemandReported:
		m.handleDemand(e.Demand)
	case OrderAnswered:
		m.handleOrderAnswered(e)
	case InventoryAnswered:
		m.handleInventoryAnswered(e)
	case MachinesListed:
		m.handleMachinesListed(e)
	case RecordRead:
		m.handleRecordRead(e)
	case RecordCommitted:
		m.handleRecordCommitted(e)
	case StopRequested:
		m.beginStop()
	}
	return m.finish()
}

// begin starts a step at time now.
func (m *Machine) begin(now time.Time) {
	m.now = now
	m.liveNodesCache = nil
}

// finish lets the owners act on the new state and returns the collected effects.
func (m *Machine) finish() []Effect {
	for _, name := range m.cellOrder {
		m.cells[name].advance()
	}
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *Machine) tick() {
	m.sendPackets(m.membership.Tick(m.now))
	for _, name := range m.cellOrder {
		m.cells[name].tick()
	}
	m.pollMachines()
	m.flushDemand()
	m.compareWithNeighbours()
	m.refreshClaims()
	m.pollTree()
	m.tickStop()
}

// receive dispatches a message from another node. Messages of unknown type go to
// the membership.
func (m *Machine) receive(from api.NodeRef, message any) {
	switch e := message.(type) {
	case quorum.Prepare:
		m.forwardToGroup(e.Cell, from, e)
	case quorum.Promise:
		m.forwardToGroup(e.Cell, from, e)
	case quorum.Accept:
		m.ensureCell(e.Cell)
		m.forwardToGroup(e.Cell, from, e)
	case quorum.Heartbeat:
		m.forwardToGroup(e.Cell, from, e)
	case quorum.Accepted:
		m.forwardToGroup(e.Cell, from, e)
	case quorum.TakeOver:
		m.forwardToGroup(e.Cell, from, e)
	case quorum.Leaving:
		if c, known := m.cells[e.Cell]; known {
			c.memberLeaving(from)
		}
	case ViewPush:
		m.handleView(e.View)
	case ViewDelta:
		m.handleDelta(from, e)
	case ViewRequest:
		m.answerViewRequest(from, e)
	case TreeNews:
		m.noticeRevision(from, e.Revision)
	case api.DemandReport:
		m.handleDemandReport(from, e)
	case Estimates:
		for _, estimate := range e.Estimates {
			m.emit(PublishEstimate{Estimate: estimate})
		}
	default:
		m.sendPackets(m.membership.Receive(m.now, from, message))
	}
}

func (m *Machine) forwardToGroup(name api.CellName, from api.NodeRef, message any) {
	if c, known := m.cells[name]; known {
		c.sendGroup(c.group.Receive(m.now, from, message))
	}
}

func (m *Machine) emit(effect Effect) {
	m.effects = append(m.effects, effect)
}

// send emits the effect that sends a message to another node.
func (m *Machine) send(to api.NodeRef, message any) {
	m.emit(SendPeer{To: to, Message: message})
}

func (m *Machine) sendPackets(packets []membership.Packet) {
	for _, packet := range packets {
		m.send(packet.To, packet.Message)
	}
}

// ensureCell returns this node's state for a cell and creates it if needed.
func (m *Machine) ensureCell(name api.CellName) *cellControl {
	c, known := m.cells[name]
	if known {
		return c
	}
	c = newCellControl(m, name)
	m.cells[name] = c
	m.cellOrder = slices.Sorted(maps.Keys(m.cells))
	return c
}

// jitter returns a random duration up to limit.
func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit) + 1))
}
