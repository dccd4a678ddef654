package explore

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/control/internal/switches"
)

// isNeeded runs a scenario with all mechanisms and without each of those given: a
// promise must break without one, and only then.
func isNeeded(t *testing.T, site func(switches.Set) *world, run func(*testing.T, *world), without ...mechanism) {
	t.Helper()
	for _, m := range append([]mechanism{{name: "all mechanisms"}}, without...) {
		t.Run(m.name, func(t *testing.T) {
			w := site(m.unsafe)
			run(t, w)
			if broken, unsafe := w.failure != "", m.unsafe != (switches.Set{}); broken != unsafe {
				t.Errorf("violation %q, want one: %t", w.failure, unsafe)
			}
			t.Log(w.failure)
		})
	}
}

// scenarioSite has one model and no servers and nodes yet.
func scenarioSite(seed uint64, unsafe switches.Set) *world {
	w := newWorld(seed)
	w.unsafe = unsafe
	w.addModel("m0", "", 10, 1)
	return w
}

// TestIntentsAreNeeded: an owner that has been cut off from its group orders a
// load from a server that the next owner does not reach.
func TestIntentsAreNeeded(t *testing.T) {
	site := func(unsafe switches.Set) *world {
		w := scenarioSite(3, unsafe)
		w.addServer("s0", 23).leaving = true
		w.addServer("s1", 23)
		w.addNodes(3)
		return w
	}
	isNeeded(t, site, runCutOffOwner,
		mechanism{"orders before intents are committed", switches.Set{NoIntents: true}},
		mechanism{"intents committed without a majority", switches.Set{NoMajority: true}},
	)
}

func runCutOffOwner(t *testing.T, w *world) {
	t.Helper()
	w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site does not come up")
	w.run(5 * time.Second)
	old := w.owner()
	for _, n := range w.nodes {
		if n != old {
			w.cutFor(n.address(), old.address(), time.Minute)
			w.cutFor(n.address(), w.servers[1].address, time.Minute)
			w.keepWaiting(n, n.life)
		}
	}
	old.report("m0", 1, 0)
	w.run(500 * time.Millisecond)
	w.servers[0].leaving = false
	w.run(10 * time.Second)
	if w.failure == "" && !w.servers[0].holds("m0") {
		t.Error("the next owner does not load the model")
	}
}

// TestAdmissionIsNeeded: an owner uses a machine that is too new for the list
// that the founder of the next epoch reads. With the machine in the record the
// founder counts it; without, the model is loaded twice.
func TestAdmissionIsNeeded(t *testing.T) {
	site := func(unsafe switches.Set) *world {
		w := scenarioSite(9, unsafe)
		w.addServer("s0", 23).leaving = true
		w.addNodes(3)
		return w
	}
	isNeeded(t, site, runLateMachine, mechanism{"without admission", switches.Set{NoAdmission: true, NoVerify: true}})
}

// runLateMachine loads the model on a late machine, loses the group, and gives
// the next owner room elsewhere.
func runLateMachine(t *testing.T, w *world) {
	t.Helper()
	w.demandForAll()
	w.run(15 * time.Second)
	owner := w.owner()
	w.table.down = true
	w.addServer("s1", 23)
	if w.unsafe.NoAdmission {
		w.run(2 * time.Second)
	} else {
		w.table.down = false
	}
	w.mustReach(t, 5*time.Second, func() bool { return w.servers[1].holds("m0") }, "the late machine is not used")
	w.table.down = false
	w.cutFor(owner.address(), "table", time.Minute)
	w.listLag = 10 * time.Second
	for _, n := range w.nodes {
		if n == owner {
			continue
		}
		w.cutFor(owner.address(), n.address(), time.Minute)
		w.cutFor(n.address(), w.servers[1].address, time.Minute)
		n.crash()
		n.boot()
		w.keepWaiting(n, n.life)
	}
	w.servers[0].leaving = false
	w.run(30 * time.Second)
}

// TestVerifyIsNeeded: while a region is split, the old owner's side still has a
// majority but no platform, and the other side forms the next epoch. A machine
// that both know is reclaimed and comes back on the old side, after the new side
// has read in the list that it is gone.
func TestVerifyIsNeeded(t *testing.T) {
	site := func(unsafe switches.Set) *world {
		w := scenarioSite(4, unsafe)
		w.addServer("s0", 23)
		w.addServer("s1", 23).leaving = true
		w.addNodes(4)
		return w
	}
	isNeeded(t, site, runSplitReturn, mechanism{"without verification", switches.Set{NoVerify: true}})
}

