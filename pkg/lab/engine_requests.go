package lab

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/quarantine"
)

// run is one attempt to run a request on an engine.
type run struct {
	request     *request
	sendNumber  int // which of the caller's sends the attempt belongs to
	node        *node
	incarnation int // incarnation of the node at the start
	server      *emulatedEngine
	item        *item
	timer       *event
	job         *job
	outputOf    int    // number of the request that produced the output
	instance    string // incarnation of the server that runs it
	subjects    []quarantine.Run
	received    int         // bytes of an answer without end, that the node holds
	hold        memory.Hold // of those bytes
	lost        bool        // the engine lost the connection of its answer, and works on
	left        float64     // tokens of the output when that happened, or that a copy lacks
	continues   *run        // whose copy it goes on from; nil: none
}

// submit handles a request from a node: it starts the request, queues it or refuses it.
func (e *emulatedEngine) submit(r *run) {
	req := r.request
	it := e.items[req.model.index]
	if e.leavingAt >= 0 && e.sim.clock.elapsed > e.leavingAt+leavingGrace {
		e.sim.checker.violations.Leaving++
	}
	if it == nil || it.state != engine.ItemReady {
		e.sim.reply(e, r, answerNotRun)
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

// leavingGrace is how long a leaving engine may still receive new requests after its notice.
const leavingGrace = 5 * time.Second

// start starts a request.
func (e *emulatedEngine) start(r *run) {
	it := r.item
	e.setActive(it, 1)
	it.running = append(it.running, r)
	r.outputOf = r.request.number
	e.sim.checker.started(r)
	if e.endless() {
		e.runEndlessly(r)
		return
	}
	if e.breaksAnswers() {
		e.breakAnswer(r)
		return
	}
	if r.request.badPart != "" {
		e.crashByPart(r)
		return
	}
	streams := len(it.batch.jobs) + 1
	prefillSeconds := float64(r.request.prompt) / promptTokensPerSecond * (1 + float64(streams-1)*batchSlowdown)
	r.timer = e.sim.clock.after(time.Duration(prefillSeconds*float64(time.Second)), func() {
		r.timer = nil
		e.whenSound(func() { e.speak(r) })
	})
}

// speak generates the output of a request whose prompt was read.
func (e *emulatedEngine) speak(r *run) {
	e.sim.firstToken(e, r)
	r.job = r.item.batch.add(float64(r.request.output), func() { e.finish(r) })
}

// setActive changes the number of running requests of an item and of its base.
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

// finish completes a request and starts the next one in the queue.
func (e *emulatedEngine) finish(r *run) {
	it := r.item
	e.setActive(it, -1)
	it.running = slices.DeleteFunc(it.running, func(other *run) bool { return other == r })
	e.sim.noteServed(e)
	if !r.lost {
		e.sim.reply(e, r, answerServed)
	}
	e.startNext(it)
}

// startNext starts the next request in the queue.
func (e *emulatedEngine) startNext(it *item) {
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
		e.sim.reply(e, r, answerNotRun)
	}
}
