package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// division divides a bucket among routes: each has a reserve, and what flows in goes to
// reserves that are not full, by weight. So what a route does not use is at the others' at
// once, and what they borrow is never in the reserve of a route that comes back.
type division struct {
	policy  policy
	routes  map[string]*share // by the route's name; empty: all beyond maxRoutes
	list    []*share          // the same, in the order of arrival
	filled  time.Time         // up to when reserves are filled
	weighed time.Time         // when weights were set; zero: they are to be set anew
	salt    uint64            // of the sieves, see Sieve.Salt
	budget  *int              // how many more requests may be remembered, over all tenants
	// pressure is how much of what routes keep is not lent, from leastPressure to 1.
	pressure float64
	cheap    float64 // that a route keeps always, for keptRequests at most
}

// share is a route's part of a bucket. Amounts are in the quota's unit.
type share struct {
	name     string    // of the route
	urgency  float64   // weight by its priority
	weight   float64   // by its priority and what is asked; only its ratio to others counts
	level    float64   // of its reserve; below zero it is in debt
	most     float64   // that the reserve holds
	given    float64   // a second, lately
	asked    float64   // a second, lately
	requests float64   // a second, lately
	part     float64   // of the requests that nodes ask about
	aim      float64   // where part is to fall to, slowly
	wants    float64   // a second; scratch of weigh
	gets     float64   // scratch: a second in weigh, an amount in fill
	used     time.Time // when the last request came
	large    time.Time // when it last asked for more than its reserve holds
	overdrew time.Time // when it was last granted that
	refused  time.Time // when one was last told to come later, or not at all
	// Amounts and requests since the last weighing, with an estimate of what nodes held back by
	// their sieves: asked of the holder, let in by nodes unasked, and the number of the former.
	newAsked, newUnasked, newRequests float64
	promises                          promises
	// turnedAway are the requests that were told that there is no room, until the time at which they
	// were told to come back. Their amounts are zero.
	turnedAway promises
}

// share returns the share of a request's route, made if it is new.
func (d *division) share(now time.Time, route string, priority int) *share {
	one := d.routes[route]
	if one == nil && len(d.list) >= maxRoutes && !d.forget(now) {
		route = ""
		one = d.routes[route]
	}
	if one == nil {
		one = d.add(route)
	}
	one.used = now
	if urgency := max(d.policy.urgency(priority), leastWeight); urgency != one.urgency {
		one.urgency = urgency
		d.weighed = time.Time{}
	}
	return one
}

// add makes a share for a route.
func (d *division) add(route string) *share {
	one := &share{name: route, part: 1, aim: 1}
	one.promises = promises{most: maxPromises, budget: d.budget}
	one.turnedAway = promises{most: maxTurnedAway, budget: d.budget}
	if d.routes == nil {
		d.routes = make(map[string]*share)
	}
	d.routes[route] = one
	d.list = append(d.list, one)
	return one
}

// forget removes the share of a route that is idle, and returns false if there is none.
func (d *division) forget(now time.Time) bool {
	for i, one := range d.list {
		if now.Sub(one.used) > routeIdle {
			*d.budget += len(one.promises.marks) + len(one.turnedAway.marks)
			delete(d.routes, one.name)
			d.list = slices.Delete(d.list, i, i+1)
			d.weighed = time.Time{}
			return true
		}
	}
	return false
}

// fill divides what flowed into the whole bucket, or was taken out of it, among the reserves, so
// that they make up its level.
func (d *division) fill(now time.Time, b *bucket) {
	if now.Sub(d.weighed) >= weighEach || d.weighed.IsZero() {
		d.weigh(now, b)
	}
	free := b.level
	for _, one := range d.list {
		one.level = min(one.level, one.most)
		free -= one.level
		one.gets = 0
	}
	switch {
	case free > 0:
		d.pour(free)
	case free < 0:
		d.drain(-free)
	}
	passed := now.Sub(d.filled)
	if passed <= 0 {
		return
	}
	d.filled = now
	fresh := passed.Seconds() / (passed + lately).Seconds()
	for _, one := range d.list {
		one.given += (one.gets/passed.Seconds() - one.given) * fresh
	}
}

