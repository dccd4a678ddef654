package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/route"
)

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
		if before > 0 && !c.takeReserved() && !c.mayRetry(ctx) {
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
	r, v, err := c.runAt(ctx, m)
	return c.settle(ctx, r, v, err)
}

// settle goes on with the hedge of a run that ended, if there is one and it is needed, and then decides what the result
// allows. It reports whether to try another server.
func (c *call) settle(ctx context.Context, r *run, v attemptResult, err error) bool {
	for c.hedge != nil && v != served && v != aborted {
		if errors.Is(err, errHandedOver) { // the hedge lives, while the copy may not be usable
			c.finishMove(c.handedOver)
			c.handedOver, err = nil, c.breakErr
		}
		c.noteFailure(r, v, err)
		r = c.hedge
		v, err = c.goOnWithHedge(ctx)
	}
	c.dropHedge()
	if errors.Is(err, errHandedOver) {
		return c.continueElsewhere(ctx)
	}
	return c.decideNext(ctx, r, v, err)
}

// runAt sends the request to a server and passes its answer on.
func (c *call) runAt(ctx context.Context, m *backend.Member) (*run, attemptResult, error) {
	started := c.relay.Time.Now()
	m.Begin(started, c.need.Model)
	c.reportPlaceSent(m)
	backup := c.chooseBackup(m)
	defer c.releaseBackup(backup)
	r := c.newRun(ctx, m, started)
	r.backup, r.fromCopy = backup, c.resumption.from != ""
	c.record.current = r.try
	r.try.answered = c.resumption.answered
	c.watchSilence(r)
	r.start(c.message(m, c.resumption.from, backup), c.route.Kind, c.relay.Answers, func() error { return c.checkBeforeSend(r) })
	v, err := c.follow(ctx, r)
	return r, v, err
}

// follow passes the answer of a run on and ends the run.
func (c *call) follow(ctx context.Context, r *run) (attemptResult, error) {
	v, err := c.handleAnswer(ctx, r)
	c.disarmSilence()
	abandoned := context.Cause(r.ctx) != nil
	r.close(err)
	if errors.Is(err, errOvertaken) {
		v, abandoned = c.overtaken(r), true
	}
	r.member.End(c.need.Model)
	c.endLoan(v)
	c.releasePlace()
	r.try.end(c.relay.Time.Now(), v, err)
	if r.counted && (v == mayHaveRun || v == aborted) {
		c.investigateUnlessStopped(ctx, r, err, abandoned)
	}
	return v, err
}

// overtaken returns the result of a run that was ended since its hedge was faster.
func (c *call) overtaken(r *run) attemptResult {
	if !r.sent.Load() {
		return notRun
	}
	c.countRun(r)
	return mayHaveRun
}

// countSend counts that a run was sent to a server.
func (c *call) countSend(r *run) {
	if !r.counted {
		r.counted = true
		c.sends++
	}
}

// countRun counts that a server may have run the request.
func (c *call) countRun(r *run) {
	c.countSend(r)
	c.mayHaveRun = true
	if !r.ran {
		r.ran = true
		c.runs++
	}
}

// uncount undoes the counts of a run that continued another one: it is the same run.
func (c *call) uncount(r *run) {
	if r.counted {
		c.sends--
	}
	if r.ran {
		c.runs--
	}
}

