package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/quarantine"
)

// EvidenceNotice tells all nodes of requests and parts of prompts under which servers crashed, or which have since run
// to their end.
type EvidenceNotice struct {
	Evidence []quarantine.Evidence
}

// TakeTurn asks the holder for a trial: permission to run a suspected request alone at a server.
type TakeTurn struct {
	Evidence quarantine.Evidence
	Parts    []quarantine.Evidence    // on parts of its prompt
	Subjects []quarantine.Fingerprint // all of the request; nil: the request alone
	Server   string                   // where it would run
	// Keep extends the request's trial: its server crashed, and reports of other nodes may still show another cause.
	Keep bool
}

// TurnAnswer tells whether the trial is granted.
type TurnAnswer struct {
	Term    uint64 // zero: not the holder
	Granted bool
	Running bool                  // not granted because one of the subjects has a trial elsewhere
	Known   []quarantine.Evidence // evidence that the asking node lacks
}

// ReleaseTurn tells the holder that a trial is over.
type ReleaseTurn struct {
	Server  string
	Request quarantine.Fingerprint // a subject of the request
	// Evidence is what the node knows of the request: notices of the trial's outcome arrive later.
	Evidence quarantine.Evidence
	Parts    []quarantine.Evidence // on parts of its prompt
}

// KnownEvidence is exchanged by a node and the holder with each heartbeat. It covers subjects that are suspected or
// in quarantine, and replaces notices that the node lost or that were sent before it started.
type KnownEvidence struct {
	Sum   uint64                // checksum of all evidence, see quarantine.Sum
	Parts []quarantine.Evidence // if the other side's sum differs
}

// noticeDelay is how long evidence is collected before it is sent: the requests that a crash interrupts fail within
// a few milliseconds.
const noticeDelay = 10 * time.Millisecond

// evidenceQueue is evidence that waits to be sent to the other nodes. Safe for concurrent use.
type evidenceQueue struct {
	mu      sync.Mutex
	waiting []quarantine.Evidence
}

// add queues evidence. It returns whether the queue was empty.
func (n *evidenceQueue) add(e quarantine.Evidence) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting = append(n.waiting, e)
	return len(n.waiting) == 1
}

// take returns and removes what is queued.
func (n *evidenceQueue) take() []quarantine.Evidence {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.waiting
	n.waiting = nil
	return list
}

// Standing implements relay.Quarantine.
func (m *Member) Standing(subjects ...quarantine.Fingerprint) quarantine.Standing {
	return m.Quarantine.Standing(m.Time.Now(), subjects...)
}

// NextRound implements relay.Quarantine.
func (m *Member) NextRound(f quarantine.Fingerprint) int {
	return m.Quarantine.NextRound(m.Time.Now(), f)
}

// SuspectedRounds implements relay.Quarantine.
func (m *Member) SuspectedRounds(f quarantine.Fingerprint, server string) (rounds int, again bool) {
	return m.Quarantine.SuspectedRounds(m.Time.Now(), f, server)
}

// clearanceWait is how long evidence of an isolated run is held back after its server's crash, as reports of other
// requests at the same server may clear it: nodes learn of a crash by the server's record, up to 270 ms after each
// other in the soak test. The trial stays taken meanwhile, so that the request crashes no other server; callers of a
// harmless request get no refusal because of a quarantine.
const clearanceWait = 500 * time.Millisecond

// clearanceWaitByRecord is used instead if only the server's record showed the crash: a node that does not reach the
// store for a while learns of it as much later; one in contact with the store, within the 3 s of the users' rules. With
// 0.5 s a harmless request is in quarantine until then (TestLateEvidenceClearsAHarmlessRequest, at each larger delay).
const clearanceWaitByRecord = 3200 * time.Millisecond

// joinPeriod is how long clearanceWaitByRecord is used for all isolated runs after the holder first answered this
// node: when all nodes were lost at once, those that don't reach the store find the holder, and report what crashed
// servers, only seconds later. It is the users' 3 s within which nodes are in touch, and a heartbeat.
const joinPeriod = 4 * time.Second

