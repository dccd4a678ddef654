package quota

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// Verdict is what a node does with a request of a tenant.
type Verdict uint8

// The verdicts.
const (
	Admit  Verdict = iota // admit the request
	Ask                   // have the holder decide
	Alone                 // the holder did not answer a moment ago: have the deputy decide, or use DecideAlone
	Refuse                // the quota is spent, or may be
)

// aloneAfter is how long a node acts on the holder's last report. Heartbeats are a second apart,
// and a new holder takes some two seconds.
const aloneAfter = 1200 * time.Millisecond

// What all nodes together admit of a tenant while they do not hear from a holder: aloneBurst or
// aloneScarceBurst at once, as a time at the quota's rate, and after that aloneRate of the quota. A
// tenant that was not scarce ran less than its quota before, so that no window exceeds what may
// run: at most 0.95 of it with a third of the nodes cut off (TestQUOTAOfAllNodes).
//
// One node that all nodes know, the deputy, has the whole amount. Nodes that do not reach it have
// equal shares, most of which are smaller than a request: in the 40 s around the loss of a holder,
// 0.040 of what a small tenant is owed were refused with shares alone, and none with the deputy.
const (
	aloneBurst       = time.Second
	aloneScarceBurst = 300 * time.Millisecond
	aloneRate        = 0.2
)

// aloneRenewAfter is how long after a node last acted without a holder it gets the full allowance
// again. It is as long as the users' quota window, in which aloneRate brings as much as the burst.
const aloneRenewAfter = 8 * time.Second

// minRetryAfter is the least time for which a node does not ask again after a refusal.
const minRetryAfter = 50 * time.Millisecond

// Ledger is a node's part of the quotas. The zero value is ready and has not heard from a holder.
// It is safe for concurrent use.
type Ledger struct {
	Chance func() float64 // returns a number from 0 to 1; nil for random numbers; set before the first use

	mu              sync.Mutex
	accounts        map[string]*account
	lastHeard       time.Time // when the holder last reported; zero means never
	scarce          map[string]bool
	skipHolderUntil time.Time // the holder is not asked before this time because it did not answer
}

// account is what a node knows of a tenant.
type account struct {
	spent        float64                  // admitted without asking and not reported yet
	refusedUntil time.Time                // the holder grants nothing before this time
	alone        bool                     // whether the node acts without a holder
	allowance    float64                  // what the node may still admit without a holder, as of lastAlone
	lastAlone    time.Time                // when the node last acted without a holder; zero means never
	fraction     float64                  // part of a request's cost that is added to the allowance, at random
	routes       map[string]*routeAccount // routes of a divided quota
	bucket       *bucket                  // the deputy's bucket for a divided quota; nil until it is needed
}

// routeAccount is what a node knows of a tenant's route.
type routeAccount struct {
	priority   int
	spent      float64 // admitted without asking and not reported yet
	sieve      Sieve
	sieveUntil time.Time // the sieve is used until this time
}

// sieveTTL is how long a node uses the sieve that the holder sent. After that it asks about the
// next request, whichever it is. While sieves matter, a node has some tens of requests of the route
// per second.
const sieveTTL = time.Second

// route returns the account of a request's route. All routes beyond maxRoutes share one.
func (a *account) route(r Request) *routeAccount {
	acct := a.routes[r.Route]
	if acct == nil && len(a.routes) >= maxRoutes {
		r.Route = ""
		acct = a.routes[""]
	}
	if acct == nil {
		acct = &routeAccount{}
		if a.routes == nil {
			a.routes = make(map[string]*routeAccount)
		}
		a.routes[r.Route] = acct
	}
	acct.priority = r.Priority
	return acct
}

func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{}
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		l.accounts[name] = a
	}
	return a
}

// Decide decides on a request of the given cost. An admitted request is recorded as spent. A
// refused request may come back after the returned time.
func (l *Ledger) Decide(now time.Time, t *tenant.Tenant, cost float64) (Verdict, time.Duration) {
	if !t.Quota.Limited() {
		return Admit, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t.Name)
	switch {
	case now.Before(a.refusedUntil):
		return Refuse, a.refusedUntil.Sub(now)
	case l.scarce[t.Name] || now.Sub(l.lastHeard) > aloneAfter:
		if now.Before(l.skipHolderUntil) {
			return Alone, 0
		}
		return Ask, 0
	}
	a.holderBack()
	a.spent += cost
	return Admit, 0
}

// DecideFor is Decide for a request of a route. If the quota is divided, a refusal applies only to
// requests of the same route that its sieve does not let pass. With the verdict Ask it sets the
// request's Part.
func (l *Ledger) DecideFor(now time.Time, t *tenant.Tenant, r *Request) (Verdict, time.Duration) {
	if !Shared(t.Quota) {
		return l.Decide(now, t, r.Amount)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t.Name)
	acct := a.route(*r)
	if l.scarce[t.Name] || now.Sub(l.lastHeard) > aloneAfter {
		switch {
		case now.Before(l.skipHolderUntil):
			return Alone, 0
		case !now.Before(acct.sieveUntil):
			return Ask, 0
		case !acct.sieve.passes(r.Mark):
			return Refuse, r.noReturnAfter()
		}
		r.Part = acct.sieve.Part
		return Ask, 0
	}
	a.holderBack()
	acct.spent += r.Amount
	return Admit, 0
}

