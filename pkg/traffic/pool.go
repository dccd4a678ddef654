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

// maxEjectedShare is the part of a model's replicas that may be ejected at
// once. At least one is always kept.
const maxEjectedShare = 0.5

// pool is a base model with its adapters, which share the places of the base's
// replicas. One lock guards all that is in it.
type pool struct {
	router *Router

	mutex     sync.Mutex
	directory *Directory // that the models' replicas were made from
	models    map[api.ModelName]*modelState
	usages    map[usageKey]*usage
	queue     *fairqueue.Queue[*waiter]
	retries   []*waiter // in order of arrival; they go before the queue
	chooser   *routing.Chooser
	random    *rand.Rand
}

// usageKey names a replica.
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

// arrival is the pool's answer to a request: a grant, a refusal or a waiter.
type arrival struct {
	settlement
	waiter *waiter
	wake   *api.ModelDemand // to be reported at once
}

// arrive gives the request a place, queues it or refuses it.
func (p *pool) arrive(now time.Time, model tree.Model, request *Request, earlier attempts) arrival {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.refresh(model)
	if len(earlier.tried) == 0 {
		state.demand.arrive(now)
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

// checkSize refuses a request that fits no replica.
func checkSize(request *Request, settings *tree.Settings) *Refusal {
	if settings.MaxTokens <= 0 || tokensOf(request) <= settings.MaxTokens {
		return nil
	}
	return &Refusal{Reason: ReasonNoCapacity,
		Message: "the prompt and the tokens asked for exceed what a replica holds (max_tokens)"}
}

// wait queues a request, unless it gets a place or must be refused.
func (p *pool) wait(now time.Time, state *modelState, request *Request, earlier attempts) arrival {
	if refusal := p.router.reserveWaiting(state); refusal != nil {
		return p.refused(state, earlier.refuse(refusal))
	}
	waiting := p.enqueue(state, request, earlier)
	p.release(now)
	p.trim(now, state, waiting)
	if !waiting.settled {
		p.judge(now, waiting, p.outlook(now, state), p.aheadOf(waiting))
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

// refused counts a refusal.
func (p *pool) refused(state *modelState, refusal *Refusal) arrival {
	state.counters.refuse(refusal.Reason)
	return arrival{settlement: settlement{refusal: refusal}}
}

// enqueue puts a request among those that wait.
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

// dequeue takes a request from among those that wait and settles it.
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

// release gives free places to those that wait, in their order.
func (p *pool) release(now time.Time) {
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

// serve gives a waiting request a place, if there is one.
func (p *pool) serve(now time.Time, waiting *waiter) bool {
	granted := p.tryPlace(now, waiting.state, &waiting.request, waiting.earlier)
	if granted == nil {
		return false
	}
	p.dequeue(waiting, settlement{grant: granted})
	return true
}

// trim refuses requests until the queue of the model is within its bounds. They
// are taken from the caller that has most waiting, so that the queue of a
// flooded model still takes in others.
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
			RetryAfter: p.outlook(now, state).drainedIn(p.queue.ClassLen(class)),
		}})
	}
}

// judge refuses a waiting request that can't be served by its deadline.
func (p *pool) judge(now time.Time, waiting *waiter, view outlook, ahead int) {
	if p.router.config.off.earlyRefusal {
		return
	}
	if refusal := view.judge(waiting.request.Deadline, ahead); refusal != nil {
		p.dequeue(waiting, settlement{refusal: refusal})
		return
	}
	stop := p.router.stopAt()
	if stop.IsZero() {
		return
	}
	if view.judge(stop, ahead) != nil || !now.Before(stop) {
		p.dequeue(waiting, settlement{refusal: stopRefusal()})
	}
}

// aheadOf estimates how many requests are served before one that waits.
func (p *pool) aheadOf(waiting *waiter) int {
	if waiting.isRetry() {
		return 0
	}
	return len(p.retries) + p.queue.Ahead(&waiting.item)
}

// sweep takes in the newest settings and view, gives out places and refuses
// those that, by what is known now, can't be served in time.
func (p *pool) sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.queue.Len() == 0 && len(p.retries) == 0 {
		return
	}
	p.refreshAll()
	p.release(now)
	views := make(map[*modelState]outlook, len(p.models))
	ahead := make(map[*modelState]int, len(p.models))
	for _, waiting := range p.inOrder() {
		state := waiting.state
		view, known := views[state]
		if !known {
			view = p.outlook(now, state)
			views[state] = view
		}
		p.judge(now, waiting, view, ahead[state])
		if !waiting.settled {
			ahead[state]++
		}
	}
}

// inOrder returns all that wait in the order in which they will be served.
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

// abandon refuses a request that no longer waits for a place, unless it has
// been settled before.
func (p *pool) abandon(waiting *waiter, refusal *Refusal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !waiting.settled {
		p.dequeue(waiting, settlement{refusal: refusal})
	}
}

// refuse counts a refusal that was decided outside of the pool.
func (p *pool) refuse(model tree.Model, refusal *Refusal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh(model).counters.refuse(refusal.Reason)
}
