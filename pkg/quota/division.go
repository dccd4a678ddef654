package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// division splits a bucket among routes. Each route has a reserve, and inflow goes by weight to the
// reserves that are not full. So capacity that one route does not use is available to the others at
// once, and what they borrow never comes out of the reserve that a returning route needs.
type division struct {
	policy     policy
	routes     map[string]*share // by route name; the empty name is shared by all routes beyond maxRoutes
	list       []*share          // the same shares, in order of creation
	filled     time.Time         // time up to which reserves are filled
	weightsSet time.Time         // when weights were last computed; zero forces a new computation
	salt       uint64            // salt of the sieves, see Sieve.Salt
	budget     *int              // requests that may still be remembered, over all tenants
	// pressure is the part of what routes keep that is not lent, from minPressure to 1.
	pressure   float64
	alwaysKept float64 // amount that a route always keeps, but no more than keptRequests of its requests
}

// share is a route's part of a bucket. Amounts are in the quota's unit.
type share struct {
	name          string    // route name
	urgency       float64   // weight given by the priority alone
	weight        float64   // weight by priority and demand; only ratios between routes matter
	level         float64   // level of the reserve; below zero the route is in debt
	capacity      float64   // size of the reserve
	given         float64   // recent inflow per second
	asked         float64   // recent demand per second
	requests      float64   // recent requests per second
	askedPart     float64   // part of the requests that nodes ask the holder about
	targetPart    float64   // value that askedPart is moving to; it falls slowly
	demand        float64   // demand per second; scratch value of updateWeights
	allotted      float64   // scratch value: per second in updateWeights, an amount in fill
	lastRequest   time.Time // when the last request came
	lastOversized time.Time // when a request last exceeded the reserve's capacity
	lastOverdraw  time.Time // when such a request was last granted
	lastRefusal   time.Time // when a request was last refused, with or without a reservation
	// Amounts and request count since the weights were last computed. The holder was asked for
	// newAsked, in newRequests requests, both scaled up by the requests that nodes
	// refused by their sieves; nodes admitted newUnasked without asking.
	newAsked, newUnasked, newRequests float64
	reservations                      reservations
	// turnedAway holds the requests that were refused without a reservation, until the time at
	// which they were told to come back. Their amounts are zero.
	turnedAway reservations
}

// share returns the share of a request's route and creates it if needed.
func (d *division) share(now time.Time, route string, priority int) *share {
	s := d.routes[route]
	if s == nil && len(d.list) >= maxRoutes && !d.forget(now) {
		route = ""
		s = d.routes[route]
	}
	if s == nil {
		s = d.add(route)
	}
	s.lastRequest = now
	if urgency := max(d.policy.urgency(priority), minWeight); urgency != s.urgency {
		s.urgency = urgency
		d.weightsSet = time.Time{}
	}
	return s
}

// add creates the share of a route.
func (d *division) add(route string) *share {
	s := &share{name: route, askedPart: 1, targetPart: 1}
	s.reservations = reservations{limit: maxReservations, budget: d.budget}
	s.turnedAway = reservations{limit: maxTurnedAway, budget: d.budget}
	if d.routes == nil {
		d.routes = make(map[string]*share)
	}
	d.routes[route] = s
	d.list = append(d.list, s)
	return s
}

// forget removes the share of one idle route. It returns false if no route is idle.
func (d *division) forget(now time.Time) bool {
	for i, s := range d.list {
		if now.Sub(s.lastRequest) > routeIdle {
			*d.budget += len(s.reservations.marks) + len(s.turnedAway.marks)
			delete(d.routes, s.name)
			d.list = slices.Delete(d.list, i, i+1)
			d.weightsSet = time.Time{}
			return true
		}
	}
	return false
}

// fill divides what flowed into or was taken out of the bucket among the reserves, so that they add
// up to the bucket's level.
func (d *division) fill(now time.Time, b *bucket) {
	if now.Sub(d.weightsSet) >= weightInterval || d.weightsSet.IsZero() {
		d.updateWeights(now, b)
	}
	free := b.level
	for _, s := range d.list {
		s.level = min(s.level, s.capacity)
		free -= s.level
		s.allotted = 0
	}
	switch {
	case free > 0:
		d.distribute(free)
	case free < 0:
		d.deduct(-free)
	}
	passed := now.Sub(d.filled)
	if passed <= 0 {
		return
	}
	d.filled = now
	fresh := passed.Seconds() / (passed + demandWindow).Seconds()
	for _, s := range d.list {
		s.given += (s.allotted/passed.Seconds() - s.given) * fresh
	}
}