// holderBack ends acting without a holder. The allowance is kept for aloneRenewAfter: otherwise
// nodes that lose the holder again and again would admit a full burst each time.
func (a *account) holderBack() { a.alone = false }

// allowanceRenewed reports whether the node gets the full allowance for acting without a holder
// again.
func (a *account) allowanceRenewed(now time.Time) bool {
	return a.lastAlone.IsZero() || !a.alone && now.Sub(a.lastAlone) > aloneRenewAfter
}

// Answered records the holder's answer to a request. It returns when a refused request is to come
// back.
func (l *Ledger) Answered(now time.Time, t *tenant.Tenant, r Request, answer Answer) time.Duration {
	if !Shared(t.Quota) {
		if answer.Granted {
			l.Granted(t)
			return 0
		}
		return l.Denied(now, t, answer.After)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t.Name)
	a.holderBack()
	if !(answer.Sieve.Part > 0) { // the holder does not know sieves, or the number is NaN
		answer.Sieve.Part = 1
	}
	acct := a.route(r)
	acct.sieve, acct.sieveUntil = answer.Sieve, now.Add(sieveTTL)
	if answer.Granted {
		return 0
	}
	return max(answer.After, minWait)
}

// DecideAloneFor is DecideAlone for a request of a route. The deputy divides what it may admit like
// the holder does.
func (l *Ledger) DecideAloneFor(now time.Time, t *tenant.Tenant, r Request, nodes int) Answer {
	if !Shared(t.Quota) || nodes != 1 {
		verdict, after := l.DecideAlone(now, t, r.Amount, nodes)
		if verdict == Admit {
			l.DeputyGrantedFor(t, r) // replaces what DecideAlone recorded for the tenant as a whole
			l.GiveBack(t, r.Amount)
		}
		return Answer{Granted: verdict == Admit, After: after}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t.Name)
	if a.bucket == nil || a.allowanceRenewed(now) {
		a.bucket = l.aloneBucket(now, t)
	}
	b := a.bucket
	b.size = t.Quota.PerSecond * l.burstAlone(t).Seconds()
	b.fill(now)
	b.level = min(b.level, b.size)
	a.alone, a.lastAlone = true, now
	answer := b.draw(now, r)
	if answer.Granted {
		a.route(r).spent += r.Amount
	}
	return answer
}

// aloneBucket returns a bucket with what all nodes together may admit of a tenant without a holder.
func (l *Ledger) aloneBucket(now time.Time, t *tenant.Tenant) *bucket {
	b := &bucket{rate: aloneRate * t.Quota.PerSecond, updated: now}
	b.size = t.Quota.PerSecond * l.burstAlone(t).Seconds()
	b.level = b.size
	marks := maxMarks
	b.divide(policy{}, uint64(now.UnixNano()), &marks)
	return b
}

// burstAlone returns what all nodes together may admit of a tenant at once without a holder. The
// caller holds mu.
func (l *Ledger) burstAlone(t *tenant.Tenant) time.Duration {
	if l.scarce[t.Name] || l.lastHeard.IsZero() {
		return aloneScarceBurst
	}
	return aloneBurst
}

// DeputyGrantedFor is DeputyGranted for a request of a route.
func (l *Ledger) DeputyGrantedFor(t *tenant.Tenant, r Request) {
	l.GiveBackFor(t, Request{Route: r.Route, Priority: r.Priority, Amount: -r.Amount})
}

// GiveBackFor is GiveBack for a request of a route.
func (l *Ledger) GiveBackFor(t *tenant.Tenant, r Request) {
	if !Shared(t.Quota) {
		l.GiveBack(t, r.Amount)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(t.Name).route(r).spent -= r.Amount
}

// Unanswered records that the holder did not answer.
func (l *Ledger) Unanswered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipHolderUntil = now.Add(unansweredPause)
}

// unansweredPause is how long a holder that did not answer is not asked again. Each question in
// vain delays its request until the timeout.
const unansweredPause = 300 * time.Millisecond

// HearsHolder reports whether the holder reported recently.
func (l *Ledger) HearsHolder(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastHeard) <= aloneAfter
}

