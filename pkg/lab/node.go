package lab

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/traffic/routing"
)

// node is one martenwheel process: its router, and the receiver of the control plane's updates. It
// knows replicas only from those updates.
type node struct {
	sim         *simulation
	index       int
	id          api.NodeID
	zone        int
	alive       bool
	frozen      bool
	incarnation int
	deferred    []func()        // calls that arrived while the node was frozen
	unread      []*request      // of callers that connected while the node was frozen
	views       [][]replicaView // by model index
	queues      []*modelQueue   // by model index
	active      []int           // indexes of the models to report, sorted
	ticking     bool
	runs        []*run // attempts in progress
	quarantine  *quarantine.Table
	memory      *memory.Budget // of the answers that it holds

	chooser    *routing.Chooser
	candidates []routing.Candidate // reused buffer of pick
	servers    []*emulatedEngine   // engines of the candidates
}

// replicaView is a node's view of a replica.
type replicaView struct {
	server     *emulatedEngine
	software   int // version of its software
	state      api.ReplicaState
	leaving    bool
	readyBy    time.Duration // expected end of the load
	avoidUntil time.Duration // not used before this time, after a failed attempt
}

// modelQueue is a node's queue and counts for one model.
type modelQueue struct {
	waiting     []*request
	postponed   []*request // suspected of crashing engines, until they ask for a trial again
	inFlight    int
	arrivals    uint32
	lastArrival time.Duration
	active      bool
}

// reportInterval is how often a node reports demand to the owner.
const reportInterval = time.Second

// handle runs do now, after the node resumes if it is frozen, or not at all if it is dead.
func (n *node) handle(do func()) {
	switch {
	case !n.alive:
	case n.frozen:
		n.deferred = append(n.deferred, do)
	default:
		do()
	}
}

