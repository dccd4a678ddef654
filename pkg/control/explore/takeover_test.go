package explore

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
)

// ownSite is a small site whose machines use package membership.
func ownSite(seed uint64, nodes int) *world {
	w := newWorld(seed)
	w.ownMembership = true
	w.addModel("m0", "", 10, 1)
	w.addModel("m1", "", 10, 2)
	w.addServer("s0", 23)
	w.addServer("s1", 23)
	w.seeds = []string{"node/n0", "node/n1"}
	w.addNodes(nodes)
	return w
}

// takeover kills the owner and returns the time until another node has loaded
// an idle model for a request that waits since the kill.
func takeover(t *testing.T, w *world, prepare func(w *world), place int) (owned, served time.Duration) {
	t.Helper()
	w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site does not come up")
	w.run(5 * time.Second)
	prepare(w)
	began := w.now
	old := w.owner()
	old.crash()
	waiting := w.aliveNodes()[place]
	w.keepWaiting(waiting, waiting.life)
	w.mustReach(t, 30*time.Second, w.allKnowOwner, "nobody takes over")
	owned = w.now.Sub(began)
	w.mustReach(t, 30*time.Second, func() bool { return w.holders("m0") > 0 }, "the new owner does not load the waiting model")
	return owned, w.now.Sub(began)
}

func (w *world) keepWaiting(n *node, life uint64) {
	if n.life == life && n.machine != nil {
		n.report("m0", 1, 0)
		w.after(time.Second, func() { w.keepWaiting(n, life) })
	}
}

func (w *world) aliveNodes() []*node {
	var alive []*node
	for _, n := range w.nodes {
		if n.machine != nil {
			alive = append(alive, n)
		}
	}
	return alive
}

func (w *world) holders(model api.ModelName) int {
	count := 0
	for _, e := range w.servers {
		if e.holds(model) {
			count++
		}
	}
	return count
}

// allKnowOwner tells whether the views of all live nodes name the owner.
func (w *world) allKnowOwner() bool {
	owner := w.owner()
	for _, n := range w.nodes {
		if n.machine != nil && (owner == nil || n.view.Leader.ID != owner.id) {
			return false
		}
	}
	return owner != nil
}

// TestTakeover kills the owner with the platform up and down.
func TestTakeover(t *testing.T) {
	const limit = 2 * time.Second
	cases := []struct {
		name    string
		prepare func(w *world)
		place   int // of the node that the request waits at, among those that live
	}{
		{"platform up", func(*world) {}, 0},
		{"platform up, waiting at another node", func(*world) {}, 1},
		{"platform up, waiting at a third node", func(*world) {}, 2},
		{"table service down", func(w *world) { w.table.down, w.treeDown = true, true }, 0},
		{"whole platform down for an hour", func(w *world) {
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

// TestOwnersFailOverRepeatedly kills owner after owner with the table service
// down: each dead member is replaced by the group itself.
func TestOwnersFailOverRepeatedly(t *testing.T) {
	w := ownSite(5, 6)
	w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site does not come up")
	w.run(3 * time.Second)
	w.table.down, w.treeDown = true, true
	for round := range 4 {
		w.owner().crash()
		if !w.runUntil(20*time.Second, w.allKnowOwner) {
			t.Fatalf("nobody takes over in round %d", round)
		}
		w.run(8 * time.Second)
	}
	printTrace(t, w)
}

// TestPlannedStop stops the owner: it hands over before it exits, and faster
// than a death would be noticed.
func TestPlannedStop(t *testing.T) {
	w := ownSite(6, 4)
	w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site does not come up")
	w.run(3 * time.Second)
	old := w.owner()
	began := w.now
	old.step(control.StopRequested{})
	if !w.runUntil(5*time.Second, old.machine.Stopped) {
		t.Error("the node does not stop within 5s")
	}
	t.Logf("stopped after %v", w.now.Sub(began))
	if owner := w.owner(); owner == nil || owner == old {
		t.Error("the cell is not handed over before the stop")
	}
	old.crash()
	w.run(time.Second)
	if !w.allKnowOwner() {
		t.Error("not all nodes know the new owner a second after the stop")
	}
	printTrace(t, w)
}

// TestPlannedStopsInTurn stops the nodes of a small site one after the other, as an
// operator does: no group takes in a node that is stopping, so that each stop is
// fast but the last, which has nobody to hand over to.
func TestPlannedStopsInTurn(t *testing.T) {
	const seeds, atOnce = 60, 3 * time.Second
	for seed := range uint64(seeds) {
		w := ownSite(seed, 3)
		w.mustReach(t, 20*time.Second, w.allKnowOwner, "the site does not come up")
		w.run(3*time.Second + time.Duration(seed)*17*time.Millisecond)
		for range 2 {
			n := w.owner()
			if n == nil {
				t.Errorf("seed %d: nobody owns the cell", seed)
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
