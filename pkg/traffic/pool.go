package traffic

import (
	"math/rand/v2"
	"sync"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic/fairqueue"
	"martenwheel.dev/pkg/traffic/routing"
	"martenwheel.dev/pkg/tree"
)

// maxEjectedShare is the maximum share of a model's replicas that may be ejected at
// once. At least one is always kept.
const maxEjectedShare = 0.5

// pool holds the state of a base model and its adapters, which share the slots of the
// base's replicas.
type pool struct {
	router *Router

	mutex     sync.Mutex // guards the fields below
	directory *Directory // from which the models' replicas were built
	models    map[api.ModelName]*modelState
	usages    map[usageKey]*usage
	queue     *fairqueue.Queue[*waiter]
	retries   []*waiter // retried requests in order of arrival; they are served before the queue
	chooser   *routing.Chooser
	random    *rand.Rand
}

// usageKey identifies a replica.
type usageKey struct {
	model  api.ModelName
	server api.ServerID
}

func newPool(router *Router, random *rand.Rand) *pool {
	newQueue := fairqueue.New[*waiter]
	if router.config.off.fairness {
		newQueue = fairqueue.NewUnfair[*waiter]
	}
	return &pool{
		router:  router,
		models:  make(map[api.ModelName]*modelState),
		usages:  make(map[usageKey]*usage),
		queue:   newQueue(router.config.HeadStart),
		chooser: routing.NewDefaultChooser(),
		random:  random,
	}
}

// arrival is the pool's answer to a new request: a grant, a refusal or a waiter.
type arrival struct {
	settlement
	waiter *waiter
	wake   *api.ModelDemand // report to be sent at once; nil: none
}

// arrive gives the request a slot, queues it or refuses it.
func (p *pool) arrive(now time.Time, model tree.Model, request *Request, earlier attempts) arrival {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.refresh(model)
	if len(earlier.tried) == 0 {
		state.demand.countArrival(now)
		state.budget.earn(model.Settings.RetryBudget)
	}
	if refusal := checkSize(request, &model.Settings); refusal != nil {
		return p.refused(state, earlier.refuse(refusal))
	}
	if p.queue.Len() == 0 && len(p.retries) == 0 {
		if granted := p.tryPlace(now, state, request, earlier); granted != nil {
			return arrival{settlement: settlement{grant: granted}}
		}
	}
	return p.wait(now, state, request, earlier)
}

// checkSize returns a refusal if the request is too large for any replica, else nil.
func checkSize(request *Request, settings *tree.Settings) *Refusal {
	if settings.MaxTokens <= 0 || tokensOf(request) <= settings.MaxTokens {
		return nil
	}
	return &Refusal{Reason: ReasonNoCapacity,
		Message: "the prompt and the tokens asked for exceed what a replica holds (max_tokens)"}
}

// wait queues a request, unless it gets a slot or must be refused.
func (p *pool) wait(now time.Time, state *modelState, request *Request, earlier attempts) arrival {
	if refusal := p.router.reserveWaiting(state); refusal != nil {
		return p.refused(state, earlier.refuse(refusal))
	}
	waiting := p.enqueue(state, request, earlier)
	p.serveWaiting(now)
	p.trim(now, state, waiting)
	if !waiting.settled {
		p.refuseIfLate(now, waiting, p.forecast(now, state), p.aheadOf(waiting))
	}
	if waiting.settled {
		return arrival{settlement: <-waiting.result}
	}
	answer := arrival{waiter: waiting}
	if report, first := p.wake(now, state); first {
		answer.wake = &report
	}
	return answer
}

// refused counts a refusal and returns it as the answer.
func (p *pool) refused(state *modelState, refusal *Refusal) arrival {
	state.counters.refuse(refusal.Reason)
	return arrival{settlement: settlement{refusal: refusal}}
}

// enqueue adds a request to the queue or to the waiting retries.
func (p *pool) enqueue(state *modelState, request *Request, earlier attempts) *waiter {
	waiting := &waiter{
		request: *request, earlier: earlier, state: state,
		result: make(chan settlement, 1),
	}
	if waiting.isRetry() {
		p.retries = append(p.retries, waiting)
		return waiting
	}
	waiting.item = fairqueue.Item[*waiter]{
		Value: waiting, Class: string(state.name), Flow: request.Caller,
		Cost: float64(tokensOf(request)), Size: request.PromptTokens,
		Priority: request.Priority, Deadline: request.Deadline,
	}
	p.queue.SetWeight(string(state.name), state.model.Settings.FairShare)
	p.queue.Push(&waiting.item)
	return waiting
}

// dequeue removes a waiting request and settles it.
func (p *pool) dequeue(waiting *waiter, end settlement) {
	switch {
	case waiting.isRetry():
		p.removeRetry(waiting)
	case end.grant != nil:
		p.queue.Serve(&waiting.item)
	default:
		p.queue.Remove(&waiting.item)
	}
	p.router.releaseWaiting(waiting.state)
	if end.refusal != nil {
		waiting.earlier.refuse(end.refusal)
		waiting.state.counters.refuse(end.refusal.Reason)
	}
	waiting.settle(end)
	if p.waitingCount(waiting.state) == 0 {
		waiting.state.demand.wokenAt = time.Time{}
	}
}