// noteTerm records that the holder of a term answers.
func (m *Member) noteTerm(now time.Time, term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstContact.term != term {
		m.firstContact.term, m.firstContact.since = term, now
	}
}

// isJoining tells whether other nodes may not have found the holder yet.
func (m *Member) isJoining(now time.Time) bool {
	record, known := m.Lease.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	return !known || m.firstContact.term != record.Term || now.Sub(m.firstContact.since) < joinPeriod
}

// isolatedRuns are the isolated runs whose servers crashed and whose evidence is held back. An isolated run is one
// whose request goes to quarantine if its server crashes. Safe for concurrent use.
type isolatedRuns struct {
	mu      sync.Mutex
	waiting map[isolatedRun]struct{}
}

// isolatedRun identifies an isolated run by its request and its server.
type isolatedRun struct {
	request quarantine.Fingerprint
	server  string
}

// begin adds a run. It returns false if the run is known.
func (a *isolatedRuns) begin(r isolatedRun) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.waiting[r]; known {
		return false
	}
	if a.waiting == nil {
		a.waiting = make(map[isolatedRun]struct{})
	}
	a.waiting[r] = struct{}{}
	return true
}

func (a *isolatedRuns) end(r isolatedRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, r)
}

func (a *isolatedRuns) has(r isolatedRun) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, known := a.waiting[r]
	return known
}

// ServerCrashed implements relay.Quarantine.
func (m *Member) ServerCrashed(runs ...quarantine.Run) {
	decisive := slices.DeleteFunc(slices.Clone(runs), func(r quarantine.Run) bool { return !r.Decisive() })
	for _, r := range runs {
		if !r.Decisive() {
			m.reportCrash(r)
		}
	}
	if len(decisive) == 0 || !m.isolated.begin(isolatedRun{decisive[0].Request, decisive[0].TrialServer()}) {
		return
	}
	m.reportUndecided(decisive)
	m.reportIsolated(decisive)
}

// reportUndecided tells all nodes that a server crashed under runs whose evidence is held back. They would run the
// subjects without a trial meanwhile if other subjects explain the earlier crashes.
func (m *Member) reportUndecided(runs []quarantine.Run) {
	now := m.Time.Now()
	for _, r := range runs {
		if r.Part != "" && m.Quarantine.Cleared(now, r.Request) {
			continue
		}
		change := m.Quarantine.Merge(now, r.UndecidedEvidence())
		m.logStanding(change, "its server ended")
		m.announceEvidence(change)
	}
}

// reportIsolated reports the crash of an isolated run's server once other nodes can have reported another cause.
func (m *Member) reportIsolated(runs []quarantine.Run) {
	first := runs[0]
	wait := clearanceWait
	if first.ByRecord || m.isJoining(m.Time.Now()) {
		wait = clearanceWaitByRecord
		go m.keepTrial(runs)
	}
	time.AfterFunc(wait, func() {
		for _, r := range runs {
			m.reportCrash(r)
		}
		m.isolated.end(isolatedRun{first.Request, first.TrialServer()})
		m.ReleaseTrial(first.TrialServer(), subjectsOf(runs)...)
	})
}

// subjectsOf returns the subjects of the runs.
func subjectsOf(runs []quarantine.Run) []quarantine.Fingerprint {
	list := make([]quarantine.Fingerprint, len(runs))
	for i, r := range runs {
		list[i] = r.Request
	}
	return list
}

// keepTrial extends the trial of a run whose server crashed until its evidence is sent.
func (m *Member) keepTrial(runs []quarantine.Run) {
	first := runs[0]
	ask := m.trialRequest(first.Service, first.TrialServer(), subjectsOf(runs))
	ask.Keep = true
	if _, err := callHolder[TurnAnswer](context.Background(), m, ask); err != nil {
		m.Logger.Warn("trial not extended", "fingerprint", first.Request.String(), "server", first.Server, "error", err)
	}
}

