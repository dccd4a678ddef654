package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/relay"
	"martenwheel.dev/pkg/tenant"
)

// Draw asks the holder to let in a request of a tenant that is scarce. Its fields are those of
// a quota.Request, one by one: nodes of other versions read the ones that they know.
type Draw struct {
	Tenant          string
	Amount          float64
	Route           string
	Priority        int
	Mark            quota.Mark
	Within, Returns time.Duration
	Part            float64
	// Spent is what this node let in of the tenant unasked since its last report.
	Spent []quota.Spent
}

// newDraw returns the message that asks for a request.
func newDraw(t *tenant.Tenant, r quota.Request) Draw {
	return Draw{Tenant: t.Name, Amount: r.Amount, Route: r.Route, Priority: r.Priority, Mark: r.Mark,
		Within: r.Within, Returns: r.Returns, Part: r.Part}
}

// request is the inverse of newDraw.
func (d Draw) request() quota.Request {
	return quota.Request{Amount: d.Amount, Route: d.Route, Priority: d.Priority, Mark: d.Mark,
		Within: d.Within, Returns: d.Returns, Part: d.Part}
}

// DrawAnswer tells whether it is let in, in the fields of a quota.Answer.
type DrawAnswer struct {
	Term     uint64 // zero: not the holder
	Granted  bool
	After    time.Duration // when to come back, if it is not granted
	Promised bool          // with room set aside
	Room     quota.Room
	Sieve    quota.Sieve
	Took     bool // Draw.Spent was counted
}

func newDrawAnswer(term uint64, a quota.Answer) DrawAnswer {
	return DrawAnswer{Term: term, Granted: a.Granted, After: a.After, Promised: a.Reserved, Room: a.Room, Sieve: a.Sieve}
}

// answer is the inverse of newDrawAnswer.
func (d DrawAnswer) answer() quota.Answer {
	return quota.Answer{Granted: d.Granted, After: d.After, Reserved: d.Promised, Room: d.Room, Sieve: d.Sieve}
}

// DeputyDraw asks the deputy for what the holder does not answer. It is answered by a
// DrawAnswer.
type DeputyDraw Draw

// QuotaNotice tells all nodes for which tenants the holder is to be asked from now on.
type QuotaNotice struct {
	Term   uint64
	Scarce []string
}

// drawTimeout bounds the wait for the holder's word on a request: the most urgent ones
// are to be answered within 100 ms.
const drawTimeout = 60 * time.Millisecond

// Admit implements relay.Quotas.
func (m *Member) Admit(ctx context.Context, t *tenant.Tenant, r quota.Request) relay.Admission {
	verdict, after := m.ledger.DecideFor(m.Time.Now(), t, &r)
	var err error
	if verdict == quota.Ask {
		var answer DrawAnswer
		d := newDraw(t, r)
		d.Spent = m.spentOf(t)
		answer, err = m.drawFromHolder(ctx, d)
		if err != nil || !answer.Took {
			m.ledger.Return(d.Spent)
		}
		if err == nil {
			return m.drawn(t, r, answer)
		}
		m.ledger.Unanswered(m.Time.Now())
		verdict = quota.Alone
	}
	if verdict == quota.Alone {
		return m.admitAlone(ctx, t, r, err)
	}
	return relay.Admission{Granted: verdict == quota.Admit, After: after}
}

// spentOf returns what goes with a question about a divided quota: what was spent of it since the
// last report. There is nothing before the holder had this node's first report of its term, which
// is also about the time before the term.
func (m *Member) spentOf(t *tenant.Tenant) []quota.Spent {
	record, known := m.Lease.Current()
	if !known || !quota.Shared(t.Quota) {
		return nil
	}
	m.mu.Lock()
	reported := m.answered && m.toldTerm == record.Term
	m.mu.Unlock()
	if !reported {
		return nil
	}
	return m.ledger.ReportOf(t)
}

// drawFromHolder has the holder decide.
func (m *Member) drawFromHolder(ctx context.Context, d Draw) (DrawAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	answer, err := ask[DrawAnswer](ctx, m, d)
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	return answer, err
}

