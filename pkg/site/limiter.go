package site

import (
	"context"
	"time"
)

// limitInterval is how often the shares are worked out anew.
const limitInterval = 500 * time.Millisecond

// connectionShare is the part of a server's connections that the nodes use.
const connectionShare = 0.85

// leastConnections are what a node may always have to a server.
const leastConnections = 2

// keepConnectionShares shares each server's connections among the nodes until ctx
// ends.
func (s *Site) keepConnectionShares(ctx context.Context) {
	ticker := time.NewTicker(limitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.limitConnections()
		}
	}
}

// limitConnections gives this node its share of each server's connections.
func (s *Site) limitConnections() {
	table := s.Routes()
	if table == nil {
		return
	}
	nodes := max(len(s.Nodes()), s.member.Fleet(), 1)
	for _, m := range s.Servers.Snapshot().Members() {
		service := table.Service(m.Service)
		if service == nil || service.MaxConnections <= 0 {
			continue
		}
		share := int(connectionShare * float64(service.MaxConnections) / float64(nodes))
		m.SetConnectionLimit(max(share, leastConnections))
	}
}
