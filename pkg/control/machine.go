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

// Machine is the control side of one node. It is owned by one goroutine.
type Machine struct {
	config     Config
	timing     Timing
	random     *rand.Rand
	membership Membership
	now        time.Time
	live       []api.NodeRef // of liveNodes within one step; nil if not made yet

	settings  Settings
	treeSeen  tree.Revision // highest that anybody in reach has had
	treeAsked time.Time     // when the tree was last fetched
	treePoll  time.Time     // when the platform is asked next

	cells     map[api.CellName]*cellControl
	cellOrder []api.CellName // sorted
	modelCell map[api.ModelName]api.CellName

	demand        demandBuffer
	machinesAsked time.Time // zero: no list under way
	machinesAt    time.Time // when the next list is due
	antiEntropyAt time.Time
	claimsAt      time.Time

	stopping  bool
	stopBy    time.Time
	announced bool // the others know that this node left

	effects []Effect
}

// New returns the control side of a node that knows no settings yet.
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

// Step handles an event at the time now, which never goes back, and returns what
// the node is to do about it. Failures are events and effects too: there is no
// error to return. It is for the goroutine that owns the machine.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.begin(now)
	switch e := event.(type) {
	case Tick:
		m.tick()
	case PeerReceived:
		m.receive(e.From, e.Message)
	case DemandReported:
		m.takeDemand(e.Demand)
	case OrderAnswered:
		m.takeOrderAnswer(e)
	case InventoryAnswered:
		m.takeInventory(e)
	case MachinesListed:
		m.takeMachines(e)
	case RecordRead:
		m.takeRecord(e)
	case RecordCommitted:
		m.takeCommit(e)
	case StopRequested:
		m.beginStop()
	}
	return m.finish()
}

// begin starts a step at the time now.
func (m *Machine) begin(now time.Time) {
	m.now = now
	m.live = nil
}

// finish lets the owners act on what is new and returns the effects.
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

// receive hands a message to the part that it is for.
func (m *Machine) receive(from api.NodeRef, message any) {
	switch e := message.(type) {
	case quorum.Prepare:
		m.toGroup(e.Cell, from, e)
	case quorum.Promise:
		m.toGroup(e.Cell, from, e)
	case quorum.Accept:
		m.ensureCell(e.Cell)
		m.toGroup(e.Cell, from, e)
	case quorum.Heartbeat:
		m.toGroup(e.Cell, from, e)
	case quorum.Accepted:
		m.toGroup(e.Cell, from, e)
	case quorum.TakeOver:
		m.toGroup(e.Cell, from, e)
	case quorum.Leaving:
		if c, known := m.cells[e.Cell]; known {
			c.memberLeaving(from)
		}
	case ViewPush:
		m.takeView(e.View)
	case ViewDelta:
		m.takeDelta(from, e)
	case ViewRequest:
		m.answerViewRequest(from, e)
	case TreeNews:
		m.hearRevision(from, e.Revision)
	case api.DemandReport:
		m.takeReport(from, e)
	case Estimates:
		for _, estimate := range e.Estimates {
			m.emit(PublishEstimate{Estimate: estimate})
		}
	default:
		m.sendPackets(m.membership.Receive(m.now, from, message))
	}
}

func (m *Machine) toGroup(name api.CellName, from api.NodeRef, message any) {
	if c, known := m.cells[name]; known {
		c.sendGroup(c.group.Receive(m.now, from, message))
	}
}

func (m *Machine) emit(effect Effect) {
	m.effects = append(m.effects, effect)
}

// send sends a message to another node.
func (m *Machine) send(to api.NodeRef, message any) {
	m.emit(SendPeer{To: to, Message: message})
}

func (m *Machine) sendPackets(packets []membership.Packet) {
	for _, packet := range packets {
		m.send(packet.To, packet.Message)
	}
}

// ensureCell returns this node's part in a cell, which may be new.
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

func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit) + 1))
}
