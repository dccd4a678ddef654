package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/prompt"
	"martenwheel.dev/pkg/quarantine"
)

// Quarantine tracks, over all nodes, requests and parts of prompts that crash the servers that run
// them. The subjects of a request are its own fingerprint, first, and those of the parts of its prompt.
type Quarantine interface {
	// Standing returns what may be done with a request that has the given subjects.
	Standing(subjects ...quarantine.Fingerprint) quarantine.Standing
	// NextRound returns the round, for a subject, of a run that begins now.
	NextRound(f quarantine.Fingerprint) int
	// SuspectedRounds returns the additional rounds from runs of which it is unknown whether their
	// servers crashed, and whether one of those runs was at server.
	SuspectedRounds(f quarantine.Fingerprint, server string) (rounds int, again bool)
	// ServerCrashed records that a server crashed a moment after it began to run the request. There is
	// one run for each subject.
	ServerCrashed(runs ...quarantine.Run)
	// CrashSuspected records that the connection to a server broke a moment after it began to run the
	// request and that it is unknown whether the server crashed. There is one run for each subject. It
	// returns when the other nodes were informed or can't be.
	CrashSuspected(ctx context.Context, runs ...quarantine.Run)
	// Completed records that a server ran the request to its end.
	Completed(f quarantine.Fingerprint)
	// PartAnswered records that a server answered a request with a part of prompts.
	PartAnswered(id string, f quarantine.Fingerprint)
	// Refused records that a request was refused because it or a part of its prompt is in quarantine.
	Refused(subjects ...quarantine.Fingerprint)
	// ServerAlive records that a server answered a request that was sent at the given time.
	ServerAlive(server string, sent time.Time)
	// RequestTrial asks for a trial: permission to run a suspected request at a server now.
	RequestTrial(ctx context.Context, service, server string, subjects ...quarantine.Fingerprint) (bool, error)
	// ReleaseTrial ends a trial: the request ran without harm or no longer runs.
	ReleaseTrial(server string, subjects ...quarantine.Fingerprint)
}

// permission tells whether a request may be sent to a server now.
type permission uint8

const (
	mayRunNow permission = iota
	chooseAgain
	wasRefused // the caller was answered
)

// quarantined reports whether the request is in quarantine.
func (c *call) quarantined() bool {
	q := c.relay.Quarantine
	return q != nil && q.Standing(c.subjects...) == quarantine.Quarantined
}

// refuseQuarantined sends no retry time: the same request will not be served while it is in
// quarantine.
func (c *call) refuseQuarantined() {
	c.noteAccused()
	c.relay.Quarantine.Refused(c.subjects...)
	reason := reasonQuarantine
	if len(c.parts) > 0 && c.relay.Quarantine.Standing(c.fingerprint) != quarantine.Quarantined {
		reason = reasonQuarantinedParts
	}
	c.refuse(c.notServed(reason, 0))
}

// noteAccused keeps for the log which subjects of the request have a standing.
func (c *call) noteAccused() {
	q := c.relay.Quarantine
	if standing := q.Standing(c.fingerprint); standing != quarantine.Free {
		c.record.accused = append(c.record.accused, accusedLine{Standing: standing.String()})
	}
	for i, id := range c.parts {
		if standing := q.Standing(c.subjects[i+1]); standing != quarantine.Free {
			c.record.accused = append(c.record.accused, accusedLine{Part: id, Standing: standing.String()})
		}
	}
}

// permit decides whether the request may go to a server now.
func (c *call) permit(ctx context.Context, m *backend.Member) permission {
	q := c.relay.Quarantine
	if q == nil {
		return mayRunNow
	}
	return c.checkStanding(ctx, q, m)
}

// identifySubjects sets what may be to blame if servers crash: the request itself and the parts of its
// prompt that other requests may share.
func (c *call) identifySubjects() {
	c.fingerprint = quarantine.FingerprintOf(c.http.Method, c.http.Host, c.target, c.body)
	described := prompt.Parse(prompt.Fields{Parts: c.http.Header.Get(c.relay.Headers.Parts)})
	c.parts = described.SharedIDs()
	c.subjects = append(c.subjects, c.fingerprint)
	for _, id := range c.parts {
		c.subjects = append(c.subjects, quarantine.FingerprintOfPart(id))
	}
}

// subjectRuns returns a run that begins now for each subject, with its round; nil without a quarantine. It is called by the
// goroutine of the run.
func (c *call) subjectRuns(at *run) []quarantine.Run {
	q, m := c.relay.Quarantine, at.member
	if q == nil {
		return nil
	}
	runs := make([]quarantine.Run, len(c.subjects))
	for i, f := range c.subjects {
		run := quarantine.Run{Request: f, Service: c.service, Server: m.ID, Round: q.NextRound(f), RequestID: c.id}
		run.Doubts, run.Again = q.SuspectedRounds(f, m.ID)
		if i > 0 {
			run.Part = c.parts[i-1]
		}
		if i < len(at.unproven) {
			run.Doubts = max(run.Doubts, at.unproven[i]-(run.Round-1))
		}
		runs[i] = run
	}
	return runs
}

