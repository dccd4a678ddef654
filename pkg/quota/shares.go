package quota

import (
	"math"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// Request is a request for an amount of a tenant's quota.
type Request struct {
	Route    string
	Priority int // of the route; 0 is the most urgent
	Amount   float64
	// Mark identifies the request when it comes again. Zero means that it can't be
	// distinguished from others.
	Mark Mark
	// Within is the longest wait after which the request is still served in time. Returns is the
	// longest wait after which its caller comes back at all.
	Within, Returns time.Duration
	// Part is the part of the route's requests that the node asks about, by its Sieve. Zero means
	// all.
	Part float64
}

// noReturnAfter returns a wait after which the request's caller does not come back. It tells the
// caller that there is no capacity.
func (r Request) noReturnAfter() time.Duration {
	return min(max(r.Returns, 0), maxReturnWait) + noReturnMargin
}

// Mark identifies a request. It is a digest of what stays the same when the request comes again. A
// caller that forges a mark gains at most the capacity that is reserved for another request of the
// same route and tenant.
type Mark [16]byte

// Room describes the capacity that a route of a tenant has of the quota, in the quota's unit per
// second.
type Room struct {
	Share float64 // what the route has regardless of the other routes' demand
	Asked float64 // recent demand
	Given float64 // recent inflow, including what other routes did not use
}

// Answer is the decision on a Request.
type Answer struct {
	Granted  bool
	Reserved bool          // capacity is reserved for when the request comes back
	After    time.Duration // when to come back, if the request is not granted
	Room     Room
	Sieve    Sieve // which requests of the route nodes ask about
}

// Shared reports whether the quota of a tenant is divided among the routes that its requests take.
// It is if the costs of requests differ, since large requests would take the capacity of small
// ones.
func Shared(q tenant.Quota) bool { return q.Limited() && q.Tokens }

// LeastUrgent is the least urgent priority that is distinguished, as on the model servers.
const LeastUrgent = 9

// Parameters of the division. They are made for this load: one tenant sends several times its quota
// for some seconds, in requests whose costs differ by a factor of fifty.
const (
	// priorityRatio is the ratio of the weights of adjacent priorities.
	priorityRatio = 2.0
	// minWeight keeps weights and rates that are divided by above zero.
	minWeight = 1e-9
	// minServed is the least part of a route's requests that is served, relative to the mean over
	// all routes. Below a quarter, the callers of a route consider the service lost.
	minServed = 0.27
	// keptReserve is the part of a route's reserve that is not lent under full pressure. In
	// addition, a route keeps its demand during keptTime. With 100 ms between updates of the
	// weights, a returning route gets its weight before that amount is spent.
	keptReserve = 0.2
	keptTime    = 300 * time.Millisecond
	// demandWindow is the time over which demand is averaged. It contains some hundred requests of
	// a large tenant and is shorter than the second in which a burst is detected.
	demandWindow = 500 * time.Millisecond
	// enoughRequests is the number of requests that determines demand to within some 15%. If fewer
	// come in demandWindow, demand is averaged over a longer time, up to maxDemandWindow.
	enoughRequests  = 50.0
	maxDemandWindow = 4 * time.Second
	// weightInterval is how often weights are adapted to demand.
	weightInterval = 100 * time.Millisecond
	// calmAfter is how long no request must have been refused, and most nodes must have asked,
	// before nodes admit requests without asking again. As heartbeats are a second apart, a burst
	// would otherwise run a second's worth beyond the quota.
	calmAfter = time.Second
	// At a demand of noPressure times the quota, routes keep the least of what they may keep
	// (minPressure of it); at fullPressure times the quota they keep all of it. Near the quota it
	// is chance which request meets an empty bucket, and an undivided bucket refuses the fewest.
	noPressure   = 1.5
	fullPressure = 2.5
	minPressure  = 0.05
	// keptBucketPart is the part of the bucket that a route always keeps, but no more than the cost
	// of keptRequests requests of mean cost.
	keptBucketPart = 0.01
	keptRequests   = 2
	// reportInterval is the time between two reports of a node. What it admitted without asking is
	// assumed to be spread evenly over that time.
	reportInterval = time.Second
	// guaranteedPart is the part of its share by urgency that a route has regardless of the others'
	// demand. The rest may go to routes that would be starved.
	guaranteedPart = 0.5
	// ampleFactor is the least weight of a route that is served in full, as a multiple of its
	// demand, so that its reserve fills.
	ampleFactor = 1.25
	// maxRoutes is the number of routes of a tenant that have shares of their own. All further
	// ones have one share together.
	maxRoutes = 32
	// routeIdle is how long a route must have had no requests before its share may go to another.
	routeIdle = time.Minute
	// askFactor is the amount that nodes ask for, as a multiple of what the route gets; see Sieve.
	askFactor = 3.0
	// reservablePart is the part of the requests that nodes ask about for which reservations are
	// made.
	reservablePart = 0.6
	// sieveMinRate is the number of requests of a route per second above which nodes ask about only
	// a part of them. Fewer requests cost a holder less than it costs callers to be refused by an
	// estimate.
	sieveMinRate = 50.0
	// sieveRampTime is the time in which the part that nodes ask about falls from all to none.
	// Requests that got reservations before the burst was fully known have come back by then.
	sieveRampTime = 2500 * time.Millisecond
	// minAskedPart is the least part of a route's requests that nodes ask about.
	minAskedPart = 0.02
	// satisfiedPart is the part of its demand that a route must get for nodes to ask about all of
	// its requests.
	satisfiedPart = 0.8
)

// policy selects one of the ways to divide a bucket that tests compare. The zero value is the one
// in production use.
type policy struct {
	weight  func(priority int) float64
	noFloor bool // no route is raised to minServed
	noMarks bool // reservations are honoured for whichever request comes
	noSieve bool // nodes ask about all requests
}

// urgency returns the weight of a priority.
func (p policy) urgency(priority int) float64 {
	if p.weight != nil {
		return p.weight(priority)
	}
	return urgencies[min(max(priority, 0), LeastUrgent)]
}

// urgencies are the weights of the priorities.
var urgencies = func() (weights [LeastUrgent + 1]float64) {
	for priority := range weights {
		weights[priority] = math.Pow(priorityRatio, -float64(priority))
	}
	return weights
}()