// distribute adds an amount to the reserves that are not full, by weight. What is left over belongs
// to no route.
func (d *division) distribute(amount float64) {
	const epsilon = 1e-9 // left over by rounding
	for amount > epsilon {
		open := 0.0
		for _, s := range d.list {
			if s.level < s.capacity {
				open += s.weight
			}
		}
		if open <= 0 {
			return
		}
		left := amount
		for _, s := range d.list {
			if s.level >= s.capacity {
				continue
			}
			add := min(amount*s.weight/open, s.capacity-s.level)
			if s.capacity-s.level-add < epsilon {
				s.level = s.capacity
			} else {
				s.level += add
			}
			s.allotted += add
			left -= add
		}
		if left >= amount-epsilon {
			return
		}
		amount = left
	}
}

// deduct takes an amount from all reserves, in proportion to what each holds.
func (d *division) deduct(amount float64) {
	held := 0.0
	for _, s := range d.list {
		held += max(s.level, 0)
	}
	if held <= 0 {
		return
	}
	part := min(amount/held, 1)
	for _, s := range d.list {
		s.level -= part * max(s.level, 0)
	}
}

// spend takes what nodes admitted without asking out of a route's reserve. A shortfall is taken out
// of the other reserves as far as they can spare it, so that reserves and debts together never
// admit more than the bucket may.
func (d *division) spend(s *share, amount float64) {
	s.level -= amount
	if amount > 0 {
		s.newUnasked += amount
	}
	if s.level < 0 {
		pressure := d.pressure
		d.pressure = 1 // routes lend fully only to requests that ask
		d.borrow(s, -s.level)
		d.pressure = pressure
	}
}

// spare returns what the other routes' reserves hold beyond what these routes keep.
func (d *division) spare(s *share) float64 {
	spare := 0.0
	for _, other := range d.list {
		if other != s {
			spare += other.spare(d)
		}
	}
	return spare
}

// borrow moves up to an amount from what the other routes can spare into a route's reserve.
func (d *division) borrow(s *share, amount float64) {
	spare := d.spare(s)
	if amount <= 0 || spare <= 0 {
		return
	}
	part := min(amount/spare, 1)
	for _, other := range d.list {
		if other != s {
			pays := part * other.spare(d)
			other.level -= pays
			s.level += pays
		}
	}
}

// spare returns what a reserve holds beyond what its route keeps: capacity for when the route becomes
// active again, for its reservations, and for its current demand.
func (s *share) spare(d *division) float64 {
	kept := d.pressure * (keptReserve*s.capacity + s.asked*keptTime.Seconds())
	if s.requests > 0 {
		kept = max(kept, min(keptRequests*s.asked/s.requests, d.alwaysKept))
	}
	kept += s.reservations.sum
	return max(s.level-min(kept, s.capacity), 0)
}

// hasShortRoute reports whether a route lacks capacity that nodes would admit without asking: its
// reserve is low, nodes ask about only a part of its requests, or a request was refused recently.
func (d *division) hasShortRoute(now time.Time) bool {
	for _, s := range d.list {
		if s.askedPart < 1 || s.level-s.reservations.sum < scarceBelow*s.capacity || now.Sub(s.lastRefusal) < calmAfter {
			return true
		}
	}
	return false
}

// updateWeights adapts the weights to demand. Weights follow priority, but each route's requests
// are served at a rate of at least minServed of the mean. Routes that are served in full keep at
// least the weight of their priority, so that their reserves fill first.
func (d *division) updateWeights(now time.Time, b *bucket) {
	passed := min(now.Sub(d.weightsSet), demandWindow)
	d.weightsSet = now
	urgency := 0.0
	over := d.averagingTime()
	for _, s := range d.list {
		urgency += s.urgency
		s.updateDemand(passed, over)
	}
	for _, s := range d.list {
		s.capacity = b.size * s.urgency / urgency
		s.weight = b.rate * s.urgency / urgency
		s.demand = s.asked + s.reservations.sum/demandWindow.Seconds()/2
	}
	d.alwaysKept = keptBucketPart * b.size
	d.pressure = min(max((d.totalDemand()/b.rate-noPressure)/(fullPressure-noPressure), minPressure), 1)
	floor := 0.0
	for range floorRounds {
		d.allot(b.rate, floor, urgency)
		floor = (floor + minServed*d.servedPart()) / 2
	}
	for _, s := range d.list {
		s.setWeight()
		s.updateAskedPart(passed, d.policy.noSieve)
	}
}

// floorRounds is how often the floor and the allotment that depends on it are computed from each
// other. Each round halves the error of the floor.
const floorRounds = 5

// averagingTime returns the time over which demand is averaged: long enough to contain the number
// of requests that tells demand from chance.
func (d *division) averagingTime() time.Duration {
	requests := 0.0
	for _, s := range d.list {
		requests += s.requests
	}
	return time.Duration(min(max(demandWindow.Seconds(), enoughRequests/max(requests, 1)), maxDemandWindow.Seconds()) * float64(time.Second))
}

