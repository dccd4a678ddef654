package relay

import (
	"context"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// refusal is an answer of the relay itself. A status of 429 or 503 guarantees that no server ran
// the request.
type refusal struct {
	status int
	reason string
	after  time.Duration // Retry-After; zero: not sent
}

// Refusals with fixed content.
var (
	notReady      = refusal{http.StatusServiceUnavailable, "not ready", time.Second}
	noRoute       = refusal{http.StatusNotFound, "no route", 0}
	tooLarge      = refusal{http.StatusRequestEntityTooLarge, "body too large", 0}
	stopping      = refusal{http.StatusServiceUnavailable, "the node is stopping", 50 * time.Millisecond}
	internalFault = refusal{http.StatusInternalServerError, "the node failed", 0}
	badDeadline   = refusal{http.StatusBadRequest, "bad deadline", 0}
	badResumes    = refusal{http.StatusBadRequest, "more than one, or too long, reference to the attempt that a stream began with", 0}
)

// Reasons of refusals.
const (
	reasonDeadline   = "deadline"
	reasonNoServer   = "no server"
	reasonFailed     = "server failed"
	reasonBudget     = "budget of repeats spent"
	reasonLoading    = "model is loading"
	reasonStopping   = "the node is stopping"
	reasonOldKeys    = "keys not confirmed in time"
	reasonQuota      = "quota spent"
	reasonOverloaded = "servers are crowded"
	reasonBackoff    = "servers asked for rest"
	reasonLimited    = "servers limit their requests"
	reasonMemory     = "bodies of requests hold all memory that they may"
	reasonStalled    = "the body stalled while others needed its memory"
	// reasonVersionGone is not followed by a time to come back: the servers of a version do not return.
	reasonVersionGone    = "no server of the stream's version is left"
	reasonVersionUnknown = "not known at which version the stream began"
	reasonOtherService   = "the stream began at a service that its route does not lead to"
)

// notServed returns the final answer to a request that no server served. Its status tells whether a
// server may have run it.
func (c *call) notServed(reason string, after time.Duration) refusal {
	status := http.StatusServiceUnavailable
	switch {
	case c.mayHaveRun && reason == reasonDeadline:
		status = http.StatusGatewayTimeout
	case c.mayHaveRun:
		status = http.StatusBadGateway
	}
	return refusal{status: status, reason: reason, after: after}
}

// refuse answers with a refusal. If part of an answer was sent, it aborts the connection.
func (c *call) refuse(f refusal) {
	if c.headSent {
		c.record.setOutcome(outcomeCut, errors.New(f.reason))
		panic(http.ErrAbortHandler)
	}
	c.record.setOutcome(outcomeRefused, errors.New(f.reason))
	c.record.status = f.status
	c.announceStop()
	h := c.w.Header()
	unread := c.answerUnread()
	h.Set("Content-Type", "application/json")
	if c.id != "" {
		h.Set(c.relay.Headers.RequestID, c.id)
	}
	if f.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.after.Seconds(), 'f', 3, 64))
	}
	body := `{"error":` + strconv.Quote(f.reason) + "}\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(f.status)
	_, _ = c.w.Write([]byte(body)) // the caller may be gone
	if unread {
		_ = http.NewResponseController(c.w).Flush() // the same
	}
}

// announceStop tells the caller, with the head of its answer, that a stopping node will close the connection.
func (c *call) announceStop() {
	if c.relay.stop.Load() != nil {
		c.w.Header().Set("Connection", "close")
	}
}

// answerAfterPanic answers a request whose handler panicked. Its status promises nothing, as a server may have run the
// request. A panic that aborts an answer goes on.
func (c *call) answerAfterPanic() {
	fault := recover()
	switch fault {
	case nil:
		return
	case http.ErrAbortHandler:
		panic(fault)
	}
	c.relay.Logger.Error("request handler panicked", "request_id", c.id, "panic", fault, "stack", string(debug.Stack()))
	c.refuse(internalFault)
}

// giveUp ends a request that can't be continued: its deadline passed, the caller left or the node stops.
func (c *call) giveUp(ctx context.Context, err error) {
	if c.callerGone(ctx) || errors.Is(err, errNotWritable) {
		c.record.setOutcome(outcomeLeft, err)
		panic(http.ErrAbortHandler)
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		c.refuse(c.notServed(reasonStopping, stopping.after))
		return
	}
	c.refuse(c.notServed(reasonDeadline, defaultRetryAfter))
}

// defaultRetryAfter is used when no better estimate is known.
const defaultRetryAfter = 300 * time.Millisecond

// writeMargin is the time after the end of a request in which its answer may still be taken by a caller.
const writeMargin = 2 * time.Second

// limitWrites ends writes to a caller that does not read its answer within the request's time. The HTTP server lifts the
// limit with the end of the request.
func (c *call) limitWrites(wait time.Duration) {
	// If it is not supported, the server has limits of its own.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(wait + writeMargin))
}
