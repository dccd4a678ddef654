package explore

import (
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
)

// latency returns a random one-way delay of a message.
func (w *simulation) latency() time.Duration {
	if w.chance(w.odds.late) {
		return w.randomDuration(100*time.Millisecond, 15*time.Second)
	}
	return w.randomDuration(time.Millisecond, 5*time.Millisecond)
}

// depart runs send when the bytes leave the process. A frozen process sends them
// after it wakes; a process that died in the meantime may still send them.
func (n *node) depart(send func()) {
	incarnation := n.incarnation
	n.sim.after(n.sim.randomDuration(0, 2*time.Millisecond), func() { n.departNow(incarnation, send) })
}

// departNow runs send, or waits while the process is frozen.
func (n *node) departNow(incarnation uint64, send func()) {
	if n.incarnation == incarnation && n.frozen {
		n.sim.after(50*time.Millisecond, func() { n.departNow(incarnation, send) })
		return
	}
	send()
}

// sendPeer delivers a message to another node unless it is lost or the link is
// cut. It may deliver it twice.
func (n *node) sendPeer(e control.SendPeer) {
	w := n.sim
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

// arrive delivers an event to the node with the given address.
func (w *simulation) arrive(address string, event control.Event) {
	for _, n := range w.nodes {
		if n.address() == address {
			n.deliver(n.incarnation, event)
		}
	}
}

// callFailure is the way in which a call failed, or callAnswered.
type callFailure int

// call performs a request to another party, possibly twice, and delivers exactly
// one answer: a result, a certain failure, or an unknown outcome.
func (n *node) call(party string, carryOut func(), answer func(failure callFailure) control.Event) {
	w := n.sim
	incarnation := n.incarnation
	reply := func(delay time.Duration, failure callFailure) {
		w.after(delay, func() { n.deliver(incarnation, answer(failure)) })
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

func (f callFailure) engineError() error {
	return f.errorOf(engine.ErrUnreachable, engine.ErrUnknownOutcome)
}

func (f callFailure) platformError() error {
	return f.errorOf(platform.ErrUnavailable, platform.ErrUnknownOutcome)
}

func (f callFailure) errorOf(unreached, unknown error) error {
	return map[callFailure]error{callUnreached: errors.WithStack(unreached), callUnknown: errors.WithStack(unknown)}[f]
}

func (n *node) orderEngine(e control.OrderEngine) {
	if n.sim.onOrder != nil {
		n.sim.onOrder(e)
	}
	given := orderContext{step: n.sim.steps}
	if n.tree != nil {
		given.limit = n.tree.model(e.Order.Model).Settings.MaxReplicas
	}
	var result engine.OrderResult
	carryOut := func(target *simEngine) { result = target.order(e.Order, given) }
	n.callEngine(e.Server, e.Address, carryOut, func(failure callFailure) control.Event {
		answered := control.OrderAnswered{Server: e.Server, Order: e.Order, Err: failure.engineError()}
		if failure == callAnswered {
			answered.Result = result
		}
		return answered
	})
}

func (n *node) readInventory(e control.ReadInventory) {
	var inventory engine.Inventory
	carryOut := func(target *simEngine) { inventory = target.inventory(e.Request) }
	n.callEngine(e.Server, e.Address, carryOut, func(failure callFailure) control.Event {
		answered := control.InventoryAnswered{Server: e.Server, Request: e.Request, Err: failure.engineError()}
		if failure == callAnswered {
			answered.Inventory = inventory
		}
		return answered
	})
}

// callEngine is call for a server's engine, which is unreachable while it is
// down.
func (n *node) callEngine(id api.ServerID, address string, carryOut func(*simEngine), answer func(callFailure) control.Event) {
	target := n.sim.server(id)
	reached := false
	carryOutIfUp := func() {
		if target != nil && !target.down {
			carryOut(target)
			reached = true
		}
	}
	n.call(address, carryOutIfUp, func(failure callFailure) control.Event {
		if failure == callAnswered && !reached {
			failure = callUnreached
		}
		return answer(failure)
	})
}

func (n *node) listMachines() {
	var list platform.MachineList
	down := false
	n.call("machines", func() { list, down = n.sim.laggingList(), n.sim.listDown }, func(failure callFailure) control.Event {
		if down {
			failure = callUnreached
		}
		return control.MachinesListed{List: list, Err: failure.platformError()}
	})
}

func (n *node) readRecord(e control.ReadRecord) {
	var record platform.Record
	read := func() (err error) {
		record, err = n.sim.table.get(e.Key)
		return err
	}
	n.callTable(read, func(err error) control.Event {
		return control.RecordRead{Key: e.Key, Record: record, Err: err}
	})
}

func (n *node) commitRecord(e control.CommitRecord) {
	commit := func() error { return n.sim.table.commit(e.Transaction) }
	n.callTable(commit, func(err error) control.Event {
		return control.RecordCommitted{Transaction: e.Transaction, Err: err}
	})
}

// callTable is call for the table service, which performs nothing while it is
// down.
func (n *node) callTable(carryOut func() error, answer func(error) control.Event) {
	var err error
	carryOutIfUp := func() {
		err = errors.WithStack(platform.ErrUnavailable)
		if !n.sim.table.down {
			err = carryOut()
		}
	}
	n.call("table", carryOutIfUp, func(failure callFailure) control.Event {
		if failure != callAnswered {
			err = failure.platformError()
		}
		return answer(err)
	})
}

// fetchTree fetches the tree of a peer or of the platform, which may return an
// older one.
func (n *node) fetchTree(e control.FetchTree) {
	w := n.sim
	incarnation := n.incarnation
	n.depart(func() {
		w.after(w.latency(), func() {
			fetched := n.fetched(e.Peer)
			w.after(w.latency(), func() { n.useTree(incarnation, fetched) })
		})
	})
}

// fetched returns the tree of a peer or of the platform, or nil if it cannot be
// read.
func (n *node) fetched(peer string) *settings {
	w := n.sim
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
