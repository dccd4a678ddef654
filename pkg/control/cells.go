package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/cell"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/tree"
)

// advanceRounds bounds how often an owner's new data is proposed within one
// event. More than one round is needed only while commits are immediate.
const advanceRounds = 4

// cellControl is this node's part in one cell: its place in the quorum group,
// the owner while it leads, and the newest view.
type cellControl struct {
	machine     *Machine
	name        api.CellName
	models      []tree.Model
	group       *quorum.Group
	owner       *cell.Owner // nil unless this node leads
	committed   uint64      // version of the group's state that the owner knows
	view        api.CellView
	newestClaim claimEntry // on the weight store, heard or, at the owner, told

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

func newCellControl(m *Machine, name api.CellName) *cellControl {
	return &cellControl{
		machine: m,
		name:    name,
		group: quorum.NewGroup(quorum.Config{
			Self: m.config.Self, Cell: name, Timing: m.timing.Quorum, Random: m.random, Unsafe: m.config.Unsafe,
		}),
	}
}

// tick lets time pass for the group and for what watches over it.
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

// beginOwnership makes the owner for a term that this node has begun to lead in.
func (c *cellControl) beginOwnership(now time.Time, term uint64) {
	state := c.group.Committed()
	c.owner = cell.New(now, cell.Config{
		Cell: c.name, Self: c.machine.config.Self, Timing: c.machine.timing.Cell, Random: c.machine.random,
		Decider: c.machine.config.Decider, Unsafe: c.machine.config.Unsafe,
	}, cell.Start{Term: term, Data: state.Data, Previous: c.view})
	c.owner.Configure(c.machine.TreeRevision(), c.models)
	c.committed = state.Version
	c.record.reset(now)
	c.leaving = c.stillLeaving()
	c.reconfigureAt = now
	c.machine.machinesAt = now
	if state.Data.Revision > uint64(c.machine.TreeRevision()) {
		c.machine.treePoll = now // nothing is loaded before
	}
	c.Log("info", "cell owned", "term", term)
	c.machine.repeatDemand(c)
}

// endOwnership drops the owner. Engines judge its orders under way by their
// fences.
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

// epoch returns the epoch of the newest view of the cell, or zero without one.
func (c *cellControl) epoch() uint64 {
	return quorum.Epoch(c.view.Term)
}