func runSplitReturn(t *testing.T, w *world) {
	t.Helper()
	for _, n := range w.nodes {
		w.keepWaiting(n, n.life)
	}
	w.mustReach(t, 20*time.Second, func() bool { return w.ready("m0") == 1 }, "the model is not loaded")
	w.run(2 * time.Second)
	old := w.owner()
	oldSide := map[*node]bool{old: true}
	for _, n := range w.nodes {
		if len(oldSide) < 2 && n != old && isMember(n, old) {
			oldSide[n] = true
		}
	}
	for _, n := range w.nodes {
		w.splitOff(n, oldSide)
	}
	w.servers[1].leaving = false
	w.run(time.Second)
	w.reclaim(w.servers[0])
	w.mustReach(t, 30*time.Second, func() bool { return w.servers[1].holds("m0") }, "the new side does not load the model")
	w.giveBack(w.servers[0])
	w.run(10 * time.Second)
}

func isMember(n, owner *node) bool {
	for _, member := range owner.view.Members {
		if member.ID == n.id {
			return true
		}
	}
	return false
}

// splitOff cuts a node off from the other side, which alone has the platform
// and the second server.
func (w *world) splitOff(n *node, oldSide map[*node]bool) {
	const long = time.Hour
	for _, other := range w.nodes {
		if oldSide[n] != oldSide[other] {
			w.cutFor(n.address(), other.address(), long)
		}
	}
	if oldSide[n] {
		w.cutFor(n.address(), "table", long)
		w.cutFor(n.address(), "machines", long)
		w.cutFor(n.address(), w.servers[1].address, long)
	} else {
		w.cutFor(n.address(), w.servers[0].address, long)
	}
}

// TestOldListIsNotBelieved: a machine is reclaimed, comes back and is loaded on
// again, and only then a list from the time in between says that it is gone.
func TestOldListIsNotBelieved(t *testing.T) {
	site := func(unsafe switches.Set) *world {
		w := scenarioSite(8, unsafe)
		w.addServer("s0", 23)
		w.addServer("s1", 23).leaving = true
		n := w.addNode("n0", "z1")
		w.keepWaiting(n, n.life)
		return w
	}
	isNeeded(t, site, runOldList, mechanism{"old list believed", switches.Set{BelieveList: true}})
}

func runOldList(t *testing.T, w *world) {
	t.Helper()
	loaded := func() bool { return w.ready("m0") == 1 }
	w.mustReach(t, 15*time.Second, loaded, "the model is not loaded")
	w.listDown = true
	w.reclaim(w.servers[0])
	w.run(30 * time.Second)
	w.giveBack(w.servers[0])
	w.mustReach(t, 15*time.Second, loaded, "the model is not loaded again")
	w.servers[1].leaving = false
	w.run(2 * time.Second)
	w.listLag = 2*w.now.Sub(w.listing[len(w.listing)-1].AsOf) + time.Second
	w.listDown = false
	w.run(5 * time.Second)
}

// TestInstanceIsNeeded: an order of an owner that froze reaches an engine that
// has restarted since, and so has seen no fence, before the next owner has read
// the new instance's inventory.
func TestInstanceIsNeeded(t *testing.T) {
	site := func(unsafe switches.Set) *world {
		w := smallSite(2)
		w.unsafe = unsafe
		for _, n := range w.nodes {
			n.crash()
			n.boot()
		}
		return w
	}
	isNeeded(t, site, runLateOrder, mechanism{"without the instance", switches.Set{NoInstance: true}})
}

// runLateOrder keeps a copy of the order that loads m0, lets the model be
// loaded on the other server after the first one has restarted, and delivers
// the copy after another restart.
func runLateOrder(t *testing.T, w *world) {
	t.Helper()
	w.servers[1].leaving = true
	w.run(5 * time.Second)
	var late *control.OrderEngine
	w.onOrder = func(order control.OrderEngine) {
		if late == nil {
			late = &order
		}
	}
	w.keepWaiting(w.nodes[0], w.nodes[0].life)
	w.mustReach(t, 10*time.Second, func() bool { return w.servers[0].holds("m0") }, "the model is not loaded")
	w.servers[0].leaving, w.servers[1].leaving = true, false
	w.mustReach(t, 30*time.Second, func() bool { return w.servers[1].holds("m0") }, "the model is not moved")
	w.servers[0].restart()
	w.servers[0].order(late.Order, ordering{limit: 1})
}
