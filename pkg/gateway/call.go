package gateway

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/gateway/internal/hangup"
	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/traffic"
	"martenwheel.dev/pkg/tree"
)

// errCallerHungUp is the cancellation cause of calls whose caller hung up.
var errCallerHungUp = errors.New("gateway: the caller hung up")

// call is the state of one caller's request. It refers to no buffer of the HTTP
// server, which reuses them: everything it needs is copied.
type call struct {
	gateway     *Gateway
	endpoint    endpoint
	options     requestOptions
	body        []byte
	parsed      requestBody
	fingerprint quarantine.Fingerprint // identifies the request when it is sent again
	model       tree.Model
	request     traffic.Request
	claim       *keeper.Claim // the granted claim; nil: none
	decision    keeper.Decision

	current       *attempt        // the latest attempt
	callerContext context.Context // done when the caller hung up or requests are aborted at the end of Drain
	cancelCaller  context.CancelCauseFunc
	watch         *hangup.Watch
	attempts      int
	mayHaveRun    bool // an attempt may have been run, at least in part
	record        record
	ended         bool // already logged and counted
	firstEvent    time.Time
}

// newCall returns the call for a request that arrived on connection.
func (g *Gateway) newCall(endpoint endpoint, connection net.Conn) *call {
	c := &call{gateway: g, endpoint: endpoint}
	c.record.arrived = g.config.Now()
	c.callerContext, c.cancelCaller = context.WithCancelCause(g.abortContext)
	c.watch = g.hangups.Add(connection, func() { c.cancelCaller(errCallerHungUp) })
	g.metrics.inFlight.Inc()
	return c
}

// resolve looks up the model and fills in the traffic request from the model's
// settings and the caller's options.
func (c *call) resolve() *APIError {
	catalog, apiError := c.gateway.catalog()
	if apiError != nil {
		return apiError
	}
	c.record.revision = catalog.Revision()
	model, known := catalog.Model(c.parsed.Model)
	if !known {
		return unknownModel(c.parsed.Model)
	}
	c.model = model
	settings := model.Settings
	c.request = traffic.Request{
		ID:           c.gateway.uniqueID(c.record.requestID),
		Caller:       c.record.caller,
		Model:        model.Name,
		Priority:     settings.Priority,
		Arrived:      c.record.arrived,
		Deadline:     c.options.Deadline,
		PromptTokens: c.parsed.PromptTokens,
		MaxTokens:    c.parsed.MaxTokens,
		Prefixes:     engine.PrefixHashes(c.parsed.PromptStart, engine.PrefixBlockBytes),
		Unsafe:       settings.UnsafeToRepeat,
	}
	if c.options.Priority != nil {
		c.request.Priority = *c.options.Priority
	}
	if c.options.Unsafe != nil {
		c.request.Unsafe = *c.options.Unsafe
	}
	if c.request.Deadline.IsZero() {
		c.request.Deadline = c.record.arrived.Add(c.defaultDeadline())
	}
	if c.request.Unsafe && c.options.IdempotencyKey == "" {
		return invalidRequest(codeKeyMissing,
			"a request that is unsafe to repeat needs the header "+HeaderIdempotencyKey+
				", with a value that is new for each intended request and the same for its repeats")
	}
	return nil
}

// defaultDeadline returns the time to the first token if the caller sets no
// deadline.
func (c *call) defaultDeadline() time.Duration {
	if c.model.Settings.Deadline > 0 {
		return c.model.Settings.Deadline
	}
	return c.gateway.config.Timeouts.FirstToken
}

// unknownModel returns the error for a model that is not in the settings.
func unknownModel(name api.ModelName) *APIError {
	return &APIError{
		Status:  fiber.StatusNotFound,
		Message: "the model " + strconv.Quote(string(name)) + " does not exist",
		Type:    typeInvalidRequest,
		Code:    string(traffic.ReasonUnknownModel),
		NotRun:  true,
	}
}

// hasHungUp reports whether the caller hung up.
func (c *call) hasHungUp() bool {
	return context.Cause(c.callerContext) == errCallerHungUp
}

// isAnswerUnwanted reports whether the work can stop because the caller hung up and
// the answer is not kept for a repeat.
func (c *call) isAnswerUnwanted() bool {
	return c.hasHungUp() && !c.request.Unsafe
}

// dispatch gets a replica for the request and sends the request there. If the
// attempt fails, it retries as long as the dispatcher allows. It returns the
// successful attempt, which owns the grant.
func (c *call) dispatch() (*attempt, *APIError) {
	if apiError := c.checkQuarantine(); apiError != nil {
		return nil, apiError
	}
	waitStart := c.gateway.config.Now()
	grant, err := c.gateway.config.Dispatcher.Acquire(c.callerContext, c.request)
	for {
		c.record.waitTime += c.gateway.config.Now().Sub(waitStart)
		if err != nil {
			return nil, c.toAPIError(err)
		}
		c.current = c.newAttempt(grant)
		round := c.gateway.quarantine.NextRound(c.gateway.config.Now(), c.fingerprint)
		failure := c.current.run()
		if failure == nil {
			c.recordAnswered()
			return c.current, nil
		}
		if failure.engineCrashed && !c.recordCrash(string(c.current.target.Server), round) {
			failure.final = true
		}
		c.mayHaveRun = c.mayHaveRun || !failure.apiError.NotRun
		if failure.final {
			c.current.done(failure.result())
			return nil, c.toAPIError(failure.apiError)
		}
		waitStart = c.gateway.config.Now()
		grant, err = c.current.retry(failure.result())
	}
}

// toAPIError converts err into the error for the caller. The error says "not run"
// only if that is true of every attempt.
func (c *call) toAPIError(err error) *APIError {
	var apiError *APIError
	if !errors.As(err, &apiError) {
		apiError = fromRefusal(err)
	}
	if context.Cause(c.callerContext) == errDrainTimeout {
		notRun := apiError.NotRun
		apiError = nodeStopping()
		apiError.NotRun = notRun
	}
	if c.mayHaveRun {
		apiError.NotRun = false
	}
	return apiError
}

// nodeStopping returns the error for a request on a node that is stopping.
func nodeStopping() *APIError {
	return fromRefusal(&traffic.Refusal{
		Reason:     traffic.ReasonStopping,
		Message:    "this node is stopping",
		NotRun:     true,
		RetryAfter: stoppingRetry,
	})
}

// engineFailed returns the error for a request that no engine answered completely.
func engineFailed(notRun bool, cause error) *APIError {
	failure := &APIError{
		Status:  fiber.StatusBadGateway,
		Message: "the engine's answer did not arrive whole; whether the request was run is not known",
		Type:    typeServer,
		Code:    string(traffic.ReasonOutcomeUnknown),
		cause:   cause,
	}
	if notRun {
		failure.Message = "the engine did not take the request"
		failure.Code = string(traffic.ReasonEngineFailed)
		failure.NotRun = true
	}
	return failure
}

// callerHungUp returns the error that is logged for a caller that hung up.
func callerHungUp(notRun bool) *APIError {
	return &APIError{
		Status:  statusCallerHungUp,
		Message: "the caller hung up",
		Type:    typeInvalidRequest,
		Code:    string(traffic.ReasonCallerLeft),
		NotRun:  notRun,
	}
}
