package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/migration"
)

// moveLine is the log entry of a call or step of a move.
type moveLine struct {
	From    string `json:"from"`
	To      string `json:"to"`
	Step    string `json:"step"`
	TookMS  int64  `json:"took_ms"`
	Events  int    `json:"events"` // of the run so far, or received by the caller before the step
	Outcome string `json:"outcome"`
	Error   string `json:"error,omitempty"` // why a call failed
}

// errorText returns the text of an error for a log entry, empty if there is none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// maxMoveLines limits the log entries about the moves of one stream.
const maxMoveLines = 16

// maxFailedMoves is how many targets may fail to continue a stream before it stays: each attempt
// adds a request to servers short of capacity, and usually the next one refuses as well.
const maxFailedMoves = 3

// addLogLine adds an entry for the log.
func (r *activeStream) addLogLine(l moveLine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) < maxMoveLines {
		r.lines = append(r.lines, l)
	}
}

// mayEndByMove reports whether the end of the data may be caused by a move rather than the end of
// the stream: an answer without framing ends with its connection.
func (r *activeStream) mayEndByMove(a *backend.Answer) bool { return !a.Framed && r.mayBeStopped() }

// handleBreak classifies a stream whose server sends no more, after everything received was passed
// on. It returns errHandedOver if there is a copy to continue from.
func (c *call) handleBreak(ctx context.Context, r *activeStream, err error) (attemptResult, error) {
	switch {
	case r.takeOver(ctx):
		c.handedOver, c.breakErr = r, err
		return mayHaveRun, errHandedOver
	case ctx.Err() != nil: // the caller left or the deadline passed while waiting for a move
		return aborted, context.Cause(ctx)
	}
	return mayHaveRun, err
}

// takeOver waits for a move in progress, if any, and marks the stream as continued by the call. It
// returns false if there is no copy to continue from or the call has ended.
func (r *activeStream) takeOver(ctx context.Context) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	r.ended = true
	moving := r.moving
	r.mu.Unlock()
	if moving != nil {
		select {
		case <-moving:
		case <-ctx.Done():
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takenOver = ctx.Err() == nil && (r.handle != "" || r.backup != nil && r.events > 0)
	return r.takenOver
}

// stoppedByMove reports whether the source broke the stream off because it was asked to.
func (r *activeStream) stoppedByMove() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopSent && r.handover.Stopped
}

// unregisterStream ends a stream at its source and keeps its log entries, unless the call continues
// it: then finishMove keeps them.
func (c *call) unregisterStream(r *activeStream) {
	if r == nil {
		return
	}
	if c.handedOver != r {
		c.record.moves = append(c.record.moves, r.logLines()...)
	}
	r.finish()
}

// investigateUnlessStopped calls investigateFailure unless the server broke the stream off because
// it was asked to, which is no sign of a crash.
func (c *call) investigateUnlessStopped(ctx context.Context, r *run, err error, abandoned bool) {
	if errors.Is(err, errHandedOver) {
		if c.handedOver.stoppedByMove() {
			return
		}
		r.member.Failed(c.relay.Time.Now())
		err = c.breakErr
	}
	c.investigateFailure(ctx, r, err, abandoned)
}

// resumption describes an attempt that continues from a copy. The zero value is an ordinary
// attempt.
type resumption struct {
	from     string        // where the copy is from, see Mover.Origin
	toSource bool          // the attempt goes back to the source
	answered time.Time     // when the run began to answer at its first server
	events   int           // received by the caller before
	stream   *activeStream // the stream that was handed over
	kept     bool          // the run can go on at the source as well, as long as that accepts requests
}

// continueElsewhere follows the steps of the handover for a stream that its source stopped, or
// broke off after it was copied. It reports whether to try another server.
func (c *call) continueElsewhere(ctx context.Context) bool {
	r := c.handedOver
	c.handedOver = nil
	defer c.finishMove(r)
	h := &r.handover
	if c.record.currentServerCrashed() { // a run at a crashed server does not count
		c.runs--
		h.Stopped = true
	}
	h.MayStop, h.MayRunAgain = c.engine.Moves, c.route.Repeatable()
	h.Copied = h.Copied || r.backup != nil
	patience := c.newStopPatience()
	for {
		h.MayReturn = c.mayReturnToSource(r)
		h.MayStop = h.MayStop && !patience.over(c.relay.Time.Now())
		switch step := h.Next(); step {
		case migration.Stop:
			if o := r.stop(moveCallTimeout); o == migration.NotSent || o == migration.NoAnswer {
				c.sleep(ctx, patience.nextPause())
			}
			if ctx.Err() != nil {
				c.giveUp(ctx, context.Cause(ctx))
				return false
			}
		case migration.ResumeAtTarget, migration.ResumeAtSource:
			next, v, err, ended := c.resume(ctx, r, step)
			if ended || errors.Is(err, errHandedOver) { // the latter: the next server left or broke off in turn
				return c.settle(ctx, next, v, err)
			}
		case migration.RunAgain:
			return c.decideNext(ctx, &run{member: r.source}, mayHaveRun, errMoved)
		default:
			c.refuse(c.notServed(reasonFailed, defaultRetryAfter))
			return false
		}
	}
}

// stopPatience tells how long the source of a stream that broke off is asked to stop its run, if the calls can't be sent or bring no
// answer: a server may reset further connections while it is busy.
type stopPatience struct {
	until time.Time
	pause time.Duration
}

