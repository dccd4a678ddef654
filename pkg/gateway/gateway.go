// Package gateway is the HTTP edge of a node: an OpenAI-style API that forwards
// requests to engines. It validates requests, asks the dispatcher for a
// replica, relays the answer and checks it: every caller gets the complete
// answer to its own request, or an error that says whether the request was run.
//
// A request passes through these files: handler.go receives and answers it;
// request.go and request_body.go validate it; call.go looks up its model and
// asks the dispatcher for a replica; claim.go claims its idempotency key from
// the keepers if it is unsafe to repeat; quarantine.go refuses requests that
// crash engines; attempt.go sends it to an engine and decides whether a failure
// allows a retry; engine_answer.go and stream.go check that the answer belongs
// to it; stream_body.go relays a stream to the caller; move.go moves a running
// stream to another replica; record.go logs and counts the finished request.
package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/gateway/internal/hangup"
	"martenwheel.dev/pkg/gateway/internal/upstream"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/quarantine"
)

// Gateway is the HTTP server of a node for callers.
type Gateway struct {
	config     Config
	app        *fiber.App
	engines    *upstream.Client
	kvClient   engine.Client // for exports and imports of running streams
	moveSlots  chan struct{} // semaphore: one element per stream being moved
	quarantine quarantine.Table
	hangups    *hangup.Watcher
	metrics    *metrics
	held       memory.Budget  // for answers that are not streamed
	background conc.WaitGroup // claim completions, cancellations, unsafe requests whose caller hung up

	hangupRun conc.WaitGroup // runs the hang-up watcher

	mutex     sync.Mutex
	listeners []*limitedListener

	abortContext context.Context // done when requests in flight must be aborted
	abort        context.CancelCauseFunc
	draining     atomic.Bool
	lastSerial   atomic.Uint64 // number of the last request ID
	idPrefix     string        // random prefix of this process's request IDs
}

// errDrainTimeout aborts the requests that are still running when Drain times out.
var errDrainTimeout = errors.New("gateway: drain timed out")

// New returns a gateway. Call Serve to accept callers.
func New(config Config) (*Gateway, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	g := &Gateway{
		config:   config,
		held:     memory.Budget{Limit: int64(config.Limits.HeldAnswerBytes)},
		hangups:  hangup.NewWatcher(config.Timeouts.HangUpInterval),
		idPrefix: newIDPrefix(),
		engines: upstream.NewClient(upstream.Config{
			ConnectTimeout:    config.Timeouts.Connect,
			WriteTimeout:      config.Timeouts.EngineWrite,
			StallTimeout:      config.Timeouts.EngineStall,
			IdleTimeout:       config.Timeouts.EngineIdle,
			MaxConnsPerEngine: config.Limits.ConnsPerEngine,
		}),
	}
	g.kvClient = newKVClient(config)
	g.moveSlots = make(chan struct{}, config.Limits.Moves)
	var err error
	if g.metrics, err = newMetrics(config.Metrics); err != nil {
		return nil, err
	}
	g.abortContext, g.abort = context.WithCancelCause(context.Background())
	g.app = g.newApp()
	g.hangupRun.Go(func() { g.hangups.Run(g.abortContext) })
	return g, nil
}

// newApp returns the HTTP server with its routes, limits and timeouts.
func (g *Gateway) newApp() *fiber.App {
	limits, timeouts := g.config.Limits, g.config.Timeouts
	app := fiber.New(fiber.Config{
		DisableStartupMessage:     true,
		DisableDefaultContentType: true,
		BodyLimit:                 limits.BodyBytes,
		ReadBufferSize:            limits.HeaderBytes,
		Concurrency:               limits.Connections,
		ReadTimeout:               timeouts.Read,
		IdleTimeout:               timeouts.Idle,
		ErrorHandler:              g.handleError,
	})
	app.Server().CloseOnShutdown = true
	app.Server().NoDefaultServerHeader = true
	app.Post(chatCompletions.path, g.handleCompletion(chatCompletions))
	app.Post(completions.path, g.handleCompletion(completions))
	app.Get("/v1/models", g.handleModels)
	app.Get("/v1/models/:name", g.handleModel)
	return app
}

// Serve serves callers on listener until Drain is called, and then returns nil.
func (g *Gateway) Serve(listener net.Listener) error {
	limited := newLimitedListener(listener, g.config)
	g.mutex.Lock()
	g.listeners = append(g.listeners, limited)
	draining := g.draining.Load()
	g.mutex.Unlock()
	if draining { // Drain may not have found the listener
		go g.stopConnecting(limited)
	}
	if err := g.app.Listener(limited.withTLS(g.config.TLS)); err != nil {
		return errors.Wrap(err, "gateway: serve callers")
	}
	return nil
}

// drainGrace is how long aborted requests have to send their error to the caller.
const drainGrace = 2 * time.Second

// Drain refuses new requests and waits until those in flight have ended,
// including those that wait for a replica. If ctx ends first, each of them is
// aborted with an error, and Drain returns an error too.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	g.refuseNewRequests(ctx)
	err := g.app.ShutdownWithContext(ctx)
	if err == nil {
		err = g.waitBackground(ctx)
	}
	g.abort(errDrainTimeout)
	if err != nil {
		err = errors.Wrap(err, "gateway: requests in flight were aborted")
		g.closeCallerConnections()
	}
	g.background.Wait()
	g.hangupRun.Wait()
	g.engines.Close()
	return err
}

// refuseNewRequests stops accepting connections. For a short time it still
// answers new requests on open connections with a refusal, so that their callers
// learn of the stop from an answer. If a connection were closed while a request
// was being sent on it, its caller could not tell whether the request was run.
func (g *Gateway) refuseNewRequests(ctx context.Context) {
	g.mutex.Lock()
	listeners := slices.Clone(g.listeners)
	g.mutex.Unlock()
	for _, listener := range listeners {
		g.stopConnecting(listener)
	}
	pause := time.NewTimer(g.config.Timeouts.RefuseNew)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
}

// stopConnecting stops accepting connections on a listener.
func (g *Gateway) stopConnecting(listener *limitedListener) {
	if err := listener.stopConnecting(); err != nil {
		g.config.Logger.Warn("connections being established may be reset", "error", err)
	}
}

// waitBackground waits until ctx ends for background work, which has no caller.
func (g *Gateway) waitBackground(ctx context.Context) error {
	ended := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		g.background.Wait()
		close(ended)
	})
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closeCallerConnections gives aborted requests drainGrace to send their errors,
// then closes all caller connections.
func (g *Gateway) closeCallerConnections() {
	graceful, cancel := context.WithTimeout(context.Background(), drainGrace)
	defer cancel()
	if g.app.ShutdownWithContext(graceful) == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, listener := range g.listeners {
		listener.closeConnections()
	}
	_ = g.app.Shutdown() // returns when the handlers have noticed the closed connections
}
