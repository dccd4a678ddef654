package control

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/platform"
)

// formationStage is how far this node is in forming a group for a cell.
type formationStage uint8

const (
	formationIdle    formationStage = iota // the cell has a group, as far as known
	formationWaiting                       // it has none; nodes of a better rank go first
	formationReading                       // reads the record
	formationListing                       // reads the list of machines
	formationWriting                       // writes the record of a new epoch
)

// memberPause is the time between two looks at the record while its members may
// come up.
const memberPause = 2 * time.Second

// formation forms the group of a cell that has none or has lost its majority.
// The conditional write of the cell's record, with the next epoch, makes one
// founder win. That the old group may still be at work is no harm: the new
// owner counts each server of the record as holding any model until it has
// fenced it.
type formation struct {
	stage    formationStage
	failures int // tries in a row that failed

	seenVersion uint64                // of the record
	seenAt      time.Time             // when the record was first seen in that version
	startAt     time.Time             // of the next stage, when waiting
	aliveAt     time.Time             // since when the recorded members look alive but silent
	founded     uint64                // last epoch that this node led as the founder
	unknowns    map[api.ServerID]bool // servers of the record before the last write
}

func (f *formation) needsMachines() bool {
	return f.stage == formationListing
}

// tickFormation begins, goes on with, or calls off the forming of a group.
func (c *cellControl) tickFormation() {
	now := c.machine.now
	f := &c.formation
	if f.stage == formationWriting {
		return // the epoch may be won already: it must not be left without a group
	}
	if !c.needsGroup(now) {
		f.stage = formationIdle
		f.aliveAt = time.Time{}
		f.failures = 0
		return
	}
	if f.stage == formationIdle {
		f.stage = formationWaiting
		timing := c.machine.timing
		wait := timing.FormationDelay + time.Duration(c.rank())*timing.FormationStep
		if c.view.Term > 0 && c.group.Floor() > c.epoch() {
			wait += timing.GroupPatience // two halves of a region must not depose each other in turn
		}
		f.startAt = now.Add(wait + c.machine.jitter(timing.FormationStep/4))
	}
	if f.stage == formationWaiting && !now.Before(f.startAt) && !c.calls.busy() {
		f.stage = formationReading
		c.readRecord()
	}
}

// needsGroup tells whether the cell has no group that could still agree.
func (c *cellControl) needsGroup(now time.Time) bool {
	m := c.machine
	if len(c.models) == 0 || m.stopping || c.owner != nil {
		return false
	}
	if _, led := c.group.Leader(now); led {
		c.leaderlessAt = time.Time{}
		return false
	}
	if c.leaderlessFor(now) >= c.machine.timing.GroupPatience {
		return true
	}
	accepted := c.group.Accepted()
	return !c.mayAgree(c.view.Term, c.view.Members) && !c.mayAgree(accepted.Term, accepted.Members)
}

// mayAgree tells whether the group that had these members in term can still
// agree: it is of the latest epoch and has a majority.
func (c *cellControl) mayAgree(term uint64, members []api.NodeRef) bool {
	return term > 0 && quorum.Epoch(term) >= c.group.Floor() && c.mostAlive(members)
}

// leaderlessFor returns how long this member has not heard of any leader.
func (c *cellControl) leaderlessFor(now time.Time) time.Duration {
	if !c.group.Member() {
		c.leaderlessAt = time.Time{}
		return 0
	}
	if c.leaderlessAt.IsZero() {
		c.leaderlessAt = now
	}
	return now.Sub(c.leaderlessAt)
}

// formationRecord goes on after the record was read or written.
func (c *cellControl) formationRecord(err error) {
	f := &c.formation
	if f.stage != formationReading && f.stage != formationWriting {
		return
	}
	if err != nil {
		c.retryFormation("cell record not reached", err)
		return
	}
	known := c.calls.known
	if known != nil && sameNode(known.Founder, c.machine.config.Self) && known.Epoch > f.founded {
		c.found(*known)
		return
	}
	if known != nil && (c.waitForMembers(known.Members) || c.waitForOwner()) {
		return
	}
	f.stage = formationListing
	c.machine.machinesAt = c.machine.now
}

// waitForMembers gives recorded members that live, or may live since this node
// has not met them yet, some time to tell their view. They may never: a founder
// may have died before it told them.
func (c *cellControl) waitForMembers(members []api.NodeRef) bool {
	f := &c.formation
	now := c.machine.now
	if !c.mostMayLive(members) {
		return false
	}
	if f.aliveAt.IsZero() {
		f.aliveAt = now
	}
	if now.Sub(f.aliveAt) >= c.machine.timing.FormationPatience {
		return false
	}
	f.stage = formationWaiting
	f.startAt = now.Add(memberPause)
	return true
}

