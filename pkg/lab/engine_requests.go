package lab

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/engine"
)

// run is a request on an engine.
type run struct {
	request *request
	send    int // of the caller, that it belongs to
	node    *node
	life    int // of the node
	server  *emulatedEngine
	item    *item
	timer   *event
	job     *job
	output  int // number of the request that its output belongs to
}

// submit takes a request from a node.
func (e *emulatedEngine) submit(r *run) {
	req := r.request
	it := e.items[req.model.index]
	if e.leavingAt >= 0 && e.world.clock.elapsed > e.leavingAt+leavingGrace {
		e.world.judge.violations.Leaving++
	}
	if it == nil || it.state != engine.ItemReady {
		e.world.reply(e, r, answerNotRun)
		return
	}
	r.item = it
	if len(it.running) >= req.model.settings.MaxConcurrency {
		it.queued = append(it.queued, r)
		slices.SortStableFunc(it.queued, func(a, b *run) int { return b.request.priority - a.request.priority })
		return
	}
	e.start(r)
}

// leavingGrace is how long after its notice a leaving engine may still be given
// new work.
const leavingGrace = 5 * time.Second

// start runs a request.
func (e *emulatedEngine) start(r *run) {
	it := r.item
	e.setActive(it, 1)
	it.running = append(it.running, r)
	r.output = r.request.number
	e.world.judge.started(r)
	streams := len(it.batch.jobs) + 1
	reading := float64(r.request.prompt) / promptTokensPerSecond * (1 + float64(streams-1)*batchSlowdown)
	r.timer = e.world.clock.after(time.Duration(reading*float64(time.Second)), func() {
		r.timer = nil
		e.world.firstToken(e, r)
		r.job = it.batch.add(float64(r.request.output), func() { e.finish(r) })
	})
}

// setActive changes the running requests of an item and of its base.
func (e *emulatedEngine) setActive(it *item, change int) {
	for it != nil {
		e.meter(it)
		it.active += change
		if it.model.base < 0 {
			return
		}
		it = e.items[it.model.base]
	}
}

// finish ends a request that is done and starts the next one.
func (e *emulatedEngine) finish(r *run) {
	it := r.item
	e.setActive(it, -1)
	it.running = slices.DeleteFunc(it.running, func(other *run) bool { return other == r })
	e.world.reply(e, r, answerServed)
	if len(it.queued) > 0 {
		next := it.queued[0]
		it.queued = it.queued[1:]
		e.start(next)
	}
	e.freeWhenIdle(it)
}

// refuseQueued refuses the requests that have not started.
func (e *emulatedEngine) refuseQueued(it *item) {
	queued := it.queued
	it.queued = nil
	for _, r := range queued {
		e.world.reply(e, r, answerNotRun)
	}
}
