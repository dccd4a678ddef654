package tunnel

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Limits of the tunnels that a node opens for others.
const (
	maxTunnels = 512 // two descriptors each
	// helperDialTime is how long a connection for another node may take to come up.
	helperDialTime = 350 * time.Millisecond
	// checkTime is how long another server may take to show that a refusal came from the server itself.
	checkTime = 50 * time.Millisecond
)

// Helper opens tunnels for other nodes. Set the exported fields before use.
type Helper struct {
	Dialer   *Dialer
	Listed   func(ctx context.Context, c Connect) bool // whether the server has this address
	Stopping func() bool
	Logger   hclog.Logger

	open   atomic.Int64
	opened atomic.Int64

	mu     sync.Mutex
	owners map[string]int // tunnels that are open, by the address of the node that has them
}

// Owners returns the addresses of the nodes that have tunnels.
func (h *Helper) Owners() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.owners))
}

// count adds to the tunnels of a node.
func (h *Helper) count(owner string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owners == nil {
		h.owners = make(map[string]int)
	}
	h.owners[owner] += n
	if h.owners[owner] == 0 {
		delete(h.owners, owner)
	}
}

// Open returns the number of tunnels that are open.
func (h *Helper) Open() int { return int(h.open.Load()) }

// Opened returns the number of tunnels opened so far.
func (h *Helper) Opened() int { return int(h.opened.Load()) }

// Connect connects to a server for the node at an address, directly. The connection is nil unless the result is Open.
func (h *Helper) Connect(ctx context.Context, from string, c Connect) (net.Conn, Result) {
	conn, result := h.connect(ctx, c)
	if conn == nil {
		h.Logger.Debug("no tunnel", "for", from, "address", c.Address, "result", result.String(), "open", h.Open())
		return nil, result
	}
	counted := &countedConn{Conn: conn, helper: h, owner: from}
	h.count(counted.owner, 1)
	if h.Stopping() { // since it was asked, so that the node may not be among the owners that were told
		_ = counted.Close()
		return nil, Unavailable
	}
	h.opened.Add(1)
	return counted, Open
}

func (h *Helper) connect(ctx context.Context, c Connect) (net.Conn, Result) {
	ctx, cancel := context.WithTimeout(ctx, helperDialTime)
	defer cancel()
	if h.Stopping() || h.Dialer.Reach.Cut() || !h.Listed(ctx, c) {
		return nil, Unavailable
	}
	if h.open.Add(1) > maxTunnels {
		h.open.Add(-1)
		return nil, Unavailable
	}
	began := h.Dialer.Reach.Time.Now()
	conn, err := h.Dialer.DialDirect(ctx, c.Address)
	if err == nil {
		return conn, Open
	}
	h.open.Add(-1)
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		return nil, Reset
	case isRejection(err) && h.reachesAnother(ctx, c.Address, began):
		return nil, Refused
	}
	return nil, NotReached
}

// reachesAnother reports whether a server other than the one at address was reached directly since a time. A
// link that rejects all connections looks like a server that has ended.
func (h *Helper) reachesAnother(ctx context.Context, address string, since time.Time) bool {
	if h.Dialer.Reach.HeardSince(since) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, checkTime)
	defer cancel()
	others := h.Dialer.someServers(1, address)
	if len(others) == 0 {
		return true
	}
	conn, err := h.Dialer.DialDirect(ctx, others[0])
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// countedConn is the connection of a tunnel, counted while it is open.
type countedConn struct {
	net.Conn
	helper *Helper
	owner  string
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.helper.open.Add(-1)
		c.helper.count(c.owner, -1)
	}
	return c.Conn.Close()
}

// String returns the name of the result in logs.
func (r Result) String() string {
	switch r {
	case Open:
		return "open"
	case Refused:
		return "refused"
	case NotReached:
		return "not reached"
	case Reset:
		return "reset"
	default:
		return "unavailable"
	}
}