// errNotPermitted keeps a request from a server: servers were found to have ended under it since it was permitted.
var errNotPermitted = errors.New("relay: the request may no longer run without a trial")

// stillPermitted reports whether the request may still go to a server. It may have waited for a slot, a retry or a
// connection since permit. The run belongs to the round as of now.
func (c *call) stillPermitted(r *run) bool {
	q := c.relay.Quarantine
	if q == nil {
		return true
	}
	switch standing := q.Standing(c.subjects...); {
	case standing == quarantine.Quarantined, standing == quarantine.Suspected && c.trial == nil:
		return false
	}
	r.subjects = c.subjectRuns(r)
	return true
}

// checkStanding decides by the standing of the request. A suspected request waits for a trial: of
// the requests that ran together when servers crashed only one is to blame, and running them
// separately shows which.
func (c *call) checkStanding(ctx context.Context, q Quarantine, m *backend.Member) permission {
	switch q.Standing(c.subjects...) {
	case quarantine.Free:
		return mayRunNow
	case quarantine.Quarantined: // found by another node after the request was accepted
		c.refuseQuarantined()
		return wasRefused
	}
	granted, err := q.RequestTrial(ctx, c.service, m.ID, c.subjects...)
	c.record.trialError = err
	if granted {
		c.trial = &trial{call: c, server: m.ID}
		return mayRunNow
	}
	return c.awaitTrial(ctx)
}

// awaitTrial makes a suspected request without a trial try again, unless its caller would leave
// first.
func (c *call) awaitTrial(ctx context.Context) permission {
	switch {
	case ctx.Err() != nil:
		c.giveUp(ctx, context.Cause(ctx))
		return wasRefused
	case !c.headSent && c.callerLeavesBy(c.relay.Time.Now().Add(quarantine.TrialRetryAfter)): // refusing after part of the answer would make the caller start over
		c.noteAccused()
		c.refuse(c.notServed(reasonSuspected, suspectedAfter))
		return wasRefused
	}
	c.sleep(ctx, quarantine.TrialRetryAfter)
	return chooseAgain
}

// suspectedAfter is the retry time for a suspected request without a trial: about the duration of
// another request's trial.
const suspectedAfter = 2 * time.Second

// trial is the permission to run a suspected request. Its end is reported once to the coordinator.
type trial struct {
	call        *call
	server      string
	settleTimer *time.Timer
	over        bool // used by the goroutine of the call only
	held        bool // not released but left to expire, as it is unknown whether the server crashed
}

// startSettling ends the trial when the server has sent the answer for so long that the request is
// not what crashes it.
func (t *trial) startSettling() {
	if t == nil || t.settleTimer != nil {
		return
	}
	q, subjects := t.call.relay.Quarantine, t.call.subjects
	t.settleTimer = time.AfterFunc(quarantine.SettleTime, func() { q.ReleaseTrial(t.server, subjects...) })
}

// hold keeps the trial until it expires and prevents other attempts of the request: its connection
// broke, and a crash of the server shows in the server's record within seconds. Otherwise one call
// could crash three servers behind proxies, which refuse no connection.
func (t *trial) hold() {
	if t != nil {
		t.held = true
	}
}

// end ends the trial if it is not over yet.
func (t *trial) end() {
	if t == nil || t.over {
		return
	}
	t.over = true
	if t.held {
		return
	}
	if t.settleTimer == nil || t.settleTimer.Stop() {
		t.call.relay.Quarantine.ReleaseTrial(t.server, t.call.subjects...)
	}
}

// investigateFailure determines whether the server of a run, which may have run the request, crashed. abandoned tells
// that this node ended the run itself.
func (c *call) investigateFailure(ctx context.Context, r *run, err error, abandoned bool) {
	switch {
	case abandoned:
		c.watchForCrash(r)
		return
	case !isConnectionBroken(err): // no sign of a crash
		return
	}
	switch probed := r.member.Probe(ctx); {
	case probed == backend.ProbeEnded:
		c.recordCrash(r)
	case errors.Is(err, backend.ErrMalformed): // the server lived, and this node closed the connection
		c.watchForCrash(r)
	case probed == backend.ProbeLinkBroken: // this node's link explains the break, unless the server's record shows its end
		c.watchForCrash(r)
		c.noteUnproven(r)
	default:
		c.relay.streams.connectionBroke(r.member.ID, c.relay.Time.Now())
		c.relay.recordSuspicion(ctx, r)
		c.watchForCrash(r)
		c.trial.hold()
	}
}

// recordCrash records that the server of a run crashed meanwhile. If it had sent the answer for long, the request is not
// blamed.
func (c *call) recordCrash(r *run) {
	r.try.serverCrashed = true
	c.relay.blameForCrash(r)
}

