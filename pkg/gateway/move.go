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

// Outcomes of moves, in logs and metrics.
const (
	moveDone    = "moved"
	moveRefused = "refused"  // the old engine did not export; the stream goes on there
	moveInDoubt = "in_doubt" // no answer to the export; the old engine has the stream or its rest
	moveFailed  = "failed"   // the new engine did not take it; the old one is asked for the rest
)

// errMoveFailed is why the rest of a stream is asked of its old engine.
var errMoveFailed = errors.New("the stream was stopped for a move that failed")

// moves is what a stream knows of moving to another replica.
type moves struct {
	noticed time.Time // when its engine was first seen to leave
	tried   int       // exports asked for
	notNow  time.Time // no further try before it
	inDoubt bool      // an export went unanswered: the engine may have stopped the stream
}

// mustMove tells whether the stream's engine is leaving and is not expected to
// finish it within the model's drain time.
func (s *eventStream) mustMove() bool {
	held := s.attempt.movable
	if held == nil || s.over || !held.Leaving() {
		return false
	}
	config := &s.attempt.call.gateway.config
	now := config.Now()
	if s.moves.noticed.IsZero() {
		s.moves.noticed = now
	}
	if s.moves.tried >= config.Limits.MoveTries || now.Before(s.moves.notNow) {
		return false
	}
	stayed := now.Sub(s.moves.noticed)
	return s.expectedRest(now) > s.attempt.call.model.Settings.DrainTime-stayed
}

// expectedRest is how long the rest of the stream takes at its pace so far.
// Without a sensible bound on the tokens it counts as endless.
func (s *eventStream) expectedRest(now time.Time) time.Duration {
	bound := s.attempt.call.parsed.MaxTokens
	if bound == 0 || bound > maxExpectedTokens {
		return endless
	}
	perEvent := now.Sub(s.attempt.call.firstEvent) / time.Duration(max(s.events-1, 1))
	return perEvent * time.Duration(max(bound-s.events, 0))
}

const (
	endless           = 365 * 24 * time.Hour // longer than any drain time
	maxExpectedTokens = 1 << 20              // callers may ask for any number
)

// move lets the stream go on at another replica: it takes a place there, has
// the old engine stop and export the request, imports it and asks for the events
// after those received. Only a confirmed export is imported, so that no two
// engines run the request. If a step fails, the old engine goes on.
func (s *eventStream) move() error {
	g := s.attempt.call.gateway
	if !g.startMove() {
		return nil // other streams move; the next event comes soon
	}
	defer g.endMove()
	s.moves.notNow = g.config.Now().Add(g.config.Timeouts.MovePause)
	place, err := s.attempt.movable.Move()
	if err != nil {
		return nil // nowhere to go yet
	}
	s.moves.tried++
	outcome, err := s.moveTo(place)
	g.metrics.moves.WithLabelValues(outcome).Inc()
	g.config.Logger.Info("stream move", telemetry.FieldRequestID, s.attempt.call.record.requestID,
		"outcome", outcome, "to", place.Target().Server, "events", s.events, telemetry.FieldError, err)
	if outcome == moveFailed {
		return s.resume(errMoveFailed)
	}
	return nil
}

// moveTo takes the steps of a move and returns its outcome and what went wrong.
func (s *eventStream) moveTo(place traffic.Movable) (outcome string, err error) {
	export, err := s.export()
	if err != nil {
		place.Done(traffic.Outcome{Kind: traffic.OutcomeCancelled}) // no fault of the new engine
		if isRefusal(err) {
			return moveRefused, err
		}
		s.moves.inDoubt = true
		return moveInDoubt, err
	}
	if export.Events < s.events {
		place.Done(traffic.Outcome{Kind: traffic.OutcomeCancelled})
		return moveFailed, errors.Errorf("the export has %d events, the caller %d", export.Events, s.events)
	}
	if err := s.importAt(place.Target(), export); err != nil {
		place.Done(traffic.Outcome{Kind: traffic.OutcomeNotRun})
		return moveFailed, err
	}
	return s.goOnAt(place)
}

// isRefusal tells whether an engine surely did nothing of what it was asked.
func isRefusal(err error) bool {
	if errors.Is(err, engine.ErrUnknownOutcome) {
		return false
	}
	var status *engine.StatusError
	return errors.Is(err, engine.ErrUnreachable) || errors.As(err, &status)
}

// export has the stream's engine stop the request and hand it out.
func (s *eventStream) export() (engine.KVExport, error) {
	ctx, cancel := s.stepContext()
	defer cancel()
	a := s.attempt
	export, err := a.call.gateway.orders.ExportKV(ctx, a.target.Address, engine.KVExportRequest{RequestID: a.engineID, Cancel: true})
	if err == nil && (export.RequestID != a.engineID || export.Model != a.call.request.Model) {
		return engine.KVExport{}, errors.Wrap(engine.ErrUnknownOutcome, errCrossedAnswer.Error())
	}
	return export, err
}

// importAt hands the request to an engine, which does not run it yet.
func (s *eventStream) importAt(target traffic.Target, export engine.KVExport) error {
	ctx, cancel := s.stepContext()
	defer cancel()
	return s.attempt.call.gateway.orders.ImportKV(ctx, target.Address, export)
}

// stepContext bounds one step of a move.
func (s *eventStream) stepContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.attempt.context, s.attempt.call.gateway.config.Timeouts.MoveStep)
}

// goOnAt asks the engine that imported the request for the rest of its events.
// Once that engine may run it, a request that is unsafe to repeat stays there.
func (s *eventStream) goOnAt(place traffic.Movable) (outcome string, err error) {
	a := s.attempt
	old := a.target
	a.target = place.Target()
	answer, err := a.send(s.events, a.call.gateway.stallDeadline())
	notRunning := upstream.StageOf(err) == upstream.StageConnect
	if err == nil {
		if failure := a.checkHeader(answer); failure != nil {
			err = failure.apiError
			notRunning = failure.outcome == traffic.OutcomeNotRun
		}
	}
	if err == nil {
		s.adopt(place, answer)
		return moveDone, nil
	}
	if a.call.request.Unsafe && !notRunning {
		s.adopt(place, nil)
		return moveFailed, err
	}
	if !notRunning {
		a.call.gateway.cancelAtEngine(a.target.Address, a.engineID)
	}
	a.target = old
	place.Done(traffic.Outcome{Kind: traffic.OutcomeUnknown})
	return moveFailed, err
}

// adopt makes place the one that the stream runs at. Without an answer, the
// stream is still to be resumed there.
func (s *eventStream) adopt(place traffic.Movable, answer *upstream.Answer) {
	a := s.attempt
	a.grant.Done(traffic.Outcome{Kind: traffic.OutcomeCancelled, Tokens: s.events})
	a.grant, a.movable = place, place
	a.call.record.server = a.target.Server
	s.moves = moves{tried: s.moves.tried}
	s.answer.Close(false)
	if answer != nil {
		s.answer = answer
		s.reader.Reset(answer)
	}
}

// startMove takes one of the node's places for moves, which bound the memory
// that exports take. It returns false if none is free.
func (g *Gateway) startMove() bool {
	select {
	case g.moving <- struct{}{}:
		return true
	default:
		return false
	}
}

func (g *Gateway) endMove() { <-g.moving }

// newOrders returns the client for exports and imports.
func newOrders(config Config) engine.Client {
	return engine.NewHTTPClient(engine.HTTPClientConfig{
		DialTimeout:      config.Timeouts.Connect,
		MaxResponseBytes: config.Limits.MoveBytes,
	})
}
