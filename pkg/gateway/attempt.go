package gateway

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/gateway/internal/upstream"
	"martenwheel.dev/pkg/traffic"
)

// attempt is one try to run the request on one engine. If its connection breaks,
// the answer is resumed; the engine still runs the request only once.
type attempt struct {
	call     *call
	grant    traffic.Grant
	movable  traffic.Movable // grant, if it allows moving the stream; else nil
	target   traffic.Target
	engineID string // request ID sent to the engine, unique per attempt
	context  context.Context
	cancel   context.CancelFunc
	returned bool // the grant was returned

	whole  *wholeAnswer // set after run succeeded for a request without streaming
	stream *eventStream // set after run succeeded for a streaming request
}

// attemptFailure describes an attempt that failed before any byte was sent to the
// caller.
type attemptFailure struct {
	outcome       traffic.OutcomeKind
	apiError      *APIError
	final         bool // do not retry on another replica
	broken        bool // the request was sent, and the engine may still have the answer
	unreachable   bool // no connection to the engine was established
	refused       bool // the engine's address refused the connection
	engineCrashed bool // the exchange broke and then the engine's address refused a connection
	leaving       bool // the engine reported that it is leaving and takes no new requests
}

// result returns the outcome to report to the dispatcher.
func (f *attemptFailure) result() traffic.Outcome {
	return traffic.Outcome{Kind: f.outcome, Leaving: f.leaving}
}

// newAttempt prepares an attempt on the granted replica.
func (c *call) newAttempt(grant traffic.Grant) *attempt {
	c.attempts++
	a := &attempt{
		call:     c,
		grant:    grant,
		target:   grant.Target(),
		engineID: c.request.ID + "-" + strconv.Itoa(c.attempts),
	}
	a.movable, _ = grant.(traffic.Movable)
	c.record.server = a.target.Server
	a.context, a.cancel = c.callerContext, func() {} // the context ends with the call
	if c.request.Unsafe {
		// The answer is kept for repeats of the request, so the attempt
		// continues when the caller hangs up.
		a.context, a.cancel = context.WithCancel(c.gateway.abortContext)
	}
	return a
}

// run sends the request and reads as much of the answer as is checked before the
// caller gets anything: the whole answer, or the first event of a stream. If the
// connection breaks, it asks the same engine for the answer to the same request.
func (a *attempt) run() *attemptFailure {
	if !a.call.isClaimValid() {
		return &attemptFailure{outcome: traffic.OutcomeNotRun, apiError: claimExpired(), final: true}
	}
	a.call.record.sentAt = a.call.gateway.config.Now()
	failure := a.exchange(newRequest)
	if failure == nil {
		return nil
	}
	for resumes := 0; failure.broken && a.isBeforeDeadline() && a.waitToResume(resumes); resumes++ {
		again := a.exchange(fromStart)
		if again == nil {
			return nil
		}
		failure.engineCrashed = failure.engineCrashed || again.refused
		if !again.broken && !(again.unreachable && a.call.request.Unsafe) {
			break
		}
	}
	if failure.outcome != traffic.OutcomeNotRun {
		a.abandon()
	}
	return failure
}

// waitToResume reports whether another resume attempt is allowed after the given
// number of them, and counts it. It pauses before all but the first.
func (a *attempt) waitToResume(resumes int) bool {
	if resumes >= a.call.gateway.config.Limits.Resumes {
		return false
	}
	if resumes > 0 {
		pause := time.NewTimer(a.call.gateway.config.Timeouts.ResumePause)
		defer pause.Stop()
		select {
		case <-pause.C:
		case <-a.context.Done():
		}
	}
	if a.context.Err() != nil {
		return false
	}
	a.call.gateway.metrics.resumes.Inc()
	return true
}

// isBeforeDeadline reports whether the deadline for the start of the answer is
// still ahead.
func (a *attempt) isBeforeDeadline() bool {
	return a.call.gateway.config.Now().Before(a.call.headerDeadline())
}