// Pauses between such calls. Each is twice the one before, as every call may cost a connection.
const (
	firstStopPause = 25 * time.Millisecond
	maxStopPause   = 400 * time.Millisecond
)

// defaultHandleTime is how long servers are taken to keep an unused copy if the engine does not tell.
const defaultHandleTime = 5 * time.Second

// newStopPatience returns the patience for a stream that has just broken off: for as long as its copy lasts, or shortly if the stream may
// begin anew elsewhere.
func (c *call) newStopPatience() *stopPatience {
	lasts := c.engine.HandleTime
	if lasts <= 0 {
		lasts = defaultHandleTime
	}
	if c.mayRunAgain() {
		lasts = moveCallTimeout
	}
	return &stopPatience{until: c.relay.Time.Now().Add(lasts), pause: firstStopPause}
}

// over reports whether the source is asked no more.
func (p *stopPatience) over(now time.Time) bool { return now.After(p.until) }

// nextPause returns the pause before the next call.
func (p *stopPatience) nextPause() time.Duration {
	pause := p.pause
	p.pause = min(2*p.pause, maxStopPause)
	return pause
}

// mayReturnToSource reports whether the source of a stream may still be sent a request.
func (c *call) mayReturnToSource(r *activeStream) bool {
	switch {
	case r.sourceRestarted(), r.source.BackOff(c.relay.Time.Now()) > 0:
		return false
	case !r.source.Leaving():
		return true
	}
	return c.relay.servesYet(r.source)
}

// servesYet reports whether a server that leaves is still certain to serve a request that is sent now.
func (r *Relay) servesYet(m *backend.Member) bool {
	left, announced := r.timeUntilGone(m)
	if announced && left < backMargin {
		return false
	}
	return r.DrainTime > 0 && m.LeavingFor(r.Time.Now()) < r.DrainTime-sendMargin
}

// sourceRestarted reports whether a newer incarnation of the source is known. It has the same name
// but none of the earlier one's copies, and a handle may name the copy of another request there.
func (r *activeStream) sourceRestarted() bool {
	for _, m := range r.call.relay.Servers.Snapshot().Service(r.source.Service) {
		if (m.ID != r.source.ID || m.Software != r.source.Software) && backend.SameServer(m.ID, r.source.ID) {
			return true
		}
	}
	return false
}

// resume makes the target or the source continue the stream. As it is the same run, it counts
// neither as a retry nor as another server. ended tells that the copy is used up and the result v
// is final.
func (c *call) resume(ctx context.Context, r *activeStream, step migration.Step) (next *run, v attemptResult, err error, ended bool) {
	began := c.relay.Time.Now()
	c.place.granted = time.Time{} // a continued run needs no place
	c.resumption = resumption{from: r.origin(), toSource: step == migration.ResumeAtSource,
		answered: c.record.current.answered, events: c.record.events}
	c.resumption.stream, c.resumption.kept = r, step == migration.ResumeAtTarget && r.handover.Kept
	if c.takeSlotAt(ctx, r.serverFor(step)) {
		next, v, err = c.runAt(ctx, r.serverFor(step))
		c.uncount(next)
	} else {
		v, err = notRun, errNoSlot
	}
	o := c.resumeOutcome(v)
	r.handover.RecordOutcome(step, o)
	if step == migration.ResumeAtTarget && (o == migration.Refused || o == migration.NoAnswer) {
		c.failedMoves++
	}
	r.addLogLine(moveLine{From: r.source.ID, To: r.serverFor(step).ID, Step: step.String(), Events: c.resumption.events,
		TookMS: c.relay.Time.Since(began).Milliseconds(), Outcome: o.String()})
	c.resumption = resumption{}
	return next, v, err, next != nil && (v == aborted || o == migration.Done || o == migration.StreamBroke)
}

// origin names the copy for the target: by its handle if the stream was moved, by the request ID if
// it was copied from the beginning.
func (r *activeStream) origin() string {
	name := r.handle
	if name == "" {
		name = r.call.id
	}
	return r.call.relay.Mover.Origin(r.source, name)
}

// resumeOutcome converts the result of an attempt that continued from a copy for the handover.
func (c *call) resumeOutcome(v attemptResult) migration.Outcome {
	switch {
	case v == served:
		return migration.Done
	case v == notRun:
		return migration.Refused
	case c.record.events > c.resumption.events:
		return migration.StreamBroke
	}
	return migration.NoAnswer
}

// serverFor returns the server that a step goes to.
func (r *activeStream) serverFor(step migration.Step) *backend.Member {
	if step == migration.ResumeAtSource {
		return r.source
	}
	return r.target
}

// mayGiveUpCopy reports whether a run that continues from a copy and shows no sign of an answer may end: it is certain that
// the stream can go on otherwise.
func (c *call) mayGiveUpCopy(ctx context.Context) bool {
	if c.resumption.kept && c.mayReturnToSource(c.resumption.stream) {
		return true
	}
	return c.mayRunAgain() && c.reserveRetry(ctx)
}

// finishMove keeps the log entries of a stream and drops an unused copy.
func (c *call) finishMove(r *activeStream) {
	c.record.moves = append(c.record.moves, r.logLines()...)
	r.drop()
}

// logLines returns the entries for the log.
func (r *activeStream) logLines() []moveLine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines
}
