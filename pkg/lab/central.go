package lab

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
)

// centralPlane is an ideal control plane: one owner per service that never
// fails, with the real decider. It stands in for elections, leases and
// gossip, so that policies are compared by their decisions alone.
type centralPlane struct {
	world  *world
	owners []*owner // by service
}

// Times of the central plane.
const (
	decideInterval   = time.Second
	decideDelay      = 5 * time.Millisecond   // collects the reports of a burst
	inventoryLag     = 100 * time.Millisecond // until the owner notices a change of an engine
	drainBeforeOrder = 300 * time.Millisecond // until all nodes know that a replica drains
	demandLifetime   = 3 * time.Second        // of a report that is not repeated
)

// newCentralPlane returns the owners of all services.
func newCentralPlane(w *world, decider policy.Decider) *centralPlane {
	plane := &centralPlane{world: w}
	for i := range w.scenario.Services {
		plane.owners = append(plane.owners, newOwner(w, i, decider))
	}
	return plane
}

// report implements controlPlane.
func (p *centralPlane) report(n *node, model int, demand api.ModelDemand) {
	o := p.owners[p.world.models[model].service]
	p.world.network.send(n.zone, o.zone, func() { o.takeReport(n, model, demand) })
}

// nodeStarted implements controlPlane.
func (p *centralPlane) nodeStarted(n *node) {
	for _, o := range p.owners {
		for _, state := range o.states {
			o.tell(n, state)
		}
	}
}

// healed implements controlPlane: nodes that were cut off hear what they missed.
func (p *centralPlane) healed() {
	for _, n := range p.world.nodes {
		p.nodeStarted(n)
	}
}

// itemChanged implements controlPlane.
func (p *centralPlane) itemChanged(e *emulatedEngine, m *model) {
	o := p.owners[e.service]
	instance := e.instance
	p.world.clock.after(inventoryLag, func() { o.notice(e, instance, m) })
}

// engineChanged implements controlPlane: a leaving engine says so itself; a
// dead machine is believed gone only when the list shows it.
func (p *centralPlane) engineChanged(e *emulatedEngine) {
	o := p.owners[e.service]
	position := o.position(e)
	if e.alive {
		p.world.clock.after(inventoryLag, func() { o.takeServer(position, e) })
		return
	}
	p.world.clock.after(time.Second, func() {
		o.believed[position].leaving = true
		o.publishServer(e)
	})
}