func (p *pool) removeRetry(waiting *waiter) {
	for index, other := range p.retries {
		if other == waiting {
			p.retries = append(p.retries[:index], p.retries[index+1:]...)
			return
		}
	}
}

// serveWaiting gives free slots to waiting requests, in their order.
func (p *pool) serveWaiting(now time.Time) {
	for index := 0; index < len(p.retries); {
		if !p.serve(now, p.retries[index]) {
			index++
		}
	}
	if p.queue.Len() == 0 {
		return
	}
	p.queue.Unblock()
	for item := p.queue.Next(); item != nil; item = p.queue.Next() {
		if !p.serve(now, item.Value) {
			p.queue.Block(item.Class)
		}
	}
}

// serve gives a waiting request a slot. It returns false if none is free.
func (p *pool) serve(now time.Time, waiting *waiter) bool {
	granted := p.tryPlace(now, waiting.state, &waiting.request, waiting.earlier)
	if granted == nil {
		return false
	}
	p.dequeue(waiting, settlement{grant: granted})
	return true
}

// trim refuses requests until the queue of the model is within its bounds. It takes
// them from the caller with the highest total cost waiting, so that a caller that
// floods the model does not keep others out of its queue.
func (p *pool) trim(now time.Time, state *modelState, newcomer *waiter) {
	class := string(state.name)
	settings := &state.model.Settings
	for !newcomer.settled && !newcomer.isRetry() {
		withinRequests := p.queue.ClassLen(class) <= settings.QueueRequests
		withinTokens := p.queue.ClassSize(class) <= settings.QueueTokens
		if withinRequests && withinTokens {
			return
		}
		victim := newcomer
		if !p.router.config.off.displacement {
			victim = p.queue.Last(class, newcomer.request.Caller).Value
		}
		p.dequeue(victim, settlement{refusal: &Refusal{
			Reason:     ReasonQueueFull,
			Message:    "too many requests wait for the model",
			RetryAfter: p.forecast(now, state).timeToDrain(p.queue.ClassLen(class)),
		}})
	}
}

// refuseIfLate refuses a waiting request that can't be served by its deadline or by the
// planned stop of the node.
func (p *pool) refuseIfLate(now time.Time, waiting *waiter, f forecast, ahead int) {
	if p.router.config.off.earlyRefusal {
		return
	}
	if refusal := f.refusal(waiting.request.Deadline, ahead); refusal != nil {
		p.dequeue(waiting, settlement{refusal: refusal})
		return
	}
	stop := p.router.stopAt()
	if stop.IsZero() {
		return
	}
	if f.refusal(stop, ahead) != nil || !now.Before(stop) {
		p.dequeue(waiting, settlement{refusal: stopRefusal()})
	}
}

// aheadOf estimates how many requests are served before a waiting one.
func (p *pool) aheadOf(waiting *waiter) int {
	if waiting.isRetry() {
		return 0
	}
	return len(p.retries) + p.queue.Ahead(&waiting.item)
}

// sweep applies the newest settings and directory, gives free slots to waiting
// requests and refuses those that can't be served in time any more.
func (p *pool) sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.queue.Len() == 0 && len(p.retries) == 0 {
		return
	}
	p.refreshAll()
	p.serveWaiting(now)
	forecasts := make(map[*modelState]forecast, len(p.models))
	ahead := make(map[*modelState]int, len(p.models))
	for _, waiting := range p.inOrder() {
		state := waiting.state
		f, known := forecasts[state]
		if !known {
			f = p.forecast(now, state)
			forecasts[state] = f
		}
		p.refuseIfLate(now, waiting, f, ahead[state])
		if !waiting.settled {
			ahead[state]++
		}
	}
}

// inOrder returns all waiting requests in the order in which they will be served.
func (p *pool) inOrder() []*waiter {
	ordered := append([]*waiter(nil), p.retries...)
	for _, item := range p.queue.Ordered() {
		ordered = append(ordered, item.Value)
	}
	return ordered
}

// waitingOf returns the waiting requests of a model.
func (p *pool) waitingOf(state *modelState) []*waiter {
	var waiting []*waiter
	for _, retry := range p.retries {
		if retry.state == state {
			waiting = append(waiting, retry)
		}
	}
	p.queue.Each(string(state.name), func(item *fairqueue.Item[*waiter]) {
		waiting = append(waiting, item.Value)
	})
	return waiting
}

// waitingCount returns the number of waiting requests of a model.
func (p *pool) waitingCount(state *modelState) int {
	count := p.queue.ClassLen(string(state.name))
	for _, retry := range p.retries {
		if retry.state == state {
			count++
		}
	}
	return count
}

// abandon refuses a waiting request, unless it was settled before.
func (p *pool) abandon(waiting *waiter, refusal *Refusal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !waiting.settled {
		p.dequeue(waiting, settlement{refusal: refusal})
	}
}

// refuse counts a refusal that was decided outside the pool.
func (p *pool) refuse(model tree.Model, refusal *Refusal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh(model).counters.refuse(refusal.Reason)
}
