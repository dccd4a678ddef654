package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// errImpatient ends an attempt that takes too long while another server could serve the request.
var errImpatient = errors.New("relay: the server takes too long")

// errLeaving keeps a request from a server that began to leave.
var errLeaving = errors.New("relay: the server is leaving")

// attemptResult is the result of an attempt.
type attemptResult uint8

const (
	served       attemptResult = iota // the complete answer was sent
	notRun                            // the server certainly did not run it
	mayHaveRun                        // it may have run, at least in part
	failedAnswer                      // the server answered with a failure that may be passed on
	aborted                           // the caller left or the deadline passed
)

// serve sends the request to servers until one serves it or no further attempt is allowed.
func (c *call) serve(ctx context.Context) {
	defer c.returnPlace()
	c.relay.budgets.arrive(c.relay.Budget, c.relay.BudgetStart, c.arrived, c.service)
	if c.need.Model != "" && c.relay.RequestArrived != nil {
		c.relay.RequestArrived(c.service, c.need, c.priority())
	}
	for {
		m := c.acquire(ctx)
		if m == nil {
			return
		}
		m, perm := c.takePlace(ctx, m)
		if perm == mayRunNow {
			perm = c.permit(ctx, m)
		}
		if perm == mayRunNow {
			m, perm = c.takeSlot(ctx, m)
		}
		switch perm {
		case wasRefused:
			c.endTrial()
			return
		case chooseAgain:
			c.endTrial()
			continue
		}
		before := c.sends
		if before > 0 && !c.mayRetry(ctx) {
			c.endTrial()
			c.refuse(c.notServed(reasonBudget, defaultRetryAfter))
			return
		}
		tryAnother := c.attemptAndEndTrial(ctx, m)
		if before > 0 && c.sends == before {
			c.relay.budgets.returnRetry(c.relay.Budget, c.relay.Time.Now(), c.service)
		}
		if !tryAnother {
			return
		}
	}
}

// attemptAndEndTrial calls attempt and then ends the trial of a suspected request.
func (c *call) attemptAndEndTrial(ctx context.Context, m *backend.Member) bool {
	defer c.endTrial()
	return c.attempt(ctx, m)
}

func (c *call) endTrial() {
	c.trial.end()
	c.trial = nil
}

func (c *call) nodes() int {
	if c.relay.Nodes == nil {
		return 1
	}
	return c.relay.Nodes()
}

// attempt sends the request to a server. It reports whether to try another one.
func (c *call) attempt(ctx context.Context, m *backend.Member) bool {
	v, err := c.try(ctx, m)
	if errors.Is(err, errHandedOver) {
		return c.continueElsewhere(ctx)
	}
	return c.decideNext(ctx, m, v, err)
}

// try sends the request to a server and passes its answer on.
func (c *call) try(ctx context.Context, m *backend.Member) (attemptResult, error) {
	started := c.relay.Time.Now()
	m.Begin(started, c.need.Model)
	ended := false
	end := func() {
		if !ended {
			ended = true
			m.End(c.need.Model)
		}
	}
	defer end()
	c.reportPlaceSent(m)
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	impatience := c.startImpatienceTimer(m, cancel)
	c.backup = c.chooseBackup(m)
	defer c.releaseBackup(c.backup)
	a, err := m.Send(attempt, c.message(m), func() error { return c.checkBeforeSend(m) })
	if impatience != nil && c.route.Kind != route.Stream {
		defer impatience.Stop()
	}
	c.record.try(m, started)
	c.record.last().answered = c.resumption.answered
	before := c.sends
	v, err := c.handleAnswer(ctx, m, a, err, impatience)
	if a != nil {
		a.Close()
	}
	end()
	c.endLoan(v)
	c.releasePlace()
	c.record.attemptEnded(c.relay.Time.Now(), v, err)
	if c.sends > before && (v == mayHaveRun || v == aborted) {
		c.investigateUnlessStopped(ctx, m, err, context.Cause(attempt) != nil)
	}
	return v, err
}

