package lab

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
)

// centralPlane is an ideal control plane: one owner per service that never fails, with the real
// decider. It replaces elections, leases and gossip, so that policies are compared by their
// decisions alone.
type centralPlane struct {
	sim    *simulation
	owners []*owner // by service index
}

// Intervals and delays of the central control plane.
const (
	decideInterval = time.Second
	decideDelay    = 5 * time.Millisecond   // batches the reports of a burst
	inventoryLag   = 100 * time.Millisecond // until the owner sees a change on an engine
	drainDelay     = 300 * time.Millisecond // until all nodes know that a replica is draining
	demandTTL      = 3 * time.Second        // until a report that is not renewed expires
)

// newCentralPlane returns a control plane with an owner for each service.
func newCentralPlane(sim *simulation, decider policy.Decider) *centralPlane {
	plane := &centralPlane{sim: sim}
	for i := range sim.scenario.Services {
		plane.owners = append(plane.owners, newOwner(sim, i, decider))
	}
	return plane
}

// report implements controlPlane.
func (p *centralPlane) report(n *node, model int, demand api.ModelDemand) {
	o := p.owners[p.sim.models[model].service]
	p.sim.network.send(n.zone, o.zone, func() { o.handleReport(n, model, demand) })
}

// nodeStarted implements controlPlane.
func (p *centralPlane) nodeStarted(n *node) {
	for _, o := range p.owners {
		for _, state := range o.states {
			o.publishTo(n, state)
		}
	}
}

// zonesReconnected implements controlPlane. It sends every node the full state, because nodes that were cut
// off have missed updates.
func (p *centralPlane) zonesReconnected() {
	for _, n := range p.sim.nodes {
		p.nodeStarted(n)
	}
}

// itemChanged implements controlPlane.
func (p *centralPlane) itemChanged(e *emulatedEngine, m *model) {
	o := p.owners[e.service]
	instance := e.instance
	p.sim.clock.after(inventoryLag, func() { o.itemChanged(e, instance, m) })
}

// engineChanged implements controlPlane. The owner learns of a leaving engine from the engine
// itself, and of a dead machine only later from the list of machines.
func (p *centralPlane) engineChanged(e *emulatedEngine) {
	o := p.owners[e.service]
	position := o.position(e)
	if e.alive {
		p.sim.clock.after(inventoryLag, func() { o.refreshServer(position, e) })
		return
	}
	p.sim.clock.after(time.Second, func() {
		o.serverViews[position].leaving = true
		o.publishServer(e)
	})
}
