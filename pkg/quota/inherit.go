package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Balance is what a scarce tenant's bucket held; below zero it was in debt.
type Balance struct {
	Tenant string
	Amount float64 // in the quota's unit
}

// Inherited is what a new holder knows of a scarce tenant's bucket from before its term.
type Inherited struct {
	Balance
	Age time.Duration // of the amount
}

// Start is what a holder's term begins with.
type Start struct {
	// Gap is how long the node had not heard of the last holder; zero: it never did.
	Gap time.Duration
	// Scarce are the tenants that were scarce, by the lease's record and by what this node was told.
	//
	// The last holder may have granted them all that flowed in since, so their buckets begin empty,
	// and in debt as far as it is not paid off; what nodes let in between the holders counts in full.
	// With a part of a full bucket in each term a tenant that sends five times its quota ran up to 1.22
	// of what may run in 8 s while holders change, 1.08 with this node's word alone, 0.97 with the
	// record alone, and 0.87 with both (coordinator's TestQUOTAWhileHoldersChange and
	// TestQUOTAInSchedules, the worst of some 630 plays each).
	Scarce []Inherited
}

// Begin starts a term of the holder; false if it has begun.
func (p *Pool) Begin(now time.Time, term uint64, start Start) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == term && p.buckets != nil {
		return false
	}
	p.term, p.began, p.gap, p.buckets = term, now, min(start.Gap, mostGap), make(map[string]*bucket)
	p.marks, p.looked = maxMarks, false
	p.inherited = make(map[string]Inherited, len(start.Scarce))
	for _, one := range start.Scarce {
		if !isAmount(one.Amount) {
			one.Amount = 0
		}
		p.inherited[one.Tenant] = one
	}
	return true
}

// Began tells whether a term has begun.
func (p *Pool) Began(term uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term == term && p.buckets != nil
}

// InheritedNames returns the tenants that were scarce as the term began, in order.
func (p *Pool) InheritedNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.inherited))
}

// first returns the bucket with which a tenant begins the term. The caller holds mu.
func (p *Pool) first(tenant string, size, rate float64) *bucket {
	b := &bucket{rate: rate, at: p.began}
	if one, scarce := p.inherited[tenant]; scarce {
		b.level, b.scarce = min(one.Amount+rate*one.Age.Seconds(), 0), true
		b.wanted = true
		return b
	}
	b.level, b.credit = p.firstLevel()*size, rate*p.gap.Seconds()
	return b
}

// maxBalances bounds how many tenants the lease's record tells of, some 40 bytes each. With more that
// are scarce at once, those whose buckets are the fullest for their rate begin the next term as
// others do.
const maxBalances = 64

// recordAfter is after how much that nodes let in of a scarce tenant the record is to be told, as a
// time at the quota's rate: less than what a bucket of a second's worth holds when it becomes scarce.
const recordAfter = 300 * time.Millisecond

// Owes tells whether the record is to be told at once: nodes let in so much of a scarce tenant that
// the next holder would forgive too much.
func (p *Pool) Owes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.buckets {
		if b.scarce && b.unrecorded > b.rate*recordAfter.Seconds() {
			return true
		}
	}
	return false
}

// Balances returns what the buckets of scarce tenants hold, for the next holder; false if not all
// tenants were looked at in this term yet: what the last holder left still counts.
func (p *Pool) Balances(now time.Time, term uint64) ([]Balance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term != term || !p.looked {
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
	slices.SortFunc(list, func(a, b Balance) int {
		return cmp.Or(cmp.Compare(p.seconds(a), p.seconds(b)), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list[:min(len(list), maxBalances)], true
}

// seconds returns what a bucket holds as a time at its rate. The caller holds mu.
func (p *Pool) seconds(l Balance) float64 {
	return l.Amount / max(p.buckets[l.Tenant].rate, leastWeight)
}
