package lab

import (
	"fmt"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

// distributedPlane is the real control plane: each node runs a control.Machine
// with real membership, quorum groups and owners. The emulator carries out the
// machines' effects against the emulated engines and platform.
type distributedPlane struct {
	world     *world
	policy    string
	processes []*process // by node
	addresses map[string]*process
	engines   map[api.ServerID]*emulatedEngine
	platform  *emulatedPlatform
}

// process is the life of a node as far as its control side goes.
type process struct {
	plane    *distributedPlane
	node     *node
	ref      api.NodeRef
	machine  *control.Machine
	settings *tree.Tree
	floor    tree.Revision // highest in force in any life of the node
}

// peerPort is the port of the emulated nodes' listeners for other nodes.
const peerPort = 7000

// newDistributedPlane returns a plane whose nodes have not started.
func newDistributedPlane(w *world, policyName string) (*distributedPlane, error) {
	settings, err := makeTree(w.scenario, w.models, policyName)
	if err != nil {
		return nil, err
	}
	plane := &distributedPlane{
		world: w, policy: policyName, platform: newEmulatedPlatform(w, settings),
		addresses: make(map[string]*process), engines: make(map[api.ServerID]*emulatedEngine),
	}
	for _, e := range w.engines {
		plane.engines[e.id] = e
	}
	for i, n := range w.nodes {
		p := &process{plane: plane, node: n}
		p.ref = api.NodeRef{
			ID: n.id, PeerAddress: fmt.Sprintf("10.100.0.%d:%d", i+1, peerPort),
			Zone: w.scenario.Zones[n.zone], Region: w.scenario.Region,
		}
		plane.processes = append(plane.processes, p)
		plane.addresses[p.ref.PeerAddress] = p
	}
	return plane, nil
}

// nodeStarted implements controlPlane.
func (d *distributedPlane) nodeStarted(n *node) { d.processes[n.index].boot() }

// report implements controlPlane: demand goes to the node's own machine.
func (d *distributedPlane) report(n *node, _ int, demand api.ModelDemand) {
	p := d.processes[n.index]
	p.later(0, func() { p.step(control.DemandReported{Demand: demand}) })
}

// itemChanged implements controlPlane; owners learn of it by inventories.
func (d *distributedPlane) itemChanged(*emulatedEngine, *model) {}

// engineChanged implements controlPlane; owners learn of it by the list of
// machines and by inventories.
func (d *distributedPlane) engineChanged(*emulatedEngine) { d.platform.listMachines() }

// healed implements controlPlane; the machines' own repair is what heals.
func (d *distributedPlane) healed() {}

// boot starts a life of the process.
func (p *process) boot() {
	w := p.plane.world
	p.ref.Incarnation = uint64(p.node.lives + 1)
	p.settings = nil
	seeds := make([]string, 0, len(p.plane.processes))
	for _, other := range p.plane.processes {
		seeds = append(seeds, other.ref.PeerAddress)
	}
	p.machine = control.New(control.Config{
		Self: p.ref, Seeds: seeds, Seed: w.random.Uint64(),
		Decider: func(name string) policy.Decider {
			decider, _ := policy.ByName(name)
			return decider
		},
	})
	p.later(time.Duration(w.random.Int64N(int64(control.TickInterval))), p.tick)
}

// later lets this life of the process do something after a delay.
func (p *process) later(delay time.Duration, do func()) {
	life := p.node.lives
	p.plane.world.clock.after(delay, func() {
		p.node.handle(func() {
			if p.node.lives == life {
				do()
			}
		})
	})
}

// tick gives the machine its ticks. A frozen process misses those that it would
// have had meanwhile.
func (p *process) tick() {
	p.step(control.Tick{})
	p.later(control.TickInterval, p.tick)
}

// step gives the machine an event and carries out what it wants done.
func (p *process) step(event control.Event) {
	p.carryOut(p.machine.Step(p.plane.world.clock.now(), event))
}

// carryOut carries out the machine's effects.
func (p *process) carryOut(effects []control.Effect) {
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
	p.plane.world.network.send(p.node.zone, target.node.zone, func() {
		life := target.node.lives
		target.node.handle(func() {
			if target.node.lives == life {
				target.step(received)
			}
		})
	})
}

// useTree gives the machine a tree, and the judge what is in force now.
func (p *process) useTree(settings *tree.Tree) {
	if settings == nil {
		return
	}
	effects := p.machine.SetTree(p.plane.world.clock.now(), settings)
	revision := p.machine.TreeRevision()
	if revision < p.floor {
		p.plane.world.judge.violations.TreeReverts++
	}
	p.floor = max(p.floor, revision)
	if settings.Revision() == revision {
		p.settings = settings
	}
	p.carryOut(effects)
}

// fetchTree gets a tree from a peer or from the platform.
func (p *process) fetchTree(e control.FetchTree) {
	w := p.plane.world
	if e.Peer == "" {
		p.call(platformZone, p.plane.platform.delay, func() (func(), bool) {
			settings, ok := p.plane.platform.newestTree()
			return func() { p.useTree(settings) }, ok
		}, func(callFailure) {})
		return
	}
	source := p.plane.addresses[e.Peer]
	if source == nil {
		return
	}
	w.network.send(p.node.zone, source.node.zone, func() {
		source.node.handle(func() {
			settings := source.settings
			w.network.send(source.node.zone, p.node.zone, func() {
				p.later(0, func() { p.useTree(settings) })
			})
		})
	})
}

// publishView hands a view to the node's router, for the models that changed.
func (p *process) publishView(view api.CellView) {
	leaving := make(map[api.ServerID]bool, len(view.Servers))
	for _, server := range view.Servers {
		leaving[server.ID] = server.Leaving || !server.Reachable
	}
	replicas := make(map[int][]replicaView)
	for _, replica := range view.Replicas {
		m := p.plane.world.byName[replica.Model]
		e := p.plane.engines[replica.Server]
		if m == nil || e == nil {
			continue
		}
		replicas[m.index] = append(replicas[m.index], replicaView{
			server: e, state: replica.State, leaving: leaving[replica.Server], readyBy: replica.ReadyBy.Sub(epoch),
		})
	}
	for _, m := range p.plane.world.models {
		if api.MakeCellName(p.plane.world.scenario.Services[m.service].Name, p.ref.Region) != view.Cell {
			continue
		}
		if !sameReplicas(p.node.views[m.index], replicas[m.index]) {
			p.node.setReplicas(m.index, replicas[m.index])
		}
	}
}

// sameReplicas tells whether two views of a model say the same.
func sameReplicas(a, b []replicaView) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.avoid, y.avoid = 0, 0
		if x != y {
			return false
		}
	}
	return true
}
