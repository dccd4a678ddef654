package explore

import (
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
)

// TestNodeAloneServesItsCell runs one node through the lifecycle of a model: the
// group is formed, a waiting request causes the load, and the model is unloaded
// after its keep-alive.
func TestNodeAloneServesItsCell(t *testing.T) {
	w := newSimulation(1)
	w.addModel("glaze-7b", "", 10, 1)
	w.addServer("s1", 24)
	w.addServer("s2", 24)
	n := w.addNode("n1", "z1")
	defer printTrace(t, w)
	w.mustReach(t, 10*time.Second, func() bool { return w.owner() == n }, "the node did not become the owner of the cell")
	w.run(time.Second)
	n.report("glaze-7b", 1, 0)
	w.mustReach(t, 5*time.Second, func() bool { return w.ready("glaze-7b") == 1 }, "the model was not loaded")
	w.run(time.Second)
	if estimate := n.estimates["glaze-7b"]; !estimate.Accepted {
		t.Errorf("estimate = %+v, want accepted", estimate)
	}
	if got := n.view.Replicas; len(got) != 1 || got[0].State != api.ReplicaReady {
		t.Errorf("published replicas = %v, want one that is ready", got)
	}
	n.report("glaze-7b", 0, 0)
	w.mustReach(t, 20*time.Second, func() bool { return w.ready("glaze-7b") == 0 && !w.servers[0].holds("glaze-7b") }, "the model was not unloaded after its keep-alive")
}

// TestPoliciesLoadAdapters checks that every policy of the product serves a
// request for an adapter whose base is not loaded either.
func TestPoliciesLoadAdapters(t *testing.T) {
	for _, name := range policy.Names() {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(1)
			w.decider = func(string) policy.Decider {
				decider, _ := policy.ByName(name)
				return decider
			}
			w.addModel("glaze-7b", "", 10, 1)
			w.addModel("glaze-7b:studio-3", "glaze-7b", 1, 1)
			w.addServer("s1", 24)
			n := w.addNode("n1", "z1")
			defer printTrace(t, w)
			w.run(4 * time.Second)
			n.report("glaze-7b:studio-3", 1, 0)
			w.run(100 * time.Millisecond)
			if estimate := n.estimates["glaze-7b:studio-3"]; !estimate.Accepted {
				t.Errorf("estimate = %+v, want accepted", estimate)
			}
			loaded := func() bool {
				if w.ready("glaze-7b:studio-3") == 1 {
					return true
				}
				n.report("glaze-7b:studio-3", 1, 0)
				return false
			}
			if !w.runUntil(15*time.Second, loaded) {
				t.Error("the adapter was not loaded")
			}
		})
	}
}

// printTrace reports a violation and, if the test has failed, logs the trace of
// the simulation.
func printTrace(t *testing.T, w *simulation) {
	t.Helper()
	if w.failure != "" {
		t.Errorf("violation: %s", w.failure)
	}
	if t.Failed() {
		t.Log("\n" + strings.Join(w.trace, "\n"))
	}
}

// mustReach runs until the condition holds. It fails the test with message if
// that takes longer than limit.
func (w *simulation) mustReach(t *testing.T, limit time.Duration, condition func() bool, message string) {
	t.Helper()
	if !w.runUntil(limit, condition) {
		t.Fatal(message)
	}
}
