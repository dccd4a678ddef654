package standin

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestState(config EngineConfig) *engineState {
	return newEngineState(config, "i1", testStart)
}

// advanceBy advances the state by d.
func (s *engineState) advanceBy(d time.Duration) {
	s.advance(s.now.Add(d))
}

// loadNow loads the model without delay.
func (s *engineState) loadNow(t *testing.T, order engine.Order) {
	t.Helper()
	if result := s.order(order); result.Status != engine.OrderAccepted {
		t.Fatalf("load %s: %+v", order.Model, result)
	}
	s.finishLoad(s.items[order.Model], true)
}

func (s *engineState) mustSubmit(t *testing.T, request submission) *generation {
	t.Helper()
	g, err := s.submit(request)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func TestFences(t *testing.T) {
	load := func(id string, fence api.Fence, model api.ModelName) engine.Order {
		order := loadOrder(fence, model, gibibyte)
		order.ID = id
		return order
	}
	forInstance := func(instance string, order engine.Order) engine.Order {
		order.Instance = instance
		return order
	}
	state := newTestState(testConfig())
	raise := api.Fence(0)
	steps := []struct {
		name  string
		order engine.Order
		raise api.Fence // if not zero, request the inventory with this fence instead of an order
		want  engine.OrderStatus
	}{
		{"no fence", load("z", 0, "a"), 0, engine.OrderInvalid},
		{"first", load("1", 10, "a"), 0, engine.OrderAccepted},
		{"repeated", load("1", 10, "a"), 0, engine.OrderAccepted},
		{"another order with the same fence", load("2", 10, "b"), 0, engine.OrderStaleFence},
		{"lower", load("3", 9, "b"), 0, engine.OrderStaleFence},
		{"higher, skipping some", load("4", 20, "b"), 0, engine.OrderAccepted},
		{"first one late", load("1", 10, "a"), 0, engine.OrderStaleFence},
		{"refused", load("5", 21, "b"), 0, engine.OrderInvalid},
		{"refused, repeated", load("5", 21, "b"), 0, engine.OrderInvalid},
		{"inventory raises", engine.Order{}, 30, ""},
		{"at the raised fence", load("6", 30, "c"), 0, engine.OrderStaleFence},
		{"last one after the raise", load("5", 21, "b"), 0, engine.OrderStaleFence},
		{"inventory does not lower", engine.Order{}, 5, ""},
		{"for an earlier incarnation", forInstance("gone", load("6", 31, "c")), 0, engine.OrderWrongInstance},
		{"above", load("7", 31, "c"), 0, engine.OrderAccepted},
		{"for this incarnation", forInstance(state.instance, load("7b", 32, "f")), 0, engine.OrderAccepted},
		{"same term", load("8", api.MakeFence(0, 99), "d"), 0, engine.OrderAccepted},
		{"higher term, lower sequence", load("9", api.MakeFence(1, 1), "e"), 0, engine.OrderAccepted},
	}
	for _, step := range steps {
		if step.raise > 0 {
			raise = max(raise, step.raise)
			if got := state.inventory(engine.InventoryRequest{Fence: step.raise}).Fence; got != raise {
				t.Errorf("%s: fence %d, want %d", step.name, got, raise)
			}
			continue
		}
		if got := state.order(step.order); got.Status != step.want {
			t.Errorf("%s: %+v, want %s", step.name, got, step.want)
		}
	}
	if len(state.items) != 6 {
		t.Errorf("%d items, want 6", len(state.items))
	}
}

func TestRefusedOrderHasNoEffectWhenItComesAgain(t *testing.T) {
	state := newTestState(testConfig())
	state.loadNow(t, loadOrder(1, "a", 8*gibibyte))
	state.order(engine.Order{ID: "u", Fence: 2, Kind: engine.OrderUnload, Model: "a"})
	refused := loadOrder(3, "b", 4*gibibyte)
	first := state.order(refused)
	state.advanceBy(time.Minute) // the memory is free now
	again := state.order(refused)
	if first.Status != engine.OrderNoMemory || again != first || len(state.items) != 0 {
		t.Errorf("first %+v, again %+v, %d items", first, again, len(state.items))
	}
}

func TestAdaptersNeedTheirBaseAndGoWithIt(t *testing.T) {
	state := newTestState(testConfig())
	adapter := engine.Order{ID: "x", Fence: 1, Kind: engine.OrderLoadAdapter, Model: "a:x", Base: "a", MemoryBytes: 1 << 20}
	if got := state.order(adapter); got.Status != engine.OrderUnknownModel {
		t.Fatalf("adapter without base: %+v", got)
	}
	state.order(loadOrder(2, "a", gibibyte))
	adapter.Fence = 3
	if got := state.order(adapter); got.Status != engine.OrderAccepted {
		t.Fatalf("adapter: %+v", got)
	}
	if next := state.nextLoad(); next == nil || next.Model != "a" {
		t.Fatalf("next load %+v, want the base", next)
	}
	state.finishLoad(state.items["a"], true)
	if next := state.nextLoad(); next == nil || next.Model != "a:x" {
		t.Fatalf("next load %+v, want the adapter", next)
	}
	state.finishLoad(state.items["a:x"], true)
	state.order(engine.Order{ID: "u", Fence: 4, Kind: engine.OrderUnload, Model: "a"})
	state.advanceBy(time.Minute)
	if len(state.items) != 0 {
		t.Errorf("%d items left after the unload of the base", len(state.items))
	}
}

func TestUnloadWaitsForRunningRequestsAndRefusesQueuedOnes(t *testing.T) {
	config := testConfig()
	config.MaxBatch = 1
	state := newTestState(config)
	state.loadNow(t, loadOrder(1, "a", gibibyte))
	running := state.mustSubmit(t, submission{id: "r", model: "a", maxTokens: 600})
	queued := state.mustSubmit(t, submission{id: "q", model: "a", maxTokens: 1})
	state.advanceBy(time.Second)
	state.order(engine.Order{ID: "u", Fence: 2, Kind: engine.OrderUnload, Model: "a"})
	if queued.phase != phaseRefused || state.executed["q"] != 0 {
		t.Errorf("queued request in phase %d, executed %v", queued.phase, state.executed)
	}
	state.advanceBy(2 * time.Second)
	if len(state.items) != 1 || !running.running() {
		t.Fatalf("%d items, running %t: the memory was freed while a request was running", len(state.items), running.running())
	}
	state.advanceBy(time.Minute)
	if len(state.items) != 0 || running.phase != phaseFinished {
		t.Errorf("%d items, phase %d", len(state.items), running.phase)
	}
}

func TestBatchRateFalls(t *testing.T) {
	config := testConfig()
	config.KVBytesPerToken = 1
	rate := func(size int) float64 {
		state := newTestState(config)
		state.loadNow(t, loadOrder(1, "a", gibibyte))
		var last *generation
		for i := range size {
			last = state.mustSubmit(t, submission{id: fmt.Sprint(i), model: "a", maxTokens: 5000})
		}
		state.advanceBy(10 * time.Second)
		return float64(last.tokens()) / 10
	}
	for _, size := range []int{1, 2, 16, 64} {
		want := config.TokensPerSecond / (1 + config.BatchSlowdown*float64(size-1))
		if got := rate(size); math.Abs(got-want) > 0.2 {
			t.Errorf("batch of %d: %.1f tokens per second each, want %.1f", size, got, want)
		}
	}
	if got := rate(65); got != 0 {
		t.Errorf("the request beyond the maximum batch size ran at %.1f tokens per second", got)
	}
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	config := testConfig()
	config.MaxBatch = 1
	state := newTestState(config)
	state.loadNow(t, loadOrder(1, "a", gibibyte))
	low := state.mustSubmit(t, submission{id: "low", model: "a", maxTokens: 10})
	urgent := state.mustSubmit(t, submission{id: "urgent", model: "a", maxTokens: 10, priority: 5})
	late := state.mustSubmit(t, submission{id: "late", model: "a", maxTokens: 10, deadline: testStart.Add(time.Millisecond)})
	state.advanceBy(100 * time.Millisecond)
	if urgent.tokens() == 0 || low.tokens() != 0 {
		t.Errorf("urgent has %d tokens, low %d", urgent.tokens(), low.tokens())
	}
	if late.phase != phaseRefused || state.executed["late"] != 0 {
		t.Errorf("late request in phase %d, executed %v", late.phase, state.executed)
	}
	state.advanceBy(time.Minute)
	if low.phase != phaseFinished {
		t.Errorf("low in phase %d", low.phase)
	}
}

func TestLoadPushesLeastUrgentRequestsBackIntoTheQueue(t *testing.T) {
	config := testConfig()
	config.KVReserveBytes = 0
	config.MaxTokens = int(4 * gibibyte / config.KVBytesPerToken) // two such requests nearly fill the memory
	state := newTestState(config)
	state.loadNow(t, loadOrder(1, "a", gibibyte))
	low := state.mustSubmit(t, submission{id: "low", model: "a", maxTokens: config.MaxTokens})
	high := state.mustSubmit(t, submission{id: "high", model: "a", maxTokens: config.MaxTokens, priority: 1})
	state.advanceBy(time.Second)
	before := low.tokens()
	if result := state.order(loadOrder(2, "b", 4*gibibyte)); result.Status != engine.OrderAccepted || before == 0 {
		t.Fatalf("load: %+v, %d tokens", result, before)
	}
	if low.phase != phaseQueued || !high.running() {
		t.Errorf("low in phase %d, high in phase %d", low.phase, high.phase)
	}
	state.advanceBy(time.Hour)
	if low.phase != phaseFinished || high.phase != phaseFinished || state.executed["low"] != 1 {
		t.Errorf("low in phase %d, high in phase %d, executed %v", low.phase, high.phase, state.executed)
	}
}

func TestCancelStopsWorkAndResumeContinues(t *testing.T) {
	state := newTestState(testConfig())
	state.loadNow(t, loadOrder(1, "a", gibibyte))
	g := state.mustSubmit(t, submission{id: "r", model: "a", maxTokens: 120})
	state.advanceBy(time.Second)
	state.cancel(g)
	stopped := g.tokens()
	state.advanceBy(10 * time.Second)
	if g.tokens() != stopped || state.batch.kvBytes() != 0 || len(state.batch.active) != 0 {
		t.Fatalf("%d tokens after %d, %d bytes of KV cache", g.tokens(), stopped, state.batch.kvBytes())
	}
	resumed, err := state.resume("r")
	if err != nil || resumed != g {
		t.Fatalf("resume: %v", err)
	}
	state.advanceBy(1100 * time.Millisecond)
	if g.phase != phaseFinished || state.executed["r"] != 1 {
		t.Errorf("the resumed request is in phase %d with %d tokens, executed %v", g.phase, g.tokens(), state.executed)
	}
	state.advanceBy(2 * state.config.ResumeWindow)
	if _, err := state.resume("r"); err != ErrUnknownRequest {
		t.Errorf("resume after the window: error %v, want ErrUnknownRequest", err)
	}
}

func TestExportedRequestContinuesElsewhereWithoutRecompute(t *testing.T) {
	config := testConfig()
	config.PrefillTokensPerSecond = 1 // recomputing the prompt would take an hour
	from, to := newTestState(config), newTestState(config)
	from.loadNow(t, loadOrder(1, "a", gibibyte))
	to.loadNow(t, loadOrder(1, "a", gibibyte))
	g := from.mustSubmit(t, submission{id: "r", key: "k", model: "a", prompt: strings.Repeat("long", 3600), maxTokens: 120})
	from.advanceBy(time.Hour + time.Second)
	export, err := from.exportKV(engine.KVExportRequest{RequestID: "r", Cancel: true})
	if err != nil || export.Events != g.tokens() || export.Events < 50 || g.phase != phaseCancelled {
		t.Fatalf("export %d events of %d, error %v", export.Events, g.tokens(), err)
	}
	if err := to.importKV(export); err != nil {
		t.Fatal(err)
	}
	moved, err := to.resume("r")
	if err != nil {
		t.Fatal(err)
	}
	if moved.tokens() != export.Events || moved.prompt != g.prompt || moved.target != g.target {
		t.Errorf("the imported request has %d tokens of %d", moved.tokens(), moved.target)
	}
	to.advanceBy(1100 * time.Millisecond)
	if moved.phase != phaseFinished || to.executed["k"] != 0 || from.executed["k"] != 1 {
		t.Errorf("the imported request is in phase %d, executed %v and %v", moved.phase, from.executed, to.executed)
	}
	if err := to.importKV(engine.KVExport{RequestID: "x", Model: "a", Data: []byte("no gob")}); err == nil {
		t.Error("an invalid KV cache was imported")
	}
}

func TestPrefixCacheSavesPrefillAndItsEventsComeLateWithGaps(t *testing.T) {
	config := testConfig()
	config.CacheEventGap = 0.3
	state := newTestState(config)
	state.loadNow(t, loadOrder(1, "a", gibibyte))
	prompt := strings.Repeat("x", 100*engine.PrefixBlockBytes)
	first := state.mustSubmit(t, submission{id: "1", model: "a", prompt: prompt, maxTokens: 10})
	state.advanceBy(config.CacheEventLag / 2)
	if events := state.prefixes.eventsAfter(0, state.now); len(events.Events) != 0 {
		t.Errorf("%d events before the lag", len(events.Events))
	}
	state.advanceBy(10 * time.Second)
	second := state.mustSubmit(t, submission{id: "2", model: "a", prompt: prompt, maxTokens: 10})
	state.advanceBy(10 * time.Second)
	if first.cachedTokens != 0 || second.cachedTokens != 100*engine.PrefixBlockBytes/bytesPerToken {
		t.Errorf("cached tokens %d, then %d", first.cachedTokens, second.cachedTokens)
	}
	events := state.prefixes.eventsAfter(0, state.now).Events
	if len(events) < 50 || len(events) > 90 {
		t.Errorf("%d of 100 events arrived, want 50 to 90", len(events))
	}
	prefixes := engine.PrefixHashes(prompt, engine.PrefixBlockBytes)
	for _, event := range events {
		if !event.Stored || event.Prefix != prefixes[event.Sequence-1] {
			t.Errorf("event %+v does not match its prefix", event)
		}
	}
}

func TestLoadReportLags(t *testing.T) {
	config := testConfig()
	state := newTestState(config)
	state.loadNow(t, loadOrder(1, "a", gibibyte))
	state.advanceBy(time.Millisecond)
	state.advanceBy(config.LoadReportLag * 2)
	state.mustSubmit(t, submission{id: "1", model: "a", maxTokens: 600})
	state.advanceBy(config.LoadReportLag / 2)
	if report := state.load(); len(report.Models) != 1 || report.Models[0].Running != 0 {
		t.Errorf("report %+v before the lag", report)
	}
	state.advanceBy(config.LoadReportLag)
	if report := state.load(); report.Models[0].Running != 1 || state.now.Sub(report.AsOf) < config.LoadReportLag {
		t.Errorf("report %+v after the lag", report)
	}
}
