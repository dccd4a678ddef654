package site

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/tunnel"
)

// handOverDelay is how long a holder must be cut from all servers before it hands the lease over: it can give
// no orders.
const handOverDelay = 500 * time.Millisecond

// connectThroughOthers makes connections to servers go through other nodes while this node does not reach
// the servers itself, and lets other nodes do so through this one.
func (s *Site) connectThroughOthers(l *lease.Lease) {
	logger := s.Logger.Named("reach")
	direct := s.Dial
	if direct == nil {
		direct = Dial
	}
	s.reach.Servers, s.reach.Logger = func() int { return len(s.Servers.Snapshot().Members()) }, logger
	s.reach.OnCut = func(cut bool) { s.cutChanged(l, cut) }
	opener := &peer.Opener{Config: peer.Config{Self: s.nodeRef(), Timeouts: peer.Timeouts{Dial: peerDialTimeout}}, Dial: Dial}
	s.dialer = &tunnel.Dialer{
		Zone: s.Self.Zone, Direct: direct, DirectTime: serverDialTimeout, Reach: s.reach, Nodes: s.helperNodes, Servers: s.serverAddresses,
		Leads: func() bool { _, held := l.Held(); return held },
		Connect: func(ctx context.Context, node, address string) (net.Conn, tunnel.Result, error) {
			return openTunnel(ctx, opener, node, tunnel.Connect{Server: s.serverAt(address), Address: address})
		},
	}
	s.helper = &tunnel.Helper{Dialer: s.dialer, Listed: s.listed, Stopping: s.stopping.Load, Logger: logger}
	s.Servers.Dialer, s.Servers.DirectDialer, s.Servers.Reach = s.dialer.Dial, s.dialer.DialOnlyDirect, s.reach
	l.Fit = s.dialer.ReachesServers
	s.registerReach()
}

// openTunnel asks a node for a tunnel.
func openTunnel(ctx context.Context, opener *peer.Opener, node string, c tunnel.Connect) (net.Conn, tunnel.Result, error) {
	conn, answer, err := opener.Open(ctx, node, c)
	if err != nil {
		return nil, tunnel.Unavailable, err
	}
	connected, ok := answer.(tunnel.Connected)
	if ok && connected.Result == tunnel.Open {
		return conn, tunnel.Open, nil
	}
	_ = conn.Close()
	if !ok {
		return nil, tunnel.Unavailable, errors.Errorf("site: answer of type %T", answer)
	}
	return nil, connected.Result, nil
}

// OpenStream implements peer.StreamHandler.
func (s *Site) OpenStream(ctx context.Context, from api.NodeRef, request peer.StreamRequest) (net.Conn, peer.Message, error) {
	c, ok := request.(tunnel.Connect)
	if !ok {
		return nil, nil, errors.Errorf("site: stream for %T", request)
	}
	conn, result := s.helper.Connect(ctx, from.PeerAddress, c)
	return conn, tunnel.Connected{Result: result}, nil
}

// Calls that tell other nodes that this one stops.
const (
	stopCallTime  = 300 * time.Millisecond
	stopCallTries = 3
)

// tellTunnelOwners tells the nodes that have tunnels through this one that it stops.
func (s *Site) tellTunnelOwners() {
	for _, owner := range s.helper.Owners() {
		go func() {
			var err error
			for range stopCallTries {
				ctx, cancel := context.WithTimeout(context.Background(), stopCallTime)
				_, err = s.transport.Call(ctx, owner, tunnel.Stops{Node: s.Self.Peers})
				cancel()
				if err == nil {
					return
				}
			}
			s.Logger.Warn("node with tunnels through this one not told of the stop", "address", owner, "error", err)
		}()
	}
}

// cutChanged adapts the node when it is cut from all servers.
func (s *Site) cutChanged(l *lease.Lease, cut bool) {
	s.Servers.WaysChanged(cut)
	if !cut {
		return
	}
	time.Sleep(handOverDelay)
	if _, held := l.Held(); held && s.reach.Cut() {
		s.Logger.Warn("lease handed over: this node reaches no server")
		l.HandOver()
	}
}

// helperNodes returns the nodes that may connect to servers for this one.
func (s *Site) helperNodes() []tunnel.Node {
	var nodes []tunnel.Node
	for _, n := range s.member.Nodes() {
		if n.Name != s.Self.Name && !n.Stopping {
			nodes = append(nodes, tunnel.Node{Address: n.Peers, Zone: n.Zone})
		}
	}
	return nodes
}

// serverAddresses returns the addresses of all servers that this node knows.
func (s *Site) serverAddresses() []string {
	members := s.Servers.Snapshot().Members()
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Address)
	}
	return list
}

// serverAt returns the ID of the server with an address, empty if none is listed.
func (s *Site) serverAt(address string) string {
	for id, m := range s.Servers.Snapshot().Members() {
		if m.Address == address {
			return id
		}
	}
	return ""
}

// listed reports whether a server that another node names is known, here or by the store, with the address.
func (s *Site) listed(ctx context.Context, c tunnel.Connect) bool {
	if s.Servers.Snapshot().Member(c.Server) == nil {
		if err := s.ensureServers(ctx, []string{c.Server}); err != nil {
			return false
		}
	}
	m := s.Servers.Snapshot().Member(c.Server)
	return m != nil && m.Address == c.Address
}

// registerReach registers the metrics about ways to servers.
func (s *Site) registerReach() {
	const namespace = "martenwheel"
	s.Registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "cut_from_servers", Help: "1 while this node reaches no server."},
			func() float64 {
				if s.reach.Cut() {
					return 1
				}
				return 0
			}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: "indirect_connections_total", Help: "Connections to servers made through other nodes."},
			func() float64 { return float64(s.dialer.Opened()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: "tunnels_total", Help: "Tunnels to servers opened for other nodes."},
			func() float64 { return float64(s.helper.Opened()) }),
	)
}
