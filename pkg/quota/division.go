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
	places  map[string]*share
	list    []*share // the same, in the order of arrival
	filled  time.Time
	weighed time.Time
	salt    uint64
	budget  *int // of what is remembered of requests
	// pressure is how much of what routes keep is not lent, from leastPressure to 1.
	pressure float64
	cheap    float64 // that a route keeps always, for two requests at most
}

// share is a route's part of a bucket.
type share struct {
	name     string
	urgency  float64 // weight by its priority
	weight   float64 // by its priority and what is asked; only its ratio to others counts
	level    float64 // of its reserve; below zero it is in debt
	most     float64 // that the reserve holds
	given    float64 // a second, lately
	asked    float64 // a second, lately
	requests float64 // a second, lately
	part     float64 // of the requests that nodes ask about
	aim      float64 // of part, which falls to it slowly
	wants    float64 // scratch of weigh
	gets     float64 // scratch of weigh
	used     time.Time
	large    time.Time // when it last asked for more than its reserve holds
	overdrew time.Time // when it was last granted that
	refused  time.Time // when one was last told to come later, or not at all
	// Since the last weighing; what nodes held back by their sieves is worked out.
	newAsked, newUnasked, newRequests float64
	promises                          promises
	// turnedAway are those who were told that there is no room, until the time they were told.
	turnedAway promises
}

// place returns that of a request's route, which it makes if there is none.
func (d *division) place(now time.Time, route string, priority int) *share {
	one := d.places[route]
	if one == nil && len(d.list) >= maxRoutes && !d.forget(now) {
		route = ""
		one = d.places[route]
	}
	if one == nil {
		one = d.add(route)
	}
	one.used = now
	if urgency := max(d.policy.weigh(priority), leastWeight); urgency != one.urgency {
		one.urgency = urgency
		d.weighed = time.Time{}
	}
	return one
}

// add makes a place for a route.
func (d *division) add(route string) *share {
	one := &share{name: route, part: 1, aim: 1}
	one.promises = promises{most: maxPromises, budget: d.budget}
	one.turnedAway = promises{most: maxTurnedAway, budget: d.budget}
	if d.places == nil {
		d.places = make(map[string]*share)
	}
	d.places[route] = one
	d.list = append(d.list, one)
	return one
}

// forget makes room for another route, if one is idle.
func (d *division) forget(now time.Time) bool {
	for i, one := range d.list {
		if now.Sub(one.used) > routeIdle {
			*d.budget += len(one.promises.marks) + len(one.turnedAway.marks)
			delete(d.places, one.name)
			d.list = slices.Delete(d.list, i, i+1)
			d.weighed = time.Time{}
			return true
		}
	}
	return false
}

// fill brings the reserves to the level of the whole bucket.
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

// drain takes an amount from the reserves, as much of each as it holds.
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

// spend takes what nodes let in unasked from a route. Its debt takes from the others'
// reserves first, so that reserves and debts together run no more than the bucket may.
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
		kept = max(kept, min(2*s.asked/s.requests, d.cheap))
	}
	kept += s.promises.sum
	return max(s.level-min(kept, s.most), 0)
}

// hungry tells whether a route has less than nodes may let in unasked, or would have.
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
	for range 5 {
		d.allot(b.rate, floor, urgency)
		floor = (floor + leastServed*d.served()) / 2
	}
	for _, one := range d.list {
		one.weigh()
		one.sift(passed, d.policy.noSieve)
	}
}

// horizon returns over how long demand is averaged: over enough requests to tell demand from
// chance.
func (d *division) horizon() time.Duration {
	requests := 0.0
	for _, one := range d.list {
		requests += one.requests
	}
	return time.Duration(min(max(lately.Seconds(), enough/max(requests, 1)), maxHorizon.Seconds()) * float64(time.Second))
}

// wanted returns what all routes ask.
func (d *division) wanted() float64 {
	sum := 0.0
	for _, one := range d.list {
		sum += one.wants
	}
	return sum
}

// weigh sets the weight by what was allotted.
func (s *share) weigh() {
	if s.gets < s.wants {
		s.weight = s.gets
		return
	}
	s.weight = max(inviolable*s.weight, ample*s.gets)
}

// sift sets the part of the route's requests that nodes are to ask about.
func (s *share) sift(passed time.Duration, never bool) {
	s.aim = 1
	if s.gets < satisfied*s.wants && s.requests > siftFrom && !never {
		s.aim = min(max(eagerness*s.gets/s.wants, leastAsked), 1)
	}
	s.part = max(s.aim, s.part-passed.Seconds()/siftTime.Seconds())
}

// learn takes in what was asked since the last weighing.
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

// allot divides a rate: to each what it asks of its inviolable share, then as far as it goes a
// part of what it asks, then by urgency.
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

// served returns the part of all requests that is served by what was allotted.
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

// room returns what a route has of a rate.
func (d *division) room(one *share, rate float64) Room {
	all := 0.0
	for _, other := range d.list {
		all += other.weight
	}
	return Room{Share: rate * one.weight / max(all, leastWeight), Asked: one.asked, Given: one.given}
}

// RouteRoom is what a route of a tenant has.
type RouteRoom struct {
	Route string  `json:"route"`
	Share float64 `json:"share"` // in the quota's unit a second, as in Room
	Asked float64 `json:"asked"`
	Given float64 `json:"given"`
}

// rooms returns what routes have, those that are given the most first.
func (d *division) rooms(rate float64, most int) []RouteRoom {
	var list []RouteRoom
	for _, one := range d.list {
		room := d.room(one, rate)
		list = append(list, RouteRoom{one.name, math.Round(room.Share), math.Round(room.Asked), math.Round(room.Given)})
	}
	slices.SortStableFunc(list, func(a, b RouteRoom) int { return cmp.Compare(b.Given, a.Given) })
	return list[:min(len(list), most)]
}
