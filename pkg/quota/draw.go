package quota

import "time"

// draw decides on a request within its route's share of a bucket that was filled up to now.
func (b *bucket) draw(now time.Time, r Request) Answer {
	d := b.shares
	one := d.share(now, r.Route, r.Priority)
	d.fill(now, b)
	one.promises.expire(now)
	one.turnedAway.expire(now)
	room := d.room(one, b.rate)
	answer := Answer{Room: room, Sieve: Sieve{Part: one.part, Salt: d.salt}}
	if away := one.turnedAway.marks[r.Mark]; away != nil && now.Before(away.due) {
		one.refused = now
		answer.After = away.due.Sub(now) // it is not counted as asked again
		return answer
	}
	p := one.promises.find(now, r.Mark, d.policy.noMarks)
	if p == nil {
		one.count(r)
	}
	switch {
	case p != nil && now.Before(p.due.Add(-earliness)):
		answer.Promised, answer.After = true, p.due.Sub(now)
		return answer
	case b.fits(now, one, r.Amount, room.Share, p):
		one.promises.remove(p)
		one.level -= r.Amount
		b.level -= r.Amount
		answer.Granted = true
		return answer
	}
	one.promises.remove(p)
	one.refused = now
	wait := one.wait(r.Amount, room.Share)
	if wait > r.Within || !one.kept(d.salt, r.Mark) || !one.promises.add(now, wait, r.Mark, r.Amount) {
		answer.After = max(wait, r.beyond())
		one.turnedAway.add(now, answer.After, r.Mark, 0)
		return answer
	}
	answer.Promised, answer.After = true, wait
	return answer
}

// kept tells whether a request will pass the sieves of nodes when it comes back, though they let
// fewer pass by then.
func (s *share) kept(salt uint64, m Mark) bool {
	return s.aim >= 1 || Sieve{Part: keptPart * s.aim, Salt: salt}.passes(m)
}

// count notes a request, and with it those that the node's sieve held back for each that it lets
// pass.
func (s *share) count(r Request) {
	part := r.Part
	if !(part >= leastAsked && part <= 1) {
		part = 1
	}
	s.newAsked += r.Amount / part
	s.newRequests += 1 / part
}

// fits tells whether a route has room for an amount, with what the others can spare; what it lacks
// is borrowed. p is the promise that was made to the request; without one, what was promised to
// others is left out. certain is the route's share, a second.
func (b *bucket) fits(now time.Time, one *share, amount, certain float64, p *promise) bool {
	lacks := amount - one.level
	if p == nil {
		lacks += one.setAside(now, certain)
	}
	switch {
	case lacks <= 0:
		return true
	case lacks <= b.shares.spare(one):
		b.shares.borrow(one, lacks)
		return true
	case p != nil && lacks <= keptDebt*one.most:
		return true
	}
	return amount > one.most && b.shares.overdraws(now, one)
}

// overdraws tells whether a request may run that is larger than its route's whole reserve: it
// empties a full one and leaves a debt. One route at a time may: of those that asked for as much
// lately, the one that was let do so the longest ago.
func (d *division) overdraws(now time.Time, one *share) bool {
	one.large = now
	if one.level < one.most || d.debt() > 0 {
		return false
	}
	for _, other := range d.list {
		if now.Sub(other.large) < largeTime && other.overdrew.Before(one.overdrew) {
			return false
		}
	}
	one.overdrew = now
	return true
}

// largeTime is how long a route that asked for more than its reserve keeps its turn.
const largeTime = time.Second

// setAside returns what of a route's reserve is promised, beyond what flows in until the last
// promise is due.
func (s *share) setAside(now time.Time, certain float64) float64 {
	last := s.promises.last()
	if last == nil {
		return 0
	}
	return max(s.promises.sum-s.rate(certain, lentCounted/2)*max(last.due.Sub(now).Seconds(), 0), 0)
}

// debt returns what all routes together owe.
func (d *division) debt() float64 {
	debt := 0.0
	for _, one := range d.list {
		debt -= min(one.level, 0)
	}
	return debt
}

// wait returns after how long a route has room for an amount, behind all that was promised.
func (s *share) wait(amount, certain float64) time.Duration {
	lacks := min(amount, s.most) + s.promises.sum - s.level
	seconds := min(lacks/max(s.rate(certain, lentCounted), leastWeight), mostWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), leastWait)
}

// mostWait is the longest time that a request is told to wait.
const mostWait = time.Hour

// rate is what a route may count on, a second: of its share, certain, and of the part lent of what
// it is given beyond that, since others may come back.
func (s *share) rate(certain, lent float64) float64 {
	return promisedPart * (certain + lent*max(s.given-certain, 0))
}

// lentCounted is the part of what others lend a route that promises count on; those who come
// in between may count on half of it.
const lentCounted = 0.8

// promisedPart is the part of that which is promised: what is left goes to those who come in
// between.
const promisedPart = 0.85

// keptDebt is the debt that a route may make to keep its promises, as a part of its reserve:
// what it is given varies with what the others ask. All routes together run no more beyond the
// bucket than this part of it, 0.025 of what may run in eight seconds.
const keptDebt = 0.25
