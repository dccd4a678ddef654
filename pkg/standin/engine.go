package standin

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// Errors of the methods of Engine.
var (
	// ErrUnknownRequest means that the engine does not know the request.
	ErrUnknownRequest = errors.New("standin: unknown request")
	// ErrModelNotReady means that the model is not loaded. Nothing was run.
	ErrModelNotReady = errors.New("standin: model not ready")
	// ErrLeaving means that the engine takes no new work. Nothing was run.
	ErrLeaving = errors.New("standin: engine is leaving")
	// ErrTooLong means that the request can't fit into the memory. Nothing was
	// run.
	ErrTooLong = errors.New("standin: request too long")
)

// Engine is a stand-in for a model engine. Its state advances while Run is
// running. Engine is safe for concurrent use.
type Engine struct {
	config  EngineConfig
	clock   *Clock
	weights WeightSource
	faults  *faultSet
	wake    chan struct{}

	mutex          sync.Mutex
	state          *engineState
	changed        chan struct{} // closed and replaced on each change of state
	wasFrozen      bool          // the engine was frozen after the last step
	leavingStarted chan struct{} // closed by Leave
}

// NewEngine returns an engine that fetches checkpoints from weights. If weights
// is nil, fetching is simulated at the config's RemoteBytesPerSecond.
func NewEngine(config EngineConfig, weights WeightSource) *Engine {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	clock := NewClock(config.Speed)
	e := &Engine{
		config:         config,
		clock:          clock,
		weights:        weights,
		faults:         newFaultSet(),
		wake:           make(chan struct{}, 1),
		state:          newEngineState(config, uuid.NewString(), clock.Now()),
		changed:        make(chan struct{}),
		leavingStarted: make(chan struct{}),
	}
	e.faults.onSet = e.noteFreeze
	return e
}

