package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/route"
)

// A server may fall silent for a moment and go on, or for good. Nothing tells which it is, so that a run that lives is
// not given up for one that may never begin: a second run, the hedge, starts beside it, and the request goes on with
// the one that brings something first. A hedge takes only what nobody waits for: a free server, and a retry of this
// node's own share. Without them the first run goes on alone.

// Ends of runs that this node did not need any more.
var (
	// errOvertaken ends a run whose hedge was ready first.
	errOvertaken = errors.New("relay: another server was faster")
	errNotNeeded = errors.New("relay: the first server went on")
)

const (
	// soundSilence is how long a server may be silent in the middle of a stream and go on. Until then a hedge would
	// mostly be work for nothing.
	soundSilence = 1500 * time.Millisecond
	// hedgeRetryInterval is the interval between attempts to begin a hedge.
	hedgeRetryInterval = 100 * time.Millisecond
	gapFactor          = 3 // multiple of a route's longest pause that counts as silence
	// maxTimerDelay is the delay of a timer beyond which this node was held up itself. What servers sent meanwhile
	// may not have been read yet.
	maxTimerDelay = 100 * time.Millisecond
)

// hedging is the state of the hedge of a request.
type hedging struct {
	hedge *run        // nil: none runs
	timer *time.Timer // fires when the run has been silent for too long; nil: never armed
	due   time.Time   // when the timer was to fire
}

// armHedge sets the time without progress after which a hedge may begin.
func (c *call) armHedge(after time.Duration) {
	c.due = c.relay.Time.Now().Add(after)
	if c.timer == nil {
		c.timer = time.NewTimer(after)
		return
	}
	c.timer.Reset(after)
}

// disarmHedge keeps hedges from beginning.
func (c *call) disarmHedge() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

// hedgeTimer returns the channel of the timer; nil if it was never armed.
func (c *call) hedgeTimer() <-chan time.Time {
	if c.timer == nil {
		return nil
	}
	return c.timer.C
}

// watchSilence sets when a hedge may begin unless the run brings something before.
func (c *call) watchSilence(r *run) {
	switch {
	case !c.hedgeable(r):
		c.disarmHedge()
	case r.try.answered.IsZero():
		c.armHedge(firstByteTime(c.route))
	default:
		c.armHedge(silenceLimit(c.route))
	}
}

// silenceLimit returns how long a stream that has begun may be silent before a hedge begins.
func silenceLimit(r *route.Route) time.Duration { return max(soundSilence, gapFactor*r.GapTarget) }

// hedgeable reports whether a hedge may run beside a run of the request.
func (c *call) hedgeable(r *run) bool {
	running := c.runs
	if !r.counted {
		running++
	}
	return c.continuable() && running < max(c.route.MaxAttempts, 1) && c.trial == nil && c.resumption.from == ""
}

// next returns the next update of a run. Meanwhile a hedge may begin; if it is ready first, next returns errOvertaken.
func (c *call) next(ctx context.Context, r *run) (update, error) {
	if len(r.ahead) > 0 {
		u := r.ahead[0]
		r.ahead = r.ahead[1:]
		return u, nil
	}
	for {
		var hedged chan update
		if c.hedge != nil {
			hedged = c.hedge.updates
		}
		select {
		case u := <-r.updates:
			return r.take(u), nil
		case u := <-hedged:
			if c.hedgeAdvanced(ctx, c.hedge.take(u)) {
				return update{}, errOvertaken
			}
		case <-c.hedgeTimer():
			c.silenceElapsed(ctx, r)
		}
	}
}

// silenceElapsed begins a hedge, or tries again a moment later.
func (c *call) silenceElapsed(ctx context.Context, r *run) {
	late := c.relay.Time.Since(c.due)
	if late <= maxTimerDelay && c.beginHedge(ctx, r) {
		return
	}
	c.armHedge(hedgeRetryInterval)
}

