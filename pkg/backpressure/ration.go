package backpressure

import (
	"hash/fnv"
	"sync"
	"time"
)

// Ration bounds what a node sends to servers that bear few requests, so that all nodes together send
// no more, without a word to each other: by the names of node and server some of the nodes may send one
// request each interval. The zero value is ready to use. Safe for concurrent use.
type Ration struct {
	mu   sync.Mutex
	sent map[string]time.Time // by the life of the server
}

const (
	// rationInterval is the least time between two requests of a node to a server. It is a little over
	// the second in which servers count.
	rationInterval = 1050 * time.Millisecond
	// rationUse is the part of what a server bears that nodes use: how many of them its name selects is
	// a matter of chance.
	rationUse = 0.75
	// rationPerNode is how many requests a second one node sends at most.
	rationPerNode = 1.0
)

// Take tells whether a node among so many may send a request to a server that bears so many a second, and
// counts it. Without a number of nodes (zero) none may.
func (r *Ration) Take(now time.Time, node, server string, perSecond float64, nodes int) bool {
	if nodes <= 0 || rank(node, server) >= rationUse*perSecond/(rationPerNode*float64(nodes)) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.sent[server]) < rationInterval {
		return false
	}
	if r.sent == nil {
		r.sent = make(map[string]time.Time)
	}
	for id, at := range r.sent {
		if now.Sub(at) >= rationInterval {
			delete(r.sent, id)
		}
	}
	r.sent[server] = now
	return true
}

// rank is a number from 0 to 1 that nodes and servers have in pairs.
func rank(node, server string) float64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(node + "/" + server)) // never fails
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return float64(mixed>>11) / (1 << 53)
}

// AloneShare is the part of a server's limit that nodes use by their rations while nobody gives out slots:
// together with the slots that were given out it is no more than servers bear for a few seconds.
const AloneShare = 0.25
