package explore

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/control/internal/switches"
)

// expectNeeded runs a scenario with all mechanisms and without each of those
// given. An invariant must be violated exactly when a mechanism is disabled.
func expectNeeded(t *testing.T, site func(switches.Set) *simulation, run func(*testing.T, *simulation), without ...mechanism) {
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

// scenarioSite returns a site with one model and without servers and nodes.
func scenarioSite(seed uint64, unsafe switches.Set) *simulation {
	w := newSimulation(seed)
	w.unsafe = unsafe
	w.addModel("m0", "", 10, 1)
	return w
}

// TestIntentsAreNeeded covers an owner that is partitioned from its group and
// orders a load on a server that the next owner cannot reach.
func TestIntentsAreNeeded(t *testing.T) {
	site := func(unsafe switches.Set) *simulation {
		w := scenarioSite(3, unsafe)
		w.addServer("s0", 23).leaving = true
		w.addServer("s1", 23)
		w.addNodes(3)
		return w
	}
	expectNeeded(t, site, runCutOffOwner,
		mechanism{"orders before intents are committed", switches.Set{NoIntents: true}},
		mechanism{"intents committed without a majority", switches.Set{NoMajority: true}},
	)
}

// runCutOffOwner cuts the owner off from the other nodes, which then load the
// model elsewhere.
func runCutOffOwner(t *testing.T, w *simulation) {
	t.Helper()
	w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site did not come up")
	w.run(5 * time.Second)
	old := w.owner()
	for _, n := range w.nodes {
		if n != old {
			w.cutFor(n.address(), old.address(), time.Minute)
			w.cutFor(n.address(), w.servers[1].address, time.Minute)
			w.keepWaiting(n, n.incarnation)
		}
	}
	old.report("m0", 1, 0)
	w.run(500 * time.Millisecond)
	w.servers[0].leaving = false
	w.run(10 * time.Second)
	if w.failure == "" && !w.servers[0].holds("m0") {
		t.Error("the next owner did not load the model")
	}
}

// TestAdmissionIsNeeded covers an owner that uses a machine too new for the
// machine list that the founder of the next epoch reads. If the machine is in the
// record, the founder counts it; otherwise the model is loaded twice.
func TestAdmissionIsNeeded(t *testing.T) {
	site := func(unsafe switches.Set) *simulation {
		w := scenarioSite(9, unsafe)
		w.addServer("s0", 23).leaving = true
		w.addNodes(3)
		return w
	}
	expectNeeded(t, site, runLateMachine, mechanism{"without admission", switches.Set{NoAdmission: true, NoVerify: true}})
}

// runLateMachine loads the model on a new machine, makes the cell lose its group,
// and gives the next owner free capacity elsewhere.
func runLateMachine(t *testing.T, w *simulation) {
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
	w.mustReach(t, 5*time.Second, func() bool { return w.servers[1].holds("m0") }, "the new machine was not used")
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
		w.keepWaiting(n, n.incarnation)
	}
	w.servers[0].leaving = false
	w.run(30 * time.Second)
}

// TestVerifyIsNeeded covers a split region in which the old owner's side keeps a
// majority but cannot reach the platform, while the other side forms the next
// epoch. A machine known to both sides is reclaimed and comes back on the old
// side, after the new side has read in the machine list that it is gone.
func TestVerifyIsNeeded(t *testing.T) {
	site := func(unsafe switches.Set) *simulation {
		w := scenarioSite(4, unsafe)
		w.addServer("s0", 23)
		w.addServer("s1", 23).leaving = true
		w.addNodes(4)
		return w
	}
	expectNeeded(t, site, runSplitReturn, mechanism{"without verification", switches.Set{NoVerify: true}})
}

// runSplitReturn splits the region, reclaims the server with the model and brings
// it back.
func runSplitReturn(t *testing.T, w *simulation) {
	t.Helper()
	for _, n := range w.nodes {
		w.keepWaiting(n, n.incarnation)
	}
	w.mustReach(t, 20*time.Second, func() bool { return w.ready("m0") == 1 }, "the model was not loaded")
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
	w.mustReach(t, 30*time.Second, func() bool { return w.servers[1].holds("m0") }, "the new side did not load the model")
	w.bringBack(w.servers[0])
	w.run(10 * time.Second)
}

// isMember reports whether the owner's view names the node as a member of the
// group.
func isMember(n, owner *node) bool {
	for _, member := range owner.view.Members {
		if member.ID == n.id {
			return true
		}
	}
	return false
}

// splitOff cuts a node off from the nodes and the server of the other side. Only
// the new side reaches the platform and the second server.
func (w *simulation) splitOff(n *node, oldSide map[*node]bool) {
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

// TestOldListIsNotBelieved covers a machine that is reclaimed, comes back and is
// loaded on again. Only then does the owner read a machine list from the time in
// between, which reports the machine gone.
func TestOldListIsNotBelieved(t *testing.T) {
	site := func(unsafe switches.Set) *simulation {
		w := scenarioSite(8, unsafe)
		w.addServer("s0", 23)
		w.addServer("s1", 23).leaving = true
		n := w.addNode("n0", "z1")
		w.keepWaiting(n, n.incarnation)
		return w
	}
	expectNeeded(t, site, runOldList, mechanism{"old list believed", switches.Set{TrustOldList: true}})
}

// runOldList lets the machine vanish and come back while the list is down, and
// then makes the list lag.
func runOldList(t *testing.T, w *simulation) {
	t.Helper()
	loaded := func() bool { return w.ready("m0") == 1 }
	w.mustReach(t, 15*time.Second, loaded, "the model was not loaded")
	w.listDown = true
	w.reclaim(w.servers[0])
	w.run(30 * time.Second)
	w.bringBack(w.servers[0])
	w.mustReach(t, 15*time.Second, loaded, "the model was not loaded again")
	w.servers[1].leaving = false
	w.run(2 * time.Second)
	w.listLag = 2*w.now.Sub(w.listHistory[len(w.listHistory)-1].AsOf) + time.Second
	w.listDown = false
	w.run(5 * time.Second)
}

// TestInstanceIsNeeded covers an order of a frozen owner that reaches an engine
// after the engine has restarted and so has no fence yet, before the next owner
// has read the new instance's inventory.
func TestInstanceIsNeeded(t *testing.T) {
	site := func(unsafe switches.Set) *simulation {
		w := smallSite(2)
		w.unsafe = unsafe
		for _, n := range w.nodes {
			n.crash()
			n.boot()
		}
		return w
	}
	expectNeeded(t, site, runLateOrder, mechanism{"without the instance", switches.Set{NoInstance: true}})
}

// runLateOrder keeps a copy of the order that loads m0, moves the model to the
// other server, restarts the first server and delivers the copy to it.
func runLateOrder(t *testing.T, w *simulation) {
	t.Helper()
	w.servers[1].leaving = true
	w.run(5 * time.Second)
	var late *control.OrderEngine
	w.onOrder = func(order control.OrderEngine) {
		if late == nil {
			late = &order
		}
	}
	w.keepWaiting(w.nodes[0], w.nodes[0].incarnation)
	w.mustReach(t, 10*time.Second, func() bool { return w.servers[0].holds("m0") }, "the model was not loaded")
	w.servers[0].leaving, w.servers[1].leaving = true, false
	w.mustReach(t, 30*time.Second, func() bool { return w.servers[1].holds("m0") }, "the model was not moved")
	w.servers[0].restart()
	w.servers[0].order(late.Order, orderContext{limit: 1})
}
