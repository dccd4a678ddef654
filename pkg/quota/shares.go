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
	// Part is of how many requests of the route the node asks, by its Sieve; zero: of all.
	Part float64
}

// beyond is a time after which the request's caller does not come back, which tells it that
// there is no room for it.
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
	// keptReserve is the part of a route's reserve that is never lent, and keptTime for how long
	// what it asks is kept besides: with 100 ms between weighings a route that comes back has its
	// share before that is gone.
	keptReserve = 0.2
	keptTime    = 300 * time.Millisecond
	// lately is over how long demand is averaged: some hundred requests of a large tenant,
	// and less than the second in which a burst is found out.
	lately = 500 * time.Millisecond
	// enough requests tell demand within some 15 in 100; a small tenant's are waited for up to
	// maxHorizon.
	enough     = 50.0
	maxHorizon = 4 * time.Second
	// weighEach is how often weights follow demand.
	weighEach = 100 * time.Millisecond
	// calmAfter is for how long nobody was refused when nodes let requests in unasked again:
	// with beats a second apart the burst would run a second's worth beyond the quota else.
	calmAfter = time.Second
	// noPressure and fullPressure are how many times the quota is asked when routes keep nothing
	// but leastPressure of their reserves, and all. Near the quota it is chance who meets an empty
	// bucket, and one that is whole refuses the fewest.
	noPressure    = 1.5
	fullPressure  = 2.5
	leastPressure = 0.05
	// keptCheap is the part of the bucket that a route keeps always, for two requests at most.
	keptCheap = 0.01
	// reportTime is the time of which nodes report: what they let in unasked is taken to have
	// come over as long.
	reportTime = time.Second
	// inviolable is the part of its share by urgency that a route has whatever the others ask;
	// the rest may go to those that would be starved. With it the reserve of a route fills that
	// asks for less; ample is how many times of what it asks it has as weight at least.
	inviolable = 0.5
	ample      = 1.25
	// maxRoutes are told apart of a tenant; further ones share one place.
	maxRoutes = 32
	// routeIdle is after how long without a request a route's place may go to another.
	routeIdle = time.Minute
	// eagerness is how many times of what a route is given nodes ask for; see Sieve.
	eagerness = 3.0
	// keptPart is the part of the requests that nodes ask about to which promises are made.
	keptPart = 0.6
	// siftFrom is from how many requests of a route a second on nodes ask about a part of them:
	// fewer cost a holder less than it costs callers to be refused by an estimate.
	siftFrom = 50.0
	// siftTime is within which that part falls from all to none: those who were promised room
	// before the burst was known in full have come back by then.
	siftTime = 2500 * time.Millisecond
	// leastAsked is the least part of a route's requests that nodes ask about.
	leastAsked = 0.02
	// satisfied is the part of its demand from which on a route is asked about in full.
	satisfied = 0.8
)

// policy is one of the ways to divide that tests compare; the zero value is the one in use.
type policy struct {
	weight  func(priority int) float64
	noFloor bool
	noMarks bool // promises are kept to whoever comes
	noSieve bool
}

func (p policy) weigh(priority int) float64 {
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
