package affinity

import "math"

// Replica is a server that could serve the request.
type Replica struct {
	Life     uint64  // LifeOf the ID of its life
	Load     int     // requests that this node has running there
	Slowness float64 // its time for an event by that of the fastest; one or less: not known to be slow
	Near     float64 // what else speaks for it in the node's view, from 0 to 1
	Barred   bool    // to be passed over: it failed lately, or this request there
}

// How strongly the lanes pull, as exponents: a server at the end of a request's lane gets e to
// this power times the requests of one at the other end. Where a model has two replicas, some nine
// in ten short ones thus run at the one with the lower place, and three in four long ones at
// the other. Lanes that admit no exception crowd one replica of a popular model with all its
// long prompts.
const (
	longPull  = 3.0
	shortPull = 5.0
)

// How slow servers are left out. What slows a server is its machine or its load; either way
// a long prompt there takes longer and makes longer pauses.
const (
	// slowFrom is the least slowness that counts: paces of servers that are alike differ by
	// that much with what else they run.
	slowFrom = 1.25
	// slowPower leaves a server that takes twice as long a sixth of what it would get. By a larger
	// one the fast servers are crowded once the fleet has more to do than it can.
	slowPower = 2.5
	// shortSlowPower leaves such a server a sixteenth of the short requests, which wait there for
	// prompts whose models have no other replica. They are too little work to crowd the others.
	shortSlowPower = 4.0
	// mostSlowness bounds what is believed of a pace.
	mostSlowness = 16.0
)

// nearPull is how strongly a request without shared parts is pulled to a replica that is near in
// all ways, as an exponent like those of the lanes. Kept parts save more than nearness, so that
// requests with shared parts go by those alone.
const nearPull = 1.0

// Bounds of what a node sends to one replica, beyond which the next in the order gets it.
const (
	loadShare = 1.25 // times the mean of what the node has running at the model's replicas
	loadSlack = 4    // requests more, since a few tell nothing of a share
)

// Random is a source of random numbers, such as a *rand.Rand of math/rand/v2.
type Random interface{ Uint64() uint64 }

// Choice is what a request prefers, as indexes into the list of replicas.
type Choice struct {
	First int // in the order of the request
	Taken int // the first in that order that is neither barred nor loaded beyond its share
}

// Choose returns the replica that the request prefers, and false if it prefers none or all are
// barred or loaded beyond their share. lanes tells how much lanes count, from 0 to 1, see Mix.
// Requests with the same shared parts prefer the same replica on all nodes that know the same
// servers and paces; others draw one.
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
		score := r.pull(lanes, replica) + near*replica.Near + gumbel(key, replica.Life)
		if c.First < 0 || score > first {
			c.First, first = i, score
		}
		if !replica.Barred && float64(replica.Load) <= bound && (c.Taken < 0 || score > taken) {
			c.Taken, taken = i, score
		}
	}
	return c, c.Taken >= 0
}

// gumbel returns the score of a life in the order of a key. The highest of scores to which
// the logarithms of weights are added is drawn by these weights (rendezvous hashing with
// weights).
func gumbel(key, life uint64) float64 { return -math.Log(-math.Log(unit(mix(key ^ life)))) }

// pull returns the logarithm of the replica's weight.
func (r *Request) pull(lanes float64, replica *Replica) float64 {
	pull, power := 0.0, slowPower
	switch r.lane {
	case LongLane:
		pull = lanes * longPull * Place(replica.Life)
	case ShortLane:
		pull, power = -lanes*shortPull*Place(replica.Life), shortSlowPower
	}
	if replica.Slowness > slowFrom {
		pull -= power * math.Log(min(replica.Slowness, mostSlowness))
	}
	return pull
}

// loadBound returns the most requests of this node at a replica that may get one more.
func loadBound(replicas []Replica) float64 {
	sum, n := 0, 0
	for i := range replicas {
		if !replicas[i].Barred {
			sum += max(replicas[i].Load, 0)
			n++
		}
	}
	return loadShare*float64(sum)/float64(max(n, 1)) + loadSlack
}