// checkBeforeSend is called right before the first byte is sent to a server. An error tells why the
// request must not be sent.
func (c *call) checkBeforeSend(m *backend.Member) error {
	switch {
	case (m.Leaving() || m.Evacuated()) && !c.resumption.toSource && !c.mayUseLeaving(m):
		return errLeaving
	case c.timeLeft() <= 0: // the timer of ctx uses another clock and may be late after a suspension
		return errDeadline
	case c.place.stale(c.relay.Time.Now()):
		return errStalePlace
	case !c.slot.covers(c.relay.Time.Now(), m):
		return errNoSlot
	case !c.stillPermitted(m):
		return errNotPermitted
	case !m.AdmitAfterBackOff(c.relay.Time.Now()): // checked last since it counts the request
		return errBackoff
	}
	return nil
}

// isConnectionBroken reports whether the connection to the server broke during the request.
func isConnectionBroken(err error) bool {
	return errors.Is(err, backend.ErrNoAnswer) || errors.Is(err, backend.ErrBroken)
}

// startImpatienceTimer ends an attempt that shows no sign of an answer while another server could
// serve the request.
func (c *call) startImpatienceTimer(m *backend.Member, cancel context.CancelCauseFunc) *time.Timer {
	if c.resumption.from != "" {
		return c.startResumeTimer(cancel)
	}
	if !c.mayTryAnother() {
		return nil
	}
	return time.AfterFunc(firstByteTime(c.route), func() {
		if c.hasAlternative(m) {
			cancel(errImpatient)
		}
	})
}

// mayTryAnother reports whether the request may go to another server even if the current one runs
// it.
func (c *call) mayTryAnother() bool {
	return c.route.Repeatable() && c.runs+1 < max(c.route.MaxAttempts, 1)
}

// hasAlternative reports whether an untried server other than m could serve the request.
func (c *call) hasAlternative(m *backend.Member) bool {
	now := c.relay.Time.Now()
	for _, other := range c.servers() {
		if other.ID != m.ID && other.Serves(now, c.need) && !other.Limited() && !other.Avoid(now) && !slices.Contains(c.tried, other.ID) {
			return true
		}
	}
	return false
}

// handleAnswer classifies the outcome of a send and passes the server's answer on.
func (c *call) handleAnswer(ctx context.Context, m *backend.Member, a *backend.Answer, err error, impatience *time.Timer) (attemptResult, error) {
	switch {
	case errors.Is(err, errDeadline):
		return aborted, errDeadline
	case errors.Is(err, backend.ErrNotSent), errors.Is(err, backend.ErrTooManyConnections):
		if ctx.Err() != nil {
			return aborted, context.Cause(ctx)
		}
		return notRun, err
	case err != nil:
		c.sends++
		c.runs++
		if ctx.Err() != nil {
			return aborted, context.Cause(ctx)
		}
		return mayHaveRun, err
	}
	c.sends++
	c.record.status = a.Status
	if a.Status == http.StatusMisdirectedRequest || a.Header.Get(c.relay.Headers.NotRun) != "" {
		if a.Status == http.StatusServiceUnavailable {
			m.Rejected(c.relay.Time.Now())
		}
		return notRun, c.rejectionError(m, a)
	}
	c.runs++
	if !c.isAuthentic(a) {
		return mayHaveRun, errors.Errorf("an answer without the server's seal: %d", a.Status)
	}
	if c.route.Kind == route.Stream && a.Status == http.StatusOK {
		return c.relayStream(ctx, m, a, impatience)
	}
	if c.headSent {
		return mayHaveRun, errors.Errorf("the server does not go on with the stream: %d", a.Status)
	}
	c.answerStarted()
	c.record.last().unframed = !a.Framed
	return c.relayBuffered(ctx, a)
}

// isAuthentic reports whether an answer comes from the server. Successes carry its seal, failures
// the seal or the request ID. The address of a crashed server may now belong to another process,
// whose 404 would make the caller give up.
func (c *call) isAuthentic(a *backend.Answer) bool {
	return a.Header.Get(c.relay.Headers.Seal) != "" ||
		a.Status >= http.StatusMultipleChoices && (c.id == "" || a.Header.Get(c.relay.Headers.RequestID) != "")
}

// rejectionError describes how a server rejected the request without running it.
func (c *call) rejectionError(m *backend.Member, a *backend.Answer) error {
	if rest := m.BackOff(c.relay.Time.Now()); rest > 0 {
		return errors.Errorf("the server did not run it: %d, and wants nothing for %d ms", a.Status, rest.Milliseconds())
	}
	return errors.Errorf("the server did not run it: %d", a.Status)
}

