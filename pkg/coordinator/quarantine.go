package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/quarantine"
)

// EvidenceNotice tells all nodes of requests under which servers ended, or which ran to
// their end since.
type EvidenceNotice struct {
	Evidence []quarantine.Evidence
}

// TakeTurn asks the holder to let a suspected request run.
type TakeTurn struct {
	Evidence quarantine.Evidence
	Server   string // where it is to run
	// Keep has the turn, which the request has, not lapse: its server ended, and whose fault that is
	// waits for the words of other nodes.
	Keep bool
}

// TurnAnswer tells whether it may.
type TurnAnswer struct {
	Term    uint64 // zero: not the holder
	Granted bool
	Known   []quarantine.Evidence // that the one who asked does not know
}

// ReleaseTurn tells the holder that a turn is over.
type ReleaseTurn struct {
	Server  string
	Request quarantine.Fingerprint
	// Evidence is what the node knows of the request: notices of what the turn showed come later.
	Evidence quarantine.Evidence
}

// KnownEvidence is what a node and the holder tell each other with each beat of requests
// that are suspected or in quarantine, for what notices did not bring: the messages that a
// node lost or that came before it started.
type KnownEvidence struct {
	Sum   uint64                // of all, see quarantine.Sum
	Parts []quarantine.Evidence // if the other's sum differs
}

// noticeDelay is how long evidence waits for more: requests that a server's end breaks off do
// so within a few milliseconds.
const noticeDelay = 10 * time.Millisecond

// notices is evidence that is to be told to the other nodes. Safe for concurrent use.
type notices struct {
	mu      sync.Mutex
	waiting []quarantine.Evidence
}

// add has evidence told. It tells whether it is the first that waits.
func (n *notices) add(e quarantine.Evidence) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting = append(n.waiting, e)
	return len(n.waiting) == 1
}

// take returns what waits.
func (n *notices) take() []quarantine.Evidence {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.waiting
	n.waiting = nil
	return list
}

// Standing implements relay.Quarantine.
func (m *Member) Standing(f quarantine.Fingerprint) quarantine.Standing {
	return m.Quarantine.Standing(m.Time.Now(), f)
}

// NextRound implements relay.Quarantine.
func (m *Member) NextRound(f quarantine.Fingerprint) int {
	return m.Quarantine.NextRound(m.Time.Now(), f)
}

// InDoubt implements relay.Quarantine.
func (m *Member) InDoubt(f quarantine.Fingerprint, server string) (rounds int, again bool) {
	return m.Quarantine.SuspectedRounds(m.Time.Now(), f, server)
}

// sharedShows is how long the end of a run apart waits for the words of other requests on the same
// end, which may take its evidence away: nodes learn of a server's end by its record, and did so up to
// 270 ms after each other in the soak. The turn stays taken until then, so that the request ends no
// other server meanwhile; the callers of an innocent one are not told that it is in quarantine.
const sharedShows = 500 * time.Millisecond

// sharedByRecord is the same where the end showed by the server's record alone: a node that does not
// reach the store for a while learns of it as much later, one in touch within the users' 3 s. With 0.5 s
// an innocent request was in quarantine until then, at each later offset of
// TestWordsThatComeLateClearAnInnocent.
const sharedByRecord = 3200 * time.Millisecond

// youngTime is for how long the evidence of a run apart waits as long as for records, after this node first heard of
// the holder: when all nodes were lost at once, those that don't reach the store find the holder, and tell what ended
// servers, only seconds later. It is the users' 3 s in which nodes are in touch, and a beat.
const youngTime = 4 * time.Second

// heardTerm notes that the holder of a term answers.
func (m *Member) heardTerm(now time.Time, term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard.term != term {
		m.heard.term, m.heard.since = term, now
	}
}

// isYoung tells whether nodes may not have found the holder yet.
func (m *Member) isYoung(now time.Time) bool {
	record, known := m.Lease.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	return !known || m.heard.term != record.Term || now.Sub(m.heard.since) < youngTime
}

// apart is the runs apart whose servers ended and whose evidence waits. Safe for concurrent use.
type apart struct {
	mu      sync.Mutex
	waiting map[apartRun]struct{}
}

// apartRun is one that waits.
type apartRun struct {
	request quarantine.Fingerprint
	server  string
}

// begin notes one. It returns false if it is known.
func (a *apart) begin(r apartRun) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.waiting[r]; known {
		return false
	}
	if a.waiting == nil {
		a.waiting = make(map[apartRun]struct{})
	}
	a.waiting[r] = struct{}{}
	return true
}

