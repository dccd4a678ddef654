package relay

import (
	"time"

	"martenwheel.dev/pkg/backend"
)

// chooseCold picks a cold server for a request that no other one can serve, nil if this node may send
// none now. It answers this load: all servers of a service have just started, or all replicas of a model,
// and every node has requests for them.
func (c *call) chooseCold(now time.Time) *backend.Member {
	s := c.table.Service(c.service)
	if s == nil || s.ColdPerSecond <= 0 {
		return nil
	}
	for _, m := range c.relay.Servers.Snapshot().Service(c.service) {
		if m.ServesCold(now, c.need) && c.relay.cold.Take(now, c.relay.Node, m.ID, s.ColdPerSecond, c.relay.nodes()) {
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