// drawn takes in what the holder decided.
func (m *Member) drawn(t *tenant.Tenant, r quota.Request, answer DrawAnswer) relay.Admission {
	a := answer.answer()
	a.After = m.ledger.Answered(m.Time.Now(), t, r, a)
	return admitted(a, nil)
}

// admitAlone decides without the holder, which did not answer: by the deputy, or else by
// this node's share of what the deputy may grant.
func (m *Member) admitAlone(ctx context.Context, t *tenant.Tenant, r quota.Request, cause error) relay.Admission {
	answer, err := m.drawFromDeputy(ctx, DeputyDraw(newDraw(t, r)))
	if err != nil {
		return admitted(m.ledger.DecideAloneFor(m.Time.Now(), t, r, m.Fleet()), err)
	}
	if answer.Granted {
		m.ledger.DeputyGrantedFor(t, r)
	}
	return admitted(answer.answer(), cause)
}

// admitted is an answer for package relay; err: why the holder could not be asked.
func admitted(a quota.Answer, err error) relay.Admission {
	return relay.Admission{Granted: a.Granted, Reserved: a.Reserved, After: a.After, Room: a.Room, Err: err}
}

// drawFromDeputy has the deputy decide, which may be this node.
func (m *Member) drawFromDeputy(ctx context.Context, d DeputyDraw) (DrawAnswer, error) {
	deputy, found := m.deputy()
	if !found {
		return DrawAnswer{}, errNoDeputy
	}
	if deputy.Name == m.Self.Name {
		return m.drawAsDeputy(ctx, d)
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	reply, err := m.Transport.Call(ctx, deputy.Peers, d)
	if err != nil {
		return DrawAnswer{}, err
	}
	answer, ok := reply.(DrawAnswer)
	if !ok {
		return DrawAnswer{}, errMessage
	}
	return answer, nil
}

// deputy returns the node that all ask while the holder does not answer: the strongest of
// the others.
func (m *Member) deputy() (Node, bool) {
	record, known := m.Lease.Current()
	if !known || !m.Known() {
		return Node{}, false
	}
	var deputy Node
	for _, n := range m.Nodes() {
		if n.Stopping || n.Peers == record.Address {
			continue
		}
		if deputy.Name == "" || cmp.Or(cmp.Compare(deputy.Power, n.Power), cmp.Compare(n.Name, deputy.Name)) < 0 {
			deputy = n
		}
	}
	return deputy, deputy.Name != ""
}

// drawAsDeputy decides for the holder: by asking it, if this node hears of it, or by what
// all nodes together may let in without it.
func (m *Member) drawAsDeputy(ctx context.Context, d DeputyDraw) (DrawAnswer, error) {
	if m.ledger.HearsHolder(m.Time.Now()) {
		if answer, err := m.drawFromHolder(ctx, Draw(d)); err == nil {
			return answer, nil
		}
	}
	t := m.tenant(d.Tenant)
	if t == nil {
		return DrawAnswer{}, errNoDeputy
	}
	return newDrawAnswer(0, m.deputized.DecideAloneFor(m.Time.Now(), t, Draw(d).request(), 1)), nil
}

// tenant returns the tenant of a name, nil if the configuration in force has none.
func (m *Member) tenant(name string) *tenant.Tenant {
	if tenants := m.Holder.tenants(); tenants != nil {
		return tenants.Named(name)
	}
	return nil
}

// tellLedgers takes in for which tenants the holder is to be asked.
func (m *Member) tellLedgers(scarce []string) {
	now := m.Time.Now()
	if m.ledger.UpdateScarce(now, scarce) {
		m.beatSoon()
	}
	m.deputized.UpdateScarce(now, scarce)
}

// errNoDeputy means that no node decides on quotas without the holder.
var errNoDeputy = errors.New("coordinator: no deputy is known")

// GiveBack implements relay.Quotas.
func (m *Member) GiveBack(t *tenant.Tenant, r quota.Request) { m.ledger.GiveBackFor(t, r) }

// unheard returns for how long this node has not heard of a holder.
func (h *Holder) unheard(now time.Time) time.Duration {
	if h.Unheard == nil {
		return 0
	}
	return h.Unheard(now)
}

// ScarceTold returns the tenants that were scarce by the holder's last word to this node.
func (m *Member) ScarceTold() []string { return m.ledger.Scarce() }

// Unheard returns for how long this node has not heard of the holder; zero if it never did.
func (m *Member) Unheard(now time.Time) time.Duration { return m.ledger.SinceHeard(now) }

// tenants returns those of the configuration in force, nil if there are none.
func (h *Holder) tenants() *tenant.Table {
	if table := h.Routes(); table != nil {
		return table.Tenants()
	}
	return nil
}

// draw decides on a request of a tenant. It does not wait for the holder's goroutine, which
// may be planning; it may be called from any.
func (h *Holder) draw(now time.Time, d Draw) DrawAnswer {
	h.init()
	term, held := h.Lease.Held()
	if !held {
		return DrawAnswer{}
	}
	h.beginQuotas(now, term)
	tenants := h.tenants()
	if tenants == nil {
		return DrawAnswer{} // it has not read the configuration and can't decide: the deputy does
	}
	if tenants.Named(d.Tenant) == nil {
		// This node has not read yet of the tenant, which has hardly spent anything.
		return DrawAnswer{Term: term, Granted: true}
	}
	t := tenants.Named(d.Tenant)
	for _, s := range d.Spent {
		if s.Tenant == d.Tenant {
			h.quotas.SpentBy(now, t, s, false)
		}
	}
	answer := newDrawAnswer(term, h.quotas.DrawFor(now, t, d.request()))
	answer.Took = true
	return answer
}

// beginQuotas begins a term with what the lease's record, and the last holder's word to this node,
// tell of scarce tenants. It may be called from any goroutine.
func (h *Holder) beginQuotas(now time.Time, term uint64) {
	if h.quotas.Began(term) {
		return
	}
	record, _ := h.Lease.Current()
	start := quota.Start{Gap: h.unheard(now), Scarce: record.Inherited(h.Lease.Now())}
	told := 0
	if h.ScarceTold != nil {
		for _, name := range h.ScarceTold() {
			if !slices.ContainsFunc(start.Scarce, func(one quota.Inherited) bool { return one.Tenant == name }) {
				start.Scarce = append(start.Scarce, quota.Inherited{Balance: quota.Balance{Tenant: name}})
				told++
			}
		}
	}
	if h.quotas.Begin(now, term, start) {
		h.Logger.Info("quotas begin", "term", term, "unheard_ms", start.Gap.Milliseconds(),
			"scarce", start.Scarce, "by_record", len(start.Scarce)-told, "by_last_holder", told)
	}
}

// QuotaBalances returns what scarce tenants' quotas hold in a term of this holder, for the lease's
// record; false if this holder does not know yet. Safe for concurrent use.
func (h *Holder) QuotaBalances(term uint64) ([]quota.Balance, bool) {
	return h.quotas.Balances(h.Time.Now(), term)
}

// takeSpent takes in what a node let in without asking, and tells all nodes at once if
// a tenant became scarce by it. It returns the tenants for which nodes are to ask. The first
// beat of a node in the term tells also of the time before.
func (h *Holder) takeSpent(now time.Time, r report) []string {
	h.beginQuotas(now, h.term)
	h.spentBefore = append(h.spentBefore, r)
	tenants := h.tenants()
	if tenants == nil {
		h.spentBefore = h.spentBefore[max(len(h.spentBefore)-maxReportsBefore, 0):]
		return h.quotas.InheritedNames()
	}
	for _, r := range h.spentBefore {
		h.spend(now, tenants, r)
	}
	h.spentBefore = nil
	scarce := h.quotas.Scarce(now, tenants)
	added := slices.ContainsFunc(scarce, func(name string) bool { return !slices.Contains(h.scarceTold, name) })
	if added {
		h.tellScarce(scarce)
	}
	if added || h.quotas.RecordDue() {
		h.recordScarce(now)
	}
	if !slices.Equal(scarce, h.scarceTold) {
		h.Logger.Info("scarce tenants", "tenants", scarce, "before", h.scarceTold, "term", h.term)
	}
	h.scarceTold = scarce
	h.logRooms(now, tenants)
	return scarce
}

// heardPart returns which part of the fleet has beaten in this term. For the holder's goroutine alone, as first reports
// are taken in there.
func (h *Holder) heardPart() float64 {
	return float64(len(h.nodes)) / float64(max(h.fleet.known(), 1))
}

// report is what a node told that it let in; first: it is its first of the term.
type report struct {
	spent []quota.Spent
	first bool
	left  []quota.Balance // of quotas, by the node's own pool of an earlier term
	at    time.Time       // when it came
}

// maxReportsBefore bounds the reports that wait for the configuration: those of a second or two of a
// large site. A holder that took the lease before it had read the configuration granted each request that
// it was asked about, told the nodes that no tenant was scarce, and lost their reports: up to 2.0 of what
// may run did so, with crashes of the holder 0.7 s apart and 0.3 s until it reads
// (TestQUOTAWhileHoldersChange).
const maxReportsBefore = 1024

// spend counts a report. What an earlier holder tells of a quota fills until it is taken in.
func (h *Holder) spend(now time.Time, tenants *tenant.Table, r report) {
	for _, one := range r.left {
		if t := tenants.Named(one.Tenant); t != nil {
			h.quotas.CorrectBalance(now, t, one.Amount+t.Quota.PerSecond*now.Sub(r.at).Seconds())
		}
	}
	if len(r.left) > 0 {
		h.Logger.Info("quotas of an earlier holder", "term", h.term, "left", r.left)
	}
	for _, s := range r.spent {
		if t := tenants.Named(s.Tenant); t != nil {
			h.quotas.SpentBy(now, t, s, r.first)
		}
	}
}

// recordInterval is the least time between two writes of the lease's record for tenants that became
// scarce: it is written each 0.7 s anyway, and calls of the store are dear.
const recordInterval = 300 * time.Millisecond

// recordScarce has the record tell at once of tenants that became scarce: as a tenant becomes hot it
// runs some 3 s' worth of its quota within a second, and a holder that is lost before it renews the
// lease takes the debt with it. In the plays of TestQUOTAWhileHoldersChange and TestQUOTAInSchedules
// no window had more than 0.87 of what may run with this write, 0.90 without it.
func (h *Holder) recordScarce(now time.Time) {
	if now.Sub(h.scarceRecorded) < recordInterval {
		return
	}
	h.scarceRecorded = now
	go func() {
		ctx, cancel := context.WithTimeout(h.life, commitTimeout)
		defer cancel()
		if _, err := h.Lease.Commit(ctx, nil); err != nil {
			h.Logger.Warn("scarce tenants not recorded", "error", err)
		}
	}()
}

// Bounds of what is logged of tenants that are scarce.
const (
	roomsInterval = 2 * time.Second
	roomsTenants  = 5
)

// logRooms tells the log, each roomsInterval at most, which routes have the room of tenants that are
// scarce.
func (h *Holder) logRooms(now time.Time, tenants *tenant.Table) {
	if now.Sub(h.roomsTold) < roomsInterval {
		return
	}
	for _, name := range h.scarceTold[:min(len(h.scarceTold), roomsTenants)] {
		t := tenants.Named(name)
		if rooms := h.quotas.Rooms(t); len(rooms) > 0 {
			h.roomsTold = now
			h.Logger.Info("quota shared", "tenant", name, "quota", t.Quota.PerSecond, "routes", rooms, "term", h.term)
		}
	}
}

// tellScarce tells all nodes for which tenants they are to ask.
func (h *Holder) tellScarce(scarce []string) {
	for _, n := range h.nodes {
		h.Transport.Send(n.node.Peers, QuotaNotice{Term: h.term, Scarce: scarce})
	}
}
