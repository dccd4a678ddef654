package control

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/platform"
)

// formationStage is the progress of this node in forming a group for a cell.
type formationStage uint8

const (
	formationIdle    formationStage = iota // the cell has a working group, as far as this node knows
	formationWaiting                       // the cell has no group; nodes with a lower rank try first
	formationReading                       // reading the cell's record
	formationListing                       // reading the machine list
	formationWriting                       // writing the record of a new epoch
)

// recordRecheckInterval is the time between two reads of the record while its
// members may still come up.
const recordRecheckInterval = 2 * time.Second

// formation forms a new group for a cell that has none or whose group has lost
// its majority. The conditional write of the cell's record with the next epoch
// lets exactly one founder win. It is safe even if the old group still works: the
// new owner counts each server of the record as possibly holding any model until
// it has fenced it.
type formation struct {
	stage    formationStage
	failures int // failed attempts in a row

	seenVersion       uint64                // record version last seen by waitForOwner
	seenAt            time.Time             // when seenVersion was first seen
	startAt           time.Time             // when the waiting stage ends
	membersAliveSince time.Time             // when waitForMembers began to wait
	foundedEpoch      uint64                // last epoch that this node founded
	unknownServers    map[api.ServerID]bool // servers in the record before this node's last write
}

// needsMachines reports whether the formation waits for the machine list.
func (f *formation) needsMachines() bool {
	return f.stage == formationListing
}

// tickFormation starts, continues or cancels the formation of a group.
func (c *cellControl) tickFormation() {
	now := c.machine.now
	f := &c.formation
	if f.stage == formationWriting {
		return // the epoch may already be won and must not be left without a group
	}
	if !c.needsGroup(now) {
		f.stage = formationIdle
		f.membersAliveSince = time.Time{}
		f.failures = 0
		return
	}
	if f.stage == formationIdle {
		f.stage = formationWaiting
		timing := c.machine.timing
		wait := timing.FormationDelay + time.Duration(c.rank())*timing.FormationStep
		if c.view.Term > 0 && c.group.EpochFloor() > c.epoch() {
			wait += timing.LeaderlessTimeout // so that two halves of a split region do not depose each other in turn
		}
		f.startAt = now.Add(wait + c.machine.jitter(timing.FormationStep/4))
	}
	if f.stage == formationWaiting && !now.Before(f.startAt) && !c.calls.busy() {
		f.stage = formationReading
		c.readRecord()
	}
}

// needsGroup reports whether the cell has no group that could still reach a
// quorum.
func (c *cellControl) needsGroup(now time.Time) bool {
	m := c.machine
	if len(c.models) == 0 || m.stopping || c.owner != nil {
		return false
	}
	if _, led := c.group.Leader(now); led {
		c.leaderlessSince = time.Time{}
		return false
	}
	if c.leaderlessFor(now) >= c.machine.timing.LeaderlessTimeout {
		return true
	}
	accepted := c.group.Accepted()
	return !c.mayReachQuorum(c.view.Term, c.view.Members) && !c.mayReachQuorum(accepted.Term, accepted.Members)
}

// mayReachQuorum reports whether the group that had these members in term can
// still agree: its epoch is not superseded and a majority of its members is
// alive.
func (c *cellControl) mayReachQuorum(term uint64, members []api.NodeRef) bool {
	return term > 0 && quorum.Epoch(term) >= c.group.EpochFloor() && c.majorityAlive(members)
}

// leaderlessFor returns how long this member has not heard from any leader.
func (c *cellControl) leaderlessFor(now time.Time) time.Duration {
	if !c.group.Member() {
		c.leaderlessSince = time.Time{}
		return 0
	}
	if c.leaderlessSince.IsZero() {
		c.leaderlessSince = now
	}
	return now.Sub(c.leaderlessSince)
}

// continueFormation proceeds after the record was read or written.
func (c *cellControl) continueFormation(err error) {
	f := &c.formation
	if f.stage != formationReading && f.stage != formationWriting {
		return
	}
	if err != nil {
		c.retryFormation("cell record could not be read or written", err)
		return
	}
	known := c.calls.known
	if known != nil && sameNode(known.Founder, c.machine.config.Self) && known.Epoch > f.foundedEpoch {
		c.foundGroup(*known)
		return
	}
	if known != nil && (c.waitForMembers(known.Members) || c.waitForOwner()) {
		return
	}
	f.stage = formationListing
	c.machine.nextListAt = c.machine.now
}

