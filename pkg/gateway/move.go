package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/gateway/internal/upstream"
	"martenwheel.dev/pkg/telemetry"
	"martenwheel.dev/pkg/traffic"
)

// Outcomes of moves, as written to logs and metrics.
const (
	moveDone    = "moved"
	moveRefused = "refused"  // the old engine refused the export and keeps running the stream
	moveUnknown = "in_doubt" // the export got no answer; the old engine still runs the stream or has stopped it
	moveFailed  = "failed"   // the stream was stopped but does not run at the new engine; resume is tried
)

// errMoveFailed is the cause for which a stream is resumed after a failed move.
var errMoveFailed = errors.New("the stream was stopped for a move that failed")

// moveState is the state of moving a stream to another replica.
type moveState struct {
	leavingSince  time.Time // when the engine was first seen to be leaving
	tries         int       // number of exports requested
	nextTry       time.Time // time before which no further attempt is made
	exportUnknown bool      // an export has an unknown outcome: the engine may have stopped the stream
}

// shouldMove reports whether the stream's engine is leaving and is not expected to
// finish the stream within the model's drain time, and another move attempt is
// allowed now.
func (s *eventStream) shouldMove() bool {
	grant := s.attempt.movable
	if grant == nil || s.ended || !grant.Leaving() {
		return false
	}
	config := &s.attempt.call.gateway.config
	now := config.Now()
	if s.moves.leavingSince.IsZero() {
		s.moves.leavingSince = now
	}
	if s.moves.tries >= config.Limits.MoveTries || now.Before(s.moves.nextTry) {
		return false
	}
	elapsed := now.Sub(s.moves.leavingSince)
	return s.expectedRemaining(now) > s.attempt.call.model.Settings.DrainTime-elapsed
}

// expectedRemaining returns how long the rest of the stream takes at its speed so
// far. Without a token limit, or with one above maxExpectedTokens, it returns
// unlimitedTime.
func (s *eventStream) expectedRemaining(now time.Time) time.Duration {
	bound := s.attempt.call.parsed.MaxTokens
	if bound == 0 || bound > maxExpectedTokens {
		return unlimitedTime
	}
	perEvent := now.Sub(s.attempt.call.firstEvent) / time.Duration(max(s.events-1, 1))
	return perEvent * time.Duration(max(bound-s.events, 0))
}

const (
	unlimitedTime     = 365 * 24 * time.Hour // longer than any drain time
	maxExpectedTokens = 1 << 20              // larger limits of callers are ignored, since callers can set any number
)

// move continues the stream at another replica: it gets a grant there, has the
// old engine stop and export the request, imports it at the new engine and asks
// for the events after those received. Only a confirmed export is imported, so
// that no two engines run the request. If a step fails, the stream continues at
// the old engine, or at the new one if that may run an unsafe request.
func (s *eventStream) move() error {
	g := s.attempt.call.gateway
	if !g.acquireMoveSlot() {
		return nil // too many streams are moving; the next event tries again
	}
	defer g.releaseMoveSlot()
	s.moves.nextTry = g.config.Now().Add(g.config.Timeouts.MovePause)
	newGrant, err := s.attempt.movable.Move()
	if err != nil {
		return nil // no other replica is available yet
	}
	s.moves.tries++
	outcome, err := s.moveTo(newGrant)
	g.metrics.moves.WithLabelValues(outcome).Inc()
	g.config.Logger.Info("stream move", telemetry.FieldRequestID, s.attempt.call.record.requestID,
		"outcome", outcome, "to", newGrant.Target().Server, "events", s.events, telemetry.FieldError, err)
	if outcome == moveFailed {
		return s.resume(errMoveFailed)
	}
	return nil
}

// moveTo moves the stream to the replica of newGrant and returns the outcome and
// the error, if any.
func (s *eventStream) moveTo(newGrant traffic.Movable) (outcome string, err error) {
	export, err := s.export()
	if err != nil {
		newGrant.Done(traffic.Outcome{Kind: traffic.OutcomeCancelled}) // not a failure of the new engine
		if isNotExecuted(err) {
			return moveRefused, err
		}
		s.moves.exportUnknown = true
		return moveUnknown, err
	}
	if export.Events < s.events {
		newGrant.Done(traffic.Outcome{Kind: traffic.OutcomeCancelled})
		return moveFailed, errors.Errorf("the export has %d events, the caller %d", export.Events, s.events)
	}
	if err := s.importAt(newGrant.Target(), export); err != nil {
		newGrant.Done(traffic.Outcome{Kind: traffic.OutcomeNotRun})
		return moveFailed, err
	}
	return s.resumeAt(newGrant)
}