// exchange sends the request, or asks for its answer from the start, and reads
// the whole answer or the first event of a stream.
func (a *attempt) exchange(resumeFrom int) *attemptFailure {
	answer, err := a.send(resumeFrom, a.call.headerDeadline())
	if err != nil {
		return a.classifyError(err)
	}
	if failure := a.checkHeader(answer); failure != nil {
		return failure
	}
	if a.call.parsed.Stream {
		a.stream = a.newEventStream(answer)
		err = a.stream.readFirst(a.call.request.Deadline)
	} else {
		a.whole, err = a.readWhole(answer)
	}
	if err != nil {
		answer.Close(false)
		return a.classifyError(err)
	}
	return nil
}

// headerDeadline returns the deadline for the header of the answer.
func (c *call) headerDeadline() time.Time {
	if c.parsed.Stream {
		return c.request.Deadline
	}
	return c.request.Deadline.Add(c.wholeAnswerTimeout())
}

// wholeAnswerTimeout returns how long after the deadline an answer that is not
// streamed may take. Such an answer shows no progress before it is complete, so
// the limit depends on the number of requested tokens.
func (c *call) wholeAnswerTimeout() time.Duration {
	timeouts := c.gateway.config.Timeouts
	if c.request.MaxTokens <= 0 {
		return timeouts.WholeAnswer
	}
	return min(timeouts.WholeAnswer, timeouts.WholeAnswerBase+time.Duration(c.request.MaxTokens)*timeouts.WholeAnswerPerToken)
}

// Special values of the resumeFrom parameter, which otherwise is a number of
// events.
const (
	newRequest = -1
	fromStart  = 0
)

// send sends the request to the engine. If resumeFrom is not newRequest, it
// instead asks for the answer to the same request after that many events.
func (a *attempt) send(resumeFrom int, firstByteBy time.Time) (*upstream.Answer, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetRequestURI(a.call.endpoint.path)
	request.Header.SetHost(a.target.Address)
	request.Header.SetContentType(fiber.MIMEApplicationJSON)
	request.Header.Set(engine.HeaderRequestID, a.engineID)
	request.Header.Set(engine.HeaderPriority, strconv.Itoa(a.call.request.Priority))
	request.Header.Set(engine.HeaderDeadline, a.call.request.Deadline.UTC().Format(time.RFC3339Nano))
	if resumeFrom != newRequest {
		request.Header.Set(engine.HeaderResumeFrom, strconv.Itoa(resumeFrom))
	}
	if a.call.request.Unsafe {
		request.Header.Set(HeaderIdempotencyKey, a.call.options.IdempotencyKey)
	}
	request.SetBodyRaw(a.call.body)
	return a.call.gateway.engines.Send(a.context, a.target.Address, request, firstByteBy)
}

// classifyError classifies the error of an exchange that failed before any byte
// was sent to the caller.
func (a *attempt) classifyError(err error) *attemptFailure {
	if upstream.StageOf(err) == upstream.StageConnect {
		return &attemptFailure{
			outcome:     traffic.OutcomeNotRun,
			apiError:    engineFailed(true, err),
			unreachable: true,
			refused:     errors.Is(err, syscall.ECONNREFUSED),
		}
	}
	if a.call.isAnswerUnwanted() {
		return &attemptFailure{
			outcome:  traffic.OutcomeCancelled,
			apiError: callerHungUp(false),
			final:    true,
		}
	}
	return &attemptFailure{
		outcome:  traffic.OutcomeUnknown,
		apiError: engineFailed(false, err),
		broken:   !errors.Is(err, errEngineError),
	}
}

// done returns the grant to the dispatcher. Further calls do nothing.
func (a *attempt) done(outcome traffic.Outcome) {
	a.cancel()
	if !a.returned {
		a.returned = true
		a.grant.Done(outcome)
	}
}

// retry exchanges the grant for one on another replica.
func (a *attempt) retry(outcome traffic.Outcome) (traffic.Grant, error) {
	a.cancel()
	a.returned = true
	return a.grant.Retry(a.call.callerContext, outcome)
}

// abandon cancels the attempt, also at the engine.
func (a *attempt) abandon() {
	a.cancel()
	a.call.gateway.cancelAtEngine(a.target.Address, a.engineID)
}
