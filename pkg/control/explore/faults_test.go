package explore

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/platform"
)

// siteFault is a fault injected while a load is in progress.
type siteFault struct {
	name  string
	cause func(w *simulation)
}

// siteFaults are the faults under which the replica limit and the memory limit
// must hold, each alone and in pairs. TestMechanismsAreNeeded shows which
// violations occur without the safety mechanisms.
var siteFaults = []siteFault{
	{"owner dies mid-load", func(w *simulation) {
		owner := w.owner()
		owner.crash()
		w.after(6*time.Second, func() { w.bootIfDown(owner) })
	}},
	{"owner frozen with orders in its buffers", func(w *simulation) {
		w.owner().report("m2", 1, 0)
		w.owner().freeze(8 * time.Second)
	}},
	{"two owners at once", func(w *simulation) {
		owner := w.owner()
		for _, n := range w.nodes {
			w.cutFor(owner.address(), n.address(), 8*time.Second)
		}
	}},
	{"orders and messages lost", func(w *simulation) { w.withOdds(6*time.Second, odds{lost: 0.3}) }},
	{"answers lost after the effect", func(w *simulation) { w.withOdds(6*time.Second, odds{answerLost: 0.5}) }},
	{"orders late", func(w *simulation) { w.withOdds(6*time.Second, odds{late: 0.5}) }},
	{"orders twice", func(w *simulation) { w.withOdds(6*time.Second, odds{duplicated: 0.5}) }},
	{"replica limit lowered while a request waits", func(w *simulation) {
		w.edit("m0", 0)
		w.nodes[1].useTree(w.nodes[1].incarnation, w.newest())
		w.nodes[2].report("m0", 1, 0)
		w.after(3*time.Second, func() { w.edit("m0", 1) })
	}},
	{"engines unreachable for the next owner", func(w *simulation) {
		for _, n := range w.nodes {
			if n != w.owner() {
				w.cutFor(n.address(), w.servers[0].address, 8*time.Second)
			}
		}
	}},
	{"table service down", func(w *simulation) {
		w.table.down, w.treeDown = true, true
		w.after(20*time.Second, func() { w.table.down, w.treeDown = false, false })
	}},
	{"group lost and formed anew", func(w *simulation) {
		owner := w.owner()
		for _, n := range w.nodes {
			if n != owner {
				n.crash()
				w.after(time.Second, func() { w.bootIfDown(n) })
				w.cutFor(owner.address(), n.address(), 20*time.Second)
			}
		}
	}},
	{"engine restarts with nothing", func(w *simulation) { w.servers[0].restart() }},
	{"loads fail", func(w *simulation) { w.withOdds(6*time.Second, odds{loadFails: 0.7}) }},
	{"machine vanishes and comes back", func(w *simulation) {
		w.reclaim(w.servers[0])
		w.after(5*time.Second, func() { w.bringBack(w.servers[0]) })
	}},
	{"list of machines lags", func(w *simulation) {
		w.listLag = 6 * time.Second
		w.after(20*time.Second, func() { w.listLag = 0 })
	}},
	{"list of machines down", func(w *simulation) {
		w.listDown = true
		w.after(20*time.Second, func() { w.listDown = false })
	}},
}

// TestFaultsAndPairs injects each fault and each pair of faults while models that
// fill the memory are being loaded. No invariant may be violated, and a waiting
// model must be served in the end.
func TestFaultsAndPairs(t *testing.T) {
	for first := range siteFaults {
		for second := first; second < len(siteFaults); second++ {
			name := siteFaults[first].name
			if second != first {
				name += " and " + siteFaults[second].name
			}
			t.Run(name, func(t *testing.T) { runFaults(t, first, second) })
		}
	}
}

func runFaults(t *testing.T, first, second int) {
	w := smallSite(uint64(first*len(siteFaults) + second))
	w.demandForAll()
	w.mustReach(t, 15*time.Second, func() bool { return w.servers[0].holds("m0") || w.servers[1].holds("m0") }, "no load began")
	siteFaults[first].cause(w)
	if second != first {
		w.run(w.randomDuration(0, 3*time.Second))
		if w.owner() != nil {
			siteFaults[second].cause(w)
		}
	}
	w.run(25 * time.Second)
	if w.newest().model("m0").Settings.MaxReplicas == 0 {
		w.edit("m0", 1)
	}
	if !w.runUntil(2*time.Minute, func() bool { return w.ready("m0") == 1 }) {
		t.Error("the waiting model was not served after the faults")
	}
	printTrace(t, w)
}