// reportCrash merges the evidence of a run whose server crashed and announces it. A part that was answered here lately
// is not blamed.
func (m *Member) reportCrash(r quarantine.Run) {
	now := m.Time.Now()
	if r.Part != "" && m.Quarantine.Cleared(now, r.Request) {
		return
	}
	change := m.Quarantine.Merge(now, r.CrashEvidence())
	m.Logger.Info("server ended under "+subjectKind(r.Part), "fingerprint", r.Request.String(), "part", r.Part, "request_id", r.RequestID,
		"service", r.Service, "server", r.Server, "round", r.Round, "rounds_in_doubt", r.Doubts, "ended_under_it", change.Servers(),
		"standing", change.Now.String())
	m.announceEvidence(change)
}

// subjectKind names a subject in logs, given its ID if it is a part of prompts.
func subjectKind(part string) string {
	if part != "" {
		return "part of prompts"
	}
	return "request"
}

// Completed implements relay.Quarantine.
func (m *Member) Completed(f quarantine.Fingerprint) {
	change := m.Quarantine.Completed(m.Time.Now(), f)
	m.logStanding(change, "the request ran to its end")
	m.announceEvidence(change)
}

// PartAnswered implements relay.Quarantine.
func (m *Member) PartAnswered(id string, f quarantine.Fingerprint) {
	change := m.Quarantine.PartAnswered(m.Time.Now(), id, f)
	m.logStanding(change, "a request with it was answered")
	m.announceEvidence(change)
}

// Refused implements relay.Quarantine.
func (m *Member) Refused(subjects ...quarantine.Fingerprint) {
	for _, e := range m.Quarantine.Refused(m.Time.Now(), subjects...) {
		m.announceEvidence(quarantine.Change{Evidence: e, New: true})
	}
}

// ServerAlive implements relay.Quarantine.
func (m *Member) ServerAlive(server string, sent time.Time) {
	m.Quarantine.ServerAlive(m.Time.Now(), server, sent)
}

// LiftQuarantine takes a request or a part of prompts out of quarantine on behalf of an operator. It returns whether there was evidence
// against it.
func (m *Member) LiftQuarantine(f quarantine.Fingerprint) bool {
	change := m.Quarantine.Clear(m.Time.Now(), f)
	m.logStanding(change, "lifted by an operator")
	m.announceEvidence(change)
	return change.New
}

// Evidence returns the evidence on requests and parts of prompts that are suspected or in quarantine.
func (m *Member) Evidence() []quarantine.Evidence { return m.Quarantine.Restricted(m.Time.Now()) }

// logStanding logs a change of a subject's standing.
func (m *Member) logStanding(c quarantine.Change, reason string) {
	if c.Before != c.Now {
		m.Logger.Info(subjectKind(c.Part)+" "+c.Now.String(), "fingerprint", c.Request.String(), "part", c.Part, "before", c.Before.String(),
			"service", c.Service, "ended_under_it", c.Servers(), "reason", reason)
	}
}

// announceEvidence sends new evidence to all nodes after noticeDelay, together with other evidence of that time.
func (m *Member) announceEvidence(c quarantine.Change) {
	if !c.New || !m.pendingEvidence.add(c.Evidence) {
		return
	}
	time.AfterFunc(noticeDelay, func() { m.broadcastEvidence(m.pendingEvidence.take()) })
}

// broadcastEvidence sends evidence to all nodes that this one knows. The holder also sends it to nodes that joined
// after this node last received the list.
func (m *Member) broadcastEvidence(list []quarantine.Evidence) {
	notice, others := EvidenceNotice{Evidence: list}, m.otherNodes()
	sendAll(m.Transport, others, notice)
	if _, held := m.Lease.Held(); held {
		m.Holder.post(func() {
			joined := slices.DeleteFunc(m.Holder.otherNodes(), func(address string) bool { return slices.Contains(others, address) })
			sendAll(m.Transport, joined, notice)
		})
	}
}

// otherNodes returns the addresses of the other nodes, and of the holder even if this node has no list of nodes yet.
func (m *Member) otherNodes() []string {
	var list []string
	for _, n := range m.Nodes() {
		list = append(list, n.Peers)
	}
	if record, known := m.Lease.Current(); known && record.Address != "" && !slices.Contains(list, record.Address) {
		list = append(list, record.Address)
	}
	return slices.DeleteFunc(list, func(address string) bool { return address == m.Self.Peers })
}

