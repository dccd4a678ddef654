package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/migration"
)

// moveLine is a call or a step of a move as it stands in the log.
type moveLine struct {
	From    string `json:"from"`
	To      string `json:"to"`
	Step    string `json:"step"`
	TookMS  int64  `json:"took_ms"`
	Events  int    `json:"events"` // that the run had made, or that the caller had before a step
	Outcome string `json:"outcome"`
}

// maxMoveLines bounds the lines of one ride.
const maxMoveLines = 16

// maxVainMoves is after how many targets that did not go on with it a stream moves no more: each
// is one more request to servers that are short of room, and mostly the next refuses as well.
const maxVainMoves = 3

// note keeps a line for the log.
func (r *ride) note(l moveLine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) < maxMoveLines {
		r.lines = append(r.lines, l)
	}
}

// endsByMove tells whether the end of a stream's bytes may be the end of its connection by a
// move rather than its own: an answer without a frame ends with its connection.
func (r *ride) endsByMove(a *backend.Answer) bool { return !a.Framed && r.mayBeStopped() }

// brokeOff judges a stream whose server sends no more, after all that it had sent went out: with
// errHandedOver if there is a copy to go on from.
func (c *call) brokeOff(ctx context.Context, r *ride, err error) (verdict, error) {
	switch {
	case r.take(ctx):
		c.ride, c.broken = r, err
		return mayRun, errHandedOver
	case ctx.Err() != nil: // the caller left, or the time is over, while a move was waited for
		return gone, context.Cause(ctx)
	}
	return mayRun, err
}

// take waits for the move that is under way, if any, and has the call go on with the ride from
// then on. It returns false if there is no copy to go on from, or nobody to go on for.
func (r *ride) take(ctx context.Context) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	r.over = true
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
	r.taken = ctx.Err() == nil && (r.handle != "" || r.backup != nil && r.events > 0)
	return r.taken
}

// stoppedByMove tells whether the source broke the stream off because it was asked to.
func (r *ride) stoppedByMove() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopSent && r.handover.Stopped
}

// alight ends a ride at its source and keeps what it tells for the log; if the call goes on with it,
// settleRide does.
func (c *call) alight(r *ride) {
	if r == nil {
		return
	}
	if c.ride != r {
		c.record.moves = append(c.record.moves, r.told()...)
	}
	r.leave()
}

// suspectUnlessStopped is suspect, unless the server broke the stream off because it was asked to:
// that is no end of the server.
func (c *call) suspectUnlessStopped(ctx context.Context, m *backend.Member, err error, taken bool) {
	if errors.Is(err, errHandedOver) {
		if c.ride.stoppedByMove() {
			return
		}
		m.Failed(c.relay.Time.Now())
		err = c.broken
	}
	c.suspect(ctx, m, err, taken)
}

// resumption is how a try goes on from a copy. The zero value stands for a try that does not.
type resumption struct {
	from     string        // where the copy is from, see Mover.Origin
	back     bool          // the try goes to the source
	answered time.Time     // when the run began to answer, at its first server
	events   int           // that the caller had before
	patience time.Duration // until the try is given up without an answer; zero: the deadline alone bounds it
}

// goOn takes up a stream whose source stopped it, or broke it off after it was copied, by the steps
// of its handover. It tells whether another server is to be tried.
func (c *call) goOn(ctx context.Context) bool {
	r := c.ride
	c.ride = nil
	defer c.settleRide(r)
	h := &r.handover
	if c.record.lastEnded() { // a run whose server has ended does not count as one
		c.runs--
		h.Stopped = true
	}
	h.MayStop, h.MayAnew = c.engine.Moves, c.route.Repeatable()
	h.Copied = h.Copied || r.backup != nil
	for {
		h.MayBack = c.mayGoBack(r)
		switch step := h.Next(); step {
		case migration.Stop:
			r.stop(callTime)
		case migration.GoOnThere, migration.GoBack:
			v, err, ended := c.resume(ctx, r, step)
			switch {
			case errors.Is(err, errHandedOver): // the next server left or broke off in turn
				return c.goOn(ctx)
			case ended:
				return c.next(ctx, r.end(step), v, err)
			}
		case migration.Anew:
			return c.next(ctx, r.source, mayRun, errMoved)
		default:
			c.refuse(c.notServed(reasonFailed, defaultRetryAfter))
			return false
		}
	}
}

