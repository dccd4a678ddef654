package explore

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/membership"
)

// node is a simulated process with a control machine and the runtime that carries
// out its effects.
type node struct {
	sim         *simulation
	id          api.NodeID
	zone        string
	incarnation uint64

	peerAddress       string
	machine           *control.Machine // nil while the process is down
	frozen            bool
	skew              time.Duration   // offset of its clock
	inbox             []control.Event // events that arrived while it is frozen
	digest            membership.Digest
	downAt            time.Time
	presumedDeadUntil time.Time // other nodes see it as dead until then
	tree              *settings // tree in force in this incarnation
	viewCount         int       // number of published views
	// estimates holds the last published estimate of each model.
	estimates map[api.ModelName]api.LoadEstimate
	// view is the last published view.
	view api.CellView
}

// clock returns the time on the node's own clock.
func (n *node) clock() time.Time {
	return n.sim.now.Add(n.skew)
}

func (n *node) address() string {
	return n.peerAddress
}

func (n *node) ref() api.NodeRef {
	return api.NodeRef{ID: n.id, Incarnation: n.incarnation, PeerAddress: n.address(), Zone: n.zone, Region: region}
}

// boot starts a new incarnation of the process.
func (n *node) boot() {
	n.incarnation++
	n.frozen = false
	n.inbox = nil
	n.tree = nil
	n.digest = membership.Digest{}
	n.view = api.CellView{}
	n.estimates = make(map[api.ModelName]api.LoadEstimate)
	config := control.Config{
		Self: n.ref(), Seed: n.sim.random.Uint64(), Decider: n.sim.decider, Unsafe: n.sim.unsafe,
	}
	if n.sim.ownMembership {
		config.Seeds = n.sim.seeds
	} else {
		config.Membership = &oracle{node: n, sim: n.sim}
	}
	n.machine = control.New(config)
	n.sim.tracef("%s starts, incarnation %d", n.id, n.incarnation)
	n.tick(n.incarnation)
}

func (n *node) crash() {
	n.sim.tracef("%s dies", n.id)
	n.machine = nil
	n.frozen = false
	n.inbox = nil
	n.downAt = n.sim.now
}

func (n *node) freeze(duration time.Duration) {
	n.sim.tracef("%s freezes for %v", n.id, duration)
	n.frozen = true
	incarnation := n.incarnation
	n.sim.after(duration, func() {
		if n.incarnation == incarnation && n.machine != nil {
			n.thaw()
		}
	})
}

// thaw wakes the process and handles the events that arrived while it was frozen.
func (n *node) thaw() {
	n.sim.tracef("%s wakes", n.id)
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, event := range inbox {
		n.step(event)
	}
}

func (n *node) tick(incarnation uint64) {
	if n.incarnation != incarnation || n.machine == nil {
		return
	}
	if !n.frozen {
		n.step(control.Tick{})
	}
	n.sim.after(control.TickInterval, func() { n.tick(incarnation) })
}

// deliver delivers an event to the given incarnation of the process, if it still
// runs.
func (n *node) deliver(incarnation uint64, event control.Event) {
	if n.machine == nil || n.incarnation != incarnation {
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

// useTree puts a tree in force at the node's machine.
func (n *node) useTree(incarnation uint64, next *settings) {
	if n.machine == nil || n.incarnation != incarnation || n.frozen || next == nil {
		return
	}
	effects := n.machine.SetTree(n.clock(), next)
	n.checkRevision()
	n.execute(effects)
}

// checkRevision verifies that the tree in force is never replaced by an older
// one.
func (n *node) checkRevision() {
	revision := n.machine.TreeRevision()
	if n.tree != nil && revision < n.tree.revision {
		n.sim.violate("tree of %s went back from revision %d to %d", n.id, n.tree.revision, revision)
	}
	if revision > 0 {
		n.tree = n.sim.trees[revision-1]
	}
}

// execute carries out the effects of a step.
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
			n.viewCount++
		case control.PublishEstimate:
			n.estimates[e.Estimate.Model] = e.Estimate
		case control.Log:
			n.sim.tracef("%s: %s %v", n.id, e.Message, e.Fields)
		}
	}
}

const (
	callAnswered callFailure = iota
	callUnreached
	callUnknown
)

// report reports demand of the node's routers for a model.
func (n *node) report(model api.ModelName, waiting, inFlight uint32) {
	n.deliver(n.incarnation, control.DemandReported{Demand: api.ModelDemand{
		Model: model, Arrivals: waiting, Waiting: waiting, InFlight: inFlight, LastArrival: n.sim.now,
		EarliestDeadline: n.sim.now.Add(10 * time.Second),
	}})
}
