package quota

import "time"

// draw decides on a request within its route's share of a bucket. The bucket must be filled up to
// now.
func (b *bucket) draw(now time.Time, r Request) Answer {
	d := b.division
	s := d.share(now, r.Route, r.Priority)
	d.fill(now, b)
	s.reservations.expire(now)
	s.turnedAway.expire(now)
	room := d.room(s, b.rate)
	answer := Answer{Room: room, Sieve: Sieve{Part: s.askedPart, Salt: d.salt}}
	if refusedBefore := s.turnedAway.marks[r.Mark]; refusedBefore != nil && now.Before(refusedBefore.due) {
		s.lastRefusal = now
		answer.After = refusedBefore.due.Sub(now) // a repeat that comes too early is not counted as new demand
		return answer
	}
	reserved := s.reservations.find(now, r.Mark, d.policy.noMarks)
	if reserved == nil {
		s.count(r)
	}
	switch {
	case reserved != nil && now.Before(reserved.due.Add(-earlyTolerance)):
		answer.Reserved, answer.After = true, reserved.due.Sub(now)
		return answer
	case b.fits(now, s, r.Amount, room.Share, reserved):
		s.reservations.remove(reserved)
		s.level -= r.Amount
		b.level -= r.Amount
		answer.Granted = true
		return answer
	}
	s.reservations.remove(reserved)
	s.lastRefusal = now
	wait := s.wait(r.Amount, room.Share)
	if wait > r.Within || !s.passesLater(d.salt, r.Mark) || !s.reservations.add(now, wait, r.Mark, r.Amount) {
		answer.After = max(wait, r.noReturnAfter())
		s.turnedAway.add(now, answer.After, r.Mark, 0)
		return answer
	}
	answer.Reserved, answer.After = true, wait
	return answer
}

// passesLater reports whether nodes will ask about a request (see Sieve) when it comes back, even if
// they ask about fewer requests by then.
func (s *share) passesLater(salt uint64, m Mark) bool {
	return s.targetPart >= 1 || Sieve{Part: reservablePart * s.targetPart, Salt: salt}.passes(m)
}

// count records a request, scaled up by the requests of the route that its node refuses without
// asking (see Sieve).
func (s *share) count(r Request) {
	part := r.Part
	if !(part >= minAskedPart && part <= 1) {
		part = 1
	}
	s.newAsked += r.Amount / part
	s.newRequests += 1 / part
}

// fits reports whether a route has capacity for an amount, including what the other routes can
// spare. It borrows what the route lacks. reserved is the request's own reservation; without one, capacity
// reserved for others is not available. certain is the route's share per second.
func (b *bucket) fits(now time.Time, s *share, amount, certain float64, reserved *reservation) bool {
	lacks := amount - s.level
	if reserved == nil {
		lacks += s.setAside(now, certain)
	}
	switch {
	case lacks <= 0:
		return true
	case lacks <= b.division.spare(s):
		b.division.borrow(s, lacks)
		return true
	case reserved != nil && lacks <= maxReservationDebt*s.capacity:
		return true
	}
	return amount > s.capacity && b.division.mayOverdraw(now, s)
}

// mayOverdraw reports whether a request that is larger than its route's reserve may run. It empties
// a full reserve and leaves a debt. Only one route at a time may do so: of those that recently
// asked for such an amount, the one that was granted it longest ago.
func (d *division) mayOverdraw(now time.Time, s *share) bool {
	s.lastOversized = now
	if s.level < s.capacity || d.debt() > 0 {
		return false
	}
	for _, other := range d.list {
		if now.Sub(other.lastOversized) < oversizedTurn && other.lastOverdraw.Before(s.lastOverdraw) {
			return false
		}
	}
	s.lastOverdraw = now
	return true
}

// oversizedTurn is how long a route keeps its place in the order of mayOverdraw after a request
// larger than its reserve.
const oversizedTurn = time.Second

// setAside returns the part of a route's reserve that is reserved, less what flows in until the
// last reservation is due.
func (s *share) setAside(now time.Time, certain float64) float64 {
	last := s.reservations.last()
	if last == nil {
		return 0
	}
	return max(s.reservations.sum-s.rate(certain, countedLoanPart/2)*max(last.due.Sub(now).Seconds(), 0), 0)
}

// debt returns the sum of the debts of all routes.
func (d *division) debt() float64 {
	debt := 0.0
	for _, s := range d.list {
		debt -= min(s.level, 0)
	}
	return debt
}

// wait returns how long it takes until a route has capacity for an amount, after all existing
// reservations.
func (s *share) wait(amount, certain float64) time.Duration {
	lacks := min(amount, s.capacity) + s.reservations.sum - s.level
	seconds := min(lacks/max(s.rate(certain, countedLoanPart), minWeight), maxWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minWait)
}

// maxWait is the longest wait that is announced to a caller.
const maxWait = time.Hour

// rate returns the inflow per second that a route may count on: its share (certain) and a part
// (lent) of what it gets beyond that. It counts only a part because the routes that lend it may
// claim it back.
func (s *share) rate(certain, lent float64) float64 {
	return reservedInflow * (certain + lent*max(s.given-certain, 0))
}

// countedLoanPart is the part of borrowed inflow that reservations count on. Requests without a
// reservation may count on half of it.
const countedLoanPart = 0.8

// reservedInflow is the part of the expected inflow that may be reserved. The rest goes to requests
// without a reservation.
const reservedInflow = 0.85

// maxReservationDebt is the debt that a route may make to honour its reservations, as a part of its
// capacity: its inflow varies with the demand of other routes. All routes together exceed the
// bucket by no more than this part, which is 0.025 of what may run in eight seconds.
const maxReservationDebt = 0.25