// mayGoBack tells whether the source of a ride may still be sent a request.
func (c *call) mayGoBack(r *ride) bool {
	switch {
	case r.rebornSource(), r.source.Rest(c.relay.Time.Now()) > 0:
		return false
	case !r.source.Leaving():
		return true
	}
	left, told := c.relay.goneIn(r.source)
	if told && left < backMargin {
		return false
	}
	return c.relay.DrainTime > 0 && r.source.LeavingFor(c.relay.Time.Now()) < c.relay.DrainTime-sendMargin
}

// rebornSource tells whether the source is known to have begun its next life, which answers to the
// same name and kept nothing: a handle of the earlier life may name another request's copy there.
func (r *ride) rebornSource() bool {
	for _, m := range r.call.relay.Servers.Snapshot().Service(r.source.Service) {
		if m.ID != r.source.ID && backend.SameServer(m.ID, r.source.ID) {
			return true
		}
	}
	return false
}

// resume has the target or the source of a ride go on with the stream. It is the same run: it
// counts neither as a repeat nor as one more server. ended tells that the copy is used and v is
// final.
func (c *call) resume(ctx context.Context, r *ride, step migration.Step) (v verdict, err error, ended bool) {
	began, sends, runs := c.relay.Time.Now(), c.sends, c.runs
	c.place.granted = time.Time{} // a run that goes on takes no turn
	c.resumption = resumption{from: r.origin(), back: step == migration.GoBack,
		answered: c.record.last().answered, events: c.record.events}
	if step == migration.GoOnThere && r.handover.Kept || c.mayRunAgain() {
		c.resumption.patience = max(leastGap, gapFactor*c.route.GapTarget)
	}
	if c.takeSlotAt(ctx, r.end(step)) {
		v, err = c.try(ctx, r.end(step))
	} else {
		v, err = notRun, errNoSlot
	}
	o := c.resumed(v)
	r.handover.Told(step, o)
	if step == migration.GoOnThere && (o == migration.Refused || o == migration.NoAnswer) {
		c.vainMoves++
	}
	r.note(moveLine{From: r.source.ID, To: r.end(step).ID, Step: step.String(), Events: c.resumption.events,
		TookMS: c.relay.Time.Since(began).Milliseconds(), Outcome: o.String()})
	c.sends, c.runs, c.resumption = sends, runs, resumption{}
	return v, err, v == gone || o == migration.Done || o == migration.Broke
}

// origin tells where the copy is from: what moved goes by its handle, what was copied since the run
// began by the request.
func (r *ride) origin() string {
	name := r.handle
	if name == "" {
		name = r.call.id
	}
	return r.call.relay.Mover.Origin(r.source, name)
}

// resumed returns how a try that went on from a copy ended, as the handover sees it.
func (c *call) resumed(v verdict) migration.Outcome {
	switch {
	case v == served:
		return migration.Done
	case v == notRun:
		return migration.Refused
	case c.record.events > c.resumption.events:
		return migration.Broke
	}
	return migration.NoAnswer
}

// end is the server that a step goes to.
func (r *ride) end(step migration.Step) *backend.Member {
	if step == migration.GoBack {
		return r.source
	}
	return r.target
}

// giveUpResuming ends a try that shows no sign of an answer while the source keeps the run.
func (c *call) giveUpResuming(cancel context.CancelCauseFunc) *time.Timer {
	if c.resumption.patience <= 0 {
		return nil
	}
	return time.AfterFunc(c.resumption.patience, func() { cancel(errImpatient) })
}

// settleRide keeps what a ride tells for the log and drops a copy that was not used.
func (c *call) settleRide(r *ride) {
	c.record.moves = append(c.record.moves, r.told()...)
	r.drop()
}

// told returns the lines for the log.
func (r *ride) told() []moveLine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines
}
