package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/cell"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/control/weights"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/tree"
)

// advanceRounds bounds how often an owner's new data is proposed within one
// event. More than one round is needed only while commits are immediate.
const advanceRounds = 4

// publishPause is the shortest time between two views of an owner.
const publishPause = 50 * time.Millisecond

// cellControl is this node's part in one cell: its place in the quorum group,
// the owner while it leads, and the newest view.
type cellControl struct {
	machine   *Machine
	name      api.CellName
	models    []tree.Model
	group     *quorum.Group
	owner     *cell.Owner // nil unless this node leads
	committed uint64      // version of the group's state that the owner knows
	view      api.CellView
	loads     claimEntry // newest claim on the weight store heard

	formation     formation
	leaderlessAt  time.Time // since when this member has heard of no leader
	record        recordKeeper
	calls         recordCalls
	leaving       []api.NodeRef // members that asked to be replaced
	reconfigureAt time.Time
	publishAt     time.Time
	estimates     map[quorum.Member]*outbox
	outboxes      []quorum.Member // in order of first use
}

// outbox collects the estimates for one node.
type outbox struct {
	to        api.NodeRef
	estimates []api.LoadEstimate
}

func newCellControl(m *Machine, name api.CellName) *cellControl {
	return &cellControl{
		machine: m,
		name:    name,
		group: quorum.NewGroup(quorum.Config{
			Self: m.config.Self, Cell: name, Timing: m.timing.Quorum, Random: m.random, Unsafe: m.config.Unsafe,
		}),
	}
}

func (c *cellControl) tick() {
	c.sendGroup(c.group.Tick(c.machine.now))
	c.tickFormation()
	c.tickRecord()
	c.tickMembers()
}

func (c *cellControl) sendGroup(packets []quorum.Packet) {
	for _, packet := range packets {
		c.machine.send(packet.To, packet.Message)
	}
}

// advance lets the owner act, and begins or ends its ownership as this node
// gains or loses the lead of the group.
func (c *cellControl) advance() {
	now := c.machine.now
	for range advanceRounds {
		c.followLead(now)
		if c.owner == nil {
			return
		}
		if c.machine.config.Unsafe.NoAdmission {
			c.owner.Recorded(now, c.owner.Servers())
		}
		if c.machine.config.Unsafe.NoVerify {
			c.owner.Verified(now)
		}
		c.owner.Allocate(c.allocation(now))
		c.owner.Advance(now, c)
		data, changed := c.owner.TakeData()
		if changed {
			c.sendGroup(c.group.Propose(now, data))
		}
		if c.group.Committed().Version == c.committed {
			break
		}
	}
	c.checkTerm(now)
	c.publishView()
	c.flushEstimates()
}

// followLead makes the owner match the group's state.
func (c *cellControl) followLead(now time.Time) {
	term, leading := c.group.Leading()
	if !leading {
		c.endOwnership()
		return
	}
	if c.owner == nil || c.owner.Term() != term {
		c.beginOwnership(now, term)
	}
	state := c.group.Committed()
	if state.Version != c.committed {
		c.committed = state.Version
		c.owner.Committed(now, state.Data)
	}
}

func (c *cellControl) beginOwnership(now time.Time, term uint64) {
	state := c.group.Committed()
	c.owner = cell.New(now, cell.Config{
		Cell: c.name, Self: c.machine.config.Self, Timing: c.machine.timing.Cell, Random: c.machine.random,
		Decider: c.machine.config.Decider, Unsafe: c.machine.config.Unsafe,
	}, cell.Start{Term: term, Data: state.Data, Previous: c.view})
	c.owner.Configure(c.machine.TreeRevision(), c.models)
	c.committed = state.Version
	c.record.reset(now)
	c.leaving = nil
	c.reconfigureAt = now
	c.machine.machinesAt = now
	if state.Data.Revision > uint64(c.machine.TreeRevision()) {
		c.machine.treePoll = now // nothing is loaded before
	}
	c.Log("info", "cell owned", "term", term)
	c.machine.repeatDemand(c)
}

func (c *cellControl) endOwnership() {
	if c.owner == nil {
		return
	}
	c.Log("info", "cell no longer owned", "term", c.owner.Term())
	c.owner = nil
	c.estimates, c.outboxes = nil, nil
}

