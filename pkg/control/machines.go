package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/platform"
)

// pollMachines reads the machine list while this node owns a cell or is forming a
// group.
func (m *Machine) pollMachines() {
	if !m.listRequestedAt.IsZero() && m.now.Sub(m.listRequestedAt) < m.timing.ListTimeout {
		return
	}
	if m.now.Before(m.nextListAt) || !m.needsMachines() {
		return
	}
	m.listRequestedAt = m.now
	m.nextListAt = m.now.Add(m.timing.MachinePoll)
	m.emit(ListMachines{Region: m.config.Self.Region})
}

// needsMachines reports whether any cell needs the machine list.
func (m *Machine) needsMachines() bool {
	for _, name := range m.cellOrder {
		c := m.cells[name]
		if c.owner != nil || c.formation.needsMachines() {
			return true
		}
	}
	return false
}

// handleMachinesListed passes each cell its machines of a list, or the error.
func (m *Machine) handleMachinesListed(e MachinesListed) {
	m.listRequestedAt = time.Time{}
	if e.Err != nil {
		m.nextListAt = m.now.Add(m.timing.MachinePoll + m.jitter(m.timing.MachinePoll))
	}
	for _, name := range m.cellOrder {
		c := m.cells[name]
		list := machinesOf(e.List, c.name)
		if c.owner != nil && e.Err == nil {
			c.owner.Listed(m.now, list)
		}
		c.continueFormationWithList(list, e.Err)
	}
}

// machinesOf returns the list reduced to the machines of one cell.
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
