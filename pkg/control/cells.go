package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/cell"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/tree"
)

// advanceRounds bounds how often an owner's new data is proposed within one
// event. More than one round is needed only when a proposal commits immediately,
// as it does in a group of one.
const advanceRounds = 4

// cellControl holds this node's state for one cell: its member of the quorum
// group, the Owner while this node leads the group, and the newest view.
type cellControl struct {
	machine     *Machine
	name        api.CellName
	models      []tree.Model
	group       *quorum.Group
	owner       *cell.Owner // nil unless this node leads the group
	committed   uint64      // version of the group's state that the owner last received
	view        api.CellView
	newestClaim claimEntry // claim on the weight store: computed here at the owner, received from peers elsewhere

	formation       formation
	leaderlessSince time.Time // since when this member has not heard from a leader
	record          recordKeeper
	calls           recordCalls
	leaving         []api.NodeRef // members that asked to be replaced
	// reconfigureAt is when the members are checked next, publishAt the earliest
	// time of the next view.
	reconfigureAt time.Time
	publishAt     time.Time
	estimates     map[quorum.Member]*outbox // estimates to send, by node
	outboxes      []quorum.Member           // keys of estimates in order of first use
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

// tick runs the time-driven work of the cell: group, formation, record and
// membership.
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

// advance starts or ends ownership as this node gains or loses the lead of the
// group, and lets the owner act.
func (c *cellControl) advance() {
	now := c.machine.now
	for range advanceRounds {
		c.syncOwnership(now)
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

// syncOwnership starts, ends or updates the owner to match the group's state.
func (c *cellControl) syncOwnership(now time.Time) {
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

// beginOwnership creates the owner for a term that this node now leads.
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
	c.machine.nextListAt = now
	if state.Data.Revision > uint64(c.machine.TreeRevision()) {
		c.machine.nextTreePollAt = now // the owner loads nothing until it has a tree of at least this revision
	}
	c.Log("info", "cell owned", "term", term)
	c.machine.repeatDemand(c)
}

// endOwnership drops the owner. Engines reject its outstanding orders once a
// later owner has raised their fences.
func (c *cellControl) endOwnership() {
	if c.owner == nil {
		return
	}
	c.Log("info", "cell no longer owned", "term", c.owner.Term())
	c.owner = nil
	c.estimates, c.outboxes = nil, nil
}

// checkTerm gives up the lead when an engine has seen a higher term, or when this
// term's fences are used up.
func (c *cellControl) checkTerm(now time.Time) {
	if term := c.owner.DeposedBy(); term > 0 {
		c.Log("warn", "engine is fenced by a later owner", "term", term)
		c.group.NoticeTerm(now, term)
	}
	if c.owner.Exhausted() {
		c.sendGroup(c.group.Resign(now))
	}
}

// epoch returns the epoch of the newest view, or zero without a view.
func (c *cellControl) epoch() uint64 {
	return quorum.Epoch(c.view.Term)
}