func (a *apart) end(r apartRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, r)
}

func (a *apart) has(r apartRun) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, known := a.waiting[r]
	return known
}

// Ended implements relay.Quarantine.
func (m *Member) Ended(r quarantine.Run) {
	if !r.Decisive() {
		m.ended(r)
		return
	}
	run := apartRun{r.Request, r.Server}
	if !m.apart.begin(run) {
		return
	}
	shows := sharedShows
	if r.ByRecord || m.isYoung(m.Time.Now()) {
		shows = sharedByRecord
		go m.keepTurn(r)
	}
	time.AfterFunc(shows, func() {
		m.ended(r)
		m.apart.end(run)
		m.ReleaseTurn(r.Request, r.Server)
	})
}

// keepTurn has the turn of a run whose server ended not lapse before the evidence is told.
func (m *Member) keepTurn(r quarantine.Run) {
	evidence := m.Quarantine.Evidence(m.Time.Now(), r.Request, r.Service)
	if _, err := ask[TurnAnswer](context.Background(), m, TakeTurn{Evidence: evidence, Server: r.Server, Keep: true}); err != nil {
		m.Logger.Warn("turn not kept", "fingerprint", r.Request.String(), "server", r.Server, "error", err)
	}
}

// ended takes in the evidence of a run whose server ended, and has it told.
func (m *Member) ended(r quarantine.Run) {
	change := m.Quarantine.Merge(m.Time.Now(), r.CrashEvidence())
	m.Logger.Info("server ended under request", "fingerprint", r.Request.String(), "request_id", r.RequestID, "service", r.Service,
		"server", r.Server, "round", r.Round, "rounds_in_doubt", r.Doubts, "ended_under_it", change.Servers(), "standing", change.Now.String())
	m.tellEvidence(change)
}

// Ran implements relay.Quarantine.
func (m *Member) Ran(f quarantine.Fingerprint) {
	change := m.Quarantine.Completed(m.Time.Now(), f)
	m.logStanding(change, "the request ran to its end")
	m.tellEvidence(change)
}

// Lives implements relay.Quarantine.
func (m *Member) Lives(server string, sent time.Time) {
	m.Quarantine.ServerAlive(m.Time.Now(), server, sent)
}

// Lift takes a request out of quarantine, as an operator wants. It tells whether there was
// evidence against it.
func (m *Member) Lift(f quarantine.Fingerprint) bool {
	change := m.Quarantine.Clear(m.Time.Now(), f)
	m.logStanding(change, "lifted by an operator")
	m.tellEvidence(change)
	return change.New
}

// Evidence returns what is known of requests that are suspected or in quarantine.
func (m *Member) Evidence() []quarantine.Evidence { return m.Quarantine.Restricted(m.Time.Now()) }

// logStanding logs that what may be done with a request changed.
func (m *Member) logStanding(c quarantine.Change, reason string) {
	if c.Before != c.Now {
		m.Logger.Info("request "+c.Now.String(), "fingerprint", c.Request.String(), "before", c.Before.String(),
			"service", c.Service, "ended_under_it", c.Servers(), "reason", reason)
	}
}

// tellEvidence tells all nodes of news, together with what comes within a moment.
func (m *Member) tellEvidence(c quarantine.Change) {
	if !c.New || !m.notices.add(c.Evidence) {
		return
	}
	time.AfterFunc(noticeDelay, func() { m.spread(m.notices.take()) })
}

// spread tells all nodes that this one knows of. The holder tells those as well that came since
// it was told of the nodes.
func (m *Member) spread(list []quarantine.Evidence) {
	notice, others := EvidenceNotice{Evidence: list}, m.others()
	sendAll(m.Transport, others, notice)
	if _, held := m.Lease.Held(); held {
		m.Holder.post(func() {
			joined := slices.DeleteFunc(m.Holder.others(), func(address string) bool { return slices.Contains(others, address) })
			sendAll(m.Transport, joined, notice)
		})
	}
}

// others returns where the other nodes are reached, the holder among them though this node may
// not be told of the rest yet.
func (m *Member) others() []string {
	var list []string
	for _, n := range m.Nodes() {
		list = append(list, n.Peers)
	}
	if record, known := m.Lease.Current(); known && record.Address != "" && !slices.Contains(list, record.Address) {
		list = append(list, record.Address)
	}
	return slices.DeleteFunc(list, func(address string) bool { return address == m.Self.Peers })
}