// DecideAlone decides on a request without the holder. nodes is the number of nodes that do so,
// zero if it is unknown.
func (l *Ledger) DecideAlone(now time.Time, t *tenant.Tenant, cost float64, nodes int) (Verdict, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t.Name)
	if nodes <= 0 {
		return Refuse, aloneRetryAfter
	}
	share := t.Quota.PerSecond / float64(nodes)
	most := share * l.burstAlone(t).Seconds()
	if a.allowanceRenewed(now) {
		a.allowance, a.fraction = most, l.random()
	} else {
		a.allowance += aloneRate * share * now.Sub(a.lastAlone).Seconds()
	}
	if !a.alone {
		a.allowance = min(a.allowance, most)
	}
	a.alone, a.lastAlone = true, now
	// With many nodes, the share of one is smaller than a request. The random fraction decides
	// which nodes admit one, so that all nodes together admit what they may.
	if a.allowance+a.fraction*cost < cost {
		return Refuse, aloneRetryAfter
	}
	a.allowance -= cost
	a.spent += cost
	return Admit, 0
}

func (l *Ledger) random() float64 {
	if l.Chance == nil {
		return rand.Float64()
	}
	return l.Chance()
}

// aloneRetryAfter is when a request that was refused without a holder may come back. By then there
// probably is a new holder.
const aloneRetryAfter = time.Second

// Granted records that the holder granted a request.
func (l *Ledger) Granted(t *tenant.Tenant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(t.Name).holderBack()
}

// DeputyGranted records that the deputy granted a request, so that it is reported to the next
// holder.
func (l *Ledger) DeputyGranted(t *tenant.Tenant, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(t.Name).spent += cost
}

// Denied records that the holder does not grant a request before the given time has passed. It
// returns when to come back.
func (l *Ledger) Denied(now time.Time, t *tenant.Tenant, after time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t.Name)
	a.holderBack()
	after = max(after, minRetryAfter)
	a.refusedUntil = now.Add(after)
	return after
}

// GiveBack takes back a request that was admitted and did not run.
func (l *Ledger) GiveBack(t *tenant.Tenant, cost float64) {
	if !t.Quota.Limited() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(t.Name).spent -= cost
}

// Spent is what a node admitted of a tenant without asking, per route if the quota is divided.
type Spent struct {
	Tenant   string
	Amount   float64
	Route    string
	Priority int // of the route
}

// Report returns what was spent since the last report. Call Return if the report may not have
// arrived.
func (l *Ledger) Report() []Spent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Spent
	for name, a := range l.accounts {
		list = a.report(name, list)
	}
	return list
}

// ReportOf returns what was spent of one tenant since the last report. It is sent with a question
// to the holder, which must know what nodes admitted recently before it makes reservations.
func (l *Ledger) ReportOf(t *tenant.Tenant) []Spent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account(t.Name).report(t.Name, nil)
}

// report appends what was spent to a list, sorted by route.
func (a *account) report(name string, list []Spent) []Spent {
	begin := len(list)
	if a.spent != 0 {
		list = append(list, Spent{Tenant: name, Amount: a.spent})
		a.spent = 0
	}
	for route, acct := range a.routes {
		if acct.spent != 0 {
			list = append(list, Spent{Tenant: name, Amount: acct.spent, Route: route, Priority: acct.priority})
			acct.spent = 0
		}
	}
	slices.SortFunc(list[begin:], func(a, b Spent) int { return cmp.Compare(a.Route, b.Route) })
	return list
}

// Return takes back a report that may not have arrived. If it did arrive, it is counted twice,
// which only makes the tenant wait.
func (l *Ledger) Return(list []Spent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range list {
		a := l.account(s.Tenant)
		if s.Route == "" {
			a.spent += max(s.Amount, 0)
			continue
		}
		a.route(Request{Route: s.Route, Priority: s.Priority}).spent += max(s.Amount, 0)
	}
}

// Scarce returns the sorted names of the tenants that are scarce by the holder's last report.
func (l *Ledger) Scarce() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.scarce))
}

// SinceHeard returns how long ago the holder last reported, zero if it never did.
func (l *Ledger) SinceHeard(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastHeard.IsZero() {
		return 0
	}
	return now.Sub(l.lastHeard)
}

// UpdateScarce records which tenants are scarce by a report of the holder. It returns whether to
// report at once to the holder, because something was spent of a divided quota that became scarce:
// the holder would otherwise reserve capacity that is already spent. Accounts of removed tenants
// stay until the process ends; their number is bounded by that of the tenants ever configured.
func (l *Ledger) UpdateScarce(now time.Time, scarce []string) (reportNow bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range scarce {
		reportNow = reportNow || !l.scarce[name] && l.accounts[name].owesReport()
	}
	l.lastHeard = now
	for _, a := range l.accounts {
		a.holderBack()
	}
	l.scarce = make(map[string]bool, len(scarce))
	for _, name := range scarce {
		l.scarce[name] = true
	}
	return reportNow
}

// owesReport reports whether something was spent of a divided quota since the last report.
func (a *account) owesReport() bool {
	if a == nil {
		return false
	}
	for _, acct := range a.routes {
		if acct.spent > 0 {
			return true
		}
	}
	return false
}