// beginHedge starts a hedge for a run. It returns false if none may run now.
func (c *call) beginHedge(ctx context.Context, r *run) bool {
	now := c.relay.Time.Now()
	if c.hedge != nil || !c.hedgeable(r) || r.active.isMoving() || c.relay.stopped(c.route.Kind, false) || !c.isFree() {
		return false
	}
	m := c.hedgeServer(r.member)
	if m == nil || !c.relay.budgets.takeRetry(c.relay.Budget, now, c.service, c.nodes()) {
		return false
	}
	m.Begin(now, c.need.Model)
	c.hedge = newRun(ctx, m, c.record.try(m, now))
	c.hedge.try.hedge = true
	c.hedge.subjects = c.subjectRuns(m)
	c.hedge.start(c.message(m, nil), c.route.Kind, func() error { return c.checkHedge(m) })
	return true
}

// isFree reports whether nothing of the request is suspected of crashing servers.
func (c *call) isFree() bool {
	q := c.relay.Quarantine
	return q == nil || q.Standing(c.subjects...) == quarantine.Free
}

// hedgeServer returns the server for a hedge, nil if none is free.
func (c *call) hedgeServer(first *backend.Member) *backend.Member {
	now := c.relay.Time.Now()
	return c.bestAlternative(first, func(m *backend.Member) bool {
		return !m.Avoid(now) && !slices.Contains(c.tried, m.ID)
	})
}

// checkHedge is checkBeforeSend for a hedge. It is called by the goroutine of its run.
func (c *call) checkHedge(m *backend.Member) error {
	switch {
	case m.Leaving() || m.Evacuated():
		return errLeaving
	case c.timeLeft() <= 0:
		return errDeadline
	case m.Limited():
		return errNoSlot
	case !c.isFree():
		return errNotPermitted
	case !m.AdmitAfterBackOff(c.relay.Time.Now()): // checked last since it counts the request
		return errBackoff
	}
	return nil
}

// hedgeAdvanced handles an update of the hedge. It returns true if the request should go on with the hedge.
func (c *call) hedgeAdvanced(ctx context.Context, u update) bool {
	h := c.hedge
	u.data = bytes.Clone(u.data)
	if len(h.ahead) < 2 { // the head, and the content so far
		h.ahead = append(h.ahead, u)
	} else {
		content := &h.ahead[1]
		content.data, content.err = append(content.data, u.data...), u.err
	}
	if len(h.ahead) < 2 {
		if v, err := c.readHead(ctx, h, u); err != nil {
			c.hedgeFailed(ctx, v, err)
		}
		return false
	}
	content := h.ahead[1]
	switch {
	case c.isStream(h.answer) && scanEvents(content.data).size > 0:
		return true
	case c.isStream(h.answer) && content.err == nil:
		return false
	case content.err == io.EOF && h.answer.Status < http.StatusInternalServerError:
		return true
	case content.err == io.EOF:
		c.hedgeFailed(ctx, failedAnswer, errors.Errorf("status %d", h.answer.Status))
	default:
		c.hedgeFailed(ctx, mayHaveRun, content.err)
	}
	return false
}

// hedgeFailed ends a hedge that did not serve the request.
func (c *call) hedgeFailed(ctx context.Context, v attemptResult, err error) {
	h := c.hedge
	c.endHedge(v, err)
	if !h.counted {
		c.relay.budgets.returnRetry(c.relay.Budget, c.relay.Time.Now(), c.service)
	}
	if v != aborted {
		c.noteFailure(h, v, err)
	}
	if h.ran && v == mayHaveRun {
		c.investigateFailure(ctx, h, err, false)
	}
	c.armHedge(hedgeRetryInterval)
}

// dropHedge ends the hedge, if there is one, since the first run went on or the request is over.
func (c *call) dropHedge() {
	h := c.hedge
	if h == nil {
		return
	}
	c.endHedge(aborted, errNotNeeded)
	if !h.sent.Load() {
		c.relay.budgets.returnRetry(c.relay.Budget, c.relay.Time.Now(), c.service)
		return
	}
	c.countRun(h)
	c.watchForCrash(h)
}

// endHedge ends the hedge.
func (c *call) endHedge(v attemptResult, err error) {
	h := c.hedge
	c.hedge = nil
	h.close(err)
	h.member.End(c.need.Model)
	h.try.end(c.relay.Time.Now(), v, err)
}

// goOnWithHedge makes the hedge the run of the request, and passes its answer on.
func (c *call) goOnWithHedge(ctx context.Context) (attemptResult, error) {
	h := c.hedge
	c.hedge = nil
	c.record.current = h.try
	c.reportPlaceSent(h.member)
	c.watchSilence(h)
	return c.follow(ctx, h)
}
