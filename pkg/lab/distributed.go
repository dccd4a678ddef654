package lab

import (
	"fmt"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

// distributedPlane is the real control plane: each node runs a control.Machine with real
// membership, quorum groups and owners. The emulator executes the machines' effects against the
// emulated engines and platform.
type distributedPlane struct {
	sim       *simulation
	policy    string
	processes []*process // by node index
	addresses map[string]*process
	engines   map[api.ServerID]*emulatedEngine
	platform  *emulatedPlatform
}

// process is the control-plane part of a node.
type process struct {
	plane           *distributedPlane
	node            *node
	ref             api.NodeRef
	machine         *control.Machine
	settings        *tree.Tree
	highestRevision tree.Revision // highest revision in effect in any incarnation of the node
}

// peerPort is the port of the emulated nodes' peer listeners.
const peerPort = 7000

// newDistributedPlane returns a control plane whose nodes have not started yet.
func newDistributedPlane(sim *simulation, policyName string) (*distributedPlane, error) {
	settings, err := makeTree(sim.scenario, sim.models, policyName)
	if err != nil {
		return nil, err
	}
	plane := &distributedPlane{
		sim: sim, policy: policyName, platform: newEmulatedPlatform(sim, settings),
		addresses: make(map[string]*process), engines: make(map[api.ServerID]*emulatedEngine),
	}
	for _, e := range sim.engines {
		plane.engines[e.id] = e
	}
	for i, n := range sim.nodes {
		p := &process{plane: plane, node: n}
		p.ref = api.NodeRef{
			ID: n.id, PeerAddress: fmt.Sprintf("10.100.0.%d:%d", i+1, peerPort),
			Zone: sim.scenario.Zones[n.zone], Region: sim.scenario.Region,
		}
		plane.processes = append(plane.processes, p)
		plane.addresses[p.ref.PeerAddress] = p
	}
	return plane, nil
}

// nodeStarted implements controlPlane.
func (d *distributedPlane) nodeStarted(n *node) { d.processes[n.index].start() }

// report implements controlPlane. It passes the demand to the node's own machine.
func (d *distributedPlane) report(n *node, _ int, demand api.ModelDemand) {
	p := d.processes[n.index]
	p.schedule(0, func() { p.step(control.DemandReported{Demand: demand}) })
}

// itemChanged implements controlPlane. It does nothing, because owners learn of changes from
// inventories.
func (d *distributedPlane) itemChanged(*emulatedEngine, *model) {}

// engineChanged implements controlPlane. Owners learn of the change from the list of machines and
// from inventories.
func (d *distributedPlane) engineChanged(*emulatedEngine) { d.platform.recordMachines() }

// zonesReconnected implements controlPlane. It does nothing, because the machines recover by themselves.
func (d *distributedPlane) zonesReconnected() {}

// start starts a new incarnation of the process.
func (p *process) start() {
	sim := p.plane.sim
	p.ref.Incarnation = uint64(p.node.incarnation + 1)
	p.settings = nil
	seeds := make([]string, 0, len(p.plane.processes))
	for _, other := range p.plane.processes {
		seeds = append(seeds, other.ref.PeerAddress)
	}
	p.machine = control.New(control.Config{
		Self: p.ref, Seeds: seeds, Seed: sim.random.Uint64(),
		Decider: func(name string) policy.Decider {
			decider, _ := policy.ByName(name)
			return decider
		},
	})
	p.schedule(time.Duration(sim.random.Int64N(int64(control.TickInterval))), p.tick)
}

// schedule schedules do after a delay. It is dropped if the process dies earlier.
func (p *process) schedule(delay time.Duration, do func()) {
	incarnation := p.node.incarnation
	p.plane.sim.clock.after(delay, func() {
		p.node.handle(func() {
			if p.node.incarnation == incarnation {
				do()
			}
		})
	})
}

// tick steps the machine at every TickInterval. The chain of ticks stops while the process is
// frozen, so it misses those ticks.
func (p *process) tick() {
	p.step(control.Tick{})
	p.schedule(control.TickInterval, p.tick)
}

// step passes an event to the machine and executes the resulting effects.
func (p *process) step(event control.Event) {
	p.execute(p.machine.Step(p.plane.sim.clock.now(), event))
}

// execute executes the machine's effects.
func (p *process) execute(effects []control.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case control.SendPeer:
			p.sendPeer(e)
		case control.OrderEngine:
			p.orderEngine(e)
		case control.ReadInventory:
			p.readInventory(e)
		case control.ListMachines:
			p.listMachines()
		case control.ReadRecord:
			p.readRecord(e)
		case control.CommitRecord:
			p.commitRecord(e)
		case control.FetchTree:
			p.fetchTree(e)
		case control.PublishView:
			p.publishView(e.View)
		}
	}
}