// pour adds an amount to the reserves that are not full, by weight. What is left over is
// nobody's.
func (d *division) pour(amount float64) {
	const crumb = 1e-9 // left by rounding
	for amount > crumb {
		open := 0.0
		for _, one := range d.list {
			if one.level < one.most {
				open += one.weight
			}
		}
		if open <= 0 {
			return
		}
		left := amount
		for _, one := range d.list {
			if one.level >= one.most {
				continue
			}
			add := min(amount*one.weight/open, one.most-one.level)
			if one.most-one.level-add < crumb {
				one.level = one.most
			} else {
				one.level += add
			}
			one.gets += add
			left -= add
		}
		if left >= amount-crumb {
			return
		}
		amount = left
	}
}

// drain takes an amount from the reserves, from each in proportion to what it holds.
func (d *division) drain(amount float64) {
	held := 0.0
	for _, one := range d.list {
		held += max(one.level, 0)
	}
	if held <= 0 {
		return
	}
	part := min(amount/held, 1)
	for _, one := range d.list {
		one.level -= part * max(one.level, 0)
	}
}

// spend takes what nodes let in unasked out of a route's reserve. What that lacks is taken out of
// the others' reserves as far as they can spare it, so that reserves and debts together run no more
// than the bucket may.
func (d *division) spend(one *share, amount float64) {
	one.level -= amount
	if amount > 0 {
		one.newUnasked += amount
	}
	if one.level < 0 {
		pressure := d.pressure
		d.pressure = 1 // what others lend, they lend to those who ask
		d.borrow(one, -one.level)
		d.pressure = pressure
	}
}

// spare returns what the others' reserves hold beyond what their routes keep.
func (d *division) spare(one *share) float64 {
	spare := 0.0
	for _, other := range d.list {
		if other != one {
			spare += other.spare(d)
		}
	}
	return spare
}

// borrow moves an amount of what the others can spare to a route's reserve.
func (d *division) borrow(one *share, amount float64) {
	spare := d.spare(one)
	if amount <= 0 || spare <= 0 {
		return
	}
	part := min(amount/spare, 1)
	for _, other := range d.list {
		if other != one {
			pays := part * other.spare(d)
			other.level -= pays
			one.level += pays
		}
	}
}

// spare returns what a reserve holds beyond what its route keeps: room for it to come back
// with, and for what it has promised and asks.
func (s *share) spare(d *division) float64 {
	kept := d.pressure * (keptReserve*s.most + s.asked*keptTime.Seconds())
	if s.requests > 0 {
		kept = max(kept, min(keptRequests*s.asked/s.requests, d.cheap))
	}
	kept += s.promises.sum
	return max(s.level-min(kept, s.most), 0)
}

// hungry tells whether a route lacks room that nodes would let in unasked: its reserve is low, nodes
// ask about a part of its requests only, or one was refused a moment ago.
func (d *division) hungry(now time.Time) bool {
	for _, one := range d.list {
		if one.part < 1 || one.level-one.promises.sum < scarceBelow*one.most || now.Sub(one.refused) < calmAfter {
			return true
		}
	}
	return false
}

// weigh has the weights follow what is asked: by urgency, but each route's requests are
// served at least leastServed of the mean as often. Routes that are served in full keep the
// weight of their urgency, so that their reserves are the first to be full.
func (d *division) weigh(now time.Time, b *bucket) {
	passed := min(now.Sub(d.weighed), lately)
	d.weighed = now
	urgency := 0.0
	over := d.horizon()
	for _, one := range d.list {
		urgency += one.urgency
		one.learn(passed, over)
	}
	for _, one := range d.list {
		one.most = b.size * one.urgency / urgency
		one.weight = b.rate * one.urgency / urgency
		one.wants = one.asked + one.promises.sum/lately.Seconds()/2
	}
	d.cheap = keptCheap * b.size
	d.pressure = min(max((d.wanted()/b.rate-noPressure)/(fullPressure-noPressure), leastPressure), 1)
	floor := 0.0
	for range floorRounds {
		d.allot(b.rate, floor, urgency)
		floor = (floor + leastServed*d.served()) / 2
	}
	for _, one := range d.list {
		one.setWeight()
		one.sift(passed, d.policy.noSieve)
	}
}

// floorRounds is how often the floor and what is allotted by it are worked out from each other:
// each round halves what the floor is off.
const floorRounds = 5

// horizon returns over how long demand is averaged: over enough requests to tell demand from
// chance.
func (d *division) horizon() time.Duration {
	requests := 0.0
	for _, one := range d.list {
		requests += one.requests
	}
	return time.Duration(min(max(lately.Seconds(), enough/max(requests, 1)), maxHorizon.Seconds()) * float64(time.Second))
}

