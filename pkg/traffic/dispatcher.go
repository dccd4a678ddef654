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

// Router is the Dispatcher of a node. Create it with New and stop it with Close.
type Router struct {
	config        Config
	servers       servers
	callers       *limit.Table
	shared        *limit.Table // rate limits of models and services
	pools         sync.Map     // base api.ModelName to *pool
	services      sync.Map     // service name to *atomic.Int64, its number of waiting requests
	waiting       atomic.Int64
	running       atomic.Int64
	stopDeadline  atomic.Int64  // end of the planned stop in Unix nanoseconds; zero: none
	unknownModels atomic.Uint64 // requests for unknown models
	closed        chan struct{}
	closing       sync.Once
	work          conc.WaitGroup
}

var _ Dispatcher = (*Router)(nil)

// New returns a Router that gets its settings and directory from config.Control.
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

// Close stops the router's background work. Requests that still wait are refused.
func (r *Router) Close() {
	r.closing.Do(func() {
		r.stopDeadline.Store(r.config.Now().UnixNano())
		close(r.closed)
	})
	r.work.Wait()
	r.sweep()
}

// Acquire waits until the request has a slot on a replica. A request without a
// deadline gets the one of its model's settings.
func (r *Router) Acquire(ctx context.Context, request Request) (Grant, error) {
	now := r.config.Now()
	settings, _ := r.config.Control.Tree()
	model, found := settings.Model(request.Model)
	if !found {
		r.unknownModels.Add(1)
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

// admit returns the refusal of a request that must not be queued, else nil.
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
	delay, allowed := r.chargeRateLimits(now, model, request)
	if !allowed {
		return &Refusal{Reason: ReasonRateLimited, Message: "the rate limit is exceeded",
			RetryAfter: max(minRetryAfter, delay)}
	}
	return nil
}

// chargeRateLimits charges the request to the rate limits of the caller, the model and the
// service. It checks the caller's limit first, so that requests refused by it do not
// use up the shared limits. If a limit refuses, it returns the time to wait.
func (r *Router) chargeRateLimits(now time.Time, model *tree.Model, request *Request) (time.Duration, bool) {
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

// place acquires a slot for an admitted request, and waits for it if necessary.
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

// retry acquires a slot for a request that is retried.
func (r *Router) retry(ctx context.Context, request *Request, earlier attempts) (Grant, error) {
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
		return r.releaseIfLeft(ctx, end)
	case <-deadline.C:
		pool.abandon(waiting, &Refusal{Reason: ReasonDeadline,
			Message: "no replica became free by the deadline", RetryAfter: defaultRetryAfter})
	case <-left:
		pool.abandon(waiting, callerLeft())
	}
	return r.releaseIfLeft(ctx, <-waiting.result)
}

// releaseIfLeft returns end, or a refusal if the caller left in the meantime. It releases
// a slot that was granted just as the caller left.
func (r *Router) releaseIfLeft(ctx context.Context, end settlement) settlement {
	if end.grant == nil || ctx.Err() == nil || r.config.off.callerCheck {
		return end
	}
	end.grant.Done(Outcome{Kind: OutcomeCancelled})
	return settlement{refusal: end.grant.earlier.refuse(callerLeft())}
}

// poolOf returns the pool of the model's base and creates it if necessary.
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

// ObserveLoad processes an engine's load report.
func (r *Router) ObserveLoad(now time.Time, id api.ServerID, report engine.LoadReport) {
	known := r.servers.get(id)
	known.observeAnswer(now)
	known.observeLoad(report)
}

// ObserveCacheEvents processes a page of an engine's cache events.
func (r *Router) ObserveCacheEvents(now time.Time, id api.ServerID, page engine.CacheEvents) {
	known := r.servers.get(id)
	known.observeInstance(page.Instance)
	known.prefixes.Observe(now, page)
}

// ObserveLeaving excludes a server whose engine reported that it is leaving, until
// another instance of the engine is seen.
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
