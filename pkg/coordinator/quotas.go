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

// Draw asks the holder to admit a request of a scarce tenant, one whose quota is nearly used up. Its fields are
// those of a quota.Request, one by one: nodes of other versions read the ones that they know.
type Draw struct {
	Tenant          string
	Amount          float64
	Route           string
	Priority        int
	Mark            quota.Mark
	Within, Returns time.Duration
	Part            float64
	// Spent is what this node admitted of the tenant without asking since its last report.
	Spent []quota.Spent
}

// newDraw returns the message that asks to admit a request.
func newDraw(t *tenant.Tenant, r quota.Request) Draw {
	return Draw{Tenant: t.Name, Amount: r.Amount, Route: r.Route, Priority: r.Priority, Mark: r.Mark,
		Within: r.Within, Returns: r.Returns, Part: r.Part}
}

// request is the inverse of newDraw.
func (d Draw) request() quota.Request {
	return quota.Request{Amount: d.Amount, Route: d.Route, Priority: d.Priority, Mark: d.Mark,
		Within: d.Within, Returns: d.Returns, Part: d.Part}
}

// DrawAnswer tells whether the request is admitted, in the fields of a quota.Answer.
type DrawAnswer struct {
	Term     uint64 // zero: not the holder
	Granted  bool
	After    time.Duration // when to retry, if it is not granted
	Promised bool          // capacity is reserved for the retry
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

// DeputyDraw asks the deputy in place of the holder, which does not answer. It is answered by a DrawAnswer.
type DeputyDraw Draw

// QuotaNotice tells all nodes about which tenants they must ask the holder from now on.
type QuotaNotice struct {
	Term   uint64
	Scarce []string
}

// drawTimeout bounds the wait for the holder's decision on a request: the most urgent requests must be answered
// within 100 ms.
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
			return m.applyDraw(t, r, answer)
		}
		m.ledger.Unanswered(m.Time.Now())
		verdict = quota.Alone
	}
	if verdict == quota.Alone {
		return m.admitAlone(ctx, t, r, err)
	}
	return relay.Admission{Granted: verdict == quota.Admit, After: after}
}

// spentOf returns what to report with a question about a divided quota: the usage since the last report. It is nil
// until the holder has received this node's first report of its term, which also covers the time before the term.
func (m *Member) spentOf(t *tenant.Tenant) []quota.Spent {
	record, known := m.Lease.Current()
	if !known || !quota.Shared(t.Quota) {
		return nil
	}
	m.mu.Lock()
	reported := m.connected && m.ratesTerm == record.Term
	m.mu.Unlock()
	if !reported {
		return nil
	}
	return m.ledger.ReportOf(t)
}

// drawFromHolder asks the holder to decide.
func (m *Member) drawFromHolder(ctx context.Context, d Draw) (DrawAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	answer, err := callHolder[DrawAnswer](ctx, m, d)
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	return answer, err
}

// applyDraw applies the holder's decision.
func (m *Member) applyDraw(t *tenant.Tenant, r quota.Request, answer DrawAnswer) relay.Admission {
	a := answer.answer()
	a.After = m.ledger.Answered(m.Time.Now(), t, r, a)
	return toAdmission(a, nil)
}

// admitAlone decides while the holder does not answer: by the deputy, or else by this node's share of what the
// deputy may admit.
func (m *Member) admitAlone(ctx context.Context, t *tenant.Tenant, r quota.Request, cause error) relay.Admission {
	answer, err := m.drawFromDeputy(ctx, DeputyDraw(newDraw(t, r)))
	if err != nil {
		return toAdmission(m.ledger.DecideAloneFor(m.Time.Now(), t, r, m.FleetSize()), err)
	}
	if answer.Granted {
		m.ledger.DeputyGrantedFor(t, r)
	}
	return toAdmission(answer.answer(), cause)
}

// toAdmission converts an answer for package relay; err is why the holder could not be asked.
func toAdmission(a quota.Answer, err error) relay.Admission {
	return relay.Admission{Granted: a.Granted, Reserved: a.Reserved, After: a.After, Room: a.Room, Err: err}
}

// drawFromDeputy asks the deputy, which may be this node, to decide.
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

