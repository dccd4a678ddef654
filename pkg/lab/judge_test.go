package lab

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/tree"
)

// newTestWorld returns a world in which nothing happens by itself.
func newTestWorld(t *testing.T) *world {
	t.Helper()
	w, err := newWorld(loadScenario(t, "hornada", "duration=1h"), 1, ControlCentral, "never-unload")
	if err != nil {
		t.Fatal(err)
	}
	w.clock.queue = nil
	return w
}

func (w *world) testOrder(e *emulatedEngine, m *model, kind engine.OrderKind) engine.OrderStatus {
	return e.order(engine.Order{ID: "test", Fence: e.fence + 1, Kind: kind, Model: m.name}).Status
}

func testRequest(w *world, m *model) *request {
	req := &request{model: m, number: 7, startedAt: -1, firstAt: -1, deadline: time.Minute, sends: 1, ran: []bool{false}}
	req.wake = -1
	w.judge.sent(req)
	return req
}

func (w *world) testRun(e *emulatedEngine, req *request) *run {
	r := &run{request: req, send: req.sends, node: w.nodes[0], server: e}
	e.submit(r)
	return r
}

// readyModel returns a base model that is ready on the engine.
func readyModel(t *testing.T, w *world, e *emulatedEngine, unsafe bool) *model {
	t.Helper()
	for _, m := range w.models {
		if m.service == e.service && m.base < 0 {
			if status := w.testOrder(e, m, engine.OrderLoad); status != engine.OrderAccepted {
				t.Fatalf("load: %s", status)
			}
			e.loaded(e.items[m.index])
			m.unsafe = unsafe
			return m
		}
	}
	return nil
}

// TestJudgeSeesBrokenPromises lets each thing happen that never must.
func TestJudgeSeesBrokenPromises(t *testing.T) {
	cases := []struct {
		name  string
		cause func(t *testing.T, w *world)
		count func(w *world) int
	}{
		{"more replicas than decided", func(t *testing.T, w *world) {
			for i := range 3 {
				readyModel(t, w, w.engines[i], false)
			}
		}, func(w *world) int { return w.judge.violations.Replicas }},
		{"memory overcommitted", func(_ *testing.T, w *world) {
			for _, m := range w.models {
				if m.service == 0 && m.base < 0 {
					w.testOrder(w.engines[0], m, engine.OrderLoad)
				}
			}
		}, func(w *world) int { return min(w.judge.violations.Memory, 1) }},
		{"an unsafe request runs twice", func(t *testing.T, w *world) {
			req := testRequest(w, readyModel(t, w, w.engines[0], true))
			w.testRun(w.engines[0], req)
			w.testRun(w.engines[0], req)
		}, func(w *world) int { return w.judge.violations.AtMostOnce }},
		{"not run, but it ran", func(t *testing.T, w *world) {
			req := testRequest(w, readyModel(t, w, w.engines[0], false))
			w.testRun(w.engines[0], req)
			w.judge.answered(req, refusalOf(req, answerNotRun))
		}, func(w *world) int { return w.judge.violations.NotRun }},
		{"new work for a leaving engine", func(t *testing.T, w *world) {
			req := testRequest(w, readyModel(t, w, w.engines[0], false))
			w.engines[0].leavingAt = 0
			w.clock.elapsed = leavingGrace + time.Second
			w.testRun(w.engines[0], req)
		}, func(w *world) int { return w.judge.violations.Leaving }},
		{"settings go back", func(t *testing.T, w *world) {
			plane, err := newDistributedPlane(w, "adaptive")
			if err != nil {
				t.Fatal(err)
			}
			w.plane = plane
			process := plane.processes[0]
			process.boot()
			newer, err := plane.platform.accept(tree.Change{Edits: []tree.Edit{{Path: "/assistant", Key: "fair_share", Value: "2"}}})
			if err != nil {
				t.Fatal(err)
			}
			process.useTree(newer)
			process.node.lives++
			process.boot()
			process.useTree(plane.platform.trees[0])
		}, func(w *world) int { return w.judge.violations.TreeReverts }},
		{"lost", func(t *testing.T, w *world) {
			testRequest(w, w.models[0])
			w.judge.finish()
		}, func(w *world) int { return w.judge.requests.Lost }},
		{"duplicated", func(t *testing.T, w *world) {
			req := testRequest(w, w.models[0])
			w.judge.answered(req, refusalOf(req, answerNotRun))
			w.judge.answered(req, refusalOf(req, answerNotRun))
		}, func(w *world) int { return w.judge.requests.Duplicated }},
		{"mixed", func(t *testing.T, w *world) {
			w.judge.answered(testRequest(w, w.models[0]), answer{answerServed, 8})
		}, func(w *world) int { return w.judge.requests.Mixed }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			w := newTestWorld(t)
			test.cause(t, w)
			if got := test.count(w); got != 1 {
				t.Errorf("counted %d, want 1", got)
			}
		})
	}
}

func TestEngineJudgesFences(t *testing.T) {
	w := newTestWorld(t)
	e, m := w.engines[0], w.models[0]
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
	if w.judge.loads != 1 {
		t.Errorf("%d loads, want 1", w.judge.loads)
	}
}