// Run runs the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	var loads conc.WaitGroup
	defer loads.Wait()
	for ctx.Err() == nil {
		if !e.faults.waitThawed(ctx, PartEngine) {
			return
		}
		wait := e.step(ctx, &loads)
		timer := time.NewTimer(e.clock.Wall(wait))
		select {
		case <-timer.C:
		case <-e.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// step advances the state, starts the loads that are due and returns the
// simulated time until the next step.
func (e *Engine) step(ctx context.Context, loads *conc.WaitGroup) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	e.notify()
	for next := e.state.nextLoad(); next != nil; next = e.state.nextLoad() {
		next.fetching = true
		loads.Go(func() { e.fetch(ctx, next) })
	}
	wait, _ := e.state.nextEvent()
	return max(wait, time.Millisecond)
}

// advance advances the state to the present. The time of a frozen engine does
// not advance.
func (e *Engine) advance() {
	if faults, _ := e.faults.get(PartEngine); faults.Freeze {
		return
	}
	if e.wasFrozen {
		e.wasFrozen = false
		e.state.now = e.clock.Now()
	}
	e.state.advance(e.clock.Now())
}

// notify wakes the goroutines that wait for a change of the state.
func (e *Engine) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// waitUntil waits until holds returns true for the state. It returns false if
// ctx ends earlier.
func (e *Engine) waitUntil(ctx context.Context, holds func(*engineState) bool) bool {
	for {
		e.mutex.Lock()
		held, stepped := holds(e.state), e.changed
		e.mutex.Unlock()
		if held {
			return true
		}
		select {
		case <-stepped:
		case <-ctx.Done():
			return false
		}
	}
}

// WaitState waits until the model or adapter is in the given state. It returns
// false if ctx ends earlier.
func (e *Engine) WaitState(ctx context.Context, model api.ModelName, state engine.ItemState) bool {
	return e.waitUntil(ctx, func(now *engineState) bool {
		held, ok := now.items[model]
		return ok && held.State == state
	})
}

// WaitGone waits until the model or adapter holds no memory. It returns false
// if ctx ends earlier.
func (e *Engine) WaitGone(ctx context.Context, model api.ModelName) bool {
	return e.waitUntil(ctx, func(now *engineState) bool {
		held, ok := now.items[model]
		return !ok || held.State == engine.ItemFailed
	})
}

// WaitIdle waits until no request is queued or running. It returns false if ctx
// ends earlier.
func (e *Engine) WaitIdle(ctx context.Context) bool {
	return e.waitUntil(ctx, func(now *engineState) bool { return len(now.batch.active) == 0 })
}

func (e *Engine) noteFreeze(part string, faults Faults) {
	if part != PartEngine || !faults.Freeze {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.wasFrozen = true
}

// update advances the state to the present and applies change to it.
func (e *Engine) update(change func(*engineState)) {
	e.mutex.Lock()
	e.advance()
	change(e.state)
	e.notify()
	e.mutex.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// SetFaults replaces the faults of a part of the engine.
func (e *Engine) SetFaults(part string, faults Faults) {
	e.faults.set(part, faults)
}

// Order executes a fenced order.
func (e *Engine) Order(order engine.Order) (result engine.OrderResult) {
	faults, _ := e.faults.get(PartOrders)
	e.update(func(state *engineState) {
		state.unloadDelay = time.Duration(faults.UnloadMilliseconds) * time.Millisecond
		result = state.order(order)
	})
	return result
}

// Inventory raises the engine's fence to the request's and returns the inventory.
func (e *Engine) Inventory(request engine.InventoryRequest) (inventory engine.Inventory) {
	e.update(func(state *engineState) { inventory = state.inventory(request) })
	return inventory
}

// Load returns the load report.
func (e *Engine) Load() (report engine.LoadReport) {
	e.update(func(state *engineState) { report = state.load() })
	report.AsOf = e.clock.WallTime(report.AsOf)
	return report
}

// CacheEvents returns the cache events with a sequence number greater than after.
func (e *Engine) CacheEvents(after uint64) (events engine.CacheEvents) {
	e.update(func(state *engineState) {
		events = state.prefixes.eventsAfter(after, state.now)
		events.Instance = state.instance
	})
	return events
}

// Leave makes the engine refuse new work. Running requests finish.
func (e *Engine) Leave() {
	e.update(func(state *engineState) {
		if !state.leaving {
			state.leaving = true
			close(e.leavingStarted)
		}
	})
}

// Executed returns how often each request was started, keyed by its idempotency
// key or, if it has none, its request ID. Resuming a request doesn't count.
func (e *Engine) Executed() map[string]int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return maps.Clone(e.state.executed)
}

// submission is a new request from a caller.
type submission struct {
	id        string
	key       string
	model     api.ModelName
	prompt    string
	maxTokens int // zero for the default
	priority  int
	deadline  time.Time // simulated; not started after it
}

// submit queues a new request.
func (e *Engine) submit(request submission) (g *generation, err error) {
	e.update(func(state *engineState) {
		g, err = state.submit(request)
	})
	return g, err
}

// resume attaches a caller to an existing request, whether it is running or not.
func (e *Engine) resume(id string) (g *generation, err error) {
	e.update(func(state *engineState) { g, err = state.resume(id) })
	return g, err
}

// abandon cancels the generation unless another caller has attached to it since.
func (e *Engine) abandon(g *generation, attachment int) {
	e.update(func(state *engineState) {
		if g.attachment == attachment {
			state.cancel(g)
		}
	})
}

// Cancel stops a running request.
func (e *Engine) Cancel(request engine.CancelRequest) (err error) {
	e.update(func(state *engineState) {
		g, ok := state.batch.generations[request.RequestID]
		if !ok {
			err = ErrUnknownRequest
			return
		}
		state.cancel(g)
	})
	return err
}

// ExportKV returns the KV cache of a request.
func (e *Engine) ExportKV(request engine.KVExportRequest) (export engine.KVExport, err error) {
	e.update(func(state *engineState) { export, err = state.exportKV(request) })
	return export, err
}

// ImportKV adds the request of an exported KV cache, which can then be resumed.
func (e *Engine) ImportKV(export engine.KVExport) (err error) {
	e.update(func(state *engineState) { err = state.importKV(export) })
	return err
}

// progress is a snapshot of the parts of a generation that a caller sees.
type progress struct {
	tokens     int
	phase      phase
	refusal    string
	cached     int
	attachment int
	changed    <-chan struct{} // receives a value on a change; closed when another caller attaches
}

func (e *Engine) progress(g *generation) progress {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return progress{
		tokens:     g.tokens(),
		phase:      g.phase,
		refusal:    g.refusal,
		cached:     g.cachedTokens,
		attachment: g.attachment,
		changed:    g.changed,
	}
}
