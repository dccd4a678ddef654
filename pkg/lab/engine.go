package lab

import (
	"fmt"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
)

// Speeds of the emulated engines. Each stream in a batch of n generates
// tokensPerSecond/(1+(n-1)*batchSlowdown) tokens per second; reading a prompt slows down in the
// same way.
const (
	tokensPerSecond       = 70.0
	promptTokensPerSecond = 6000.0
	batchSlowdown         = 0.04
	unloadTime            = 400 * time.Millisecond
)

// emulatedEngine is one server with its engine process. It accepts orders by their fence alone, as
// the platform guarantees. It does not check whether an order makes sense; the checker does.
type emulatedEngine struct {
	sim      *simulation
	id       api.ServerID
	address  string
	service  int
	zone     int
	capacity uint64
	software int // version of its software, from 1
	memory   *checkpointCache
	disk     *checkpointCache
	caches   *Caches

	instance     string
	incarnation  int
	machineCount int // number of machines so far, the present one included
	alive        bool
	frozen       bool
	deferred     []func()      // calls that arrived while the engine was frozen
	silent       bool          // it generates nothing
	unspoken     []func()      // ends of prompts that were read while the engine was silent
	endlessUntil time.Duration // it answers without end until then
	endlessRuns  int           // answers without end since it last served a request
	brokenUntil  time.Duration // it breaks its answers until then
	fullUntil    time.Duration // it resets new connections until then
	gone         bool          // the machine was taken away
	leavingAt    time.Duration // when it announced that it leaves; -1 if it stays
	fence        api.Fence
	lastOrder    string // ID of the order that set the fence
	used         uint64
	items        []*item // by model index; nil if absent
}

// item is a model or adapter on an engine.
type item struct {
	model        *model
	holdBytes    uint64 // memory that it takes, as ordered
	state        engine.ItemState
	orderID      string
	fence        api.Fence
	urgent       bool
	since        time.Duration
	fetch        *fetch
	timer        *event
	batch        *sharedRate // the base's batch, which its adapters share
	running      []*run
	queued       []*run
	active       int           // running requests of the model and its adapters
	meteredUntil time.Duration // hours are counted up to here
}

// order executes an order if its fence is newer than the engine's. The last accepted order may be
// repeated.
func (e *emulatedEngine) order(order engine.Order) engine.OrderResult {
	if order.Instance != "" && order.Instance != e.instance {
		return engine.OrderResult{Status: engine.OrderWrongInstance, Fence: e.fence, Instance: e.instance}
	}
	if order.Fence <= e.fence {
		status := engine.OrderStaleFence
		if order.Fence == e.fence && order.ID == e.lastOrder {
			status = engine.OrderAccepted
		}
		return engine.OrderResult{Status: status, Fence: e.fence, Instance: e.instance}
	}
	status := e.execute(order)
	if status == engine.OrderAccepted {
		e.fence, e.lastOrder = order.Fence, order.ID
	}
	return engine.OrderResult{Status: status, Fence: e.fence, Instance: e.instance}
}

// execute executes an order whose fence has been checked.
func (e *emulatedEngine) execute(order engine.Order) engine.OrderStatus {
	m := e.sim.byName[order.Model]
	if m == nil {
		return engine.OrderUnknownModel
	}
	switch order.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		return e.load(m, order)
	case engine.OrderUnload, engine.OrderUnloadAdapter:
		return e.unload(m)
	default:
		return engine.OrderInvalid
	}
}

// load starts a load.
func (e *emulatedEngine) load(m *model, order engine.Order) engine.OrderStatus {
	if e.leavingAt >= 0 {
		return engine.OrderLeaving
	}
	if e.items[m.index] != nil {
		return engine.OrderInvalid
	}
	if m.base >= 0 && (e.items[m.base] == nil || e.items[m.base].state != engine.ItemReady) {
		return engine.OrderUnknownModel
	}
	holdBytes := m.orderedBytes(order)
	if e.used+holdBytes > e.capacity {
		e.sim.checker.violations.Memory++
		return engine.OrderNoMemory
	}
	it := &item{
		model: m, holdBytes: holdBytes, state: engine.ItemLoading, orderID: order.ID, fence: order.Fence,
		urgent: order.Urgent, since: e.sim.clock.elapsed, meteredUntil: e.sim.clock.elapsed,
	}
	e.items[m.index] = it
	e.used += holdBytes
	e.sim.checker.loadBegan(e, m)
	e.fetchCheckpoint(it)
	return engine.OrderAccepted
}

// orderedBytes returns the accelerator memory of a replica that an order loads: its weights as ordered, and its KV cache.
func (m *model) orderedBytes(order engine.Order) uint64 {
	if order.MemoryBytes == 0 {
		return m.holdBytes
	}
	return order.MemoryBytes + m.settings.KVBytes
}

// fetchCheckpoint gets the checkpoint from the fastest tier that has it.
func (e *emulatedEngine) fetchCheckpoint(it *item) {
	c, m := e.sim.clock, it.model
	startup := e.sim.scenario.startup(m.base < 0)
	finish := func() {
		it.timer = c.after(startup, func() { e.loaded(it) })
	}
	switch {
	case e.memory.has(m.index):
		it.timer = c.after(transferTime(m.weightBytes, e.caches.MemoryGigabytesPerSecond), finish)
	case e.disk.has(m.index):
		it.timer = c.after(transferTime(m.weightBytes, e.caches.DiskGigabytesPerSecond), finish)
	default:
		it.fetch = e.sim.store.fetch(m.weightBytes, it.urgent, finish)
	}
}

