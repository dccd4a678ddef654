package relay

import (
	"hash/fnv"
	"sync"
	"time"

	"martenwheel.dev/pkg/backend"
)

// coldGate bounds what a node sends to cold servers: all nodes together are to send fewer requests a
// second than such a server bears. It answers this load: all servers of a service have just started,
// or all replicas of a model, and every node has requests for them. Nodes share what one bears
// without a word to each other: by its name some of them may send it one request each coldInterval.
// The zero value is ready to use. Safe for concurrent use.
type coldGate struct {
	mu   sync.Mutex
	sent map[string]time.Time // by the life of the server
}

const (
	// coldInterval is the least time between two requests of a node to a cold server. It is a little
	// over the second in which servers count.
	coldInterval = 1050 * time.Millisecond
	// coldUse is the part of what a cold server bears that nodes use: how many of them its name
	// selects is a matter of chance.
	coldUse = 0.75
	// coldPerNode is how many requests a second one node sends at most.
	coldPerNode = 1.0
)

// take tells whether a node among so many may send a request to a cold server, and counts it.
func (g *coldGate) take(now time.Time, node, server string, perSecond float64, nodes int) bool {
	if nodes <= 0 || coldRank(node, server) >= coldUse*perSecond/(coldPerNode*float64(nodes)) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.sent[server]) < coldInterval {
		return false
	}
	if g.sent == nil {
		g.sent = make(map[string]time.Time)
	}
	for id, at := range g.sent {
		if now.Sub(at) >= coldInterval {
			delete(g.sent, id)
		}
	}
	g.sent[server] = now
	return true
}

// coldRank is a number from 0 to 1 that nodes and servers have in pairs.
func coldRank(node, server string) float64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(node + "/" + server)) // never fails
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return float64(mixed>>11) / (1 << 53)
}

// chooseCold picks a cold server for a request that no other one can serve, nil if this node may send
// none now.
func (c *call) chooseCold(now time.Time) *backend.Member {
	s := c.table.Service(c.service)
	if s == nil || s.ColdPerSecond <= 0 {
		return nil
	}
	for _, m := range c.relay.Servers.Snapshot().Service(c.service) {
		if m.ServesCold(now, c.need) && c.relay.cold.take(now, c.relay.Node, m.ID, s.ColdPerSecond, c.relay.nodes()) {
			return m
		}
	}
	return nil
}

// nodes returns how many nodes share what all may use together; zero while that is not known.
func (r *Relay) nodes() int {
	if r.Nodes == nil {
		return 1
	}
	return r.Nodes()
}
