package control

import (
	"maps"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// demandRetention is how long demand that was already sent is repeated to a new
// owner.
const demandRetention = 5 * time.Second

// demandBuffer collects the demand that this node's routers report until it is
// sent to the owners.
type demandBuffer struct {
	pending map[api.ModelName]api.ModelDemand
	sent    map[api.ModelName]sentDemand // last demand sent, by model
	flushAt time.Time
}

// sentDemand is demand that was sent to an owner, and when.
type sentDemand struct {
	demand api.ModelDemand
	at     time.Time
}

// repeated returns the report of the demand to a new owner. Requests that waited long ago don't wait any more.
func (s sentDemand) repeated(now time.Time, waits bool) api.ModelDemand {
	if !waits {
		return api.ModelDemand{Model: s.demand.Model, InFlight: s.demand.InFlight, LastArrival: s.demand.LastArrival,
			Idle: max(now.Sub(s.demand.LastArrival), 1)}
	}
	repeated := s.demand
	repeated.Arrivals = 0
	return repeated
}

func newDemandBuffer() demandBuffer {
	return demandBuffer{
		pending: make(map[api.ModelName]api.ModelDemand),
		sent:    make(map[api.ModelName]sentDemand),
	}
}

// add merges seen into the pending demand: arrivals add up, gauges such as
// Waiting take the newest value.
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

// handleDemand sends the first waiting request of a model to the owner at once,
// since it may need a load. Other demand is sent with the next report.
func (m *Machine) handleDemand(seen api.ModelDemand) {
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

// serves reports whether the view shows a ready replica of a model.
func (c *cellControl) serves(model api.ModelName) bool {
	for _, replica := range c.view.Replicas {
		if replica.Model == model && replica.State == api.ReplicaReady {
			return true
		}
	}
	return false
}

// flushDemand sends all pending demand once per DemandInterval.
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

// sendDemand sends the pending demand of the given models to the cell's owner.
// Without a known owner the demand stays pending.
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
		m.handleDemandReport(owner, report)
		return
	}
	m.send(owner, report)
}

// ownerNode returns the node that owns the cell according to the group or,
// failing that, the newest view.
func (c *cellControl) ownerNode() (api.NodeRef, bool) {
	if c.owner != nil {
		return c.machine.config.Self, true
	}
	if leader, led := c.group.Leader(c.machine.now); led {
		return leader, true
	}
	return c.view.Leader, c.view.Term > 0
}

// repeatDemand reports the requests that wait on this node to a new owner,
// including those already reported to the previous owner. For other models it
// reports how long ago the last request came.
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
		waits := last.demand.Waiting > 0 && m.now.Sub(last.at) < demandRetention
		_, pending := m.demand.pending[model]
		if m.modelCell[model] != c.name || !waits && (pending || last.demand.LastArrival.IsZero()) {
			continue
		}
		if !pending {
			m.demand.pending[model] = last.repeated(m.now, waits)
		}
		waiting = append(waiting, model)
	}
	m.sendDemand(c, waiting)
}

// handleDemandReport passes a node's demand to the owner if this node owns the
// cell.
func (m *Machine) handleDemandReport(from api.NodeRef, report api.DemandReport) {
	if c, known := m.cells[report.Cell]; known && c.owner != nil {
		c.owner.Reported(m.now, from, report.Models)
	}
}
