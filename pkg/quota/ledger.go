package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// Verdict is what a node does with a request of a tenant.
type Verdict uint8

// The verdicts.
const (
	Admit  Verdict = iota // let it in
	Ask                   // have the holder grant it
	Alone                 // the holder did not answer a moment ago: have the deputy grant it, or GoAlone decide
	Refuse                // the quota is spent, or may be
)

// aloneAfter is for how long a node goes by what the holder told last. Beats are a second
// apart; a new holder needs some two seconds.
const aloneAfter = 1200 * time.Millisecond

// What all nodes together let in of a tenant while they hear nothing of the holder, as a
// time at the quota's rate: at once, and for each second. A tenant that was not scarce ran
// less than its quota before, so that no window has more than may run: 0.95 of it at most,
// with a third of the nodes cut off (TestQUOTAOfAllNodes). One node that all know, the
// deputy, has it all; those that don't reach it have their shares, of which most are less
// than a request: with shares alone 0.040 of what a small tenant is owed were refused in the
// 40 s around the loss of a holder, with the deputy none.
const (
	alonePlenty = 1500 * time.Millisecond
	aloneScarce = 300 * time.Millisecond
	aloneFlow   = 0.2
)

// shortRest is the least time for which a node does not ask after it was refused.
const shortRest = 50 * time.Millisecond

// Ledger is a node's part. The zero value is ready and knows of no holder. Safe for
// concurrent use.
type Ledger struct {
	Chance func() float64 // from 0 to 1; at random if nil. Set before the first use.

	mu       sync.Mutex
	accounts map[string]*account
	told     time.Time // when the holder last told; zero: never
	scarce   map[string]bool
	silent   time.Time // the holder is not asked before: it did not answer
}

// account is what a node knows of a tenant.
type account struct {
	spent    float64   // without asking, and not reported yet
	refused  time.Time // the holder grants nothing before
	alone    time.Time // since when it goes on without a holder; zero: it does not
	allowed  float64   // that it may still let in without a holder, at aloneAt
	aloneAt  time.Time
	fraction float64 // of a request that counts as allowed, by chance
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

// Look decides on a request that costs so much. A request that is let in is noted as
// spent. One that is refused may come back after the time.
func (l *Ledger) Look(now time.Time, t *tenant.Tenant, cost float64) (Verdict, time.Duration) {
	if !t.Quota.Limited() {
		return Admit, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t.Name)
	switch {
	case now.Before(a.refused):
		return Refuse, a.refused.Sub(now)
	case l.scarce[t.Name] || now.Sub(l.told) > aloneAfter:
		if now.Before(l.silent) {
			return Alone, 0
		}
		return Ask, 0
	}
	a.alone = time.Time{}
	a.spent += cost
	return Admit, 0
}

// Unanswered notes that the holder was asked in vain.
func (l *Ledger) Unanswered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = now.Add(silentRest)
}

// silentRest is for how long a holder that did not answer is not asked again: each vain
// question costs its request the time that an answer is waited for.
const silentRest = 300 * time.Millisecond

// Hears tells whether the holder told something lately.
func (l *Ledger) Hears(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.told) <= aloneAfter
}

// GoAlone decides on a request without the holder, at one of so many nodes that do so; zero:
// not known how many.
func (l *Ledger) GoAlone(now time.Time, t *tenant.Tenant, cost float64, nodes int) (Verdict, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t.Name)
	if nodes <= 0 {
		return Refuse, aloneRest
	}
	share := t.Quota.PerSecond / float64(nodes)
	if a.alone.IsZero() {
		atOnce := alonePlenty
		if l.scarce[t.Name] || l.told.IsZero() {
			atOnce = aloneScarce
		}
		a.alone, a.aloneAt = now, now
		a.allowed, a.fraction = share*atOnce.Seconds(), l.chance()
	}
	a.allowed += aloneFlow * share * now.Sub(a.aloneAt).Seconds()
	a.aloneAt = now
	// Shares of many nodes are less than a request: the fraction decides which of them let
	// one in, so that all together let in what they may.
	if a.allowed+a.fraction*cost < cost {
		return Refuse, aloneRest
	}
	a.allowed -= cost
	a.spent += cost
	return Admit, 0
}

func (l *Ledger) chance() float64 {
	if l.Chance == nil {
		return rand.Float64()
	}
	return l.Chance()
}

// aloneRest is when a request comes back that was refused without a holder: about when
// there is a new one.
const aloneRest = time.Second

// Granted notes that the holder granted a request.
func (l *Ledger) Granted(t *tenant.Tenant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(t.Name).alone = time.Time{}
}

// Lent notes that the deputy granted a request: the next holder is to know of it.
func (l *Ledger) Lent(t *tenant.Tenant, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(t.Name).spent += cost
}

// Denied notes that the holder does not grant a request before a time is over. It returns
// when to come back.
func (l *Ledger) Denied(now time.Time, t *tenant.Tenant, after time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t.Name)
	a.alone = time.Time{}
	after = max(after, shortRest)
	a.refused = now.Add(after)
	return after
}

// GiveBack takes back a request that was let in and did not run.
func (l *Ledger) GiveBack(t *tenant.Tenant, cost float64) {
	if !t.Quota.Limited() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(t.Name).spent -= cost
}

// Spent is what a node let in of a tenant without asking.
type Spent struct {
	Tenant string
	Amount float64
}

// Report returns what was spent since the last report. If it does not arrive, Return puts
// it back.
func (l *Ledger) Report() []Spent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Spent
	for name, a := range l.accounts {
		if a.spent != 0 {
			list = append(list, Spent{name, a.spent})
			a.spent = 0
		}
	}
	return list
}

// Return takes back a report that may not have arrived: what is counted twice only makes
// the tenant wait.
func (l *Ledger) Return(list []Spent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range list {
		l.account(s.Tenant).spent += max(s.Amount, 0)
	}
}

// Unheard returns for how long the holder has not told anything; zero if it never did.
func (l *Ledger) Unheard(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told.IsZero() {
		return 0
	}
	return now.Sub(l.told)
}

// Told takes in for which tenants the holder is to be asked. Accounts of tenants that are
// gone stay until the process ends: their number is that of the tenants ever configured.
func (l *Ledger) Told(now time.Time, scarce []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = now
	for _, a := range l.accounts {
		a.alone = time.Time{}
	}
	l.scarce = make(map[string]bool, len(scarce))
	for _, name := range scarce {
		l.scarce[name] = true
	}
}