// totalDemand returns the demand of all routes per second.
func (d *division) totalDemand() float64 {
	sum := 0.0
	for _, s := range d.list {
		sum += s.demand
	}
	return sum
}

// setWeight sets the weight from the allotted rate.
func (s *share) setWeight() {
	if s.allotted < s.demand {
		s.weight = s.allotted
		return
	}
	s.weight = max(guaranteedPart*s.weight, ampleFactor*s.allotted)
}

// updateAskedPart sets the part of the route's requests that nodes ask about. If never is set,
// nodes ask about all of them.
func (s *share) updateAskedPart(passed time.Duration, never bool) {
	s.targetPart = 1
	if s.allotted < satisfiedPart*s.demand && s.requests > sieveMinRate && !never {
		s.targetPart = min(max(askFactor*s.allotted/s.demand, minAskedPart), 1)
	}
	s.askedPart = max(s.targetPart, s.askedPart-passed.Seconds()/sieveRampTime.Seconds())
}

// updateDemand adds what was asked since the last update, passed ago, to the averages over the
// given time.
func (s *share) updateDemand(passed, over time.Duration) {
	if passed <= 0 {
		return
	}
	seconds := passed.Seconds()
	fresh := min(2*seconds/(passed+over).Seconds(), 1)
	unasked := s.newUnasked * min(seconds/reportInterval.Seconds(), 1)
	s.newUnasked -= unasked
	s.asked += ((s.newAsked+unasked)/seconds - s.asked) * fresh
	if s.newAsked > 0 { // requests that were admitted without asking are assumed to have the same mean cost
		s.requests += (s.newRequests*(1+unasked/s.newAsked)/seconds - s.requests) * fresh
	}
	s.newAsked, s.newRequests = 0, 0
}

// allot divides a rate among the routes. Each route first gets its demand up to its guaranteed
// part. As far as the rate allows, each is then raised to the given part of its demand. What is left
// is divided by urgency. The last argument is the sum of all urgencies.
func (d *division) allot(rate, part, urgency float64) {
	lacking := 0.0
	left := rate
	for _, s := range d.list {
		s.allotted = min(s.demand, guaranteedPart*rate*s.urgency/urgency)
		left -= s.allotted
		lacking += max(part*s.asked-s.allotted, 0)
	}
	if lacking > 0 && !d.policy.noFloor {
		raised := min(left/lacking, 1)
		for _, s := range d.list {
			add := raised * max(part*s.asked-s.allotted, 0)
			s.allotted += add
			left -= add
		}
	}
	d.allotByUrgency(left)
}

// allotByUrgency divides the remaining rate among the routes whose demand is not met yet.
func (d *division) allotByUrgency(rate float64) {
	for range d.list {
		open := 0.0
		for _, s := range d.list {
			if s.allotted < s.demand {
				open += s.urgency
			}
		}
		if open <= 0 || rate <= 0 {
			return
		}
		left := rate
		for _, s := range d.list {
			if s.allotted >= s.demand {
				continue
			}
			add := min(rate*s.urgency/open, s.demand-s.allotted)
			s.allotted += add
			left -= add
		}
		rate = left
	}
}

// servedPart returns the part of all requests that the allotted rates serve, from 0 to 1.
func (d *division) servedPart() float64 {
	all, served := 0.0, 0.0
	for _, s := range d.list {
		if s.demand > 0 {
			all += s.requests
			served += s.requests * min(s.allotted/s.demand, 1)
		}
	}
	if all <= 0 {
		return 1
	}
	return served / all
}

// room returns a route's share of the bucket's rate, with its demand and inflow.
func (d *division) room(s *share, rate float64) Room {
	all := 0.0
	for _, other := range d.list {
		all += other.weight
	}
	return Room{Share: rate * s.weight / max(all, minWeight), Asked: s.asked, Given: s.given}
}

// RouteRoom is a route's Room in the form in which it is logged.
type RouteRoom struct {
	Route string  `json:"route"`
	Share float64 `json:"share"` // in the quota's unit per second, as in Room
	Asked float64 `json:"asked"`
	Given float64 `json:"given"`
}

// rooms returns the Room of each route, those with the largest inflow first, at most the given
// number.
func (d *division) rooms(rate float64, most int) []RouteRoom {
	var list []RouteRoom
	for _, s := range d.list {
		room := d.room(s, rate)
		list = append(list, RouteRoom{s.name, math.Round(room.Share), math.Round(room.Asked), math.Round(room.Given)})
	}
	slices.SortStableFunc(list, func(a, b RouteRoom) int { return cmp.Compare(b.Given, a.Given) })
	return list[:min(len(list), most)]
}
