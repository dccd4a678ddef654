package control

import (
	"martenwheel.dev/pkg/control/quorum"
)

// beginStop starts a planned stop: this node hands over the groups that it leads
// and asks to be replaced where it is a member.
func (m *Machine) beginStop() {
	if m.stopping {
		return
	}
	m.stopping = true
	m.liveNodesCache = nil
	m.stopDeadline = m.now.Add(m.timing.StopTimeout)
	for _, name := range m.cellOrder {
		m.cells[name].reconfigureAt = m.now
	}
	m.tickStop()
}

// tickStop repeats the requests to be replaced until all succeeded or the stop
// deadline has passed, then announces the departure.
func (m *Machine) tickStop() {
	if !m.stopping || m.leaveAnnounced {
		return
	}
	for _, name := range m.cellOrder {
		m.cells[name].askToLeave()
	}
	if m.handedOver() || !m.now.Before(m.stopDeadline) {
		m.leaveAnnounced = true
		m.sendPackets(m.membership.Leave(m.now))
	}
}

// askToLeave sends the request to be replaced to all members of the group,
// because any of them may lead it next.
func (c *cellControl) askToLeave() {
	if !c.isMember() {
		return
	}
	for _, member := range c.group.Accepted().All() {
		if !c.machine.isSelf(member) {
			c.machine.send(member, quorum.Leaving{Cell: c.name})
		}
	}
}

// isMember reports whether this node is a member of the cell's group, as far as
// it knows from the group and the newest view.
func (c *cellControl) isMember() bool {
	if !c.group.Member() {
		return false
	}
	replaced := c.view.Term >= c.group.Accepted().Term && !quorum.Contains(c.view.Members, c.machine.config.Self)
	return !replaced
}

// handedOver reports whether no group depends on this node any more, or no other
// live node is left to take over.
func (m *Machine) handedOver() bool {
	if len(m.liveNodes()) == 0 {
		return true
	}
	for _, name := range m.cellOrder {
		if m.cells[name].isMember() {
			return false
		}
	}
	return true
}

// Stopped reports that a planned stop is complete: the process may exit after
// carrying out the effects returned so far.
func (m *Machine) Stopped() bool {
	return m.leaveAnnounced
}
