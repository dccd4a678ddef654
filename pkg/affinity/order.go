package affinity

import "math"

// Replica is a server that could serve the request.
type Replica struct {
	Life     uint64  // LifeOf the ID of its life
	Load     int     // requests that this node has running there
	Slowness float64 // of its pace by that of the fastest; one or less: not known to be slow
	Near     float64 // what else speaks for it in the node's view, from 0 to 1
	Barred   bool    // to be passed over: it failed lately, or this request there
}

// How strongly the lanes pull, as exponents: a server at the end of its lane gets e to this
// power times the requests of one at the other end. Where a model has two replicas, some nine
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
	// slowPower leaves a server of half the pace a sixth of what it would get. By a larger one
	// the fast servers are crowded once the fleet has more to do than it can.
	slowPower = 2.5
	// shortSlowPower leaves such a server a sixteenth of the short requests, which wait there for
	// prompts whose models have no other replica. They are too little work to crowd the others.
	shortSlowPower = 4.0
	// mostSlowness bounds what is believed of a pace.
	mostSlowness = 16.0
)

// nearPull is how much more often a short request goes to a replica that is near in all ways;
// what was read of a prompt counts more, so that it decides nothing for shared parts.
const nearPull = 1.0

// Bounds of what a node sends to one replica, beyond which the next in the order gets it: its
// share of what the node has running for the model, and a part more; and loadSlack, since a
// few requests tell nothing of a share.
const (
	loadShare = 1.25
	loadSlack = 4
)

// Random is a source of random numbers, such as a *rand.Rand of math/rand/v2.
type Random interface{ Uint64() uint64 }

// Choice is what a request prefers, as places in the list of replicas.
type Choice struct {
	First int // in the order of the request
	Taken int // the first one that is neither barred nor loaded beyond its share
}

// Choose returns the replica that the request prefers, and false if it prefers none. lanes
// tells how much lanes count, see Mix. Requests with the same shared parts prefer the same
// one on all nodes that know the same servers and paces; others draw one.
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
		b := &replicas[i]
		score := r.pull(lanes, b) + near*b.Near + gumbel(key, b.Life)
		if c.First < 0 || score > first {
			c.First, first = i, score
		}
		if !b.Barred && float64(b.Load) <= bound && (c.Taken < 0 || score > taken) {
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
func (r *Request) pull(lanes float64, b *Replica) float64 {
	pull, power := 0.0, slowPower
	switch r.lane {
	case LongLane:
		pull = lanes * longPull * Place(b.Life)
	case ShortLane:
		pull, power = -lanes*shortPull*Place(b.Life), shortSlowPower
	}
	if b.Slowness > slowFrom {
		pull -= power * math.Log(min(b.Slowness, mostSlowness))
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
