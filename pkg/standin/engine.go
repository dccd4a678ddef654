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
	// ErrUnknownRequest means that the engine has no such request.
	ErrUnknownRequest = errors.New("standin: unknown request")
	// ErrModelNotReady means that the model is not loaded. Nothing was run.
	ErrModelNotReady = errors.New("standin: model not ready")
	// ErrLeaving means that the engine takes no new work. Nothing was run.
	ErrLeaving = errors.New("standin: engine is leaving")
	// ErrTooLong means that the request can't fit the memory. Nothing was run.
	ErrTooLong = errors.New("standin: request too long")
)

// Engine is a stand-in for a model engine. Run must be running for its state
// to move. Safe for concurrent use.
type Engine struct {
	config  EngineConfig
	clock   *Clock
	weights WeightSource
	faults  *faultSet
	wake    chan struct{}

	mutex     sync.Mutex
	state     *engineState
	stepped   chan struct{} // closed on the next change
	wasFrozen bool          // its time stood still since the last step
	left      chan struct{} // closed when leaving starts
}

// NewEngine returns an engine that fetches checkpoints from weights. With nil
// it fetches at the config's RemoteBytesPerSecond.
func NewEngine(config EngineConfig, weights WeightSource) *Engine {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	clock := NewClock(config.Speed)
	e := &Engine{
		config:  config,
		clock:   clock,
		weights: weights,
		faults:  newFaultSet(),
		wake:    make(chan struct{}, 1),
		state:   newEngineState(config, uuid.NewString(), clock.Now()),
		stepped: make(chan struct{}),
		left:    make(chan struct{}),
	}
	e.faults.onSet = e.noteFreeze
	return e
}

// Run drives the engine until ctx ends.
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

// step advances the state and starts the loads that are due.
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

// advance brings the state to now. While the engine is frozen its time stands
// still.
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

// notify wakes those that wait for a change of the state.
func (e *Engine) notify() {
	close(e.stepped)
	e.stepped = make(chan struct{})
}

// waitUntil waits until holds is true of the state. It returns false when ctx
// ended earlier.
func (e *Engine) waitUntil(ctx context.Context, holds func(*engineState) bool) bool {
	for {
		e.mutex.Lock()
		held, stepped := holds(e.state), e.stepped
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

// WaitState waits until the model or adapter is in the state. It returns false
// when ctx ended earlier.
func (e *Engine) WaitState(ctx context.Context, model api.ModelName, state engine.ItemState) bool {
	return e.waitUntil(ctx, func(now *engineState) bool {
		held, ok := now.items[model]
		return ok && held.State == state
	})
}

// WaitGone waits until the model or adapter holds no memory. It returns false
// when ctx ended earlier.
func (e *Engine) WaitGone(ctx context.Context, model api.ModelName) bool {
	return e.waitUntil(ctx, func(now *engineState) bool {
		held, ok := now.items[model]
		return !ok || held.State == engine.ItemFailed
	})
}

// WaitIdle waits until no request is queued or running. It returns false when
// ctx ended earlier.
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

// update runs change on the state as of now.
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

// SetFaults replaces the faults of a part.
func (e *Engine) SetFaults(part string, faults Faults) {
	e.faults.set(part, faults)
}

// Order gives a fenced order.
func (e *Engine) Order(order engine.Order) (result engine.OrderResult) {
	faults, _ := e.faults.get(PartOrders)
	e.update(func(state *engineState) {
		state.unloadDelay = time.Duration(faults.UnloadMilliseconds) * time.Millisecond
		result = state.order(order)
	})
	return result
}

// Inventory raises the fence to the request's and returns the inventory.
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

// CacheEvents returns the cache events after the sequence number.
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
			close(e.left)
		}
	})
}

// Executed returns how often each request was started, by its idempotency key,
// or by its request ID if it has none. Resumed requests don't count again.
func (e *Engine) Executed() map[string]int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return maps.Clone(e.state.executed)
}

// submission is a caller's request.
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

// resume takes up the request again, running or not.
func (e *Engine) resume(id string) (g *generation, err error) {
	e.update(func(state *engineState) { g, err = state.resume(id) })
	return g, err
}

// abandon stops the generation if holder still holds it.
func (e *Engine) abandon(g *generation, holder int) {
	e.update(func(state *engineState) {
		if g.holder == holder {
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

// ImportKV takes over a request, which is then resumed.
func (e *Engine) ImportKV(export engine.KVExport) (err error) {
	e.update(func(state *engineState) { err = state.importKV(export) })
	return err
}

// progress is a copy of what a caller sees of a generation.
type progress struct {
	tokens  int
	phase   phase
	refusal string
	cached  int
	holder  int
	changed <-chan struct{} // signalled on the next change
}

func (e *Engine) progress(g *generation) progress {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return progress{
		tokens:  g.tokens(),
		phase:   g.phase,
		refusal: g.refusal,
		cached:  g.cachedTokens,
		holder:  g.holder,
		changed: g.changed,
	}
}
