// Package quota keeps the requests of each tenant within the tenant's quota, over all nodes of a
// site together. It only decides; package coordinator carries the messages between nodes and
// holder.
//
// The lease holder has a Pool with one token bucket per tenant, and each node has a Ledger. While a
// bucket is well filled, nodes admit requests without asking and report in their heartbeats what
// they spent: most tenants use only a part of their quotas, and a single node sees few requests of
// one tenant. The bucket of a tenant that asks for more than its quota runs low within a second.
// The tenant is then scarce: until the bucket has filled again, nodes have the holder grant each
// request before they admit it. What was spent beyond the bucket meanwhile is a debt that the
// tenant pays off first, so that over any longer time no more runs than the quota allows.
//
// inherit.go has the state that passes from one holder to the next.
//
// Where the costs of requests differ, a bucket is divided among the routes that they take (see
// Shared). Begin with shares.go for requests, answers and constants, and with division.go for the
// division itself. draw.go decides on a request, and reservations.go keeps capacity for requests
// whose callers were told when to come back.
package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// Levels of a bucket, as parts of its size.
const (
	// scarceBelow is the level below which a tenant becomes scarce and nodes ask first. With
	// heartbeats a second apart, a tenant that begins to send four times its quota is detected
	// after some 0.8 s and has run about 3.3 s worth of its quota by then (calculated). No window
	// of eight seconds then has more than 0.85 of what may run, or 0.91 at eleven times the quota
	// (TestQUOTAOfAllNodes).
	scarceBelow = 0.5
	// plentyAbove is the level above which nodes stop asking.
	plentyAbove = 0.7
	// initialLevel is the level with which a new holder's bucket begins if the tenant was not
	// scarce: nodes report what they admitted meanwhile. For scarce tenants see Start.
	initialLevel = 0.8
	// coldStartLevel replaces initialLevel if the holder's process has not heard of any holder
	// before. It was restarted, and others may have been with it, so that nobody knows what was
	// admitted. The level lies below scarceBelow: nodes ask until the bucket has filled, which
	// takes a quarter of a second for an idle tenant with a one-second bucket. With initialLevel,
	// several losses of all nodes within eight seconds let a tenant that sends five times its quota
	// run 1.4 times what may run.
	coldStartLevel = 0.45
)

// minBucketTime is the least size of a bucket, as a time at the quota's rate. It allows for uneven
// arrivals of a tenant whose quota has no burst.
const minBucketTime = 500 * time.Millisecond

// Tolerance is what may run beyond a quota in any window of some seconds.
type Tolerance struct {
	Overage float64 // part of the quota
	Slack   float64 // additional amount, in the unit of the quota
}

// toleranceUsed is the part of the tolerance by which a bucket is larger and fills faster than the
// quota says. Reports of nodes arrive late and in lumps. Without this allowance, 3 in 100 requests
// of a tenant at 0.95 of its quota are refused in TestQUOTAOfAllNodes.
const toleranceUsed = 0.5

// Pool is the holder's part of the quotas. Set the exported fields before the first use. The zero
// value is ready; Begin resets it for a new term. It is safe for concurrent use.
type Pool struct {
	Tolerance Tolerance
	// MajorityAsksFor returns for how long most nodes have asked this holder without a gap. Nil
	// means always. It is called with the pool locked and must not call the pool.
	MajorityAsksFor func(now time.Time) time.Duration
	// AskingFraction returns the fraction of the nodes that ask this holder, as far as it is known.
	// Nil means all. It is called with the pool locked and must not call the pool.
	AskingFraction func() float64
	// ReportedFraction returns the fraction of the nodes that have reported in this term. Nil means
	// all. It is called with the pool locked, while first reports are processed, and must not call
	// the pool.
	ReportedFraction func() float64

	mu      sync.Mutex
	term    uint64
	began   time.Time
	gap     time.Duration // time without a holder before the term
	buckets map[string]*bucket
	// inherited has the tenants that were scarce before the term, by name.
	inherited map[string]Inherited
	// former has the balances at the end of this pool's previous term, by tenant.
	former     map[string]Inherited
	scannedAll bool   // whether all tenants were checked in this term
	marksLeft  int    // requests that may still be remembered, see reservations
	policy     policy // how buckets are divided among routes
}