// wanted returns what all routes ask, a second.
func (d *division) wanted() float64 {
	sum := 0.0
	for _, one := range d.list {
		sum += one.wants
	}
	return sum
}

// setWeight sets the weight by what was allotted.
func (s *share) setWeight() {
	if s.gets < s.wants {
		s.weight = s.gets
		return
	}
	s.weight = max(inviolable*s.weight, ample*s.gets)
}

// sift sets the part of the route's requests that nodes are to ask about; never: it is all of them.
func (s *share) sift(passed time.Duration, never bool) {
	s.aim = 1
	if s.gets < satisfied*s.wants && s.requests > siftFrom && !never {
		s.aim = min(max(eagerness*s.gets/s.wants, leastAsked), 1)
	}
	s.part = max(s.aim, s.part-passed.Seconds()/siftTime.Seconds())
}

// learn takes in what was asked since the last weighing, a time ago; over is how long demand is
// averaged.
func (s *share) learn(passed, over time.Duration) {
	if passed <= 0 {
		return
	}
	seconds := passed.Seconds()
	fresh := min(2*seconds/(passed+over).Seconds(), 1)
	unasked := s.newUnasked * min(seconds/reportTime.Seconds(), 1)
	s.newUnasked -= unasked
	s.asked += ((s.newAsked+unasked)/seconds - s.asked) * fresh
	if s.newAsked > 0 { // what was let in unasked is taken to cost as much each
		s.requests += (s.newRequests*(1+unasked/s.newAsked)/seconds - s.requests) * fresh
	}
	s.newAsked, s.newRequests = 0, 0
}

// allot divides a rate. Each route gets what it asks of its inviolable share; then, as far as the
// rate goes, at least a part of all that it asks; what is left goes by urgency. The last argument is
// the sum of urgencies.
func (d *division) allot(rate, part, urgency float64) {
	lacking := 0.0
	left := rate
	for _, one := range d.list {
		one.gets = min(one.wants, inviolable*rate*one.urgency/urgency)
		left -= one.gets
		lacking += max(part*one.asked-one.gets, 0)
	}
	if lacking > 0 && !d.policy.noFloor {
		raised := min(left/lacking, 1)
		for _, one := range d.list {
			add := raised * max(part*one.asked-one.gets, 0)
			one.gets += add
			left -= add
		}
	}
	d.allotByUrgency(left)
}

// allotByUrgency divides what is left of a rate among those who ask for more.
func (d *division) allotByUrgency(rate float64) {
	for range d.list {
		open := 0.0
		for _, one := range d.list {
			if one.gets < one.wants {
				open += one.urgency
			}
		}
		if open <= 0 || rate <= 0 {
			return
		}
		left := rate
		for _, one := range d.list {
			if one.gets >= one.wants {
				continue
			}
			add := min(rate*one.urgency/open, one.wants-one.gets)
			one.gets += add
			left -= add
		}
		rate = left
	}
}

// served returns the part of all requests that is served by what was allotted, from 0 to 1.
func (d *division) served() float64 {
	all, served := 0.0, 0.0
	for _, one := range d.list {
		if one.wants > 0 {
			all += one.requests
			served += one.requests * min(one.gets/one.wants, 1)
		}
	}
	if all <= 0 {
		return 1
	}
	return served / all
}

// room returns what a route has of the bucket's rate.
func (d *division) room(one *share, rate float64) Room {
	all := 0.0
	for _, other := range d.list {
		all += other.weight
	}
	return Room{Share: rate * one.weight / max(all, leastWeight), Asked: one.asked, Given: one.given}
}

// RouteRoom is what a route of a tenant has, as it stands in the log.
type RouteRoom struct {
	Route string  `json:"route"`
	Share float64 `json:"share"` // in the quota's unit a second, as in Room
	Asked float64 `json:"asked"`
	Given float64 `json:"given"`
}

// rooms returns what routes have of a rate, those that are given the most first, so many at most.
func (d *division) rooms(rate float64, most int) []RouteRoom {
	var list []RouteRoom
	for _, one := range d.list {
		room := d.room(one, rate)
		list = append(list, RouteRoom{one.name, math.Round(room.Share), math.Round(room.Asked), math.Round(room.Given)})
	}
	slices.SortStableFunc(list, func(a, b RouteRoom) int { return cmp.Compare(b.Given, a.Given) })
	return list[:min(len(list), most)]
}