// isNotExecuted reports whether err means that the engine certainly did not
// execute the order.
func isNotExecuted(err error) bool {
	if errors.Is(err, engine.ErrUnknownOutcome) {
		return false
	}
	var status *engine.StatusError
	return errors.Is(err, engine.ErrUnreachable) || errors.As(err, &status)
}

// export makes the stream's engine stop the request and return its state.
func (s *eventStream) export() (engine.KVExport, error) {
	ctx, cancel := s.stepContext()
	defer cancel()
	a := s.attempt
	export, err := a.call.gateway.kvClient.ExportKV(ctx, a.target.Address, engine.KVExportRequest{RequestID: a.engineID, Cancel: true})
	if err == nil && (export.RequestID != a.engineID || export.Model != a.call.request.Model) {
		return engine.KVExport{}, errors.Wrap(engine.ErrUnknownOutcome, errOtherAnswer.Error())
	}
	return export, err
}

// importAt sends the request's state to an engine, which does not run it yet.
func (s *eventStream) importAt(target traffic.Target, export engine.KVExport) error {
	ctx, cancel := s.stepContext()
	defer cancel()
	return s.attempt.call.gateway.kvClient.ImportKV(ctx, target.Address, export)
}

// stepContext returns a context with the timeout for one step of a move.
func (s *eventStream) stepContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.attempt.context, s.attempt.call.gateway.config.Timeouts.MoveStep)
}

// resumeAt asks the engine that imported the request for the remaining events. If
// that fails but the engine may already run the request, a request that is unsafe
// to repeat stays there.
func (s *eventStream) resumeAt(newGrant traffic.Movable) (outcome string, err error) {
	a := s.attempt
	old := a.target
	a.target = newGrant.Target()
	answer, err := a.send(s.events, a.call.gateway.stallDeadline())
	notRunning := upstream.StageOf(err) == upstream.StageConnect
	if err == nil {
		if failure := a.checkHeader(answer); failure != nil {
			err = failure.apiError
			notRunning = failure.outcome == traffic.OutcomeNotRun
		}
	}
	if err == nil {
		s.switchTo(newGrant, answer)
		return moveDone, nil
	}
	if a.call.request.Unsafe && !notRunning {
		s.switchTo(newGrant, nil)
		return moveFailed, err
	}
	if !notRunning {
		a.call.gateway.cancelAtEngine(a.target.Address, a.engineID)
	}
	a.target = old
	newGrant.Done(traffic.Outcome{Kind: traffic.OutcomeUnknown})
	return moveFailed, err
}

// switchTo replaces the stream's grant by newGrant. If answer is nil, the stream has
// to be resumed there.
func (s *eventStream) switchTo(newGrant traffic.Movable, answer *upstream.Answer) {
	a := s.attempt
	a.grant.Done(traffic.Outcome{Kind: traffic.OutcomeCancelled, Tokens: s.events})
	a.grant, a.movable = newGrant, newGrant
	a.call.record.server = a.target.Server
	s.moves = moveState{tries: s.moves.tries}
	s.answer.Close(false)
	if answer != nil {
		s.answer = answer
		s.reader.Reset(answer)
	}
}

// acquireMoveSlot reports whether another stream may move now. The number of
// moves at a time is limited because exports take memory.
func (g *Gateway) acquireMoveSlot() bool {
	select {
	case g.moveSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

// releaseMoveSlot ends a move begun by acquireMoveSlot.
func (g *Gateway) releaseMoveSlot() { <-g.moveSlots }

// newKVClient returns the client for exports and imports.
func newKVClient(config Config) engine.Client {
	return engine.NewHTTPClient(engine.HTTPClientConfig{
		DialTimeout:      config.Timeouts.Connect,
		MaxResponseBytes: config.Limits.MoveBytes,
	})
}
