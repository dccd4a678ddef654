package traffic

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic/limit"
	"martenwheel.dev/pkg/tree"
)

// Router is the Dispatcher of a node. Create it with New and end it with Close.
type Router struct {
	config   Config
	servers  servers
	callers  *limit.Table
	shared   *limit.Table // of models and services
	pools    sync.Map     // base api.ModelName to *pool
	services sync.Map     // service name to *atomic.Int64: its waiting requests
	waiting  atomic.Int64
	running  atomic.Int64
	stopping atomic.Int64 // end of the planned stop in Unix nanoseconds; zero: none
	unknown  atomic.Uint64
	closed   chan struct{}
	closing  sync.Once
	work     conc.WaitGroup
}

var _ Dispatcher = (*Router)(nil)

// New returns a Router that takes its settings and its view of the cells from
// config.Control.
func New(config Config) *Router {
	config = config.withDefaults()
	router := &Router{
		config:  config,
		servers: servers{config: config.Outlier},
		callers: limit.NewTable(config.MaxCallers),
		shared:  limit.NewTable(config.MaxCallers),
		closed:  make(chan struct{}),
	}
	router.work.Go(router.run)
	return router
}

// Close ends the router's own work. Requests that still wait are refused.
func (r *Router) Close() {
	r.closing.Do(func() {
		r.stopping.Store(r.config.Now().UnixNano())
		close(r.closed)
	})
	r.work.Wait()
	r.sweep()
}

// Acquire waits until the request has a place on a replica. A request without a
// deadline gets that of its model's settings.
func (r *Router) Acquire(ctx context.Context, request Request) (Grant, error) {
	now := r.config.Now()
	settings, _ := r.config.Control.Tree()
	model, found := settings.Model(request.Model)
	if !found {
		r.unknown.Add(1)
		return nil, attempts{}.refuse(unknownModel(request.Model))
	}
	if request.Deadline.IsZero() {
		request.Deadline = now.Add(model.Settings.Deadline)
	}
	if refusal := r.admit(ctx, now, &model, &request); refusal != nil {
		r.poolOf(&model).refuse(model, refusal)
		return nil, attempts{}.refuse(refusal)
	}
	return r.place(ctx, model, &request, attempts{})
}

// admit refuses what is not even to be queued.
func (r *Router) admit(ctx context.Context, now time.Time, model *tree.Model, request *Request) *Refusal {
	if ctx.Err() != nil {
		return callerLeft()
	}
	if !r.stopAt().IsZero() {
		return stopRefusal()
	}
	if !request.Deadline.After(now) {
		return &Refusal{Reason: ReasonDeadline, Message: "the deadline has passed"}
	}
	delay, allowed := r.takeRates(now, model, request)
	if !allowed {
		return &Refusal{Reason: ReasonRateLimited, Message: "the rate limit is exceeded",
			RetryAfter: max(minRetryAfter, delay)}
	}
	return nil
}

// takeRates takes the request out of the rates that limit it. The caller's own
// goes first: what it refuses doesn't use up the shared ones.
func (r *Router) takeRates(now time.Time, model *tree.Model, request *Request) (time.Duration, bool) {
	tokens := tokensOf(request)
	callerKey := limit.Key{
		Scope: limit.ScopeCaller, Service: model.Service, Name: request.Caller,
		Rates: limit.Rates{Requests: model.Settings.CallerRate, Tokens: model.Settings.CallerTokenRate},
	}
	if delay, allowed := r.callers.Take(now, callerKey, tokens); !allowed {
		return delay, false
	}
	settings := &model.Settings
	modelRates := limit.Rates{Requests: settings.ModelRate, Tokens: settings.ModelTokenRate}
	modelKey := limit.Key{Scope: limit.ScopeModel, Service: model.Service, Name: string(model.Name), Rates: modelRates}
	if delay, allowed := r.shared.Take(now, modelKey, tokens); !allowed {
		return delay, false
	}
	serviceRates := limit.Rates{Requests: settings.ServiceRate, Tokens: settings.ServiceTokenRate}
	serviceKey := limit.Key{Scope: limit.ScopeService, Service: model.Service, Rates: serviceRates}
	return r.shared.Take(now, serviceKey, tokens)
}

