package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/platform"
)

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

// takeMachines gives each cell its part of a list, or the failure to get one.
func (m *Machine) takeMachines(e MachinesListed) {
	m.machinesAsked = time.Time{}
	if e.Err != nil {
		m.machinesAt = m.now.Add(m.timing.MachinePoll + m.jitter(m.timing.MachinePoll))
	}
	for _, name := range m.cellOrder {
		c := m.cells[name]
		list := machinesOf(e.List, c.name)
		if c.owner != nil && e.Err == nil {
			c.owner.Listed(m.now, list)
		}
		c.formationListed(list, e.Err)
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