// deputy returns the node that all ask while the holder does not answer: the one with the most processor capacity
// besides the holder.
func (m *Member) deputy() (Node, bool) {
	record, known := m.Lease.Current()
	if !known || !m.NodesKnown() {
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

// drawAsDeputy decides in place of the holder: by asking it, if this node hears from it, or else within what all
// nodes together may admit without it.
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
	return newDrawAnswer(0, m.deputyLedger.DecideAloneFor(m.Time.Now(), t, Draw(d).request(), 1)), nil
}

// tenant returns the named tenant, nil if the configuration in force has none.
func (m *Member) tenant(name string) *tenant.Tenant {
	if tenants := m.Holder.tenants(); tenants != nil {
		return tenants.Named(name)
	}
	return nil
}

// setScarce sets about which tenants the holder must be asked. It sends a heartbeat at once if the holder needs to know
// the usage of a divided quota that became scarce.
func (m *Member) setScarce(scarce []string) {
	now := m.Time.Now()
	if m.ledger.UpdateScarce(now, scarce) {
		m.heartbeatSoon()
	}
	m.deputyLedger.UpdateScarce(now, scarce)
}

// errNoDeputy means that no node can decide on quotas in place of the holder.
var errNoDeputy = errors.New("coordinator: no deputy is known")

// Refund implements relay.Quotas.
func (m *Member) Refund(t *tenant.Tenant, r quota.Request) { m.ledger.GiveBackFor(t, r) }

// holderSilence returns how long this node has had no answer from a holder.
func (h *Holder) holderSilence(now time.Time) time.Duration {
	if h.HolderSilence == nil {
		return 0
	}
	return h.HolderSilence(now)
}

// ScarceTenants returns the tenants that the holder last reported to this node as scarce.
func (m *Member) ScarceTenants() []string { return m.ledger.Scarce() }

// HolderSilence returns how long this node has had no answer from the holder; zero if it never had one.
func (m *Member) HolderSilence(now time.Time) time.Duration { return m.ledger.SinceHeard(now) }

// tenants returns the tenants of the configuration in force, nil if there are none.
func (h *Holder) tenants() *tenant.Table {
	if table := h.Routes(); table != nil {
		return table.Tenants()
	}
	return nil
}

// decideDraw decides on a request of a tenant. It does not wait for the goroutine of Run, which may be planning. Safe for
// concurrent use.
func (h *Holder) decideDraw(now time.Time, d Draw) DrawAnswer {
	h.init()
	term, held := h.Lease.Held()
	if !held {
		return DrawAnswer{}
	}
	h.beginQuotas(now, term)
	tenants := h.tenants()
	if tenants == nil {
		return DrawAnswer{} // the configuration is not read yet: the deputy decides
	}
	if tenants.Named(d.Tenant) == nil {
		// This node has not read the new tenant yet, which can't have used much.
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

// beginQuotas starts a term with the scarce tenants in the lease's record and in the last holder's report to this
// node. Safe for concurrent use.
func (h *Holder) beginQuotas(now time.Time, term uint64) {
	if h.quotas.Began(term) {
		return
	}
	record, _ := h.Lease.Current()
	start := quota.Start{Gap: h.holderSilence(now), Scarce: record.Inherited(h.Lease.Now())}
	byLastHolder := 0
	if h.ScarceTenants != nil {
		for _, name := range h.ScarceTenants() {
			if !slices.ContainsFunc(start.Scarce, func(one quota.Inherited) bool { return one.Tenant == name }) {
				start.Scarce = append(start.Scarce, quota.Inherited{Balance: quota.Balance{Tenant: name}})
				byLastHolder++
			}
		}
	}
	if h.quotas.Begin(now, term, start) {
		h.Logger.Info("quota state initialized", "term", term, "unheard_ms", start.Gap.Milliseconds(),
			"scarce", start.Scarce, "by_record", len(start.Scarce)-byLastHolder, "by_last_holder", byLastHolder)
	}
}

// QuotaBalances returns the balances of scarce tenants' quotas in a term of this holder, for the lease's record;
// false if they are not known yet. Safe for concurrent use.
func (h *Holder) QuotaBalances(term uint64) ([]quota.Balance, bool) {
	return h.quotas.Balances(h.Time.Now(), term)
}

// handleSpent counts what a node admitted without asking, and notifies all nodes at once if a tenant became scarce
// by it. It returns the tenants that nodes must ask about. A node's first heartbeat of the term also reports the
// time before it.
func (h *Holder) handleSpent(now time.Time, r spendReport) []string {
	h.beginQuotas(now, h.term)
	h.pendingSpend = append(h.pendingSpend, r)
	tenants := h.tenants()
	if tenants == nil {
		h.pendingSpend = h.pendingSpend[max(len(h.pendingSpend)-maxPendingSpend, 0):]
		return h.quotas.InheritedNames()
	}
	for _, r := range h.pendingSpend {
		h.countSpend(now, tenants, r)
	}
	h.pendingSpend = nil
	scarce := h.quotas.Scarce(now, tenants)
	added := slices.ContainsFunc(scarce, func(name string) bool { return !slices.Contains(h.announcedScarce, name) })
	if added {
		h.announceScarce(scarce)
	}
	if added || h.quotas.RecordDue() {
		h.recordScarce(now)
	}
	if !slices.Equal(scarce, h.announcedScarce) {
		h.Logger.Info("scarce tenants", "tenants", scarce, "before", h.announcedScarce, "term", h.term)
	}
	h.announcedScarce = scarce
	h.logShares(now, tenants)
	return scarce
}

// termHeartbeatShare returns the share of the fleet that has sent heartbeats in this term. For the goroutine of Run
// alone, which also handles first reports.
func (h *Holder) termHeartbeatShare() float64 {
	return float64(len(h.nodes)) / float64(max(h.fleet.known(), 1))
}

// spendReport is what a node reported to have admitted; first: it is the node's first report of the term.
type spendReport struct {
	spent    []quota.Spent
	first    bool
	balances []quota.Balance // balances by the node's own pool of an earlier term
	at       time.Time       // when the report arrived
}

// maxPendingSpend bounds the reports that wait for the configuration: those of a second or two of a large site. A
// holder that takes the lease before it has read the configuration must neither grant all requests, report no scarce
// tenants nor lose these reports: up to 2.0 times the allowed usage would run when holders crash 0.7 s apart and read
// the configuration after 0.3 s (TestQUOTAWhileHoldersChange).
const maxPendingSpend = 1024

// countSpend counts a report. A balance reported by an earlier holder is increased by what was refilled until now.
func (h *Holder) countSpend(now time.Time, tenants *tenant.Table, r spendReport) {
	for _, balance := range r.balances {
		if t := tenants.Named(balance.Tenant); t != nil {
			h.quotas.CorrectBalance(now, t, balance.Amount+t.Quota.PerSecond*now.Sub(r.at).Seconds())
		}
	}
	if len(r.balances) > 0 {
		h.Logger.Info("quota balances received from an earlier holder", "term", h.term, "left", r.balances)
	}
	for _, s := range r.spent {
		if t := tenants.Named(s.Tenant); t != nil {
			h.quotas.SpentBy(now, t, s, r.first)
		}
	}
}

// recordInterval is the minimum between two writes of the lease's record for tenants that became scarce: it is
// written every 0.7 s anyway, and store calls are expensive.
const recordInterval = 300 * time.Millisecond

// recordScarce writes tenants that became scarce to the lease's record at once: when a tenant becomes scarce it uses
// some 3 s of its quota within a second, and this debt is lost with a holder that fails before it renews the lease. In
// TestQUOTAWhileHoldersChange and TestQUOTAInSchedules the maximum over all windows is 0.87 of the allowed usage
// with this write, 0.90 without it.
func (h *Holder) recordScarce(now time.Time) {
	if now.Sub(h.scarceRecordedAt) < recordInterval {
		return
	}
	h.scarceRecordedAt = now
	go func() {
		ctx, cancel := context.WithTimeout(h.runCtx, commitTimeout)
		defer cancel()
		if _, err := h.Lease.Commit(ctx, nil); err != nil {
			h.Logger.Warn("scarce tenants not recorded", "error", err)
		}
	}()
}

// Limits of logging about scarce tenants.
const (
	shareLogInterval = 2 * time.Second
	shareLogTenants  = 5
)

// logShares logs, once per shareLogInterval at most, how the quotas of scarce tenants are divided among routes.
func (h *Holder) logShares(now time.Time, tenants *tenant.Table) {
	if now.Sub(h.sharesLoggedAt) < shareLogInterval {
		return
	}
	for _, name := range h.announcedScarce[:min(len(h.announcedScarce), shareLogTenants)] {
		t := tenants.Named(name)
		if rooms := h.quotas.Rooms(t); len(rooms) > 0 {
			h.sharesLoggedAt = now
			h.Logger.Info("quota shared", "tenant", name, "quota", t.Quota.PerSecond, "routes", rooms, "term", h.term)
		}
	}
}

// announceScarce notifies all nodes of the tenants that they must ask about.
func (h *Holder) announceScarce(scarce []string) {
	for _, n := range h.nodes {
		h.Transport.Send(n.node.Peers, QuotaNotice{Term: h.term, Scarce: scarce})
	}
}
