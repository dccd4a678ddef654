package lab

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic/routing"
)

// node is one process of martenwheel beside callers: its router, and the ears
// of the control plane. It knows replicas only by what the control plane told.
type node struct {
	world   *world
	index   int
	id      api.NodeID
	zone    int
	alive   bool
	frozen  bool
	lives   int
	backlog []func()        // what came while it was frozen
	views   [][]replicaView // by model
	queues  []*modelQueue   // by model
	active  []int           // models with something to report, in order
	ticking bool
	runs    []*run // attempts under way

	chooser    *routing.Chooser
	candidates []routing.Candidate // scratch
	servers    []*emulatedEngine   // of the candidates
}

// replicaView is what a node knows of a replica.
type replicaView struct {
	server  *emulatedEngine
	state   api.ReplicaState
	leaving bool
	readyBy time.Duration // while loading
	avoid   time.Duration // do not use before: an attempt failed
}

// modelQueue is what a node has of one model.
type modelQueue struct {
	waiting     []*request
	inFlight    int
	arrivals    uint32
	lastArrival time.Duration
	active      bool
}

// reportInterval is how often a node reports demand to the owner.
const reportInterval = time.Second

// handle lets the node do something: now, when it thaws, or never if it dies.
func (n *node) handle(do func()) {
	switch {
	case !n.alive:
	case n.frozen:
		n.backlog = append(n.backlog, do)
	default:
		do()
	}
}

// receive takes a request from a caller.
func (n *node) receive(req *request) {
	if !n.alive {
		n.world.brokeOff(req, n)
		return
	}
	life := n.lives
	n.handle(func() {
		queue := n.queue(req.model.index)
		queue.arrivals++
		queue.lastArrival = n.world.clock.elapsed
		n.activate(req.model.index)
		if req.claimed {
			n.world.callerGets(req, refusalOf(req, answerUnknown))
			return
		}
		queue.waiting = append(queue.waiting, req)
		n.world.clock.at(req.deadline, func() { n.handle(func() { n.expire(req, life) }) })
		first := len(queue.waiting) == 1
		n.dispatch(req.model.index)
		if first && len(queue.waiting) > 0 {
			n.report(req.model.index)
		}
	})
}

// queue returns the node's queue of a model.
func (n *node) queue(model int) *modelQueue {
	if n.queues[model] == nil {
		n.queues[model] = &modelQueue{}
	}
	return n.queues[model]
}

// expire refuses a request that still waits at its deadline.
func (n *node) expire(req *request, life int) {
	if n.lives == life && n.leaveQueue(req) {
		n.refuse(req)
	}
}

// refuse gives up a request that waits.
func (n *node) refuse(req *request) {
	kind := answerNotRun
	if req.maybeRan {
		kind = answerUnknown
	}
	n.world.callerGets(req, refusalOf(req, kind))
}

// leaveQueue takes a request out of its queue; false if it is not there.
func (n *node) leaveQueue(req *request) bool {
	queue := n.queue(req.model.index)
	i := slices.Index(queue.waiting, req)
	if i < 0 {
		return false
	}
	queue.waiting = slices.Delete(queue.waiting, i, i+1)
	return true
}

// dispatch gives the waiting requests of a model to its replicas, and refuses
// at once those that cannot be served by their deadline.
func (n *node) dispatch(model int) {
	queue := n.queue(model)
	for len(queue.waiting) > 0 {
		target := n.pick(model)
		if target == nil {
			n.refuseLate(model)
			return
		}
		req := queue.waiting[0]
		queue.waiting = queue.waiting[1:]
		n.attempt(req, target)
	}
}

// pick lets the product's routing choose a replica among those that the node
// knows of; nil if none can take the request.
func (n *node) pick(model int) *emulatedEngine {
	settings := &n.world.models[model].settings
	n.candidates, n.servers = n.candidates[:0], n.servers[:0]
	for _, view := range n.views[model] {
		if view.avoid > n.world.clock.elapsed {
			continue
		}
		n.servers = append(n.servers, view.server)
		n.candidates = append(n.candidates, routing.Candidate{
			Server: view.server.id, Zone: n.world.scenario.Zones[view.server.zone],
			State: view.state, Leaving: view.leaving, Share: 1,
			Usage: routing.Usage{Requests: n.inFlightOn(model, view.server), MaxRequests: settings.MaxConcurrency},
		})
	}
	asked := routing.Request{Zone: n.world.scenario.Zones[n.zone]}
	index, found := n.chooser.Choose(n.world.random, &asked, n.candidates)
	if !found {
		return nil
	}
	return n.servers[index]
}

// inFlightOn counts the node's own requests on a replica.
func (n *node) inFlightOn(model int, server *emulatedEngine) int {
	count := 0
	for _, r := range n.runs {
		if r.server == server && r.request.model.index == model {
			count++
		}
	}
	return count
}

// refuseLate refuses the waiting requests of a model that is known to become
// ready only after their deadline.
func (n *node) refuseLate(model int) {
	readyBy := time.Duration(-1)
	for _, view := range n.views[model] {
		if view.state != api.ReplicaLoading {
			continue
		}
		if readyBy < 0 || view.readyBy < readyBy {
			readyBy = view.readyBy
		}
	}
	queue := n.queue(model)
	for _, req := range slices.Clone(queue.waiting) {
		if readyBy > req.deadline {
			n.leaveQueue(req)
			n.refuse(req)
		}
	}
}

