package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/route"
)

// A server may fall silent for a moment and go on, or for good. Nothing tells which it is, so that a run that lives is
// not given up for one that may never begin: a second run, the hedge, starts beside it, and the request goes on with
// the one that brings something first. A hedge takes only what nobody waits for: a free server, and a retry. Without
// them the first run goes on alone.

// Ends of runs that this node did not need any more.
var (
	// errOvertaken ends a run whose hedge was ready first.
	errOvertaken = errors.New("relay: another server was faster")
	errNotNeeded = errors.New("relay: the first server went on")
	// errSilent ends a run that brought nothing.
	errSilent = errors.New("relay: the server is silent")
)

const (
	// soundSilence is how long a server may be silent in the middle of a stream and go on. Until then a hedge would
	// mostly be work for nothing.
	soundSilence = 1500 * time.Millisecond
	// gapFactor is the multiple of a route's longest pause that counts as silence.
	gapFactor = 3
	// maxHedgeBytes limits what a hedge brings before its first event, beside what the first run holds.
	maxHedgeBytes = 64 << 10
	// hedgeRetryInterval is the interval between attempts to begin a hedge.
	hedgeRetryInterval = 100 * time.Millisecond
	// maxTimerDelay is the delay of a timer beyond which this node was held up itself. What servers sent meanwhile
	// may not have been read yet.
	maxTimerDelay = 100 * time.Millisecond
)

// hedging is the state of the hedge of a request.
type hedging struct {
	hedge        *run        // nil: none runs
	silenceTimer *time.Timer // fires when the runs have been silent for too long; nil: never armed
	silenceDue   time.Time   // when silenceTimer was to fire
}

// armSilence sets the time without progress after which something is done about it.
func (c *call) armSilence(after time.Duration) {
	c.silenceDue = c.relay.Time.Now().Add(after)
	if c.silenceTimer == nil {
		c.silenceTimer = time.NewTimer(after)
		return
	}
	c.silenceTimer.Reset(after)
}

// disarmSilence stops the timer.
func (c *call) disarmSilence() {
	if c.silenceTimer != nil {
		c.silenceTimer.Stop()
	}
}

// silenceElapses returns the channel of the timer; nil if it was never armed.
func (c *call) silenceElapses() <-chan time.Time {
	if c.silenceTimer == nil {
		return nil
	}
	return c.silenceTimer.C
}

// watchSilence sets when something is done about the silence of a run, unless it brings something before.
func (c *call) watchSilence(r *run) {
	switch {
	case r.fromCopy && r.try.events == 0:
		c.armSilence(silenceLimit(c.route))
	case !c.hedgeable(r):
		c.disarmSilence()
	default:
		c.armSilence(c.silenceOf(r))
	}
}

// silenceOf returns how long a run may be silent before a hedge begins.
func (c *call) silenceOf(r *run) time.Duration {
	if r.try.answered.IsZero() {
		return firstByteTime(c.route)
	}
	return silenceLimit(c.route)
}

// silenceLimit returns how long a stream that has begun may be silent.
func silenceLimit(r *route.Route) time.Duration { return max(soundSilence, gapFactor*r.GapTarget) }

// hedgeable reports whether a further run may begin beside a run of the request and its hedge.
func (c *call) hedgeable(r *run) bool {
	sends, runs := c.sends, c.runs
	for _, pending := range []*run{r, c.hedge} {
		if pending != nil && !pending.counted {
			sends++
		}
		if pending != nil && !pending.ran {
			runs++
		}
	}
	return c.continuable() && runs < max(c.route.MaxAttempts, 1) && sends < maxSends && c.trial == nil &&
		(!r.fromCopy || r.try.events > 0)
}

// next returns the next update of a run. Meanwhile a hedge may begin; if it is ready first, next returns errOvertaken.
func (c *call) next(ctx context.Context, r *run) (update, error) {
	if u, there := r.replay(); there {
		return u, nil
	}
	for {
		var hedged chan update
		if c.hedge != nil {
			hedged = c.hedge.updates
		}
		overtaken, elapsed := false, false
		select {
		case u := <-r.updates:
			return r.take(u), nil
		case u := <-hedged:
			overtaken = c.hedgeAdvanced(ctx, c.hedge.take(u))
		case lent := <-c.lent:
			c.noteLent(lent)
		case <-c.silenceElapses():
			elapsed = true
		}
		select {
		case u := <-r.updates: // a run that goes on at the same moment keeps the request
			return r.take(u), nil
		default:
		}
		switch {
		case overtaken:
			return update{}, errOvertaken
		case elapsed:
			c.silenceElapsed(ctx, r)
		}
	}
}

// silenceElapsed begins a hedge, or tries again a moment later. A run that continues from a copy ends instead.
func (c *call) silenceElapsed(ctx context.Context, r *run) {
	late := c.relay.Time.Since(c.silenceDue)
	switch {
	case late > maxTimerDelay:
	case r.fromCopy && r.try.events == 0:
		if c.mayGiveUpCopy(ctx) {
			r.cancel(errSilent)
			return
		}
	case c.beginHedge(ctx, r):
		c.armSilence(c.silenceOf(c.hedge))
		return
	}
	c.armSilence(hedgeRetryInterval)
}