// applyEvidence merges evidence of other nodes. The holder forwards all that is new to it: it knows all nodes, while
// others may not know those that joined last. If only changes of standing were forwarded, two nodes would take their
// first crashes for one round when a holder has just begun, and four instead of three servers would crash under a
// request (8 of 48 runs of TestBUDGETOfARequestThatCrashesServers).
func (m *Member) applyEvidence(list []quarantine.Evidence) {
	now := m.Time.Now()
	_, held := m.Lease.Held()
	for _, e := range list {
		c := m.Quarantine.Merge(now, e)
		m.logStanding(c, "told by another node")
		switch {
		case held:
			m.announceEvidence(c)
		case c.New && c.Accused != quarantine.Free && c.Evidence.Standing() == quarantine.Free && e.ClearedFor == 0:
			m.tellCleared(c)
		}
	}
}

// tellCleared tells the other nodes that a subject that they accuse ran to its end here, or that an operator lifted its
// quarantine. The holder passes it on: every node of a large site may know the same of a popular part of prompts.
func (m *Member) tellCleared(c quarantine.Change) {
	record, known := m.Lease.Current()
	if !known || record.Address == "" || record.Address == m.Self.Peers {
		m.announceEvidence(c)
		return
	}
	m.Transport.Send(record.Address, EvidenceNotice{[]quarantine.Evidence{c.Evidence}})
}

// trialRequest returns the question for a trial of a request with the given subjects, the first of which stands for it.
func (m *Member) trialRequest(service, server string, subjects []quarantine.Fingerprint) TakeTurn {
	now := m.Time.Now()
	return TakeTurn{Evidence: m.Quarantine.Evidence(now, subjects[0], service), Parts: m.Quarantine.Known(now, subjects[1:]),
		Subjects: subjects, Server: server}
}

// RequestTrial implements relay.Quarantine.
func (m *Member) RequestTrial(ctx context.Context, service, server string, subjects ...quarantine.Fingerprint) (bool, error) {
	if m.runningTrials.has(m.Time.Now(), subjects) {
		return false, nil
	}
	answer, err := callHolder[TurnAnswer](ctx, m, m.trialRequest(service, server, subjects))
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		return false, err
	}
	m.applyEvidence(answer.Known)
	if answer.Running {
		m.runningTrials.add(m.Time.Now(), m.suspectedOf(subjects))
	}
	return answer.Granted, nil
}

// suspectedOf returns those subjects of a request that have a standing.
func (m *Member) suspectedOf(subjects []quarantine.Fingerprint) []quarantine.Fingerprint {
	return slices.DeleteFunc(slices.Clone(subjects), func(f quarantine.Fingerprint) bool { return m.Standing(f) == quarantine.Free })
}

// ReleaseTrial implements relay.Quarantine.
func (m *Member) ReleaseTrial(server string, subjects ...quarantine.Fingerprint) {
	record, known := m.Lease.Current()
	isolated := slices.ContainsFunc(subjects, func(f quarantine.Fingerprint) bool { return m.isolated.has(isolatedRun{f, server}) })
	if !known || isolated {
		return // the trial ends by itself
	}
	now := m.Time.Now()
	release := ReleaseTurn{Server: server, Request: subjects[0], Evidence: m.Quarantine.Evidence(now, subjects[0], ""),
		Parts: m.Quarantine.Known(now, subjects[1:])}
	if record.Address == m.Self.Peers {
		m.Holder.post(func() { m.Holder.releaseTrial(m.Time.Now(), release) })
		return
	}
	m.Transport.Send(record.Address, release)
}

// knownEvidence returns what to send with a heartbeat or its answer, given the other side's checksum.
func knownEvidence(t *quarantine.Table, now time.Time, theirs uint64) KnownEvidence {
	restricted := t.Restricted(now)
	known := KnownEvidence{Sum: quarantine.Sum(restricted)}
	if known.Sum != theirs {
		known.Parts = restricted
	}
	return known
}