// bucket is a tenant's token bucket. Its level is below zero while it is in debt.
type bucket struct {
	rate     float64 // inflow per second
	fullRate float64 // inflow per second if all nodes ask this holder
	size     float64 // largest level
	level    float64
	credit   float64   // what may still be forgiven of spending before the term
	updated  time.Time // time of the level
	// assumed is the level that the bucket was assumed to have when the term began, credited the
	// credit that it began with, and forgiven what the credit has covered.
	assumed, credited, forgiven float64
	// withheld is the inflow that was withheld since the bucket was last full, because few nodes
	// ask this holder.
	withheld float64
	scarce   bool
	exceeded bool // more was asked than the bucket held since the tenant became scarce
	// learning tells nodes to ask because they may not have reported yet what they admitted before
	// the term.
	learning bool
	// unrecorded is what nodes admitted without asking since the bucket was last written to the
	// lease's record.
	unrecorded float64
	division   *division // among routes; nil if the bucket is not divided
}

// sizeOf returns the size of a quota's bucket and the rate at which it fills.
func (t Tolerance) sizeOf(q tenant.Quota) (size, rate float64) {
	rate = q.PerSecond * (1 + toleranceUsed*t.Overage)
	return max(q.Burst, rate*minBucketTime.Seconds()) + toleranceUsed*t.Slack, rate
}

// maxGap is the longest time without a holder that buckets make up for. It exceeds the time in
// which a lease expires and is acquired again. What nodes admitted in the gap would have flowed
// into the buckets; nodes report it in their first heartbeats of a term.
const maxGap = 3 * time.Second

// bucket returns the bucket of a tenant, filled up to now. The caller holds mu.
func (p *Pool) bucket(now time.Time, t *tenant.Tenant) *bucket {
	size, rate := p.Tolerance.sizeOf(t.Quota)
	whole, rate := rate, rate*p.grantedFraction()
	b := p.buckets[t.Name]
	if b == nil {
		b = p.newTermBucket(t.Name, size, whole)
		if p.buckets == nil {
			p.buckets, p.marksLeft = make(map[string]*bucket), maxMarks
		}
		p.buckets[t.Name] = b
	}
	b.fill(now)
	b.size, b.rate, b.fullRate = size, rate, whole
	if b.level >= size {
		b.level, b.withheld = size, 0
	}
	b.learning = b.learning && p.demandUnknown(now)
	switch {
	case b.level < scarceBelow*size:
		if !b.scarce && b.division != nil {
			b.division.salt++ // so that different requests pass the sieve in the next burst
		}
		b.scarce = true
	case b.level > plentyAbove*size && !b.hasShortRoute(now) && !(b.exceeded && p.demandUnknown(now)):
		b.scarce, b.exceeded = false, false
	}
	return b
}

// demandUnknown reports whether this holder may not see the demand. While nodes ask it in vain, or
// there is no holder that may decide, the buckets of tenants that ask for more than their quotas
// fill and appear to have plenty. The caller holds mu.
func (p *Pool) demandUnknown(now time.Time) bool {
	return p.MajorityAsksFor != nil && p.MajorityAsksFor(now) < calmAfter
}

// fill brings the level up to now.
func (b *bucket) fill(now time.Time) {
	if passed := now.Sub(b.updated); passed > 0 {
		b.level += b.rate * passed.Seconds()
		b.withheld += max(b.fullRate-b.rate, 0) * passed.Seconds()
		b.updated = now
	}
}

// hasShortRoute reports whether a route of a divided bucket lacks capacity although the bucket as a
// whole has plenty, because the other routes' reserves are full and its own is not.
func (b *bucket) hasShortRoute(now time.Time) bool {
	if b.division == nil || !b.scarce {
		return false
	}
	b.division.fill(now, b)
	return b.division.hasShortRoute(now)
}

// saltBits is the width of the part of a salt that counts how often a tenant became scarce. The
// term is above it.
const saltBits = 32

// divide returns the division of a bucket among routes and creates it if needed.
func (b *bucket) divide(p policy, salt uint64, budget *int) *division {
	if b.division == nil {
		b.division = &division{policy: p, salt: salt, budget: budget, filled: b.updated}
	}
	return b.division
}

// initialLevel returns the level with which a bucket begins, as a part of its size. The caller
// holds mu.
func (p *Pool) initialLevel() float64 {
	if p.gap == 0 {
		return coldStartLevel
	}
	return initialLevel
}

// Spent records what a node admitted without asking. A negative amount gives back what was admitted
// and did not run. first marks a node's first report of a term, which also covers the time before
// the term.
func (p *Pool) Spent(now time.Time, t *tenant.Tenant, amount float64, first bool) {
	if !t.Quota.Limited() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spend(p.bucket(now, t), amount, first)
}