// place finds a place for an admitted request, and waits for it if need be.
func (r *Router) place(ctx context.Context, model tree.Model, request *Request, earlier attempts) (Grant, error) {
	pool := r.poolOf(&model)
	answer := pool.arrive(r.config.Now(), model, request, earlier)
	if answer.wake != nil {
		r.config.Control.Report(*answer.wake)
	}
	if answer.waiter != nil {
		answer.settlement = r.await(ctx, pool, answer.waiter)
	}
	if answer.refusal != nil {
		return nil, answer.refusal
	}
	return answer.grant, nil
}

// again finds a place for a request that is retried.
func (r *Router) again(ctx context.Context, request *Request, earlier attempts) (Grant, error) {
	settings, _ := r.config.Control.Tree()
	model, found := settings.Model(request.Model)
	if !found {
		return nil, earlier.refuse(unknownModel(request.Model))
	}
	return r.place(ctx, model, request, earlier)
}

// await waits until the request is settled, its deadline passes or its caller
// leaves.
func (r *Router) await(ctx context.Context, pool *pool, waiting *waiter) settlement {
	deadline := time.NewTimer(waiting.request.Deadline.Sub(r.config.Now()))
	defer deadline.Stop()
	left := ctx.Done()
	if r.config.off.callerCheck {
		left = nil
	}
	select {
	case end := <-waiting.result:
		return r.unlessLeft(ctx, end)
	case <-deadline.C:
		pool.abandon(waiting, &Refusal{Reason: ReasonDeadline,
			Message: "no replica became free by the deadline", RetryAfter: defaultRetryAfter})
	case <-left:
		pool.abandon(waiting, callerLeft())
	}
	return r.unlessLeft(ctx, <-waiting.result)
}

// unlessLeft gives back a place that came just when the caller left.
func (r *Router) unlessLeft(ctx context.Context, end settlement) settlement {
	if end.grant == nil || ctx.Err() == nil || r.config.off.callerCheck {
		return end
	}
	end.grant.Done(Outcome{Kind: OutcomeCancelled})
	return settlement{refusal: end.grant.earlier.refuse(callerLeft())}
}

// poolOf returns the pool of the model's base, which is made if it is new.
func (r *Router) poolOf(model *tree.Model) *pool {
	base := model.Base
	if base == "" {
		base = model.Name
	}
	if known, found := r.pools.Load(base); found {
		return known.(*pool)
	}
	random := rand.New(rand.NewPCG(r.config.Seed, xxhash.Sum64String(string(base))))
	known, _ := r.pools.LoadOrStore(base, newPool(r, random))
	return known.(*pool)
}

// ObserveLoad takes in an engine's load report.
func (r *Router) ObserveLoad(now time.Time, id api.ServerID, report engine.LoadReport) {
	known := r.servers.get(id)
	known.observeAnswer(now)
	known.observeLoad(report)
}

// ObserveCacheEvents takes in a page of an engine's cache events.
func (r *Router) ObserveCacheEvents(now time.Time, id api.ServerID, page engine.CacheEvents) {
	known := r.servers.get(id)
	known.observeInstance(page.Instance)
	known.prefixes.Observe(now, page)
}

// ObserveLeaving excludes a server at once, since its engine said that it is
// leaving. It is taken in again when another instance of the engine is seen.
func (r *Router) ObserveLeaving(id api.ServerID, instance string) {
	r.servers.get(id).leaving.Store(&instance)
}

func unknownModel(name api.ModelName) *Refusal {
	return &Refusal{Reason: ReasonUnknownModel, Message: "the model " + string(name) + " does not exist"}
}

func callerLeft() *Refusal {
	return &Refusal{Reason: ReasonCallerLeft, Message: "the caller left"}
}

func stopRefusal() *Refusal {
	return &Refusal{Reason: ReasonStopping, Message: "the node is stopping", RetryAfter: defaultRetryAfter}
}
