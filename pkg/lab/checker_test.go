package lab

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/tree"
)

// newTestSimulation returns a simulation in which no events are scheduled.
func newTestSimulation(t *testing.T) *simulation {
	t.Helper()
	sim, err := newSimulation(loadScenario(t, "hornada", "duration=1h"), 1, ControlCentral, "never-unload")
	if err != nil {
		t.Fatal(err)
	}
	sim.clock.queue = nil
	return sim
}

func (sim *simulation) testOrder(e *emulatedEngine, m *model, kind engine.OrderKind) engine.OrderStatus {
	return e.order(engine.Order{ID: "test", Fence: e.fence + 1, Kind: kind, Model: m.name}).Status
}

func testRequest(sim *simulation, m *model) *request {
	req := &request{model: m, number: 7, startedAt: -1, firstTokenAt: -1, deadline: time.Minute, sends: 1, ranPerSend: []bool{false}}
	req.wake = -1
	sim.checker.sent(req)
	return req
}

func (sim *simulation) testRun(e *emulatedEngine, req *request) *run {
	r := &run{request: req, sendNumber: req.sends, node: sim.nodes[0], server: e}
	e.submit(r)
	return r
}

// readyModel loads a base model on the engine and returns it.
func readyModel(t *testing.T, sim *simulation, e *emulatedEngine, unsafe bool) *model {
	t.Helper()
	for _, m := range sim.models {
		if m.service == e.service && m.base < 0 {
			if status := sim.testOrder(e, m, engine.OrderLoad); status != engine.OrderAccepted {
				t.Fatalf("load: %s", status)
			}
			e.loaded(e.items[m.index])
			m.unsafe = unsafe
			return m
		}
	}
	return nil
}

// TestCheckerCountsViolations causes each kind of violation once and checks that it is counted.
func TestCheckerCountsViolations(t *testing.T) {
	cases := []struct {
		name  string
		cause func(t *testing.T, sim *simulation)
		count func(sim *simulation) int
	}{
		{"more replicas than decided", func(t *testing.T, sim *simulation) {
			for i := range 3 {
				readyModel(t, sim, sim.engines[i], false)
			}
		}, func(sim *simulation) int { return sim.checker.violations.Replicas }},
		{"memory overcommitted", func(_ *testing.T, sim *simulation) {
			for _, m := range sim.models {
				if m.service == 0 && m.base < 0 {
					sim.testOrder(sim.engines[0], m, engine.OrderLoad)
				}
			}
		}, func(sim *simulation) int { return min(sim.checker.violations.Memory, 1) }},
		{"memory overcommitted by a model that grew", func(_ *testing.T, sim *simulation) {
			e, m := sim.engines[0], sim.models[0]
			grown := e.capacity - m.settings.KVBytes + 1
			e.order(engine.Order{ID: "test", Fence: e.fence + 1, Kind: engine.OrderLoad, Model: m.name, MemoryBytes: grown})
		}, func(sim *simulation) int { return sim.checker.violations.Memory }},
		{"an unsafe request runs twice", func(t *testing.T, sim *simulation) {
			req := testRequest(sim, readyModel(t, sim, sim.engines[0], true))
			sim.testRun(sim.engines[0], req)
			sim.testRun(sim.engines[0], req)
		}, func(sim *simulation) int { return sim.checker.violations.AtMostOnce }},
		{"not run, but it ran", func(t *testing.T, sim *simulation) {
			req := testRequest(sim, readyModel(t, sim, sim.engines[0], false))
			sim.testRun(sim.engines[0], req)
			sim.checker.answered(req, refusalOf(req, answerNotRun))
		}, func(sim *simulation) int { return sim.checker.violations.NotRun }},
		{"new work for a leaving engine", func(t *testing.T, sim *simulation) {
			req := testRequest(sim, readyModel(t, sim, sim.engines[0], false))
			sim.engines[0].leavingAt = 0
			sim.clock.elapsed = leavingGrace + time.Second
			sim.testRun(sim.engines[0], req)
		}, func(sim *simulation) int { return sim.checker.violations.Leaving }},
		{"settings go back", func(t *testing.T, sim *simulation) {
			plane, err := newDistributedPlane(sim, "adaptive")
			if err != nil {
				t.Fatal(err)
			}
			sim.plane = plane
			process := plane.processes[0]
			process.start()
			newer, err := plane.platform.accept(tree.Change{Edits: []tree.Edit{{Path: "/assistant", Key: "fair_share", Value: "2"}}})
			if err != nil {
				t.Fatal(err)
			}
			process.applyTree(newer)
			process.node.incarnation++
			process.start()
			process.applyTree(plane.platform.trees[0])
		}, func(sim *simulation) int { return sim.checker.violations.TreeReverts }},
		{"lost", func(t *testing.T, sim *simulation) {
			testRequest(sim, sim.models[0])
			sim.checker.finish()
		}, func(sim *simulation) int { return sim.checker.requests.Lost }},
		{"duplicated", func(t *testing.T, sim *simulation) {
			req := testRequest(sim, sim.models[0])
			sim.checker.answered(req, refusalOf(req, answerNotRun))
			sim.checker.answered(req, refusalOf(req, answerNotRun))
		}, func(sim *simulation) int { return sim.checker.requests.Duplicated }},
		{"mixed", func(t *testing.T, sim *simulation) {
			sim.checker.answered(testRequest(sim, sim.models[0]), answer{answerServed, 8})
		}, func(sim *simulation) int { return sim.checker.requests.Mixed }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			sim := newTestSimulation(t)
			test.cause(t, sim)
			if got := test.count(sim); got != 1 {
				t.Errorf("counted %d violations, want 1", got)
			}
		})
	}
}

func TestEngineJudgesFences(t *testing.T) {
	sim := newTestSimulation(t)
	e, m := sim.engines[0], sim.models[0]
	order := engine.Order{ID: "a", Fence: api.MakeFence(2, 1), Kind: engine.OrderLoad, Model: m.name}
	steps := []struct {
		name   string
		change func(*engine.Order)
		want   engine.OrderStatus
	}{
		{"first", func(*engine.Order) {}, engine.OrderAccepted},
		{"repeated", func(*engine.Order) {}, engine.OrderAccepted},
		{"same fence, another order", func(o *engine.Order) { o.ID = "b" }, engine.OrderStaleFence},
		{"older term", func(o *engine.Order) { o.Fence = api.MakeFence(1, 9) }, engine.OrderStaleFence},
		{"another instance", func(o *engine.Order) { o.Instance = "gone"; o.Fence = api.MakeFence(3, 1) }, engine.OrderWrongInstance},
	}
	for _, step := range steps {
		given := order
		step.change(&given)
		if got := e.order(given).Status; got != step.want {
			t.Errorf("%s: %s, want %s", step.name, got, step.want)
		}
	}
	e.inventory(engine.InventoryRequest{Fence: api.MakeFence(5, 1)})
	order.ID, order.Fence = "c", api.MakeFence(4, 1)
	if got := e.order(order).Status; got != engine.OrderStaleFence {
		t.Errorf("after an inventory with a higher fence: %s", got)
	}
	if sim.checker.loads != 1 {
		t.Errorf("%d loads, want 1", sim.checker.loads)
	}
}