// waitForOwner makes a node that sees only a minority of the region's nodes wait
// until the record has not changed for some time. It may be cut off from a group
// that works, whose owner renews the record.
func (c *cellControl) waitForOwner() bool {
	f := &c.formation
	now := c.machine.now
	if !c.machine.inMinority() {
		return false
	}
	if f.seenVersion != c.calls.version {
		f.seenVersion, f.seenAt = c.calls.version, now
	}
	if now.Sub(f.seenAt) >= c.machine.timing.MinorityPatience {
		return false
	}
	f.stage = formationWaiting
	f.startAt = now.Add(memberPause)
	return true
}

// retryFormation logs why a try failed and plans the next one, after a pause that
// doubles.
func (c *cellControl) retryFormation(message string, err error) {
	timing := c.machine.timing
	pause := min(timing.FormationRetry<<min(c.formation.failures, 10), timing.FormationRetryMax)
	c.formation.failures++
	c.formation.stage = formationWaiting
	c.formation.startAt = c.machine.now.Add(pause + c.machine.jitter(pause))
	level := "warn"
	if errors.Is(err, errNoMachines) {
		level = "debug" // usual for a service that does not run in this region
	}
	c.Log(level, message, "error", err.Error())
}

// errNoMachines means that a cell has neither machines nor a record.
var errNoMachines = errors.New("no machines of the service in the region")

// formationListed goes on after the list of machines was read. The list is
// needed only for a cell that was never recorded.
func (c *cellControl) formationListed(list platform.MachineList, err error) {
	if c.formation.stage != formationListing {
		return
	}
	if err != nil && c.calls.known == nil {
		c.retryFormation("list of machines not reached", err)
		return
	}
	if len(list.Machines) == 0 && c.calls.known == nil {
		c.retryFormation("no group formed", errNoMachines)
		return
	}
	c.writeEpoch(list)
}

// writeEpoch writes the record of the next epoch.
func (c *cellControl) writeEpoch(list platform.MachineList) {
	m := c.machine
	f := &c.formation
	previous := cellRecord{}
	if c.calls.known != nil {
		previous = *c.calls.known
	}
	epoch := max(previous.Epoch, c.group.Floor(), c.epoch()) + 1
	wanted := cellRecord{
		Epoch:   epoch,
		Term:    quorum.MakeTerm(epoch, 1),
		Founder: m.config.Self,
		Members: c.chooseMembers([]api.NodeRef{m.config.Self}, m.liveNodes()),
		Servers: addListed(previous.Servers, list),
	}
	f.unknowns = make(map[api.ServerID]bool)
	for _, server := range previous.Servers {
		f.unknowns[server.ID] = true
	}
	f.stage = formationWriting
	c.writeRecord(wanted)
}

// addListed adds the live machines of a list to the recorded servers. Recorded
// ones stay: a list may be older than the record.
func addListed(recorded []quorum.Server, list platform.MachineList) []quorum.Server {
	servers := append([]quorum.Server(nil), recorded...)
	named := make(map[api.ServerID]bool)
	for _, server := range recorded {
		named[server.ID] = true
	}
	for _, machine := range list.Machines {
		if machine.State != platform.MachineLive || named[api.ServerID(machine.ID)] {
			continue
		}
		servers = append(servers, quorum.Server{
			ID: api.ServerID(machine.ID), Address: machine.Address, Zone: machine.Zone,
			MemoryBytes: machine.MemoryBytes, ListVersion: list.Version,
		})
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	return servers
}

// found begins the epoch that this node has won.
func (c *cellControl) found(record cellRecord) {
	f := &c.formation
	servers := append([]quorum.Server(nil), record.Servers...)
	for index := range servers {
		servers[index].Unknown = f.unknowns == nil || f.unknowns[servers[index].ID]
	}
	f.founded = record.Epoch
	f.stage = formationIdle
	f.aliveAt = time.Time{}
	c.Log("warn", "quorum group formed", "epoch", record.Epoch, "members", len(record.Members), "servers", len(servers))
	c.sendGroup(c.group.Found(c.machine.now, record.Epoch, record.Members, quorum.Data{FormedAt: c.machine.now, Servers: servers}))
}