// receive handles a request from a caller.
func (n *node) receive(req *request) {
	if !n.alive {
		n.sim.connectionLost(req, n)
		return
	}
	incarnation := n.incarnation
	if n.frozen {
		n.unread = append(n.unread, req)
	}
	n.handle(func() {
		removeRequest(&n.unread, req)
		queue := n.queue(req.model.index)
		queue.arrivals++
		queue.lastArrival = n.sim.clock.elapsed
		n.activate(req.model.index)
		if req.claimed {
			n.sim.answerCaller(req, refusalOf(req, answerUnknown))
			return
		}
		queue.waiting = append(queue.waiting, req)
		n.sim.clock.at(req.deadline, func() { n.handle(func() { n.expire(req, incarnation) }) })
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

// expire refuses a request that is still queued at its deadline.
func (n *node) expire(req *request, incarnation int) {
	if n.incarnation == incarnation && n.leaveQueue(req) {
		n.refuse(req)
	}
}

// refuse answers a queued request with a refusal.
func (n *node) refuse(req *request) {
	kind := answerNotRun
	if req.maybeRan {
		kind = answerUnknown
	}
	n.sim.answerCaller(req, refusalOf(req, kind))
}

// leaveQueue removes a request from its queue and reports whether it was there.
func (n *node) leaveQueue(req *request) bool {
	queue := n.queue(req.model.index)
	return removeRequest(&queue.waiting, req) || removeRequest(&queue.postponed, req)
}

// removeRequest removes a request from a list and reports whether it was there.
func removeRequest(list *[]*request, req *request) bool {
	i := slices.Index(*list, req)
	if i < 0 {
		return false
	}
	*list = slices.Delete(*list, i, i+1)
	return true
}

// dispatch sends the queued requests of a model to its replicas, and refuses at once those that
// cannot be served by their deadline.
func (n *node) dispatch(model int) {
	queue := n.queue(model)
	for len(queue.waiting) > 0 {
		req := queue.waiting[0]
		standing := n.quarantine.Standing(n.sim.clock.now(), req.subjects...)
		if n.versionGone(req) || standing == quarantine.Quarantined {
			queue.waiting = queue.waiting[1:]
			n.refuse(req)
			continue
		}
		target := n.pick(req)
		if target == nil {
			n.refuseTooLate(model)
			return
		}
		queue.waiting = queue.waiting[1:]
		if standing == quarantine.Suspected && !n.sim.startTrial(req, target) {
			n.postpone(req)
			continue
		}
		n.attempt(req, target)
	}
}

// versionGone reports whether no replica is left at which a stream can go on that has begun: only the version
// that it began at can continue it. Where that was is known to all nodes.
func (n *node) versionGone(req *request) bool {
	return req.software != 0 && !slices.ContainsFunc(n.views[req.model.index], func(v replicaView) bool { return v.mayServe(req) })
}

// mayServe reports whether a replica has the version at which a request began, if it has.
func (v *replicaView) mayServe(req *request) bool {
	return req.software == 0 || req.software == v.software
}

// pick chooses a replica for a request with the real routing code among those that the node knows; nil if
// none can take it.
func (n *node) pick(req *request) *emulatedEngine {
	model := req.model.index
	settings := &n.sim.models[model].settings
	n.candidates, n.servers = n.candidates[:0], n.servers[:0]
	for _, view := range n.views[model] {
		if view.avoidUntil > n.sim.clock.elapsed || !view.mayServe(req) {
			continue
		}
		n.servers = append(n.servers, view.server)
		n.candidates = append(n.candidates, routing.Candidate{
			Server: view.server.id, Zone: n.sim.scenario.Zones[view.server.zone],
			State: view.state, Leaving: view.leaving, Share: 1,
			Usage: routing.Usage{Requests: n.inFlightOn(model, view.server), MaxRequests: settings.MaxConcurrency},
		})
	}
	routingRequest := routing.Request{Zone: n.sim.scenario.Zones[n.zone]}
	index, found := n.chooser.Choose(n.sim.random, &routingRequest, n.candidates)
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

// refuseTooLate refuses the queued requests whose deadline is before the earliest time at which a
// loading replica is expected to be ready.
func (n *node) refuseTooLate(model int) {
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

// attempt sends a request to an engine.
func (n *node) attempt(req *request, target *emulatedEngine) {
	r := &run{request: req, sendNumber: req.sends, node: n, incarnation: n.incarnation, server: target}
	n.beginRound(r)
	req.attempts++
	req.claimed = req.model.unsafe
	n.runs = append(n.runs, r)
	n.queue(req.model.index).inFlight++
	n.activate(req.model.index)
	if !n.sim.network.reaches(n.zone, target.zone) {
		n.sim.clock.after(connectionLossTimeout, func() { n.attemptEnded(r, answerNotRun) })
		return
	}
	delay := n.sim.network.delay(n.zone, target.zone)
	n.sim.clock.after(delay, func() {
		if !target.alive || target.full() {
			n.sim.reply(target, r, answerNotRun)
			return
		}
		target.handle(func() { target.submit(r) })
	})
}

// avoidAfterFailure is how long a node avoids a replica after a failed attempt.
const avoidAfterFailure = time.Second

// attemptEnded handles the end of an attempt.
func (n *node) attemptEnded(r *run, kind answerKind) {
	n.handle(func() {
		i := slices.Index(n.runs, r)
		if i < 0 || n.incarnation != r.incarnation {
			return
		}
		n.runs = slices.Delete(n.runs, i, i+1)
		r.hold.Release()
		kind := n.read(kind)
		model := r.request.model.index
		n.queue(model).inFlight--
		n.recordEvidence(r, kind)
		n.handleOutcome(r, kind)
		n.dispatch(model)
	})
}

// handleOutcome answers the caller or queues the request again.
func (n *node) handleOutcome(r *run, kind answerKind) {
	req := r.request
	req.maybeRan = req.maybeRan || kind == answerUnknown
	switch {
	case kind == answerServed || kind == answerPart:
		n.sim.answerCaller(req, answer{kind, r.outputOf})
	case kind == answerUnknown && req.model.unsafe:
		n.sim.answerCaller(req, refusalOf(req, answerUnknown))
	case n.sim.clock.elapsed >= req.deadline:
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

// avoid excludes a replica from dispatch for avoidAfterFailure.
func (n *node) avoid(model int, server *emulatedEngine) {
	for i := range n.views[model] {
		if n.views[model][i].server == server {
			n.views[model][i].avoidUntil = n.sim.clock.elapsed + avoidAfterFailure
		}
	}
	incarnation := n.incarnation
	n.sim.clock.after(avoidAfterFailure, func() {
		n.handle(func() {
			if n.incarnation == incarnation {
				n.dispatch(model)
			}
		})
	})
}

// setReplicas applies the control plane's update on a model.
func (n *node) setReplicas(model int, replicas []replicaView) {
	n.views[model] = slices.Clone(replicas)
	n.dispatch(model)
}

// activate makes the node report on a model at the next tick. tick renews this while requests are
// queued or in flight.
func (n *node) activate(model int) {
	queue := n.queue(model)
	if !queue.active {
		queue.active = true
		at, _ := slices.BinarySearch(n.active, model)
		n.active = slices.Insert(n.active, at, model)
	}
	if !n.ticking {
		n.ticking = true
		incarnation := n.incarnation
		n.sim.clock.after(reportInterval, func() { n.handle(func() { n.tick(incarnation) }) })
	}
}

// tick reports on the active models.
func (n *node) tick(incarnation int) {
	if n.incarnation != incarnation {
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

// report sends the demand for a model to its owner.
func (n *node) report(model int) {
	queue := n.queue(model)
	demand := api.ModelDemand{
		Model:       n.sim.models[model].name,
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
	n.sim.plane.report(n, model, demand)
}

// kill kills the process with all its state. Its callers notice at once.
func (n *node) kill() {
	n.alive, n.frozen = false, false
	n.incarnation++
	n.deferred, n.active, n.ticking = nil, nil, false
	runs, unread := n.runs, n.unread
	n.runs, n.unread = nil, nil
	for _, r := range runs {
		n.sim.connectionLost(r.request, n)
	}
	for _, req := range unread {
		n.sim.connectionLost(req, n)
	}
	for model, queue := range n.queues {
		if queue == nil {
			continue
		}
		n.queues[model] = nil
		for _, req := range slices.Concat(queue.waiting, queue.postponed) {
			n.sim.connectionLost(req, n)
		}
	}
}

// restart starts the process again, with no knowledge of replicas.
func (n *node) restart() {
	n.alive = true
	n.quarantine = n.sim.knownEvidence()
	n.memory = &memory.Budget{Limit: nodeBytes}
	n.views = make([][]replicaView, len(n.sim.models))
	n.sim.plane.nodeStarted(n)
}

// resume resumes a frozen node and runs the deferred calls.
func (n *node) resume() {
	n.frozen = false
	deferred := n.deferred
	n.deferred = nil
	for _, do := range deferred {
		n.handle(do)
	}
}