// spend takes what was admitted without asking out of a bucket and returns how much of it counts.
// The credit covers a part of a node's first report of the term, and that part does not count.
func (p *Pool) spend(b *bucket, amount float64, first bool) float64 {
	if first {
		credit := max(min(b.credit-(1-p.reportedFraction())*b.credited, amount), 0)
		b.credit -= credit
		b.forgiven += credit
		amount -= credit
	}
	b.level -= amount
	b.exceeded = b.exceeded || b.level < 0
	b.unrecorded += amount
	return amount
}

// majority is the fraction of asking nodes above which a holder grants the whole quota.
const majority = 0.5

// grantedFraction returns the fraction of the quotas that this holder grants: all if most nodes ask
// it, else the fraction of the nodes that do. The other nodes admit their parts without this
// holder, or ask another one. The caller holds mu.
func (p *Pool) grantedFraction() float64 {
	if p.AskingFraction == nil {
		return 1
	}
	if part := p.AskingFraction(); part <= majority {
		return part
	}
	return 1
}

// reportedFraction returns the fraction of the nodes that has reported in this term. What the
// others admitted before the term is unknown and reserves its part of the credit. The caller holds
// mu.
func (p *Pool) reportedFraction() float64 {
	if p.ReportedFraction == nil {
		return 1
	}
	return min(p.ReportedFraction(), 1)
}

// SpentBy is Spent for the requests of one route.
func (p *Pool) SpentBy(now time.Time, t *tenant.Tenant, s Spent, first bool) {
	switch {
	case !validAmount(s.Amount):
		return
	case !Shared(t.Quota):
		p.Spent(now, t, s.Amount, first)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(now, t)
	if s.Route == "" { // from a node that does not report routes
		s.Priority = LeastUrgent
	}
	shares := b.divide(p.policy, p.term<<saltBits, &p.marksLeft)
	route := shares.share(now, s.Route, s.Priority)
	shares.fill(now, b)
	shares.spend(route, p.spend(b, s.Amount, first))
}

// DrawFor decides on a request of a tenant: within its route's share if the quota is divided, else
// like Draw. An amount that is not a finite number of at least zero is refused.
func (p *Pool) DrawFor(now time.Time, t *tenant.Tenant, r Request) Answer {
	if !Shared(t.Quota) {
		after, granted := p.Draw(now, t, r.Amount)
		return Answer{Granted: granted, After: after}
	}
	if !validAmount(r.Amount) || r.Amount < 0 {
		return Answer{After: minRetryAfter}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(now, t)
	b.divide(p.policy, p.term<<saltBits, &p.marksLeft)
	answer := b.draw(now, r)
	b.exceeded = b.exceeded || !answer.Granted
	return answer
}

// Rooms returns the Room of each route of a tenant, those with the largest inflow first, at most
// maxLoggedRoutes. It returns none if the quota is not divided or nobody asked for it yet.
func (p *Pool) Rooms(t *tenant.Tenant) []RouteRoom {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.buckets[t.Name]
	if b == nil || b.division == nil {
		return nil
	}
	return b.division.rooms(b.rate, maxLoggedRoutes)
}

// maxLoggedRoutes bounds the routes of a tenant in one log line.
const maxLoggedRoutes = 8

// validAmount reports whether an amount from a message is a number that can be counted.
func validAmount(x float64) bool { return math.Abs(x) <= maxAmount }

// maxAmount bounds what one message counts. Beyond it, sums of floats lose single tokens.
const maxAmount = 1e12

// Draw takes an amount out of the bucket of a tenant. If the bucket holds too little it takes
// nothing and returns the time until it holds enough, provided that nobody else draws.
func (p *Pool) Draw(now time.Time, t *tenant.Tenant, amount float64) (after time.Duration, granted bool) {
	if !t.Quota.Limited() {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(now, t)
	// A request that is larger than the bucket empties a full one.
	if lacks := min(amount, b.size) - b.level; lacks > 0 {
		b.exceeded = true
		return time.Duration(lacks / b.rate * float64(time.Second)), false
	}
	b.level -= amount
	return 0, true
}

// Scarce returns the sorted names of the tenants for which nodes must ask.
func (p *Pool) Scarce(now time.Time, tenants *tenant.Table) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scannedAll = true
	var names []string
	for _, t := range tenants.All() {
		if !t.Quota.Limited() {
			continue
		}
		if b := p.bucket(now, t); b.scarce || b.learning {
			names = append(names, t.Name)
		}
	}
	slices.Sort(names)
	return names
}