// waitForMembers gives recorded members some time to report their view if a
// majority of them is alive, or may be since this node does not know them yet.
// The wait is limited because they may know of no group: its founder may have
// died before it contacted them.
func (c *cellControl) waitForMembers(members []api.NodeRef) bool {
	f := &c.formation
	now := c.machine.now
	if !c.majorityMayBeAlive(members) {
		return false
	}
	if f.membersAliveSince.IsZero() {
		f.membersAliveSince = now
	}
	if now.Sub(f.membersAliveSince) >= c.machine.timing.MemberStartTimeout {
		return false
	}
	f.stage = formationWaiting
	f.startAt = now.Add(recordRecheckInterval)
	return true
}

// waitForOwner makes a node that sees only a minority of the region's nodes wait
// until the record has not changed for MinorityDelay. The node may be partitioned
// from a working group, whose owner refreshes the record.
func (c *cellControl) waitForOwner() bool {
	f := &c.formation
	now := c.machine.now
	if !c.machine.inMinority() {
		return false
	}
	if f.seenVersion != c.calls.version {
		f.seenVersion, f.seenAt = c.calls.version, now
	}
	if now.Sub(f.seenAt) >= c.machine.timing.MinorityDelay {
		return false
	}
	f.stage = formationWaiting
	f.startAt = now.Add(recordRecheckInterval)
	return true
}

// retryFormation logs why an attempt failed and schedules the next one with
// exponential back-off.
func (c *cellControl) retryFormation(message string, err error) {
	timing := c.machine.timing
	pause := min(timing.FormationRetry<<min(c.formation.failures, 10), timing.FormationRetryMax)
	c.formation.failures++
	c.formation.stage = formationWaiting
	c.formation.startAt = c.machine.now.Add(pause + c.machine.jitter(pause))
	level := "warn"
	if errors.Is(err, errNoMachines) {
		level = "debug" // expected for a service that does not run in this region
	}
	c.Log(level, message, "error", err.Error())
}

// errNoMachines means that a cell has neither machines nor a record, so no group
// is formed.
var errNoMachines = errors.New("no machines of the service in the region")

// continueFormationWithList proceeds after the machine list was read. The list is
// required only for a cell without a record.
func (c *cellControl) continueFormationWithList(list platform.MachineList, err error) {
	if c.formation.stage != formationListing {
		return
	}
	if err != nil && c.calls.known == nil {
		c.retryFormation("machine list could not be read", err)
		return
	}
	if len(list.Machines) == 0 && c.calls.known == nil {
		c.retryFormation("quorum group not formed", errNoMachines)
		return
	}
	c.writeEpoch(list)
}

// writeEpoch writes a record with the next epoch, with this node as founder.
func (c *cellControl) writeEpoch(list platform.MachineList) {
	m := c.machine
	f := &c.formation
	previous := cellRecord{}
	if c.calls.known != nil {
		previous = *c.calls.known
	}
	epoch := max(previous.Epoch, c.group.EpochFloor(), c.epoch()) + 1
	wanted := cellRecord{
		Epoch:   epoch,
		Term:    quorum.MakeTerm(epoch, 1),
		Founder: m.config.Self,
		Members: c.chooseMembers([]api.NodeRef{m.config.Self}, m.liveNodes()),
		Servers: addListed(previous.Servers, list),
	}
	f.unknownServers = make(map[api.ServerID]bool)
	for _, server := range previous.Servers {
		f.unknownServers[server.ID] = true
	}
	f.stage = formationWriting
	c.writeRecord(wanted)
}

// addListed adds the live machines of a list to the recorded servers. Recorded
// servers missing in the list stay, because the list may be older than the
// record.
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

// foundGroup founds the group of the epoch that this node has won. Servers that
// an earlier epoch may have used are marked unknown.
func (c *cellControl) foundGroup(record cellRecord) {
	f := &c.formation
	servers := append([]quorum.Server(nil), record.Servers...)
	for index := range servers {
		servers[index].Unknown = f.unknownServers == nil || f.unknownServers[servers[index].ID]
	}
	f.foundedEpoch = record.Epoch
	f.stage = formationIdle
	f.membersAliveSince = time.Time{}
	c.Log("warn", "quorum group formed", "epoch", record.Epoch, "members", len(record.Members), "servers", len(servers))
	c.sendGroup(c.group.Found(c.machine.now, record.Epoch, record.Members, quorum.Data{FormedAt: c.machine.now, Servers: servers}))
}
