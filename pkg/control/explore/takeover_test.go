package explore

import (
	"slices"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
)

// ownSite returns a small site whose machines use package membership.
func ownSite(seed uint64, nodes int) *simulation {
	w := newSimulation(seed)
	w.ownMembership = true
	w.addModel("m0", "", 10, 1)
	w.addModel("m1", "", 10, 2)
	w.addServer("s0", 23)
	w.addServer("s1", 23)
	w.seeds = []string{"node/n0", "node/n1"}
	w.addNodes(nodes)
	return w
}

// takeover crashes the owner while a request for an unloaded model waits. It
// returns the times until all nodes know the next owner and until that owner has
// ordered the model's load.
func takeover(t *testing.T, w *simulation, prepare func(w *simulation), place int) (owned, served time.Duration) {
	t.Helper()
	w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site did not come up")
	w.run(5 * time.Second)
	prepare(w)
	began := w.now
	old := w.owner()
	old.crash()
	waiting := w.aliveNodes()[place]
	w.keepWaiting(waiting, waiting.incarnation)
	w.mustReach(t, 30*time.Second, w.allKnowOwner, "no node took over")
	owned = w.now.Sub(began)
	w.mustReach(t, 30*time.Second, func() bool { return w.holders("m0") > 0 }, "the new owner did not load the waiting model")
	return owned, w.now.Sub(began)
}

// keepWaiting reports a waiting request for m0 once per second while the given
// incarnation of the node runs.
func (w *simulation) keepWaiting(n *node, incarnation uint64) {
	if n.incarnation == incarnation && n.machine != nil {
		n.report("m0", 1, 0)
		w.after(time.Second, func() { w.keepWaiting(n, incarnation) })
	}
}

func (w *simulation) aliveNodes() []*node {
	var alive []*node
	for _, n := range w.nodes {
		if n.machine != nil {
			alive = append(alive, n)
		}
	}
	return alive
}

// holders returns the number of engines that hold a model.
func (w *simulation) holders(model api.ModelName) int {
	count := 0
	for _, e := range w.servers {
		if e.holds(model) {
			count++
		}
	}
	return count
}

// allKnowOwner reports whether the views of all live nodes name the owner.
func (w *simulation) allKnowOwner() bool {
	owner := w.owner()
	for _, n := range w.nodes {
		if n.machine != nil && (owner == nil || n.view.Leader.ID != owner.id) {
			return false
		}
	}
	return owner != nil
}

// TestTakeover measures the takeover after the owner crashed, with the platform
// up and down.
func TestTakeover(t *testing.T) {
	const limit = 2 * time.Second
	cases := []struct {
		name    string
		prepare func(w *simulation)
		place   int // index of the node with the waiting request among the live nodes
	}{
		{"platform up", func(*simulation) {}, 0},
		{"platform up, waiting at another node", func(*simulation) {}, 1},
		{"platform up, waiting at a third node", func(*simulation) {}, 2},
		{"table service down", func(w *simulation) { w.table.down, w.treeDown = true, true }, 0},
		{"whole platform down for an hour", func(w *simulation) {
			w.table.down, w.treeDown, w.listDown = true, true, true
			w.run(time.Hour)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := ownSite(11, 4)
			w.tracing = false
			owned, served := takeover(t, w, c.prepare, c.place)
			t.Logf("owned and known everywhere after %v, waiting model ordered after %v", owned, served)
			if served > limit {
				t.Errorf("the waiting model is ordered after %v, want at most %v", served, limit)
			}
			if w.failure != "" {
				t.Error(w.failure)
			}
		})
	}
}

// TestOwnersFailOverRepeatedly crashes one owner after the other while the table
// service is down. The group itself must replace each dead member.
func TestOwnersFailOverRepeatedly(t *testing.T) {
	w := ownSite(5, 6)
	w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site did not come up")
	w.run(3 * time.Second)
	w.table.down, w.treeDown = true, true
	for round := range 4 {
		w.owner().crash()
		if !w.runUntil(20*time.Second, w.allKnowOwner) {
			t.Fatalf("no node took over in round %d", round)
		}
		w.run(8 * time.Second)
	}
	printTrace(t, w)
}

// TestPlannedStop checks that a stopping owner hands over before it exits, which
// is faster than the detection of a dead node.
func TestPlannedStop(t *testing.T) {
	w := ownSite(6, 4)
	w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site did not come up")
	w.run(3 * time.Second)
	old := w.owner()
	began := w.now
	old.step(control.StopRequested{})
	if !w.runUntil(5*time.Second, old.machine.Stopped) {
		t.Error("the node did not stop within 5s")
	}
	t.Logf("stopped after %v", w.now.Sub(began))
	if owner := w.owner(); owner == nil || owner == old {
		t.Error("the cell was not handed over before the stop")
	}
	old.crash()
	w.run(time.Second)
	if !w.allKnowOwner() {
		t.Error("not all nodes know the new owner a second after the stop")
	}
	printTrace(t, w)
}

