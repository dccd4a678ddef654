package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/platform"
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

// Step handles an event at the time now, which never goes back.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.now = now
	m.live = nil
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

// isSelf tells whether node is this life of this node.
func (m *Machine) isSelf(node api.NodeRef) bool {
	return sameNode(node, m.config.Self)
}

func sameNode(a, b api.NodeRef) bool {
	return quorum.MemberOf(a) == quorum.MemberOf(b)
}

// liveNodes returns the nodes of this region that are not known to be dead,
// with this node among them unless it stops.
func (m *Machine) liveNodes() []api.NodeRef {
	if m.live != nil {
		return m.live
	}
	live := []api.NodeRef{}
	for _, member := range m.membership.Members() {
		if member.Ref.Region != m.config.Self.Region || member.State > membership.StateSuspect {
			continue
		}
		if m.stopping && m.isSelf(member.Ref) {
			continue
		}
		live = append(live, member.Ref)
	}
	m.live = live
	return live
}

func isAmong(node api.NodeRef, nodes []api.NodeRef) bool {
	for _, other := range nodes {
		if sameNode(node, other) {
			return true
		}
	}
	return false
}

// pollMachines reads the list of machines while this node owns a cell or is
// about to form a group.
func (m *Machine) pollMachines() {
	if !m.machinesAsked.IsZero() && m.now.Sub(m.machinesAsked) < m.timing.ListTimeout {
		return
	}
	if m.now.Before(m.machinesAt) || !m.needsMachines() {
		return
	}
	m.machinesAsked = m.now
	m.machinesAt = m.now.Add(m.timing.MachinePoll)
	m.emit(ListMachines{Region: m.config.Self.Region})
}

func (m *Machine) needsMachines() bool {
	for _, name := range m.cellOrder {
		c := m.cells[name]
		if c.owner != nil || c.formation.needsMachines() {
			return true
		}
	}
	return false
}

func (m *Machine) takeMachines(e MachinesListed) {
	m.machinesAsked = time.Time{}
	if e.Err != nil {
		m.machinesAt = m.now.Add(m.timing.MachinePoll + m.jitter(m.timing.MachinePoll))
	}
	for _, name := range m.cellOrder {
		c := m.cells[name]
		list := c.ownMachines(e.List)
		if c.owner != nil && e.Err == nil {
			c.owner.Listed(m.now, list)
		}
		c.formationListed(list, e.Err)
	}
}

func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit) + 1))
}

func (m *Machine) takeOrderAnswer(e OrderAnswered) {
	for _, name := range m.cellOrder {
		if owner := m.cells[name].owner; owner != nil {
			owner.OrderAnswered(m.now, e.Server, e.Order, e.Result, e.Err)
		}
	}
}

func (m *Machine) takeInventory(e InventoryAnswered) {
	for _, name := range m.cellOrder {
		if owner := m.cells[name].owner; owner != nil {
			owner.InventoryAnswered(m.now, e.Server, e.Request, e.Inventory, e.Err)
		}
	}
}

func (m *Machine) takeRecord(e RecordRead) {
	for _, name := range m.cellOrder {
		if c := m.cells[name]; c.recordKey() == e.Key {
			c.takeRecord(e.Record, e.Err)
		}
	}
}

func (m *Machine) takeCommit(e RecordCommitted) {
	for _, name := range m.cellOrder {
		if c := m.cells[name]; c.calls.token == e.Transaction.Token {
			c.takeCommit(e.Err)
		}
	}
}

// machinesOf returns the machines of a list that belong to a cell.
func machinesOf(list platform.MachineList, name api.CellName) platform.MachineList {
	var own []platform.Machine
	for _, machine := range list.Machines {
		if api.MakeCellName(machine.Service, machine.Region) == name {
			own = append(own, machine)
		}
	}
	list.Machines = own
	return list
}
