package site

import (
	"context"
	"time"
)

// limitInterval is how often the connection limits are recomputed.
const limitInterval = 500 * time.Millisecond

// connectionShare is the part of a server's maximum connections that all nodes together use.
const connectionShare = 0.85

// minConnections is the number of connections that a node may always have to a server.
const minConnections = 2

// keepConnectionShares updates this node's connection limits periodically until ctx ends.
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

// limitConnections limits this node to its share of each server's connections.
func (s *Site) limitConnections() {
	table := s.Routes()
	if table == nil {
		return
	}
	nodes := max(len(s.Nodes()), s.member.FleetSize(), 1)
	for _, m := range s.Servers.Snapshot().Members() {
		service := table.Service(m.Service)
		if service == nil || service.MaxConnections <= 0 {
			continue
		}
		share := int(connectionShare * float64(service.MaxConnections) / float64(nodes))
		m.SetConnectionLimit(max(share, minConnections))
	}
}