// sendPeer sends a message to another node.
func (p *process) sendPeer(e control.SendPeer) {
	target := p.plane.addresses[e.To.PeerAddress]
	if target == nil {
		return
	}
	received := control.PeerReceived{From: p.ref, Message: e.Message}
	p.plane.sim.network.send(p.node.zone, target.node.zone, func() {
		incarnation := target.node.incarnation
		target.node.handle(func() {
			if target.node.incarnation == incarnation {
				target.step(received)
			}
		})
	})
}

// applyTree passes a tree to the machine and counts a violation if the revision in effect went back.
func (p *process) applyTree(settings *tree.Tree) {
	if settings == nil {
		return
	}
	effects := p.machine.SetTree(p.plane.sim.clock.now(), settings)
	revision := p.machine.TreeRevision()
	if revision < p.highestRevision {
		p.plane.sim.checker.violations.TreeReverts++
	}
	p.highestRevision = max(p.highestRevision, revision)
	if settings.Revision() == revision {
		p.settings = settings
	}
	p.execute(effects)
}

// fetchTree fetches a tree from a peer or from the platform.
func (p *process) fetchTree(e control.FetchTree) {
	sim := p.plane.sim
	if e.Peer == "" {
		p.call(platformZone, p.plane.platform.delay, func() (func(), bool) {
			settings, ok := p.plane.platform.newestTree()
			return func() { p.applyTree(settings) }, ok
		}, func(callFailure) {})
		return
	}
	source := p.plane.addresses[e.Peer]
	if source == nil {
		return
	}
	sim.network.send(p.node.zone, source.node.zone, func() {
		source.node.handle(func() {
			settings := source.settings
			sim.network.send(source.node.zone, p.node.zone, func() {
				p.schedule(0, func() { p.applyTree(settings) })
			})
		})
	})
}

// publishView updates the node's router from a view, for the models that changed.
func (p *process) publishView(view api.CellView) {
	leaving := make(map[api.ServerID]bool, len(view.Servers))
	for _, server := range view.Servers {
		leaving[server.ID] = server.Leaving || !server.Reachable
	}
	replicas := make(map[int][]replicaView)
	for _, replica := range view.Replicas {
		m := p.plane.sim.byName[replica.Model]
		e := p.plane.engines[replica.Server]
		if m == nil || e == nil {
			continue
		}
		replicas[m.index] = append(replicas[m.index], replicaView{
			server: e, software: e.software, state: replica.State, leaving: leaving[replica.Server], readyBy: replica.ReadyBy.Sub(epoch),
		})
	}
	for _, m := range p.plane.sim.models {
		if api.MakeCellName(p.plane.sim.scenario.Services[m.service].Name, p.ref.Region) != view.Cell {
			continue
		}
		if !sameReplicas(p.node.views[m.index], replicas[m.index]) {
			p.node.setReplicas(m.index, replicas[m.index])
		}
	}
}

// sameReplicas reports whether two views of a model are equal, apart from failed attempts.
func sameReplicas(a, b []replicaView) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.avoidUntil, y.avoidUntil = 0, 0
		if x != y {
			return false
		}
	}
	return true
}
