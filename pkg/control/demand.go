package control

import (
	"maps"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// demandMemory is how long reported demand is repeated to a new owner.
const demandMemory = 5 * time.Second

// demandBuffer collects what this node's routers see until it is sent.
type demandBuffer struct {
	pending map[api.ModelName]api.ModelDemand
	sent    map[api.ModelName]sentDemand // the last that was sent of each model
	flushAt time.Time
}

type sentDemand struct {
	demand api.ModelDemand
	at     time.Time
}

func newDemandBuffer() demandBuffer {
	return demandBuffer{
		pending: make(map[api.ModelName]api.ModelDemand),
		sent:    make(map[api.ModelName]sentDemand),
	}
}

// add merges seen into what is pending: counts of events add up, and of levels
// the newest counts.
func (b *demandBuffer) add(seen api.ModelDemand) {
	previous, pending := b.pending[seen.Model]
	if pending {
		seen.Arrivals += previous.Arrivals
		if previous.LastArrival.After(seen.LastArrival) {
			seen.LastArrival = previous.LastArrival
		}
	}
	b.pending[seen.Model] = seen
}

// takeDemand sends a first waiter on at once and keeps the rest for the next
// report.
func (m *Machine) takeDemand(seen api.ModelDemand) {
	m.demand.add(seen)
	c, known := m.cells[m.modelCell[seen.Model]]
	if !known {
		delete(m.demand.pending, seen.Model)
		return
	}
	last, sent := m.demand.sent[seen.Model]
	first := !sent || last.demand.Waiting == 0 || m.now.Sub(last.at) >= m.timing.DemandInterval
	if seen.Waiting > 0 && first && !c.serves(seen.Model) {
		m.sendDemand(c, []api.ModelName{seen.Model})
	}
}

// serves tells whether the view shows a ready replica of a model.
func (c *cellControl) serves(model api.ModelName) bool {
	for _, replica := range c.view.Replicas {
		if replica.Model == model && replica.State == api.ReplicaReady {
			return true
		}
	}
	return false
}

// flushDemand sends what has been collected, about once in DemandInterval.
func (m *Machine) flushDemand() {
	if m.now.Before(m.demand.flushAt) {
		return
	}
	m.demand.flushAt = m.now.Add(m.timing.DemandInterval)
	for _, name := range m.cellOrder {
		c := m.cells[name]
		var models []api.ModelName
		for _, model := range c.models {
			if _, pending := m.demand.pending[model.Name]; pending {
				models = append(models, model.Name)
			}
		}
		m.sendDemand(c, models)
	}
}

// sendDemand sends the pending demand of some models to the cell's owner. With
// no owner known it stays pending.
func (m *Machine) sendDemand(c *cellControl, models []api.ModelName) {
	owner, known := c.ownerNode()
	if !known || len(models) == 0 {
		return
	}
	report := api.DemandReport{Node: m.config.Self, Cell: c.name}
	for _, model := range models {
		seen := m.demand.pending[model]
		report.Models = append(report.Models, seen)
		m.demand.sent[model] = sentDemand{demand: seen, at: m.now}
		delete(m.demand.pending, model)
	}
	if m.isSelf(owner) {
		m.takeReport(owner, report)
		return
	}
	m.send(owner, report)
}

// ownerNode returns the node that owns the cell, as far as known.
func (c *cellControl) ownerNode() (api.NodeRef, bool) {
	if c.owner != nil {
		return c.machine.config.Self, true
	}
	if leader, led := c.group.Leader(c.machine.now); led {
		return leader, true
	}
	return c.view.Leader, c.view.Term > 0
}

// repeatDemand tells a new owner of the requests that wait here, whether an
// owner before it was told or not.
func (m *Machine) repeatDemand(c *cellControl) {
	var waiting []api.ModelName
	for _, model := range c.models {
		_, sent := m.demand.sent[model.Name]
		if pending, known := m.demand.pending[model.Name]; known && !sent && pending.Waiting > 0 {
			waiting = append(waiting, model.Name)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(m.demand.sent)) {
		last := m.demand.sent[model]
		if m.modelCell[model] != c.name || last.demand.Waiting == 0 || m.now.Sub(last.at) >= demandMemory {
			continue
		}
		if _, pending := m.demand.pending[model]; !pending {
			repeated := last.demand
			repeated.Arrivals = 0
			m.demand.pending[model] = repeated
		}
		waiting = append(waiting, model)
	}
	m.sendDemand(c, waiting)
}

// takeReport gives a node's demand to the owner, if this node is it.
func (m *Machine) takeReport(from api.NodeRef, report api.DemandReport) {
	if c, known := m.cells[report.Cell]; known && c.owner != nil {
		c.owner.Reported(m.now, from, report.Models)
	}
}