// loaded marks an item as ready.
func (e *emulatedEngine) loaded(it *item) {
	it.state = engine.ItemReady
	it.since = e.sim.clock.elapsed
	it.fetch, it.timer = nil, nil
	e.memory.put(it.model)
	e.disk.put(it.model)
	if it.model.base < 0 {
		it.batch = &sharedRate{clock: e.sim.clock, rate: batchRate, updated: e.sim.clock.elapsed, paused: e.silent}
	} else {
		it.batch = e.items[it.model.base].batch
	}
	e.sim.checker.ready(it.model)
	e.sim.plane.itemChanged(e, it.model)
}

// batchRate returns the tokens per second of each stream in a batch.
func batchRate(streams int) float64 {
	return tokensPerSecond / (1 + float64(streams-1)*batchSlowdown)
}

// unload refuses a model's queued requests, lets the running ones finish and then frees its memory.
func (e *emulatedEngine) unload(m *model) engine.OrderStatus {
	it := e.items[m.index]
	if it == nil {
		return engine.OrderUnknownModel
	}
	for _, adapter := range m.adapters {
		if e.items[adapter] != nil {
			return engine.OrderInvalid
		}
	}
	if it.state == engine.ItemUnloading {
		return engine.OrderAccepted
	}
	if it.state == engine.ItemLoading {
		e.stopLoad(it)
	}
	it.state = engine.ItemUnloading
	it.since = e.sim.clock.elapsed
	e.refuseQueued(it)
	e.freeWhenIdle(it)
	return engine.OrderAccepted
}

// stopLoad cancels a load in progress.
func (e *emulatedEngine) stopLoad(it *item) {
	e.sim.clock.cancel(it.timer)
	e.sim.store.cancel(it.fetch)
	it.timer, it.fetch = nil, nil
}

// freeWhenIdle frees the memory of an unloading item once no request runs on it.
func (e *emulatedEngine) freeWhenIdle(it *item) {
	if it.state != engine.ItemUnloading || len(it.running) > 0 || it.timer != nil {
		return
	}
	it.timer = e.sim.clock.after(unloadTime, func() {
		e.remove(it)
		e.sim.plane.itemChanged(e, it.model)
	})
}

// remove removes an item from memory.
func (e *emulatedEngine) remove(it *item) {
	e.meter(it)
	e.items[it.model.index] = nil
	e.used -= it.holdBytes
	e.sim.checker.removed(it.model)
}

// meter counts the accelerator hours of an item up to now.
func (e *emulatedEngine) meter(it *item) {
	e.sim.meter.record(it.holdBytes, e.service, it.meteredUntil, e.sim.clock.elapsed, it.active == 0)
	it.meteredUntil = e.sim.clock.elapsed
}

// handle runs do now, after the engine resumes if it is frozen, or not at all if it is dead.
func (e *emulatedEngine) handle(do func()) {
	switch {
	case !e.alive:
	case e.frozen:
		e.deferred = append(e.deferred, do)
	default:
		do()
	}
}

// resume resumes a frozen engine and runs the deferred calls.
func (e *emulatedEngine) resume() {
	e.frozen = false
	deferred := e.deferred
	e.deferred = nil
	for _, do := range deferred {
		e.handle(do)
	}
}

// crash drops everything that the engine holds and breaks its connections.
func (e *emulatedEngine) crash() {
	for _, it := range e.items {
		if it == nil {
			continue
		}
		e.stopLoad(it)
		for _, r := range it.running {
			e.sim.clock.cancel(r.timer)
			if !r.lost { // its connection is gone
				e.sim.reply(e, r, answerUnknown)
			}
		}
		for _, r := range it.queued {
			e.sim.reply(e, r, answerUnknown)
		}
		if it.model.base < 0 && it.batch != nil {
			it.batch.clear()
		}
		it.running, it.queued = nil, nil
	}
	for _, it := range e.items {
		if it != nil {
			e.remove(it)
		}
	}
	e.alive, e.frozen, e.silent = false, false, false
	e.deferred, e.unspoken = nil, nil
}

// restart starts a crashed or replaced engine with empty memory; a replaced machine also has empty
// caches.
func (e *emulatedEngine) restart(replaced bool) {
	e.incarnation++
	e.instance = fmt.Sprintf("%s/%d", e.id, e.incarnation)
	e.alive, e.frozen, e.gone = true, false, false
	e.leavingAt = -1
	e.endlessUntil, e.endlessRuns, e.brokenUntil, e.fullUntil = 0, 0, 0, 0
	e.fence = 0
	e.lastOrder = ""
	if replaced {
		e.machineCount++
		e.memory = newCheckpointCache(e.caches.MemoryGigabytes)
		e.disk = newCheckpointCache(e.caches.DiskGigabytes)
	}
}

// machineState returns the actual state of the engine's machine.
func (e *emulatedEngine) machineState() platform.MachineState {
	switch {
	case e.gone:
		return platform.MachineGone
	case e.leavingAt >= 0:
		return platform.MachineLeaving
	default:
		return platform.MachineLive
	}
}
