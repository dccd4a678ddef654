package control

import (
	"martenwheel.dev/pkg/control/quorum"
)

// beginStop begins a planned stop: this node hands over what it leads and asks
// to be replaced where it is a member.
func (m *Machine) beginStop() {
	if m.stopping {
		return
	}
	m.stopping = true
	m.live = nil
	m.stopBy = m.now.Add(m.timing.StopTimeout)
	for _, name := range m.cellOrder {
		m.cells[name].reconfigureAt = m.now
	}
	m.tickStop()
}

// tickStop repeats the wish to be replaced until it is fulfilled.
func (m *Machine) tickStop() {
	if !m.stopping || m.announced {
		return
	}
	for _, name := range m.cellOrder {
		m.cells[name].askToLeave()
	}
	if m.handedOver() || !m.now.Before(m.stopBy) {
		m.announced = true
		m.sendPackets(m.membership.Leave(m.now))
	}
}

// askToLeave tells all members of the group: any of them may lead it next.
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

// isMember tells whether this node is a member of the cell's group.
func (c *cellControl) isMember() bool {
	if !c.group.Member() {
		return false
	}
	replaced := c.view.Term >= c.group.Accepted().Term && !quorum.Contains(c.view.Members, c.machine.config.Self)
	return !replaced
}

// handedOver tells whether no group counts on this node, or nobody else is
// there to take over.
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

// Stopped tells that a planned stop has done what it can: the process may exit
// after the effects returned so far.
func (m *Machine) Stopped() bool {
	return m.announced
}