// smallSite returns a site with three models, three nodes in three zones and two
// servers, each with memory for two of the models.
func smallSite(seed uint64) *simulation {
	w := newSimulation(seed)
	w.addModel("m0", "", 10, 1)
	w.addModel("m1", "", 10, 2)
	w.addModel("m2", "", 10, 1)
	w.addServer("s0", 23)
	w.addServer("s1", 23)
	w.addNodes(3)
	return w
}

// demandForAll reports a waiting request for each model at one of the nodes, once
// per second.
func (w *simulation) demandForAll() {
	for index, model := range w.models {
		w.nodes[index%len(w.nodes)].report(model, 1, 0)
	}
	w.after(time.Second, w.demandForAll)
}

// withOdds injects faults with the given odds for a while.
func (w *simulation) withOdds(duration time.Duration, faulty odds) {
	w.odds = faulty
	w.after(duration, func() { w.odds = odds{} })
}

// TestLeavingServerIsKnownEverywhere measures the time from the moment that the
// platform or the engine knows that a server leaves until the routers of every
// node know it. The target is two seconds.
func TestLeavingServerIsKnownEverywhere(t *testing.T) {
	const target = 2 * time.Second
	cases := []struct {
		name  string
		leave func(w *simulation)
	}{
		{"announced by the platform", func(w *simulation) { w.listLeaving(w.servers[0]) }},
		{"announced by the engine", func(w *simulation) { w.servers[0].leaving = true }},
		{"announced by the engine while the list lags", func(w *simulation) {
			w.listLag = 30 * time.Second
			w.servers[0].leaving = true
		}},
		{"announced by the engine while the list is down", func(w *simulation) {
			w.listDown = true
			w.servers[0].leaving = true
		}},
		{"announced by the platform while the engine is unreachable", func(w *simulation) {
			w.servers[0].down = true
			w.listLeaving(w.servers[0])
		}},
		{"a node missed the owner's view", func(w *simulation) {
			missed := w.notOwner()
			w.cutFor(w.owner().address(), missed.address(), time.Minute)
			w.servers[0].leaving = true
		}},
		{"the table service is down", func(w *simulation) {
			w.table.down = true
			w.servers[0].leaving = true
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := smallSite(7)
			w.demandForAll()
			w.mustReach(t, 15*time.Second, func() bool { return w.ready("m0") == 1 }, "the site did not come up")
			w.run(2 * time.Second)
			began := w.now
			c.leave(w)
			if !w.runUntil(target, func() bool { return w.allKnowLeaving("s0") }) {
				t.Errorf("not every node knows within %v that the server leaves", target)
			}
			t.Logf("all nodes know after %v", w.now.Sub(began))
			w.run(10 * time.Second)
			printTrace(t, w)
		})
	}
}

// TestVanishedMachineIsReplaced checks that a machine that vanishes without notice
// is shown as unreachable, and that its models are loaded elsewhere once the
// machine list reports it gone.
func TestVanishedMachineIsReplaced(t *testing.T) {
	w := smallSite(3)
	w.addServer("s2", 23)
	w.demandForAll()
	w.mustReach(t, 15*time.Second, func() bool { return w.ready("m0") == 1 }, "the site did not come up")
	held := w.servers[0]
	if !held.holds("m0") {
		held = w.servers[1]
	}
	began := w.now
	w.reclaim(held)
	if !w.runUntil(5*time.Second, func() bool { return w.allSeeUnreachable(held.id) }) {
		t.Error("not every node sees the machine as unreachable")
	}
	t.Logf("all nodes see it as unreachable after %v", w.now.Sub(began))
	if !w.runUntil(30*time.Second, func() bool { return w.ready("m0") == 1 }) {
		t.Error("the model was not loaded elsewhere")
	}
	t.Logf("loaded elsewhere after %v", w.now.Sub(began))
	printTrace(t, w)
}

// listLeaving makes the platform list the server as leaving.
func (w *simulation) listLeaving(e *simEngine) {
	e.machine = platform.MachineLeaving
	w.listMachines()
}

// notOwner returns a node that does not own the cell.
func (w *simulation) notOwner() *node {
	for _, n := range w.nodes {
		if n != w.owner() {
			return n
		}
	}
	return nil
}

func (w *simulation) allKnowLeaving(id api.ServerID) bool {
	return w.allViews(id, func(server api.ServerView) bool { return server.Leaving })
}

func (w *simulation) allSeeUnreachable(id api.ServerID) bool {
	return w.allViews(id, func(server api.ServerView) bool { return !server.Reachable })
}

// allViews reports whether every node has a view and, where a view has the
// server, the condition holds for it.
func (w *simulation) allViews(id api.ServerID, condition func(api.ServerView) bool) bool {
	for _, n := range w.nodes {
		if len(n.view.Servers) == 0 {
			return false
		}
		for _, server := range n.view.Servers {
			if server.ID == id && !condition(server) {
				return false
			}
		}
	}
	return true
}