// mergeAndForward merges a node's evidence and forwards what is new to the other nodes.
func (h *Holder) mergeAndForward(now time.Time, list []quarantine.Evidence) {
	var added []quarantine.Evidence
	for _, e := range list {
		if c := h.Quarantine.Merge(now, e); c.New {
			added = append(added, c.Evidence)
		}
	}
	if len(added) > 0 {
		sendAll(h.Transport, h.otherNodes(), EvidenceNotice{Evidence: added})
	}
}

// exchangeEvidence merges a node's evidence and returns what the node lacks.
func (h *Holder) exchangeEvidence(now time.Time, theirs KnownEvidence) KnownEvidence {
	h.mergeAndForward(now, theirs.Parts)
	known := knownEvidence(h.Quarantine, now, theirs.Sum)
	known.Parts = append(known.Parts, h.Quarantine.Differing(now, theirs.Parts)...)
	return known
}

// grantTrial decides whether a suspected request may run now.
func (h *Holder) grantTrial(now time.Time, t TakeTurn) TurnAnswer {
	if !h.ensureTerm() {
		return TurnAnswer{}
	}
	answer := TurnAnswer{Term: h.term}
	theirs := append([]quarantine.Evidence{t.Evidence}, t.Parts...)
	h.mergeAndForward(now, theirs)
	answer.Known = h.lackedBy(now, theirs, t.Subjects)
	subjects := t.Subjects
	if subjects == nil {
		subjects = []quarantine.Fingerprint{t.Evidence.Request}
	}
	if h.Quarantine.Standing(now, subjects...) == quarantine.Quarantined {
		return answer
	}
	suspected := h.suspectedOf(now, subjects)
	if t.Keep {
		h.trials.Renew(now, t.Server, suspected...)
		return answer
	}
	answer.Running = h.trials.Running(now, suspected...)
	answer.Granted = h.trials.Start(now, t.Server, suspected...)
	h.Logger.Info("trial of a suspected request", "fingerprint", t.Evidence.Request.String(), "service", t.Evidence.Service,
		"server", t.Server, "subjects", len(suspected), "granted", answer.Granted)
	return answer
}

// lackedBy returns what is known of a request's subjects beyond a node's evidence.
func (h *Holder) lackedBy(now time.Time, theirs []quarantine.Evidence, subjects []quarantine.Fingerprint) []quarantine.Evidence {
	list := h.Quarantine.Differing(now, theirs)
	for _, e := range h.Quarantine.Known(now, subjects) {
		if !slices.ContainsFunc(theirs, func(other quarantine.Evidence) bool { return other.Request == e.Request }) {
			list = append(list, e)
		}
	}
	return list
}

// suspectedOf returns the request itself, which is the first subject, and those parts of its prompt that have a standing.
func (h *Holder) suspectedOf(now time.Time, subjects []quarantine.Fingerprint) []quarantine.Fingerprint {
	list := []quarantine.Fingerprint{subjects[0]}
	for _, f := range subjects[1:] {
		if h.Quarantine.Standing(now, f) != quarantine.Free {
			list = append(list, f)
		}
	}
	return list
}

// releaseTrial ends a trial. The node's evidence is merged first, so that whoever gets the next trial knows if a
// server crashed in this one.
func (h *Holder) releaseTrial(now time.Time, r ReleaseTurn) {
	known := slices.DeleteFunc(append([]quarantine.Evidence{r.Evidence}, r.Parts...), func(e quarantine.Evidence) bool { return len(e.Ends) == 0 })
	if len(known) > 0 {
		h.mergeAndForward(now, known)
	}
	h.trials.End(r.Server, r.Request)
	h.Logger.Info("trial released", "fingerprint", r.Request.String(), "server", r.Server, "ended_under_it", r.Evidence.Servers(),
		"standing", h.Quarantine.Standing(now, r.Request).String())
}

func init() { peer.RegisterRecent(EvidenceNotice{}, TakeTurn{}, TurnAnswer{}, ReleaseTurn{}) }
