package affinity

import "math"

// Replica is a server that could serve the request.
type Replica struct {
	Hash     uint64  // ServerHash of the ID of its incarnation
	Load     int     // requests of this node that run there
	Slowness float64 // its time per event relative to the fastest replica's; one or less if it is not known to be slow
	Near     float64 // nearness to the node (same zone, connection open), from 0 to 1
	Excluded bool    // must be skipped: it failed recently, or this request failed there
}

// How strongly the lanes pull, as exponents: a server at the end of a request's lane gets e to this
// power times as many requests as one at the other end. If a model has two replicas, some nine in
// ten short requests thus run on the one with the lower position, and three in four long ones on
// the other. Lanes without exceptions would overload one replica of a popular model with all its
// long prompts.
const (
	longPull  = 3.0
	shortPull = 5.0
)

// How slow servers are avoided. A server is slow because of its machine or its load. In both cases
// a long prompt takes longer there and causes longer pauses.
const (
	// minSlowness is the least slowness that counts. The speeds of equal servers differ by this
	// much with what else they run.
	minSlowness = 1.25
	// slowPower leaves a sixth of its share to a server that takes twice as long. A larger power
	// overloads the fast servers when the fleet has more work than it can do.
	slowPower = 2.5
	// shortSlowPower leaves such a server a sixteenth of its share of short requests, which would
	// wait there behind prompts of models without another replica. Short requests are too little
	// work to overload the other servers.
	shortSlowPower = 4.0
	// maxSlowness bounds the slowness that is taken into account.
	maxSlowness = 16.0
)

// nearPull is how strongly a request without shared parts is pulled to a replica with the highest
// Near, as an exponent like those of the lanes. Cached parts save more than nearness, so requests
// with shared parts ignore it.
const nearPull = 1.0

// Bounds on what a node sends to one replica. Beyond them, the next replica in the order gets the
// request.
const (
	loadShare = 1.25 // multiple of the mean number of the node's requests on the model's replicas
	loadSlack = 4    // requests beyond that, since a handful says nothing about a share
)

// Random is a source of random numbers, such as a *rand.Rand of math/rand/v2.
type Random interface{ Uint64() uint64 }

// Choice is a request's preferred replica, as indexes into the list of replicas.
type Choice struct {
	First int // first in the order of the request
	Taken int // first in that order that is neither excluded nor loaded beyond its share
}

// Choose returns the replica that the request prefers. It returns false if the request prefers
// none, or all are excluded or loaded beyond their share. lanes is the weight of lanes, from 0 to
// 1, see Mix. Requests with the same shared parts prefer the same replica on all nodes that know
// the same servers and speeds. Other requests choose at random.
func (r *Request) Choose(random Random, lanes float64, replicas []Replica) (Choice, bool) {
	if len(replicas) < 2 || r.key == 0 && (r.lane == AnyLane || lanes <= 0) {
		return Choice{}, false
	}
	key, near := r.key, 0.0
	if key == 0 {
		key, near = random.Uint64(), nearPull
	}
	bound := loadBound(replicas)
	c := Choice{First: -1, Taken: -1}
	var first, taken float64
	for i := range replicas {
		replica := &replicas[i]
		score := r.pull(lanes, replica) + near*replica.Near + gumbelScore(key, replica.Hash)
		if c.First < 0 || score > first {
			c.First, first = i, score
		}
		if !replica.Excluded && float64(replica.Load) <= bound && (c.Taken < 0 || score > taken) {
			c.Taken, taken = i, score
		}
	}
	return c, c.Taken >= 0
}

// gumbelScore returns the score of a server's hash for a key. If the logarithms of weights are
// added to the scores, the server with the highest sum is a random draw by these weights (weighted
// rendezvous hashing).
func gumbelScore(key, hash uint64) float64 { return -math.Log(-math.Log(unit(mix(key ^ hash)))) }

// pull returns the logarithm of the replica's weight by the request's lane and the replica's slowness.
func (r *Request) pull(lanes float64, replica *Replica) float64 {
	pull, power := 0.0, slowPower
	switch r.lane {
	case LongLane:
		pull = lanes * longPull * Position(replica.Hash)
	case ShortLane:
		pull, power = -lanes*shortPull*Position(replica.Hash), shortSlowPower
	}
	if replica.Slowness > minSlowness {
		pull -= power * math.Log(min(replica.Slowness, maxSlowness))
	}
	return pull
}

// loadBound returns the most requests that this node may have on a replica for it to get one more.
func loadBound(replicas []Replica) float64 {
	sum, n := 0, 0
	for i := range replicas {
		if !replicas[i].Excluded {
			sum += max(replicas[i].Load, 0)
			n++
		}
	}
	return loadShare*float64(sum)/float64(max(n, 1)) + loadSlack
}