// attempt gives a request to an engine.
func (n *node) attempt(req *request, target *emulatedEngine) {
	r := &run{request: req, send: req.sends, node: n, life: n.lives, server: target}
	req.attempts++
	req.claimed = req.model.unsafe
	n.runs = append(n.runs, r)
	n.queue(req.model.index).inFlight++
	n.activate(req.model.index)
	if !n.world.network.reaches(n.zone, target.zone) {
		n.world.clock.after(brokenConnection, func() { n.ended(r, answerNotRun) })
		return
	}
	delay := n.world.network.delay(n.zone, target.zone)
	n.world.clock.after(delay, func() {
		if !target.alive {
			n.world.reply(target, r, answerNotRun)
			return
		}
		target.handle(func() { target.submit(r) })
	})
}

// avoidAfterFailure is how long a node leaves a replica alone that did not
// take a request.
const avoidAfterFailure = time.Second

// ended takes the end of an attempt.
func (n *node) ended(r *run, kind answerKind) {
	n.handle(func() {
		i := slices.Index(n.runs, r)
		if i < 0 || n.lives != r.life {
			return
		}
		n.runs = slices.Delete(n.runs, i, i+1)
		model := r.request.model.index
		n.queue(model).inFlight--
		n.settle(r, kind)
		n.dispatch(model)
	})
}

// settle answers the caller, or lets the request wait again.
func (n *node) settle(r *run, kind answerKind) {
	req := r.request
	req.maybeRan = req.maybeRan || kind == answerUnknown
	switch {
	case kind == answerServed:
		n.world.callerGets(req, answer{answerServed, r.output})
	case kind == answerUnknown && req.model.unsafe:
		n.world.callerGets(req, refusalOf(req, answerUnknown))
	case n.world.clock.elapsed >= req.deadline:
		n.refuse(req)
	default:
		req.claimed = false
		n.activate(req.model.index)
		n.avoid(req.model.index, r.server)
		queue := n.queue(req.model.index)
		queue.waiting = slices.Insert(queue.waiting, 0, req)
		n.report(req.model.index)
	}
}

// avoid leaves a replica alone for a while.
func (n *node) avoid(model int, server *emulatedEngine) {
	for i := range n.views[model] {
		if n.views[model][i].server == server {
			n.views[model][i].avoid = n.world.clock.elapsed + avoidAfterFailure
		}
	}
	life := n.lives
	n.world.clock.after(avoidAfterFailure, func() {
		n.handle(func() {
			if n.lives == life {
				n.dispatch(model)
			}
		})
	})
}

// setReplicas takes the control plane's word on a model.
func (n *node) setReplicas(model int, replicas []replicaView) {
	n.views[model] = slices.Clone(replicas)
	n.dispatch(model)
}

// activate has the node report on a model until nothing is left to report.
func (n *node) activate(model int) {
	queue := n.queue(model)
	if !queue.active {
		queue.active = true
		at, _ := slices.BinarySearch(n.active, model)
		n.active = slices.Insert(n.active, at, model)
	}
	if !n.ticking {
		n.ticking = true
		life := n.lives
		n.world.clock.after(reportInterval, func() { n.handle(func() { n.tick(life) }) })
	}
}

// tick reports the active models.
func (n *node) tick(life int) {
	if n.lives != life {
		return
	}
	n.ticking = false
	models := n.active
	n.active = nil
	for _, model := range models {
		queue := n.queue(model)
		queue.active = false
		n.report(model)
		if queue.inFlight > 0 || len(queue.waiting) > 0 {
			n.activate(model)
		}
	}
}

// report tells the owner about a model.
func (n *node) report(model int) {
	queue := n.queue(model)
	demand := api.ModelDemand{
		Model:       n.world.models[model].name,
		Arrivals:    queue.arrivals,
		Waiting:     uint32(len(queue.waiting)),
		InFlight:    uint32(queue.inFlight),
		LastArrival: epoch.Add(queue.lastArrival),
	}
	queue.arrivals = 0
	for i, req := range queue.waiting {
		deadline := epoch.Add(req.deadline)
		if i == 0 || req.priority > demand.HighestPriority {
			demand.HighestPriority = req.priority
		}
		if i == 0 || deadline.Before(demand.EarliestDeadline) {
			demand.EarliestDeadline = deadline
		}
	}
	n.world.plane.report(n, model, demand)
}

// die ends the process with all that it had. Its callers see it at once.
func (n *node) die() {
	n.alive, n.frozen = false, false
	n.lives++
	n.backlog, n.active, n.ticking = nil, nil, false
	runs := n.runs
	n.runs = nil
	for _, r := range runs {
		n.world.brokeOff(r.request, n)
	}
	for model, queue := range n.queues {
		if queue == nil {
			continue
		}
		n.queues[model] = nil
		for _, req := range queue.waiting {
			n.world.brokeOff(req, n)
		}
	}
}

// restart starts the process anew; it knows nothing yet.
func (n *node) restart() {
	n.alive = true
	n.views = make([][]replicaView, len(n.world.models))
	n.world.plane.nodeStarted(n)
}

// thaw lets it go on with what came meanwhile.
func (n *node) thaw() {
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, do := range backlog {
		n.handle(do)
	}
}