// TestPlannedStopsInTurn stops the nodes of a small site one after the other. No
// group may add a node that is stopping, so that each stop is fast except the
// last one, which has no node to hand over to.
func TestPlannedStopsInTurn(t *testing.T) {
	const seeds, atOnce = 60, 3 * time.Second
	for seed := range uint64(seeds) {
		w := ownSite(seed, 3)
		w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site did not come up")
		w.run(3*time.Second + time.Duration(seed)*17*time.Millisecond)
		for range 2 {
			n := w.owner()
			if n == nil {
				t.Errorf("seed %d: no node owns the cell", seed)
				break
			}
			began := w.now
			n.step(control.StopRequested{})
			if !w.runUntil(20*time.Second, n.machine.Stopped) || w.now.Sub(began) > atOnce {
				t.Errorf("seed %d: %s stopped after %v", seed, n.address(), w.now.Sub(began))
			}
			w.run(10 * time.Millisecond)
			n.crash()
			w.run(500 * time.Millisecond)
		}
	}
}

// TestIdleReplicaOnASilentServerIsNeverDrained guards against new owners that keep an idle replica in service for as
// long as they can't read its server's inventory.
func TestIdleReplicaOnASilentServerIsNeverDrained(t *testing.T) {
	const seeds, limit = 20, 15 * time.Second // the keep-alive of 5 s, a takeover, and the time to learn of uses
	for seed := range uint64(seeds) {
		w := ownSite(seed, 3)
		w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site did not come up")
		w.nodes[0].report("m0", 1, 0)
		w.mustReach(t, 20*time.Second, func() bool { return w.ready("m0") == 1 && w.inService("m0") }, "m0 was not loaded")
		w.nodes[0].report("m0", 0, 0)
		held := w.holder("m0")
		w.setSilent(held, true)
		old := w.owner()
		old.freeze(3 * time.Second)
		w.mustReach(t, 10*time.Second, func() bool { return w.owner() != old && w.allKnowOwner() }, "no node took over")
		if !w.runUntil(limit, func() bool { return !w.inService("m0") }) {
			t.Errorf("seed %d: the idle replica is still in service %v after the takeover", seed, limit)
		}
		w.setSilent(held, false)
		if !w.runUntil(limit, func() bool { return !held.holds("m0") }) || w.inService("m0") {
			t.Errorf("seed %d: the idle replica is not unloaded %v after its server is back", seed, limit)
		}
		printTrace(t, w)
	}
}

// TestIdleReplicaStaysInServiceWhileOwnersChange guards against an idle replica that is not drained because the owner of
// its cell is held up again and again.
func TestIdleReplicaStaysInServiceWhileOwnersChange(t *testing.T) {
	const (
		seeds        = 20
		pause, apart = 1500 * time.Millisecond, 2500 * time.Millisecond // an owner is held up for pause, each apart
		limit        = 30 * time.Second                                 // as with processes
	)
	for seed := range uint64(seeds) {
		w := ownSite(seed, 3)
		w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site did not come up")
		w.nodes[0].report("m0", 1, 0)
		w.mustReach(t, 20*time.Second, func() bool { return w.ready("m0") == 1 && w.inService("m0") }, "m0 was not loaded")
		w.nodes[0].report("m0", 0, 0)
		w.setSilent(w.holder("m0"), true)
		changes, last := 0, w.owner()
		for end := w.now.Add(limit); w.inService("m0") && w.now.Before(end); {
			w.run(apart)
			w.mustReach(t, limit, func() bool { return w.owner() != nil }, "no node owns the cell")
			w.owner().freeze(pause)
			w.run(pause + 100*time.Millisecond)
			if owner := w.owner(); owner != last {
				changes, last = changes+1, owner
			}
		}
		if w.inService("m0") {
			t.Errorf("seed %d: the idle replica is still in service after %v and %d changes of owner", seed, limit, changes)
		}
		printTrace(t, w)
	}
}

// holder returns an engine that holds a model.
func (w *simulation) holder(model api.ModelName) *simEngine {
	for _, e := range w.servers {
		if e.holds(model) {
			return e
		}
	}
	return nil
}

// setSilent cuts an engine from all nodes, or ends that.
func (w *simulation) setSilent(e *simEngine, silent bool) {
	for _, n := range w.nodes {
		w.setCut(n.address(), e.address, silent)
	}
}

// inService reports whether a live node's view shows a ready replica of a model.
func (w *simulation) inService(model api.ModelName) bool {
	for _, n := range w.aliveNodes() {
		for _, r := range n.view.Replicas {
			if r.Model == model && r.State == api.ReplicaReady {
				return true
			}
		}
	}
	return false
}

// TestTakeoverMakesASilentServerReachable guards against routers that choose a silent server again after each change of
// owner.
func TestTakeoverMakesASilentServerReachable(t *testing.T) {
	const seeds = 20
	for seed := range uint64(seeds) {
		w := ownSite(seed, 4)
		w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site did not come up")
		w.run(3 * time.Second)
		silent := w.servers[seed%2]
		w.setSilent(silent, true)
		w.mustReach(t, 20*time.Second, func() bool { return w.allSeeUnreachable(silent.id) }, "the server is not seen as unreachable")
		w.owner().crash()
		shown := func() bool {
			return slices.ContainsFunc(w.aliveNodes(), func(n *node) bool {
				return slices.ContainsFunc(n.view.Servers, func(s api.ServerView) bool { return s.ID == silent.id && s.Reachable })
			})
		}
		if w.runUntil(20*time.Second, shown) {
			t.Errorf("seed %d: the silent server is shown as reachable after a takeover", seed)
		}
		if !w.allKnowOwner() {
			t.Errorf("seed %d: no node took over", seed)
		}
		w.setSilent(silent, false)
		if !w.runUntil(5*time.Second, shown) {
			t.Errorf("seed %d: the server is back and not shown as reachable", seed)
		}
		printTrace(t, w)
	}
}
