package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// Balance is the level of a scarce tenant's bucket. Below zero the bucket is in debt.
type Balance struct {
	Tenant string
	Amount float64 // in the quota's unit
}

// Inherited is what a new holder knows of a scarce tenant's bucket from before its term.
type Inherited struct {
	Balance
	Age time.Duration // time since the balance was taken
}

// Start is the state from which a holder's term begins.
type Start struct {
	// Gap is the time since the last report of a holder to this node. Zero means that there was none.
	Gap time.Duration
	// Scarce lists the tenants that were scarce according to the lease's record and to the last
	// holder's reports to this node.
	//
	// The last holder may have granted them everything that flowed in since then. Their buckets
	// therefore start empty, or in debt as far as the debt is not yet paid off, and what nodes
	// admitted between the two holders counts in full. A tenant that sends five times its quota
	// while holders change ran at most this part of what may run in 8 s: 1.22 if its bucket starts
	// partly filled in each term, 1.08 with only the reports to this node, 0.97 with only the
	// record, and 0.87 with both (worst of some 630 runs each of TestQUOTAWhileHoldersChange and
	// TestQUOTAInSchedules in package coordinator).
	Scarce []Inherited
}

// Begin starts a term of this holder. It returns false if the term has already begun.
func (p *Pool) Begin(now time.Time, term uint64, start Start) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == term && p.buckets != nil {
		return false
	}
	p.former = make(map[string]Inherited)
	for _, entry := range p.balances(now) {
		p.former[entry.Tenant] = Inherited{Balance: entry}
	}
	p.term, p.began, p.gap, p.buckets = term, now, min(start.Gap, maxGap), make(map[string]*bucket)
	p.marksLeft, p.scannedAll = maxMarks, false
	p.inherited = make(map[string]Inherited, len(start.Scarce))
	for _, entry := range start.Scarce {
		if !validAmount(entry.Amount) {
			entry.Amount = 0
		}
		p.inherited[entry.Tenant] = entry
	}
	return true
}

// Began reports whether a term has begun.
func (p *Pool) Began(term uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term == term && p.buckets != nil
}

// InheritedNames returns the sorted names of the tenants that were scarce when the term began.
func (p *Pool) InheritedNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.inherited))
}

// newTermBucket returns the bucket with which a tenant begins the term. The caller holds mu.
func (p *Pool) newTermBucket(name string, size, rate float64) *bucket {
	b := &bucket{rate: rate, fullRate: rate, updated: p.began}
	if entry, scarce := p.inherited[name]; scarce {
		b.level, b.scarce = min(entry.Amount+rate*entry.Age.Seconds(), 0), true
		b.exceeded = true
	} else {
		b.level, b.credit = p.initialLevel()*size, rate*p.gap.Seconds()
		b.learning, b.credited = true, b.credit
	}
	b.assumed = b.level
	if entry, known := p.former[name]; known {
		b.correct(p.began, p.began, entry.Amount)
	}
	return b
}

// CorrectBalance applies the balance that an earlier holder's pool has for a tenant, since that
// holder knows what it granted. If that holder could not reach the store, the lease's record lacks
// these grants. Without the correction the tenant would get the same amount again, and what flowed
// in meanwhile would cover both those grants and what nodes admitted.
func (p *Pool) CorrectBalance(now time.Time, t *tenant.Tenant, amount float64) {
	if !t.Quota.Limited() || !validAmount(amount) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bucket(now, t).correct(p.began, now, amount)
	p.bucket(now, t) // updates the scarce flag
}

// correct reduces the level by the excess of what the bucket was assumed to hold when the term
// began over what it held according to another holder. left is that holder's current balance.
func (b *bucket) correct(began, now time.Time, left float64) {
	lacks := b.assumed + b.fullRate*now.Sub(began).Seconds() - left
	if lacks <= 0 {
		return
	}
	b.assumed -= lacks
	b.level -= lacks + b.forgiven
	b.credit, b.forgiven = 0, 0
}

// FormerBalances returns the current balances by the previous term of this pool, for the holder of
// the given term. It returns none if there was no previous term or if this pool holds the given
// term itself.
func (p *Pool) FormerBalances(now time.Time, term uint64) []Balance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == 0 || p.term >= term {
		return nil
	}
	return p.balances(now)
}

// balances returns the balances of the buckets that are not full, emptiest first, at most
// maxBalances. The caller holds mu.
func (p *Pool) balances(now time.Time) []Balance {
	var list []Balance
	for name, b := range p.buckets {
		b.fill(now)
		left := b.level
		if !b.scarce { // in that case the nodes that do not ask this holder admitted their parts
			left += b.withheld
		}
		if left < b.size {
			list = append(list, Balance{name, left})
		}
	}
	return p.emptiest(list)
}

// emptiest returns the balances of the buckets that are emptiest relative to their rates, in that
// order. The caller holds mu.
func (p *Pool) emptiest(list []Balance) []Balance {
	slices.SortFunc(list, func(a, b Balance) int {
		return cmp.Or(cmp.Compare(p.secondsLeft(a), p.secondsLeft(b)), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list[:min(len(list), maxBalances)]
}

// maxBalances bounds the number of tenants in the lease's record, at some 40 bytes each. If more
// tenants are scarce at once, those whose buckets are fullest relative to their rates begin the
// next term like tenants that are not scarce.
const maxBalances = 64

// recordThreshold is how much nodes may admit of a scarce tenant before the lease's record must be
// updated, as a time at the quota's rate. It is less than what a one-second bucket holds when it
// becomes scarce.
const recordThreshold = 300 * time.Millisecond

// RecordDue reports whether the lease's record must be updated at once: nodes admitted more
// than recordThreshold of a scarce tenant since its last update, of which the next holder would forgive
// too much.
func (p *Pool) RecordDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.buckets {
		if b.scarce && b.unrecorded > b.rate*recordThreshold.Seconds() {
			return true
		}
	}
	return false
}

// Balances returns the balances of the scarce tenants, for the next holder. It returns false until
// all tenants were checked in this term; until then the record of the last holder remains valid.
func (p *Pool) Balances(now time.Time, term uint64) ([]Balance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term != term || !p.scannedAll {
		return nil, false
	}
	var list []Balance
	for name, b := range p.buckets {
		if b.scarce {
			b.fill(now)
			b.unrecorded = 0
			list = append(list, Balance{name, min(b.level, b.size)})
		}
	}
	return p.emptiest(list), true
}

// secondsLeft returns what a bucket holds as a time in seconds at its rate. The caller holds mu.
func (p *Pool) secondsLeft(l Balance) float64 {
	return l.Amount / max(p.buckets[l.Tenant].rate, minWeight)
}
