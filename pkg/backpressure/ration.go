package backpressure

import (
	"hash/fnv"
	"sync"
	"time"
)

// Ration bounds what a node sends to servers that can take only few requests, so that all nodes together
// stay within that bound without communicating: a hash of the node's and the server's names selects some of
// the nodes, each of which may send one request per interval. The zero value is ready to use. Safe for
// concurrent use.
type Ration struct {
	mu   sync.Mutex
	sent map[string]time.Time // last request by incarnation of the server
}

const (
	// rationInterval is the minimum time between two requests of a node to a server. It is a little longer
	// than the second over which servers count requests.
	rationInterval = 1050 * time.Millisecond
	// rationUse is the part of a server's rate that nodes use. The rest is margin, since the number of
	// nodes that the hash selects varies.
	rationUse = 0.75
	// rationPerNode is how many requests per second one node sends at most.
	rationPerNode = 1.0
)

// Take reports whether a node may send a request now, given the number of nodes and the requests per second
// that the server can take, and records the request if so. No node may send if the number of nodes is
// unknown (zero).
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

// rank returns a number in [0, 1) that is a hash of a node and a server.
func rank(node, server string) float64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(node + "/" + server)) // never fails
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return float64(mixed>>11) / (1 << 53)
}

// UncoordinatedShare is the part of a server's limit that nodes use by their rations while no node grants
// slots. Together with the slots that were already granted, it is no more than servers can take for a few
// seconds.
const UncoordinatedShare = 0.25
