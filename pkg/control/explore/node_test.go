package explore

import (
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/tree"
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

// latency is the one-way delay of a message.
func (w *world) latency() time.Duration {
	if w.chance(w.odds.late) {
		return w.between(100*time.Millisecond, 15*time.Second)
	}
	return w.between(time.Millisecond, 5*time.Millisecond)
}

// depart runs send when the bytes leave the process, which is after it wakes if
// it froze meanwhile. They may leave even if the process has died since.
func (n *node) depart(send func()) {
	life := n.life
	n.world.after(n.world.between(0, 2*time.Millisecond), func() { n.departNow(life, send) })
}

func (n *node) departNow(life uint64, send func()) {
	if n.life == life && n.frozen {
		n.world.after(50*time.Millisecond, func() { n.departNow(life, send) })
		return
	}
	send()
}

func (n *node) sendPeer(e control.SendPeer) {
	w := n.world
	if w.onSend != nil {
		w.onSend(n, e)
	}
	from := n.ref()
	n.depart(func() {
		copies := 1
		if w.chance(w.odds.duplicated) {
			copies = 2
		}
		for range copies {
			if w.chance(w.odds.lost) || w.cut(n.address(), e.To.PeerAddress) {
				continue
			}
			w.after(w.latency(), func() { w.arrive(e.To.PeerAddress, control.PeerReceived{From: from, Message: e.Message}) })
		}
	})
}

func (w *world) arrive(address string, event control.Event) {
	for _, n := range w.nodes {
		if n.address() == address {
			n.deliver(n.life, event)
		}
	}
}

// call carries out a request to another party and gives exactly one answer:
// its result, a surely failed call, or an unknown outcome.
func (n *node) call(party string, carryOut func(), answer func(failure callFailure) control.Event) {
	w := n.world
	life := n.life
	reply := func(delay time.Duration, failure callFailure) {
		w.after(delay, func() { n.deliver(life, answer(failure)) })
	}
	n.depart(func() {
		if w.cut(n.address(), party) {
			reply(time.Millisecond, callUnreached)
			return
		}
		if w.chance(w.odds.lost) {
			reply(callTimeout, callUnknown)
			return
		}
		if w.chance(w.odds.duplicated) {
			w.after(w.latency(), carryOut)
		}
		w.after(w.latency(), func() {
			carryOut()
			if w.chance(w.odds.answerLost) || w.cut(n.address(), party) {
				reply(callTimeout, callUnknown)
				return
			}
			reply(w.latency(), callAnswered)
		})
	})
}

type callFailure int

const (
	callAnswered callFailure = iota
	callUnreached
	callUnknown
)

func (f callFailure) engineError() error {
	switch f {
	case callUnreached:
		return errors.WithStack(engine.ErrUnreachable)
	case callUnknown:
		return errors.WithStack(engine.ErrUnknownOutcome)
	}
	return nil
}

func (f callFailure) platformError() error {
	switch f {
	case callUnreached:
		return errors.WithStack(platform.ErrUnavailable)
	case callUnknown:
		return errors.WithStack(platform.ErrUnknownOutcome)
	}
	return nil
}

func (n *node) orderEngine(e control.OrderEngine) {
	target := n.world.server(e.Server)
	if n.world.onOrder != nil {
		n.world.onOrder(e)
	}
	given := ordering{issued: n.world.steps}
	if n.tree != nil {
		given.limit = n.tree.model(e.Order.Model).Settings.MaxReplicas
	}
	var result engine.OrderResult
	reached := false
	carryOut := func() {
		if target != nil && !target.down {
			result = target.order(e.Order, given)
			reached = true
		}
	}
	n.call(e.Address, carryOut, func(failure callFailure) control.Event {
		if failure == callAnswered && !reached {
			failure = callUnreached
		}
		answered := control.OrderAnswered{Server: e.Server, Order: e.Order, Err: failure.engineError()}
		if failure == callAnswered {
			answered.Result = result
		}
		return answered
	})
}

func (n *node) readInventory(e control.ReadInventory) {
	target := n.world.server(e.Server)
	var inventory engine.Inventory
	reached := false
	carryOut := func() {
		if target != nil && !target.down {
			inventory = target.inventory(e.Request)
			reached = true
		}
	}
	n.call(e.Address, carryOut, func(failure callFailure) control.Event {
		if failure == callAnswered && !reached {
			failure = callUnreached
		}
		answered := control.InventoryAnswered{Server: e.Server, Request: e.Request, Err: failure.engineError()}
		if failure == callAnswered {
			answered.Inventory = inventory
		}
		return answered
	})
}

func (n *node) listMachines() {
	var list platform.MachineList
	down := false
	n.call("machines", func() { list, down = n.world.laggingList(), n.world.listDown }, func(failure callFailure) control.Event {
		if down {
			failure = callUnreached
		}
		return control.MachinesListed{List: list, Err: failure.platformError()}
	})
}

func (n *node) readRecord(e control.ReadRecord) {
	var record platform.Record
	var err error
	n.call("table", func() {
		record, err = n.world.table.get(e.Key)
		if n.world.table.down {
			err = errors.WithStack(platform.ErrUnavailable)
		}
	}, func(failure callFailure) control.Event {
		if failure != callAnswered {
			err = failure.platformError()
		}
		return control.RecordRead{Key: e.Key, Record: record, Err: err}
	})
}

func (n *node) commitRecord(e control.CommitRecord) {
	var err error
	n.call("table", func() {
		if n.world.table.down {
			err = errors.WithStack(platform.ErrUnavailable)
			return
		}
		err = n.world.table.commit(e.Transaction)
	}, func(failure callFailure) control.Event {
		if failure != callAnswered {
			err = failure.platformError()
		}
		return control.RecordCommitted{Transaction: e.Transaction, Err: err}
	})
}

// fetchTree brings the tree of a peer, or one of the platform, which may be
// stale.
func (n *node) fetchTree(e control.FetchTree) {
	w := n.world
	life := n.life
	n.depart(func() {
		w.after(w.latency(), func() {
			fetched := n.fetched(e.Peer)
			w.after(w.latency(), func() { n.useTree(life, fetched) })
		})
	})
}

func (n *node) fetched(peer string) *settings {
	w := n.world
	if peer == "" {
		if w.treeDown || w.cut(n.address(), "table") {
			return nil
		}
		stale := min(len(w.trees)-1, w.random.IntN(2))
		return w.trees[len(w.trees)-1-stale]
	}
	for _, other := range w.nodes {
		if other.address() == peer && other.machine != nil && !w.cut(n.address(), peer) {
			return other.tree
		}
	}
	return nil
}

// report gives the machine demand of its routers.
func (n *node) report(model api.ModelName, waiting, inFlight uint32) {
	n.deliver(n.life, control.DemandReported{Demand: api.ModelDemand{
		Model: model, Arrivals: waiting, Waiting: waiting, InFlight: inFlight, LastArrival: n.world.now,
		EarliestDeadline: n.world.now.Add(10 * time.Second),
	}})
}

// oracle is a membership that knows the truth with a delay, and is wrong about
// nodes that the schedule says look dead.
type oracle struct {
	node  *node
	world *world
}

const deathDelay = 2 * time.Second

func (o *oracle) Tick(time.Time) []membership.Packet                      { return nil }
func (o *oracle) Receive(time.Time, api.NodeRef, any) []membership.Packet { return nil }
func (o *oracle) Leave(time.Time) []membership.Packet                     { return nil }
func (o *oracle) SetDigest(digest membership.Digest)                      { o.node.digest = digest }

func (o *oracle) Members() []membership.Member {
	var members []membership.Member
	for _, n := range o.world.nodes {
		if n.life == 0 {
			continue
		}
		state := membership.StateAlive
		if n.machine == nil && o.world.now.Sub(n.downAt) > deathDelay {
			state = membership.StateDead
		}
		if n != o.node && (o.world.now.Before(n.presumed) || o.world.cut(o.node.address(), n.address())) {
			state = membership.StateDead
		}
		members = append(members, membership.Member{Ref: n.ref(), State: state, Since: o.world.now})
	}
	return members
}

func (o *oracle) Digest(id api.NodeID) (membership.Digest, bool) {
	for _, n := range o.world.nodes {
		if n.id == id && n.machine != nil && !o.world.cut(o.node.address(), n.address()) {
			return n.digest, true
		}
	}
	return membership.Digest{}, false
}

var _ tree.Revision