// beginHedge starts a hedge for a run, in place of one that is silent itself. It returns false if none may begin now.
func (c *call) beginHedge(ctx context.Context, r *run) bool {
	if !c.hedgeable(r) || r.active.isMoving() || c.stopForbidsHedge() || !c.isFree() {
		return false
	}
	m := c.hedgeServer(r.member)
	if m == nil || !c.reserveRetry(ctx) {
		return false
	}
	if h := c.hedge; h != nil {
		c.dropHedge()
		c.noteFailure(h, mayHaveRun, errSilent)
	}
	c.takeReserved()
	now := c.relay.Time.Now()
	m.Begin(now, c.need.Model)
	h := c.newRun(ctx, m, now)
	h.try.hedge = true
	c.hedge = h
	h.start(c.message(m, "", nil), c.route.Kind, c.relay.Answers, func() error { return c.checkHedge(h) })
	return true
}

// stopForbidsHedge reports whether a hedge is of no use as a planned stop would cut it off. One of a stream may bring more
// than its silent run until then.
func (c *call) stopForbidsHedge() bool {
	return c.relay.stopped(c.route.Kind, false) || c.route.Kind != route.Stream && c.stopTooNear(0)
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
		return !m.Avoid(now) && !slices.Contains(c.tried, m.ID) && (c.hedge == nil || c.hedge.member.ID != m.ID)
	})
}

// checkHedge is checkBeforeSend for a hedge.
func (c *call) checkHedge(h *run) error {
	m := h.member
	switch {
	case m.Leaving() || m.Evacuated():
		return errLeaving
	case c.timeLeft() <= 0:
		return errDeadline
	case c.stopForbidsHedge():
		return errStopping
	case m.Limited():
		return errNoSlot
	case !c.isFree():
		return errNotPermitted
	case !m.AdmitAfterBackOff(c.relay.Time.Now()): // checked last since it counts the request
		return errBackoff
	}
	h.subjects = c.subjectRuns(h)
	return nil
}

// hedgeAdvanced handles an update of the hedge. It returns true if the request should go on with the hedge.
func (c *call) hedgeAdvanced(ctx context.Context, u update) bool {
	h := c.hedge
	if h.head == nil {
		h.head = &u
		if v, err := c.readHead(ctx, h, u); err != nil {
			c.hedgeFailed(ctx, v, err)
		}
		return false
	}
	if h.content == nil {
		h.content = &update{}
	}
	if len(h.content.data) == 0 && u.err != nil {
		h.content.data = u.data // nothing follows that would reuse its memory
	} else {
		h.content.data = append(h.content.data, u.data...)
	}
	h.content.err = u.err
	v, err := c.hedgeReady(ctx, h)
	if err != nil && !errors.Is(err, errNotReady) {
		c.hedgeFailed(ctx, v, err)
	}
	return err == nil
}

// errNotReady means that a hedge has brought nothing yet with which the request could go on.
var errNotReady = errors.New("relay: nothing has arrived yet")

// hedgeReady classifies what a hedge has brought. Without an error the request can go on with it; errNotReady means that it
// has to bring more, and any other error that it failed.
func (c *call) hedgeReady(ctx context.Context, h *run) (attemptResult, error) {
	got := h.content
	whole := scanEvents(got.data)
	streams := c.isStream(h.answer)
	switch {
	case streams && whole.count > 0:
		return served, nil
	case streams && got.err == nil && len(got.data) > maxHedgeBytes:
		return mayHaveRun, errEventTooLong
	case got.err == nil && !streams: // it can't be held until it is whole
		return mayHaveRun, memory.ErrUsedUp
	case got.err == nil:
		return served, errNotReady
	case got.err != io.EOF && ctx.Err() != nil:
		return aborted, context.Cause(ctx)
	case got.err != io.EOF:
		return mayHaveRun, got.err
	case streams && isPartialStream(h.answer, 0, got.data[whole.size:]):
		return mayHaveRun, errPartialEvent
	case h.answer.Status >= http.StatusInternalServerError:
		return failedAnswer, errors.Errorf("status %d", h.answer.Status)
	}
	return served, nil
}

// hedgeFailed ends a hedge that did not serve the request.
func (c *call) hedgeFailed(ctx context.Context, v attemptResult, err error) {
	h := c.hedge
	c.endHedge(v, err)
	switch {
	case v == aborted:
		c.watchForCrash(h)
	case v == mayHaveRun && isConnectionBroken(err):
		go c.relay.investigateHedge(context.WithoutCancel(ctx), h, err)
	}
	if v != aborted {
		c.noteFailure(h, v, err)
	}
	c.armSilence(hedgeRetryInterval)
}

// dropHedge ends the hedge, if there is one, since the first run went on or the request is over.
func (c *call) dropHedge() {
	if h := c.hedge; h != nil {
		c.endHedge(aborted, errNotNeeded)
		c.watchForCrash(h)
	}
}

// endHedge ends the hedge, wherever it is.
func (c *call) endHedge(v attemptResult, err error) {
	h := c.hedge
	c.hedge = nil
	h.close(err)
	if h.sent.Load() && v == aborted {
		c.countRun(h)
	}
	c.returnUnsent(h)
	h.member.End(c.need.Model)
	h.try.end(c.relay.Time.Now(), v, err)
}

// returnUnsent returns the retry of a hedge that reached no server.
func (c *call) returnUnsent(h *run) {
	if !h.counted {
		c.relay.budgets.returnRetry(c.relay.Budget, c.relay.Time.Now(), c.service)
	}
}

// goOnWithHedge makes the hedge the run of the request, and passes its answer on.
func (c *call) goOnWithHedge(ctx context.Context) (attemptResult, error) {
	h := c.hedge
	c.hedge = nil
	c.record.current = h.try
	c.reportPlaceSent(h.member)
	c.watchSilence(h)
	v, err := c.follow(ctx, h)
	c.returnUnsent(h)
	return v, err
}
