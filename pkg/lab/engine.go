package lab

import (
	"fmt"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
)

// Speeds of the emulated engines. A stream in a batch of n gets
// tokensPerSecond/(1+(n-1)*batchSlowdown); reading a prompt is slowed in the
// same way.
const (
	tokensPerSecond       = 70.0
	promptTokensPerSecond = 6000.0
	batchSlowdown         = 0.04
	unloadTime            = 400 * time.Millisecond
)

// emulatedEngine is one server with its engine process. It judges orders by
// their fence alone, as the platform promises; it is not trusted to know
// whether an order is wise, which the judge checks.
type emulatedEngine struct {
	world    *world
	id       api.ServerID
	address  string
	service  int
	zone     int
	capacity uint64
	memory   *checkpointCache
	disk     *checkpointCache
	caches   *Caches

	instance  string
	lives     int
	machines  int // machines so far, the present one among them
	alive     bool
	frozen    bool
	backlog   []func()      // what came while it was frozen
	gone      bool          // the machine was taken away
	leavingAt time.Duration // -1 while it stays
	fence     api.Fence
	lastOrder string // with the last accepted fence
	used      uint64
	items     []*item // by model, nil if absent
}

// item is a model or adapter on an engine.
type item struct {
	model   *model
	state   engine.ItemState
	orderID string
	fence   api.Fence
	urgent  bool
	since   time.Duration
	fetch   *fetch
	timer   *event
	batch   *sharedRate // of the base; adapters run in their base's batch
	running []*run
	queued  []*run
	active  int           // running requests of the model and its adapters
	metered time.Duration // up to when the hours are counted
}

// order carries out a fenced order.
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
	status := e.carryOut(order)
	if status == engine.OrderAccepted {
		e.fence, e.lastOrder = order.Fence, order.ID
	}
	return engine.OrderResult{Status: status, Fence: e.fence, Instance: e.instance}
}

// carryOut does what a fresh order asks for.
func (e *emulatedEngine) carryOut(order engine.Order) engine.OrderStatus {
	m := e.world.byName[order.Model]
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

// load begins a load.
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
	if e.used+m.holdBytes > e.capacity {
		e.world.judge.violations.Memory++
		return engine.OrderNoMemory
	}
	it := &item{
		model: m, state: engine.ItemLoading, orderID: order.ID, fence: order.Fence,
		urgent: order.Urgent, since: e.world.clock.elapsed, metered: e.world.clock.elapsed,
	}
	e.items[m.index] = it
	e.used += m.holdBytes
	e.world.judge.loadBegan(m)
	e.fetchCheckpoint(it)
	return engine.OrderAccepted
}

// fetchCheckpoint gets the checkpoint from the nearest place that has it.
func (e *emulatedEngine) fetchCheckpoint(it *item) {
	c, m := e.world.clock, it.model
	startup := e.world.scenario.startup(m.base < 0)
	finish := func() {
		it.timer = c.after(startup, func() { e.loaded(it) })
	}
	switch {
	case e.memory.has(m.index):
		it.timer = c.after(transferTime(m.weightBytes, e.caches.MemoryGigabytesPerSecond), finish)
	case e.disk.has(m.index):
		it.timer = c.after(transferTime(m.weightBytes, e.caches.DiskGigabytesPerSecond), finish)
	default:
		it.fetch = e.world.store.fetch(m.weightBytes, it.urgent, finish)
	}
}

// loaded makes an item ready.
func (e *emulatedEngine) loaded(it *item) {
	it.state = engine.ItemReady
	it.since = e.world.clock.elapsed
	it.fetch, it.timer = nil, nil
	e.memory.put(it.model)
	e.disk.put(it.model)
	if it.model.base < 0 {
		it.batch = &sharedRate{clock: e.world.clock, rate: batchRate, updated: e.world.clock.elapsed}
	} else {
		it.batch = e.items[it.model.base].batch
	}
	e.world.judge.ready(it.model)
	e.world.plane.itemChanged(e, it.model)
}

// batchRate returns the tokens a second of each stream in a batch.
func batchRate(streams int) float64 {
	return tokensPerSecond / (1 + float64(streams-1)*batchSlowdown)
}

// unload lets a model's running requests finish, then frees its memory.
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
	it.since = e.world.clock.elapsed
	e.refuseQueued(it)
	e.freeWhenIdle(it)
	return engine.OrderAccepted
}

// stopLoad ends a load that is under way.
func (e *emulatedEngine) stopLoad(it *item) {
	e.world.clock.cancel(it.timer)
	e.world.store.cancel(it.fetch)
	it.timer, it.fetch = nil, nil
}

// freeWhenIdle frees the memory of an unloading item once nothing runs on it.
func (e *emulatedEngine) freeWhenIdle(it *item) {
	if it.state != engine.ItemUnloading || len(it.running) > 0 || it.timer != nil {
		return
	}
	it.timer = e.world.clock.after(unloadTime, func() {
		e.remove(it)
		e.world.plane.itemChanged(e, it.model)
	})
}

// remove takes an item out of memory.
func (e *emulatedEngine) remove(it *item) {
	e.meter(it)
	e.items[it.model.index] = nil
	e.used -= it.model.holdBytes
	e.world.judge.removed(it.model)
}

// meter counts the hours of an item up to now.
func (e *emulatedEngine) meter(it *item) {
	e.world.meter.hold(it.model, e.service, it.metered, e.world.clock.elapsed, it.active == 0)
	it.metered = e.world.clock.elapsed
}

// handle lets the engine do something: now, when it thaws, or never if it dies.
func (e *emulatedEngine) handle(do func()) {
	switch {
	case !e.alive:
	case e.frozen:
		e.backlog = append(e.backlog, do)
	default:
		do()
	}
}

// thaw lets a frozen engine go on with what came meanwhile.
func (e *emulatedEngine) thaw() {
	e.frozen = false
	backlog := e.backlog
	e.backlog = nil
	for _, do := range backlog {
		e.handle(do)
	}
}

// crash loses all that the engine holds; its connections break.
func (e *emulatedEngine) crash() {
	for _, it := range e.items {
		if it == nil {
			continue
		}
		e.stopLoad(it)
		for _, r := range it.running {
			e.world.clock.cancel(r.timer)
			e.world.reply(e, r, answerUnknown)
		}
		for _, r := range it.queued {
			e.world.reply(e, r, answerUnknown)
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
	e.alive, e.frozen = false, false
	e.backlog = nil
}

// restart makes a crashed or replaced engine live again. It holds nothing; a
// replaced machine has empty caches.
func (e *emulatedEngine) restart(replaced bool) {
	e.lives++
	e.instance = fmt.Sprintf("%s/%d", e.id, e.lives)
	e.alive, e.frozen, e.gone = true, false, false
	e.leavingAt = -1
	e.fence = 0
	e.lastOrder = ""
	if replaced {
		e.machines++
		e.memory = newCheckpointCache(e.caches.MemoryGigabytes)
		e.disk = newCheckpointCache(e.caches.DiskGigabytes)
	}
}

// machineState returns the state of the engine's machine in truth.
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