// takeEvidence takes in what other nodes know. The holder passes on all that it did not know:
// it knows of all nodes, while others may not be told yet of those that came last. With only
// what changes a standing passed on, two nodes took their first ends for one round when a
// holder had just begun, and four servers in place of three ended under a request, in 8 of 48
// runs of TestBUDGETOfARequestThatEndsServers.
func (m *Member) takeEvidence(list []quarantine.Evidence) {
	now := m.Time.Now()
	_, held := m.Lease.Held()
	for _, e := range list {
		c := m.Quarantine.Merge(now, e)
		m.logStanding(c, "told by another node")
		ranHere := e.Standing() != quarantine.Free && c.Now == quarantine.Free // others are to know
		if held || ranHere {
			m.tellEvidence(c)
		}
	}
}

// TakeTurn implements relay.Quarantine.
func (m *Member) TakeTurn(ctx context.Context, f quarantine.Fingerprint, service, server string) (bool, error) {
	answer, err := ask[TurnAnswer](ctx, m, TakeTurn{Evidence: m.Quarantine.Evidence(m.Time.Now(), f, service), Server: server})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		return false, err
	}
	m.takeEvidence(answer.Known)
	return answer.Granted, nil
}

// ReleaseTurn implements relay.Quarantine.
func (m *Member) ReleaseTurn(f quarantine.Fingerprint, server string) {
	record, known := m.Lease.Current()
	if !known || m.apart.has(apartRun{f, server}) {
		return // turns end by themselves
	}
	release := ReleaseTurn{Server: server, Request: f, Evidence: m.Quarantine.Evidence(m.Time.Now(), f, "")}
	if record.Address == m.Self.Peers {
		m.Holder.post(func() { m.Holder.releaseTurn(m.Time.Now(), release) })
		return
	}
	m.Transport.Send(record.Address, release)
}

// knownEvidence is what the node tells the holder with a beat, which told it of a sum.
func knownEvidence(t *quarantine.Table, now time.Time, theirs uint64) KnownEvidence {
	restricted := t.Restricted(now)
	known := KnownEvidence{Sum: quarantine.Sum(restricted)}
	if known.Sum != theirs {
		known.Parts = restricted
	}
	return known
}

// takeIn takes in what a node knows and passes on what was not known here.
func (h *Holder) takeIn(now time.Time, list []quarantine.Evidence) {
	var news []quarantine.Evidence
	for _, e := range list {
		if c := h.Quarantine.Merge(now, e); c.New {
			news = append(news, c.Evidence)
		}
	}
	if len(news) > 0 {
		sendAll(h.Transport, h.others(), EvidenceNotice{Evidence: news})
	}
}

// exchange takes in a node's evidence and returns what it lacks.
func (h *Holder) exchange(now time.Time, theirs KnownEvidence) KnownEvidence {
	h.takeIn(now, theirs.Parts)
	known := knownEvidence(h.Quarantine, now, theirs.Sum)
	known.Parts = append(known.Parts, h.Quarantine.Differing(now, theirs.Parts)...)
	return known
}

// takeTurn decides whether a suspected request may run now.
func (h *Holder) takeTurn(now time.Time, t TakeTurn) TurnAnswer {
	if !h.holds() {
		return TurnAnswer{}
	}
	answer := TurnAnswer{Term: h.term}
	theirs := []quarantine.Evidence{t.Evidence}
	h.takeIn(now, theirs)
	answer.Known = h.Quarantine.Differing(now, theirs)
	if h.Quarantine.Standing(now, t.Evidence.Request) == quarantine.Quarantined {
		return answer
	}
	if t.Keep {
		h.turns.Renew(now, t.Server, t.Evidence.Request)
		return answer
	}
	answer.Granted = h.turns.Start(now, t.Server, t.Evidence.Request)
	h.Logger.Info("turn of a suspected request", "fingerprint", t.Evidence.Request.String(), "service", t.Evidence.Service,
		"server", t.Server, "granted", answer.Granted)
	return answer
}

// releaseTurn ends a turn. What its node knows of the request is taken in before, so that whoever gets the next one knows
// of a server that ended in this one.
func (h *Holder) releaseTurn(now time.Time, r ReleaseTurn) {
	if len(r.Evidence.Ends) > 0 {
		h.takeIn(now, []quarantine.Evidence{r.Evidence})
	}
	h.turns.End(r.Server, r.Request)
	h.Logger.Info("turn released", "fingerprint", r.Request.String(), "server", r.Server, "ended_under_it", r.Evidence.Servers(),
		"standing", h.Quarantine.Standing(now, r.Request).String())
}

func init() { peer.RegisterRecent(EvidenceNotice{}, TakeTurn{}, TurnAnswer{}, ReleaseTurn{}) }