// blameForCrash records that the server of a run crashed.
func (r *Relay) blameForCrash(crashed *run) {
	r.streams.serverCrashed(crashed.member.ID, r.Time.Now())
	if r.Quarantine != nil && crashed.try.answerDuration() < quarantine.SettleTime {
		r.Quarantine.ServerCrashed(crashed.subjects...)
	}
}

// investigateHedge is investigateFailure for a hedge whose connection broke, beside the first run, whose events must not
// wait for it.
func (r *Relay) investigateHedge(ctx context.Context, h *run, err error) {
	switch probed := h.member.Probe(ctx); {
	case probed == backend.ProbeEnded:
		r.blameForCrash(h)
		return
	case probed == backend.ProbeLinkBroken, errors.Is(err, backend.ErrMalformed):
	default:
		r.streams.connectionBroke(h.member.ID, r.Time.Now())
		r.recordSuspicion(ctx, h)
	}
	r.watchForCrash(h)
}

// noteUnproven keeps the rounds of a run whose connection broke although another node reached the server.
func (c *call) noteUnproven(r *run) {
	c.unprovenRounds = make([]int, len(r.subjects))
	for i, run := range r.subjects {
		c.unprovenRounds[i] = run.Round + run.Doubts
	}
}

// recordSuspicion records that the server of a run may have crashed meanwhile. A proxy in front of it accepts connections
// after a crash, which then shows 0.3 s later or more; meanwhile the request would be sent to all other servers.
func (r *Relay) recordSuspicion(ctx context.Context, broken *run) {
	if q := r.Quarantine; q != nil && broken.try.answerDuration() < quarantine.SettleTime {
		q.CrashSuspected(ctx, broken.subjects...)
	}
}

// recordCompletion records that the request ran to its end. A server's own failure only shows that
// the server is alive: it may not have reached the part that crashes it.
//
// An answer that only the end of its connection delimits may have been broken off by a crash. Unless
// it went on for long, it proves nothing.
func (c *call) recordCompletion(r *run) {
	q := c.relay.Quarantine
	if q == nil {
		return
	}
	q.ServerAlive(r.member.ID, r.try.started)
	if r.try.unframed && r.try.answerDuration() < quarantine.SettleTime {
		c.watchForCrash(r)
		return
	}
	if c.record.status < http.StatusInternalServerError {
		q.Completed(c.fingerprint)
	}
	if c.record.status < http.StatusMultipleChoices {
		c.recordPartsAnswered(r)
	}
}

// recordPartsAnswered records once in a run that the parts of the prompt crash no server.
func (c *call) recordPartsAnswered(r *run) {
	if c.relay.Quarantine == nil || r.try.partsAnswered {
		return
	}
	r.try.partsAnswered = true
	for i, id := range c.parts {
		c.relay.Quarantine.PartAnswered(id, c.subjects[i+1])
	}
}

// recordSettled records that the parts of the prompt crash no server once a stream has brought events
// for long enough.
func (c *call) recordSettled(r *run) {
	if c.relay.Time.Since(r.try.answered) >= quarantine.SettleTime {
		c.recordPartsAnswered(r)
	}
}

// watchForCrash blames the request if the server of a run is found to have crashed later. Either the
// connection broke and something still listens there, such as a proxy or the server's next
// incarnation; or this node abandoned the run before an answer, as the caller left or another
// server was faster. Nearly all servers then stop working on it, some of them late.
func (c *call) watchForCrash(r *run) { c.relay.watchForCrash(r) }

func (r *Relay) watchForCrash(ended *run) {
	q := r.Quarantine
	if q == nil || ended.try.answerDuration() >= quarantine.SettleTime {
		return
	}
	var runs, again []quarantine.Run
	for _, run := range ended.subjects {
		run.ByRecord = true
		if run.Again {
			again = append(again, run)
		} else {
			runs = append(runs, run)
		}
	}
	m, began := ended.member, ended.try.started
	if len(runs) > 0 {
		m.OnEnd(began, quarantine.SuspicionTime, func() { q.ServerCrashed(runs...) })
	}
	if len(again) > 0 {
		m.OnLaterEnd(began, quarantine.SuspicionTime, func(server string) {
			for i := range again {
				again[i] = again[i].At(server)
			}
			q.ServerCrashed(again...)
		})
	}
}

// Reasons of refusals, telling the caller why retrying does not help.
var (
	reasonQuarantine       = fmt.Sprintf("servers ended when they ran this request; it is not run for %v or longer", quarantine.Lifetime)
	reasonQuarantinedParts = fmt.Sprintf("servers ended when they ran requests with a part of this prompt; it is not run for %v or longer", quarantine.Lifetime)
	reasonSuspected        = "servers ended when they ran this request; it waits for its turn to run alone"
)
