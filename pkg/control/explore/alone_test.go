package explore

import (
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

// TestNodeAloneServesItsCell runs one node through a whole life of a model:
// the group is formed, a waiting request loads the model, and after its
// keep-alive it is unloaded.
func TestNodeAloneServesItsCell(t *testing.T) {
	w := newWorld(1)
	w.addModel("glaze-7b", "", 10, 1)
	w.addServer("s1", 24)
	w.addServer("s2", 24)
	n := w.addNode("n1", "z1")
	defer printTrace(t, w)
	if !w.runUntil(10*time.Second, func() bool { return w.owner() == n }) {
		t.Fatal("the node does not own the cell")
	}
	w.run(time.Second)
	n.report("glaze-7b", 1, 0)
	if !w.runUntil(5*time.Second, func() bool { return w.ready("glaze-7b") == 1 }) {
		t.Fatal("the model is not loaded")
	}
	w.run(time.Second)
	if estimate := n.estimate["glaze-7b"]; !estimate.Accepted {
		t.Errorf("estimate = %+v, want accepted", estimate)
	}
	if got := n.view.Replicas; len(got) != 1 || got[0].State != api.ReplicaReady {
		t.Errorf("published replicas = %v, want one that is ready", got)
	}
	n.report("glaze-7b", 0, 0)
	if !w.runUntil(20*time.Second, func() bool { return w.ready("glaze-7b") == 0 && !w.servers[0].holds("glaze-7b") }) {
		t.Fatal("the model is not unloaded after its keep-alive")
	}
}

// printTrace shows what happened when a test fails.
func printTrace(t *testing.T, w *world) {
	t.Helper()
	if w.failure != "" {
		t.Errorf("violation: %s", w.failure)
	}
	if t.Failed() {
		t.Log("\n" + strings.Join(w.trace, "\n"))
	}
}
