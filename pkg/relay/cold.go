package relay

import (
	"time"

	"martenwheel.dev/pkg/backend"
)

// chooseCold picks a cold server for a request that no other server can serve, or returns nil if
// this node may send none now. It protects against this overload: all servers of a service, or all
// replicas of a model, have just started and every node has requests for them.
func (c *call) chooseCold(now time.Time) *backend.Member {
	s := c.table.Service(c.service)
	if s == nil || s.ColdPerSecond <= 0 {
		return nil
	}
	for _, m := range c.servers() {
		if m.ServesCold(now, c.need) && c.relay.coldRation.Take(now, c.relay.Node, m.ID, s.ColdPerSecond, c.relay.nodes()) {
			return m
		}
	}
	return nil
}

// nodes returns the number of nodes that share common limits; zero while unknown.
func (r *Relay) nodes() int {
	if r.Nodes == nil {
		return 1
	}
	return r.Nodes()
}
