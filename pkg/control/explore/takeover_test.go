package explore

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/control/internal/switches"
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
	for index := range nodes {
		w.addNode(fmt.Sprint("n", index), fmt.Sprint("z", index%3+1))
	}
	return w
}

// takeover kills the owner and returns the time until another node has loaded
// an idle model for a request that waits since the kill.
func takeover(t *testing.T, w *world, prepare func(w *world)) (owned, served time.Duration) {
	t.Helper()
	if !w.runUntil(20*time.Second, func() bool { return w.owner() != nil && w.allKnowOwner() }) {
		t.Fatal("the site does not come up")
	}
	w.run(5 * time.Second)
	prepare(w)
	began := w.now
	old := w.owner()
	old.crash()
	waiting := w.aliveNode()
	w.keepWaiting(waiting, waiting.life)
	if !w.runUntil(30*time.Second, func() bool { return w.owner() != nil && w.allKnowOwner() }) {
		t.Fatal("nobody takes over")
	}
	owned = w.now.Sub(began)
	if !w.runUntil(30*time.Second, func() bool { return w.holders("m0") > 0 }) {
		t.Fatal("the new owner does not load the waiting model")
	}
	return owned, w.now.Sub(began)
}

func (w *world) keepWaiting(n *node, life uint64) {
	if n.life == life && n.machine != nil {
		n.report("m0", 1, 0)
		w.after(time.Second, func() { w.keepWaiting(n, life) })
	}
}

func (w *world) aliveNode() *node {
	for _, n := range w.nodes {
		if n.machine != nil {
			return n
		}
	}
	return nil
}

func (w *world) holders(model string) int {
	count := 0
	for _, e := range w.servers {
		for name := range e.items {
			if string(name) == model && e.holds(name) {
				count++
			}
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
	const limit = 5 * time.Second
	cases := []struct {
		name    string
		prepare func(w *world)
	}{
		{"platform up", func(*world) {}},
		{"table service down", func(w *world) { w.table.down, w.treeDown = true, true }},
		{"whole platform down for an hour", func(w *world) {
			w.table.down, w.treeDown, w.listDown = true, true, true
			w.run(time.Hour)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := ownSite(11, 4)
			w.tracing = false
			owned, served := takeover(t, w, c.prepare)
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
	if !w.runUntil(20*time.Second, func() bool { return w.owner() != nil && w.allKnowOwner() }) {
		t.Fatal("the site does not come up")
	}
	w.run(3 * time.Second)
	w.table.down, w.treeDown = true, true
	for round := range 4 {
		w.owner().crash()
		if !w.runUntil(20*time.Second, func() bool { return w.owner() != nil && w.allKnowOwner() }) {
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
	if !w.runUntil(20*time.Second, func() bool { return w.owner() != nil && w.allKnowOwner() }) {
		t.Fatal("the site does not come up")
	}
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

// TestAdmissionIsNeeded: an owner uses a machine that is too new for the list
// that the founder of the next epoch reads. With the machine in the record the
// founder counts it; without, the model is loaded twice.
func TestAdmissionIsNeeded(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		t.Run(fmt.Sprintf("without admission %t", unsafe), func(t *testing.T) {
			w := newWorld(9)
			w.unsafe = switches.Set{NoAdmission: unsafe, NoVerify: unsafe}
			w.addModel("m0", "", 10, 1)
			w.addServer("s0", 23).leaving = true
			for index := range 3 {
				w.addNode(fmt.Sprint("n", index), fmt.Sprint("z", index))
			}
			runLateMachine(t, w)
			if broken := w.failure != ""; broken != unsafe {
				t.Errorf("violation %q with admission switched off: %t", w.failure, unsafe)
			}
			t.Log(w.failure)
		})
	}
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
	if !w.runUntil(5*time.Second, func() bool { return w.servers[1].holds("m0") }) {
		t.Fatal("the late machine is not used")
	}
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
	for _, unsafe := range []bool{false, true} {
		t.Run(fmt.Sprintf("without verification %t", unsafe), func(t *testing.T) {
			w := newWorld(4)
			w.unsafe = switches.Set{NoVerify: unsafe}
			w.addModel("m0", "", 10, 1)
			w.addServer("s0", 23)
			late := w.addServer("s1", 23)
			late.leaving = true
			for index := range 4 {
				w.addNode(fmt.Sprint("n", index), fmt.Sprint("z", index%3))
			}
			runSplitReturn(t, w)
			if broken := w.failure != ""; broken != unsafe {
				t.Errorf("violation %q with verification switched off: %t", w.failure, unsafe)
			}
		})
	}
}

func runSplitReturn(t *testing.T, w *world) {
	t.Helper()
	for _, n := range w.nodes {
		w.keepWaiting(n, n.life)
	}
	if !w.runUntil(20*time.Second, func() bool { return w.ready("m0") == 1 }) {
		t.Fatal("the model is not loaded")
	}
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
	if !w.runUntil(30*time.Second, func() bool { return w.servers[1].holds("m0") }) {
		t.Fatal("the new side does not load the model")
	}
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

// TestInstanceIsNeeded: an order of an owner that froze reaches an engine that
// has restarted since, and so has seen no fence, before the next owner has read
// the new instance's inventory.
func TestInstanceIsNeeded(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		t.Run(fmt.Sprintf("without the instance %t", unsafe), func(t *testing.T) {
			w := smallSite(2)
			w.unsafe = switches.Set{NoInstance: unsafe}
			for _, n := range w.nodes {
				n.crash()
				n.boot()
			}
			runLateOrder(t, w)
			if broken := w.failure != ""; broken != unsafe {
				t.Errorf("violation %q with the instance left out: %t", w.failure, unsafe)
			}
		})
	}
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
	if !w.runUntil(10*time.Second, func() bool { return w.servers[0].holds("m0") }) {
		t.Fatal("the model is not loaded")
	}
	w.servers[0].leaving, w.servers[1].leaving = true, false
	if !w.runUntil(30*time.Second, func() bool { return w.servers[1].holds("m0") }) {
		t.Fatal("the model is not moved")
	}
	w.servers[0].restart()
	w.servers[0].order(late.Order, ordering{limit: 1})
}