// checkTerm gives up the lead when an engine has seen a higher term, or when
// the fences of this one run out.
func (c *cellControl) checkTerm(now time.Time) {
	if term := c.owner.DeposedBy(); term > 0 {
		c.Log("warn", "an engine follows a later owner", "term", term)
		c.group.NoticeTerm(now, term)
	}
	if c.owner.Exhausted() {
		c.sendGroup(c.group.Resign(now))
	}
}

// publishView hands a changed view to this node's routers and to all nodes of
// the region.
func (c *cellControl) publishView() {
	if c.machine.now.Before(c.publishAt) {
		return
	}
	committed := c.group.Committed()
	if committed.ConfigVersion() != c.view.ConfigVersion {
		c.owner.MarkChanged()
	}
	view, changed := c.owner.TakeView()
	if !changed {
		return
	}
	view.Members = committed.Members
	view.PreviousMembers = committed.Previous
	view.ConfigVersion = committed.ConfigVersion()
	var message any = ViewPush{View: view}
	if delta, ok := makeDelta(c.view, view); ok {
		message = delta
	}
	c.view = view
	c.publishAt = c.machine.now.Add(publishPause)
	c.machine.emit(PublishView{View: view})
	for _, node := range c.machine.liveNodes() {
		if !c.machine.isSelf(node) {
			c.machine.send(node, message)
		}
	}
}

// takeView takes over a newer view of a cell.
func (m *Machine) takeView(view api.CellView) {
	c := m.ensureCell(view.Cell)
	c.group.Supersede(quorum.Epoch(view.Term))
	if !view.NewerThan(c.view) {
		return
	}
	newLeader := !sameNode(view.Leader, c.view.Leader) || view.Term != c.view.Term
	c.view = view
	m.emit(PublishView{View: view})
	m.updateDigest() // for nodes that the owner does not reach
	if newLeader {
		m.repeatDemand(c)
	}
}

func (m *Machine) answerViewRequest(from api.NodeRef, request ViewRequest) {
	if c, known := m.cells[request.Cell]; known && c.view.Term > 0 {
		m.send(from, ViewPush{View: c.view})
	}
}

func (c *cellControl) ownMachines(list platform.MachineList) platform.MachineList {
	return machinesOf(list, c.name)
}

// OrderEngine implements cell.Sink.
func (c *cellControl) OrderEngine(server api.ServerID, address string, order engine.Order) {
	c.machine.emit(OrderEngine{Server: server, Address: address, Order: order})
}

// ReadInventory implements cell.Sink.
func (c *cellControl) ReadInventory(server api.ServerID, address string, request engine.InventoryRequest) {
	c.machine.emit(ReadInventory{Server: server, Address: address, Request: request})
}

// Estimate implements cell.Sink.
func (c *cellControl) Estimate(to api.NodeRef, estimate api.LoadEstimate) {
	if c.machine.isSelf(to) {
		c.machine.emit(PublishEstimate{Estimate: estimate})
		return
	}
	if c.estimates == nil {
		c.estimates = make(map[quorum.Member]*outbox)
	}
	member := quorum.MemberOf(to)
	if c.estimates[member] == nil {
		c.estimates[member] = &outbox{to: to}
		c.outboxes = append(c.outboxes, member)
	}
	c.estimates[member].estimates = append(c.estimates[member].estimates, estimate)
}

func (c *cellControl) flushEstimates() {
	for _, member := range c.outboxes {
		box := c.estimates[member]
		c.machine.send(box.to, Estimates{Cell: c.name, Estimates: box.estimates})
	}
	c.estimates, c.outboxes = nil, nil
}

// Log implements cell.Sink.
func (c *cellControl) Log(level, message string, fields ...any) {
	c.machine.emit(Log{Level: level, Message: message, Fields: append([]any{"cell", c.name}, fields...)})
}

// allocation is the cell's part of the weight store's slots.
func (c *cellControl) allocation(now time.Time) weights.Allocation {
	m := c.machine
	budget := weights.Budget{Slots: 1, Rate: 1}
	if m.settings != nil {
		root := m.settings.Root()
		budget = weights.Budget{Slots: root.WeightFullSpeed, Rate: root.WeightLoadRate}
	}
	var others []weights.Claim
	for _, name := range m.cellOrder {
		if name != c.name {
			others = append(others, m.cells[name].claim(now))
		}
	}
	return weights.Share(now, budget, c.owner.Claim(now), others)
}

// claim returns the cell's claim on the weight store as known here.
func (c *cellControl) claim(now time.Time) weights.Claim {
	if c.owner != nil {
		return c.owner.Claim(now)
	}
	return c.loads.claim
}