// checkBeforeSend is called right before the first byte is sent to a server. An error tells why the
// request must not be sent.
func (c *call) checkBeforeSend(r *run) error {
	m := r.member
	switch {
	case (m.Leaving() || m.Evacuated()) && !c.resumption.toSource && !c.mayUseLeaving(m):
		return errLeaving
	case c.timeLeft() <= 0: // the timer of ctx uses another clock and may be late after a suspension
		return errDeadline
	case c.stopTooNear(0):
		return errStopping
	case c.place.stale(c.relay.Time.Now()):
		return errStalePlace
	case !c.slot.covers(c.relay.Time.Now(), m):
		return errNoSlot
	case !c.stillPermitted(r):
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
func (c *call) handleAnswer(ctx context.Context, r *run) (attemptResult, error) {
	u, err := c.next(ctx, r)
	if err != nil {
		return mayHaveRun, err
	}
	if u.answer != nil {
		c.record.status = u.answer.Status
	}
	if v, err := c.readHead(ctx, r, u); err != nil {
		return v, err
	}
	if c.isStream(r.answer) {
		return c.relayStream(ctx, r)
	}
	c.answerStarted()
	r.try.unframed = !r.answer.Framed
	return c.relayBuffered(ctx, r)
}

// isStream reports whether an answer is passed on as it arrives.
func (c *call) isStream(a *backend.Answer) bool {
	return c.route.Kind == route.Stream && a.Status == http.StatusOK
}

// readHead classifies the head of a run's answer, or why there is none. Without an error, the answer is to be passed on.
func (c *call) readHead(ctx context.Context, r *run, u update) (attemptResult, error) {
	switch err := u.err; {
	case errors.Is(err, errDeadline):
		return aborted, errDeadline
	case errors.Is(err, backend.ErrNotSent), errors.Is(err, backend.ErrTooManyConnections):
		if ctx.Err() != nil {
			return aborted, context.Cause(ctx)
		}
		return notRun, err
	case err != nil:
		c.countRun(r)
		if ctx.Err() != nil {
			return aborted, context.Cause(ctx)
		}
		return mayHaveRun, err
	}
	a := u.answer
	c.countSend(r)
	r.try.status = a.Status
	if a.Status == http.StatusMisdirectedRequest || a.Header.Get(c.relay.Headers.NotRun) != "" {
		if a.Status == http.StatusServiceUnavailable {
			r.member.Rejected(c.relay.Time.Now())
		}
		return notRun, c.rejectionError(r.member, a)
	}
	c.countRun(r)
	switch {
	case !c.isAuthentic(a):
		return mayHaveRun, errors.Errorf("an answer without the server's seal: %d", a.Status)
	case c.headSent && !c.isStream(a):
		return mayHaveRun, errors.Errorf("the server does not go on with the stream: %d", a.Status)
	}
	return served, nil
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

// decideNext decides what the result of a run allows. It reports whether to try another server.
func (c *call) decideNext(ctx context.Context, r *run, v attemptResult, err error) bool {
	switch v {
	case served:
		r.member.Answered()
		r.member.Ran(r.try.ended.Sub(r.try.started))
		c.recordCompletion(r)
		c.reportSpeed(r.member)
		c.record.setOutcome(outcomeServed, nil)
		return false
	case aborted:
		c.giveUp(ctx, err)
		return false
	case notRun:
		if mayChooseSameServer(err) {
			return true
		}
		c.noteFailure(r, v, err)
		c.misses++
		if c.sends >= maxSends || c.misses >= maxMisses {
			c.refuse(c.notServed(reasonNoServer, defaultRetryAfter))
			return false
		}
		c.pauseAfterMiss(ctx, c.relay.Time.Now())
		return true
	}
	c.noteFailure(r, v, err)
	if !c.mayTryAgain() {
		c.refuse(c.notServed(reasonFailed, defaultRetryAfter))
		return false
	}
	return true
}

// continuable reports whether another server may run the request. A stream whose events have no IDs would begin anew there,
// and so would an answer of which a part was passed on.
func (c *call) continuable() bool {
	return c.route.Repeatable() && !c.passedOn && (c.record.events == 0 || c.lastEvent != "")
}

// mayChooseSameServer reports whether the server is not why a request was not sent to it. acquire chooses again, or refuses.
func mayChooseSameServer(err error) bool {
	return errors.Is(err, errStalePlace) || errors.Is(err, errNoSlot) || errors.Is(err, errNotPermitted) ||
		errors.Is(err, errBackoff) || errors.Is(err, errStopping)
}

// noteFailure records that a server did not serve the request.
func (c *call) noteFailure(r *run, v attemptResult, err error) {
	now := c.relay.Time.Now()
	switch {
	case v == notRun && mayChooseSameServer(err):
		return
	case v == notRun:
		c.recordRejection(now, r, err)
	case !errors.Is(err, errMoved) && !errors.Is(err, memory.ErrUsedUp):
		// A server that leaves as it announced has not failed, nor has one whose answer this node has no memory to hold.
		r.member.Failed(now)
	}
	c.tried = append(c.tried, r.member.ID)
}

// mayTryAgain reports whether the request may go to another server after one that may have run it.
// A server that crashed does not count.
func (c *call) mayTryAgain() bool {
	if !c.continuable() || c.trial != nil && c.trial.held {
		return false
	}
	if c.runs < max(c.route.MaxAttempts, 1) {
		return true
	}
	if !c.record.currentServerCrashed() || c.sends >= maxSends {
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
func (c *call) recordRejection(now time.Time, r *run, err error) {
	m := r.member
	switch {
	case c.need.Model != "" && m.Gone(now):
		c.shortage = shortage{server: m.ID, gone: true}
		m.Failed(now)
	case errors.Is(err, errLeaving), errors.Is(err, backend.ErrTooManyConnections), m.BackOff(now) > 0:
	case r.try.status == http.StatusMisdirectedRequest && c.need.Model != "":
		c.shortage = shortage{server: m.ID}
		c.relay.Servers.OverrideHolding(m.ID, c.need, false, now.Add(assumedNotHeldTime))
	default:
		m.Failed(now)
	}
}

// assumedNotHeldTime is how long a server that rejected a request for a model it should hold gets
// no further requests for it.
const assumedNotHeldTime = 1500 * time.Millisecond
