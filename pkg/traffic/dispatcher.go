package traffic

import (
	"context"
	"sync"
	"time"

	"martenwheel.dev/pkg/api"
)

// Router is the Dispatcher of a node.
type Router struct {
	config Config

	mutex    sync.Mutex
	inFlight map[placeKey]int
	freed    chan struct{} // closed when a place becomes free
}

// placeKey names a replica.
type placeKey struct {
	model  api.ModelName
	server api.ServerID
}

var _ Dispatcher = (*Router)(nil)

// New returns a Router that takes its settings and its view of the cells from
// config.Control.
func New(config Config) *Router {
	return &Router{
		config:   config.withDefaults(),
		inFlight: make(map[placeKey]int),
		freed:    make(chan struct{}),
	}
}

// Acquire waits until the request has a place on a replica.
func (r *Router) Acquire(ctx context.Context, request Request) (Grant, error) {
	settings, _ := r.config.Control.Tree()
	model, found := r.config.Lookup(settings, request.Model)
	if !found {
		return nil, &Refusal{Reason: ReasonUnknownModel, Message: "no such model", NotRun: true}
	}
	wait := time.NewTimer(request.Deadline.Sub(r.config.Now()))
	defer wait.Stop()
	for reported := false; ; {
		changed := r.config.Control.Changed()
		grant, freed := r.tryPlace(request, model.Settings.MaxConcurrency)
		if grant != nil {
			return grant, nil
		}
		if !reported {
			reported = true
			r.config.Control.Report(api.ModelDemand{
				Model: request.Model, Arrivals: 1, Waiting: 1,
				HighestPriority: request.Priority, EarliestDeadline: request.Deadline,
				LastArrival: request.Arrived,
			})
		}
		select {
		case <-changed:
		case <-freed:
		case <-wait.C:
			return nil, &Refusal{Reason: ReasonDeadline, Message: "no replica in time", NotRun: true}
		case <-ctx.Done():
			return nil, &Refusal{Reason: ReasonCallerLeft, Message: "caller left", NotRun: true}
		}
	}
}

// tryPlace takes a place on the ready replica with the fewest own requests in
// flight. Without one it returns a channel that is closed when a place is freed.
func (r *Router) tryPlace(request Request, limit int) (Grant, <-chan struct{}) {
	directory := r.config.Control.Directory()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var best *api.ServerView
	bestLoad := 0
	for _, replica := range directory.Replicas[request.Model] {
		server, known := directory.Servers[replica.Server]
		if !known || replica.State != api.ReplicaReady || server.Leaving {
			continue
		}
		load := r.inFlight[placeKey{request.Model, replica.Server}]
		if limit > 0 && load >= limit {
			continue
		}
		if best == nil || load < bestLoad {
			best, bestLoad = &server, load
		}
	}
	if best == nil {
		return nil, r.freed
	}
	key := placeKey{request.Model, best.ID}
	r.inFlight[key]++
	return &grant{router: r, request: request, key: key,
		target: Target{Server: best.ID, Address: best.Address, Zone: best.Zone}}, nil
}

// release gives a place back and wakes those that wait for one.
func (r *Router) release(key placeKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.inFlight[key]--
	close(r.freed)
	r.freed = make(chan struct{})
}

// grant is a place on a replica.
type grant struct {
	router  *Router
	request Request
	key     placeKey
	target  Target
	once    sync.Once
}

// Target returns the replica.
func (g *grant) Target() Target { return g.target }

// Done gives the place back.
func (g *grant) Done(Outcome) {
	g.once.Do(func() { g.router.release(g.key) })
}

// Retry asks for another place after an attempt that surely did not run.
func (g *grant) Retry(ctx context.Context, outcome Outcome) (Grant, error) {
	g.Done(outcome)
	if outcome.Kind != OutcomeNotRun {
		return nil, &Refusal{Reason: ReasonOutcomeUnknown, Message: "the outcome is unknown"}
	}
	return g.router.Acquire(ctx, g.request)
}