// answerStarted records that the server began to answer.
func (c *call) answerStarted() {
	c.record.answerStarted(c.relay.Time.Now())
	c.reportPlaceAnswered()
	c.trial.startSettling()
}

// decideNext decides what the result of an attempt allows. It reports whether to try another
// server.
func (c *call) decideNext(ctx context.Context, m *backend.Member, v attemptResult, err error) bool {
	now := c.relay.Time.Now()
	switch v {
	case served:
		m.Answered()
		m.Ran(c.record.last().ended.Sub(c.record.last().started))
		c.recordCompletion(m)
		c.reportSpeed(m)
		c.record.setOutcome(outcomeServed, nil)
		return false
	case aborted:
		c.giveUp(ctx)
		return false
	case notRun:
		if errors.Is(err, errStalePlace) || errors.Is(err, errNoSlot) || errors.Is(err, errNotPermitted) || errors.Is(err, errBackoff) {
			return true
		}
		c.recordRejection(now, m, err)
		c.tried = append(c.tried, m.ID)
		c.misses++
		if c.sends >= maxSends || c.misses >= maxMisses {
			c.refuse(c.notServed(reasonNoServer, defaultRetryAfter))
			return false
		}
		c.pauseAfterMiss(ctx, now)
		return true
	}
	m.Failed(now)
	c.tried = append(c.tried, m.ID)
	if !c.mayTryAgain() {
		c.refuse(c.notServed(reasonFailed, defaultRetryAfter))
		return false
	}
	return true
}

// mayTryAgain reports whether the request may go to another server after one that may have run it.
// A server that crashed does not count.
func (c *call) mayTryAgain() bool {
	if !c.route.Repeatable() || c.trial != nil && c.trial.held {
		return false
	}
	if c.runs < max(c.route.MaxAttempts, 1) {
		return true
	}
	if !c.record.lastServerCrashed() || c.sends >= maxSends {
		return false
	}
	c.runs--
	return true
}

// Limits of how often a request is sent when servers reject it, and of all attempts including
// failed connections.
const (
	maxSends  = 4
	maxMisses = 8
)

// pauseAfterMiss waits before the next attempt. The pauses grow. If a server remains that has not
// rejected the request, they are short and the first one is skipped.
func (c *call) pauseAfterMiss(ctx context.Context, now time.Time) {
	pause := fullPause << (c.misses - 1)
	switch {
	case !c.hasUntried(now):
		if c.firstBackoffEnd(now) != nil {
			return // acquire waits for the end of the back-off, or refuses
		}
	case c.misses < 2:
		return
	default:
		pause = missPause << (c.misses - 2)
	}
	c.sleep(ctx, min(pause, maxMissPause))
}

// sleep waits for d or until the request ends.
func (c *call) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Pauses after rejections; each is twice the one before.
const (
	missPause = 10 * time.Millisecond // after the second rejection
	// fullPause applies if the only server is full: meanwhile some running requests finish, each of
	// which takes one or two seconds at a server that runs 12 to 64.
	fullPause    = 80 * time.Millisecond
	maxMissPause = 500 * time.Millisecond
)

// hasUntried reports whether an untried server could serve the request.
func (c *call) hasUntried(now time.Time) bool {
	for _, m := range c.servers() {
		if m.Serves(now, c.need) && !slices.Contains(c.tried, m.ID) {
			return true
		}
	}
	return false
}

// recordRejection records why a server rejected the request.
func (c *call) recordRejection(now time.Time, m *backend.Member, err error) {
	switch {
	case c.need.Model != "" && m.Gone(now):
		c.shortage = shortage{server: m.ID, gone: true}
		m.Failed(now)
	case errors.Is(err, errLeaving), errors.Is(err, backend.ErrTooManyConnections), m.BackOff(now) > 0:
	case c.record.status == http.StatusMisdirectedRequest && c.need.Model != "":
		c.shortage = shortage{server: m.ID}
		c.relay.Servers.OverrideHolding(m.ID, c.need, false, now.Add(assumedNotHeldTime))
	default:
		m.Failed(now)
	}
}

// assumedNotHeldTime is how long a server that rejected a request for a model it should hold gets
// no further requests for it.
const assumedNotHeldTime = 1500 * time.Millisecond
