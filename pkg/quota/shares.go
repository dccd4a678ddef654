package quota

import (
	"math"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// Request is what is asked of a tenant's quota.
type Request struct {
	Route    string
	Priority int // of the route; 0 is the most urgent
	Amount   float64
	// Mark names the request when it comes again; zero: it can't be told from others.
	Mark Mark
	// Within is the longest wait after which the request is still served in time, and Returns
	// the longest after which its caller comes back at all.
	Within, Returns time.Duration
	// Part is the part of the route's requests about which the node asks, by its Sieve; zero: all.
	Part float64
}

// beyond is a time to come back at which the request's caller does not come back: it tells the
// caller that there is no room.
func (r Request) beyond() time.Duration { return min(max(r.Returns, 0), mostBeyond) + beyond }

// Mark tells requests apart. It is a digest of what stays the same when a request comes
// again. Who forges one gains at most the room that was promised to another request of the
// same route of the same tenant.
type Mark [16]byte

// Room is what a route of a tenant has of its quota, in the quota's unit a second.
type Room struct {
	Share float64 // that it has whatever the others ask
	Asked float64 // lately
	Given float64 // lately, with what others did not use
}

// Answer is what was decided on a Request.
type Answer struct {
	Granted  bool
	Promised bool          // room is set aside for when the request comes back
	After    time.Duration // when to come back, if it is not granted
	Room     Room
	Sieve    Sieve // for nodes: which requests of the route to ask about
}

// Shared tells whether the quota of a tenant is divided among the routes that its requests
// take: if their costs differ, so that large requests would take the room of small ones.
func Shared(q tenant.Quota) bool { return q.Limited() && q.Tokens }

// LeastUrgent is the last priority that counts: servers know no further ones either.
const LeastUrgent = 9

// How a quota is divided. The load that this answers: one tenant sends several times its
// quota for some seconds, of requests whose costs differ fifty times.
const (
	// priorityRatio is the weight of a route beside one that is one step less urgent.
	priorityRatio = 2.0
	// leastWeight keeps weights and rates that are divided by above zero.
	leastWeight = 1e-9
	// leastServed is the part of the mean at which each route's requests are served at least,
	// of those asked: below a quarter callers of a kind take the service as lost.
	leastServed = 0.27
	// keptReserve is the part of a route's reserve that is not lent under full pressure; besides, so
	// much is not lent as the route asks in keptTime. With 100 ms between weighings, a route that
	// comes back has its weight before that is spent.
	keptReserve = 0.2
	keptTime    = 300 * time.Millisecond
	// lately is the time over which demand is averaged: it holds some hundred requests of a large
	// tenant, and is less than the second in which a burst is found out.
	lately = 500 * time.Millisecond
	// enough is the number of requests that tell demand within some 15 in 100: where fewer come in
	// lately, it is averaged over longer, up to maxHorizon.
	enough     = 50.0
	maxHorizon = 4 * time.Second
	// weighEach is how often weights follow demand.
	weighEach = 100 * time.Millisecond
	// calmAfter is how long nobody must have been refused, and most nodes must have asked, before nodes let
	// requests in unasked again: as beats are a second apart, the burst would else run a second's worth beyond the quota.
	calmAfter = time.Second
	// noPressure and fullPressure are how many times the quota is asked where routes keep the least
	// of what they may keep (leastPressure of it), and where they keep all. Near the quota it is
	// chance who meets an empty bucket, and one that is not divided refuses the fewest.
	noPressure    = 1.5
	fullPressure  = 2.5
	leastPressure = 0.05
	// keptCheap is the part of the bucket that a route keeps always, as far as that is no more than
	// keptRequests of its mean requests.
	keptCheap    = 0.01
	keptRequests = 2
	// reportTime is the time between two reports of a node: what it let in unasked is taken to have
	// come evenly over that time.
	reportTime = time.Second
	// inviolable is the part of its share by urgency that a route has whatever the others ask; the
	// rest may go to those that would be starved.
	inviolable = 0.5
	// ample is how many times what it asks the weight of a route is at least that is served in full,
	// so that its reserve fills.
	ample = 1.25
	// maxRoutes is how many routes of a tenant are told apart; further ones have one share together.
	maxRoutes = 32
	// routeIdle is how long a route has no request before its share may go to another.
	routeIdle = time.Minute
	// eagerness is how many times what a route is given nodes ask for, see Sieve.
	eagerness = 3.0
	// keptPart is the part of the requests that nodes ask about to which promises are made.
	keptPart = 0.6
	// siftFrom is from how many requests of a route a second on nodes ask about a part of them:
	// fewer cost a holder less than it costs callers to be refused by an estimate.
	siftFrom = 50.0
	// siftTime is the time within which that part falls from all to none: those who were promised
	// room before the burst was known in full have come back by then.
	siftTime = 2500 * time.Millisecond
	// leastAsked is the least part of a route's requests that nodes ask about.
	leastAsked = 0.02
	// satisfied is the part of its demand that a route is given from which on nodes ask about all of
	// its requests.
	satisfied = 0.8
)

// policy is one of the ways to divide that tests compare; the zero value is the one in use.
type policy struct {
	weight  func(priority int) float64
	noFloor bool // no route is raised to leastServed
	noMarks bool // promises are kept to whoever comes
	noSieve bool // nodes ask about all requests
}

// urgency returns the weight of a route by its priority.
func (p policy) urgency(priority int) float64 {
	if p.weight != nil {
		return p.weight(priority)
	}
	return urgencies[min(max(priority, 0), LeastUrgent)]
}

// urgencies are the weights of priorities.
var urgencies = func() (weights [LeastUrgent + 1]float64) {
	for priority := range weights {
		weights[priority] = math.Pow(priorityRatio, -float64(priority))
	}
	return weights
}()
