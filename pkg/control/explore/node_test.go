package explore

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/membership"
)

// node is a process with a machine, and the runtime that carries out effects.
type node struct {
	world *world
	id    api.NodeID
	zone  string
	life  uint64

	peerAddress string
	machine     *control.Machine // nil while the process is down
	frozen      bool
	skew        time.Duration   // of its clock
	inbox       []control.Event // while frozen
	digest      membership.Digest
	downAt      time.Time
	presumed    time.Time // looks dead to others until then
	tree        *settings // in force in this life
	views       int
	estimate    map[api.ModelName]api.LoadEstimate
	view        api.CellView
}

// clock is the time as the node sees it.
func (n *node) clock() time.Time {
	return n.world.now.Add(n.skew)
}

func (n *node) address() string {
	return n.peerAddress
}

func (n *node) ref() api.NodeRef {
	return api.NodeRef{ID: n.id, Incarnation: n.life, PeerAddress: n.address(), Zone: n.zone, Region: region}
}

// boot starts a new life of the process.
func (n *node) boot() {
	n.life++
	n.frozen = false
	n.inbox = nil
	n.tree = nil
	n.digest = membership.Digest{}
	n.view = api.CellView{}
	n.estimate = make(map[api.ModelName]api.LoadEstimate)
	config := control.Config{
		Self: n.ref(), Seed: n.world.random.Uint64(), Decider: n.world.decider, Unsafe: n.world.unsafe,
	}
	if n.world.ownMembership {
		config.Seeds = n.world.seeds
	} else {
		config.Membership = &oracle{node: n, world: n.world}
	}
	n.machine = control.New(config)
	n.world.note("%s starts, life %d", n.id, n.life)
	n.tick(n.life)
}

func (n *node) crash() {
	n.world.note("%s dies", n.id)
	n.machine = nil
	n.frozen = false
	n.inbox = nil
	n.downAt = n.world.now
}

func (n *node) freeze(duration time.Duration) {
	n.world.note("%s freezes for %v", n.id, duration)
	n.frozen = true
	life := n.life
	n.world.after(duration, func() {
		if n.life == life && n.machine != nil {
			n.thaw()
		}
	})
}

// thaw handles what arrived meanwhile.
func (n *node) thaw() {
	n.world.note("%s wakes", n.id)
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, event := range inbox {
		n.step(event)
	}
}

func (n *node) tick(life uint64) {
	if n.life != life || n.machine == nil {
		return
	}
	if !n.frozen {
		n.step(control.Tick{})
	}
	n.world.after(control.TickInterval, func() { n.tick(life) })
}

// deliver gives an event to the life of the process that it is for.
func (n *node) deliver(life uint64, event control.Event) {
	if n.machine == nil || n.life != life {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, event)
		return
	}
	n.step(event)
}

func (n *node) step(event control.Event) {
	if n.machine == nil {
		return
	}
	n.execute(n.machine.Step(n.clock(), event))
	n.checkRevision()
}

// useTree gives the machine a tree.
func (n *node) useTree(life uint64, next *settings) {
	if n.machine == nil || n.life != life || n.frozen || next == nil {
		return
	}
	effects := n.machine.SetTree(n.clock(), next)
	n.checkRevision()
	n.execute(effects)
}

// checkRevision verifies that the tree in force never goes back.
func (n *node) checkRevision() {
	revision := n.machine.TreeRevision()
	if n.tree != nil && revision < n.tree.revision {
		n.world.fail("tree of %s went back from revision %d to %d", n.id, n.tree.revision, revision)
	}
	if revision > 0 {
		n.tree = n.world.trees[revision-1]
	}
}

func (n *node) execute(effects []control.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case control.SendPeer:
			n.sendPeer(e)
		case control.OrderEngine:
			n.orderEngine(e)
		case control.ReadInventory:
			n.readInventory(e)
		case control.ListMachines:
			n.listMachines()
		case control.ReadRecord:
			n.readRecord(e)
		case control.CommitRecord:
			n.commitRecord(e)
		case control.FetchTree:
			n.fetchTree(e)
		case control.PublishView:
			n.view = e.View
			n.views++
		case control.PublishEstimate:
			n.estimate[e.Estimate.Model] = e.Estimate
		case control.Log:
			n.world.note("%s: %s %v", n.id, e.Message, e.Fields)
		}
	}
}

const (
	callAnswered callFailure = iota
	callUnreached
	callUnknown
)

// report gives the machine demand of its routers.
func (n *node) report(model api.ModelName, waiting, inFlight uint32) {
	n.deliver(n.life, control.DemandReported{Demand: api.ModelDemand{
		Model: model, Arrivals: waiting, Waiting: waiting, InFlight: inFlight, LastArrival: n.world.now,
		EarliestDeadline: n.world.now.Add(10 * time.Second),
	}})
}
