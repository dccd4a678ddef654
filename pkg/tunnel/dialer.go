package tunnel

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Times and limits of connections through other nodes.
const (
	// directTime is how long a direct connection may take before other nodes are asked as well.
	directTime = 60 * time.Millisecond
	// nextHelperTime is how long after one node the next one is asked.
	nextHelperTime = 60 * time.Millisecond
	maxHelpers     = 3 // asked for one connection
	// maxAsking limits the nodes that are asked at the same time: on a node short of processor time many
	// direct connections are late, and asking for all of them would make it worse.
	maxAsking = 16
	// confirmTime is how long other nodes may take to confirm that a server refuses connections.
	confirmTime = 150 * time.Millisecond
	// avoidHelperTime is how long a node that opened no tunnel is asked after the others.
	avoidHelperTime = time.Second
	// rememberTime is how long a node may be asked that is listed no more: a new lease holder lists the nodes
	// only as they report to it, and a cut holder hands its lease over.
	rememberTime = 10 * time.Second
	// rememberStopTime is longer than a node takes to stop.
	rememberStopTime = 10 * time.Minute
	// probeInterval is the time between two direct probes of servers.
	probeInterval = 400 * time.Millisecond
	// leaderSilence is how long a node that gives orders may hear no server before it probes one.
	leaderSilence = time.Second
	probedServers = 3 // at once, when neither requests nor the first probe are answered
	// maxTimerDelay is the delay of a timer beyond which this node was held up itself, and an answer may have come in time.
	maxTimerDelay = 100 * time.Millisecond
)

// errNotReached means that other nodes do not reach the server either.
var errNotReached = errors.New("tunnel: neither this node nor others reach the server")

// Node is a node that may be asked for a tunnel.
type Node struct {
	Address string // IP:port for other nodes
	Zone    string
}

// Dialer opens connections to servers, directly or through another node. Set the exported fields before
// use.
type Dialer struct {
	Zone   string
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// DirectTime is the time limit of Direct; zero: unknown.
	DirectTime time.Duration
	// Connect asks a node for a tunnel to a server. The connection is nil unless the result is Open.
	Connect func(ctx context.Context, node, server string) (net.Conn, Result, error)
	Nodes   func() []Node // other nodes; nil: none
	// Leads reports whether this node gives orders to servers, so that it checks its ways also without
	// requests.
	Leads   func() bool
	Servers func() []string // addresses of all servers that this node knows
	Reach   *Reach

	opened       atomic.Int64
	asking       atomic.Int64
	silentProbes int // rounds of probes in a row that nothing answered; used by Run only

	mu          sync.Mutex
	avoided     map[string]time.Time // nodes that opened no tunnel, and until when they come last
	known       map[Node]time.Time   // nodes, and when they were last listed
	unconfirmed map[string]bool      // servers that DialOnlyDirect did not reach
	stopping    map[string]time.Time // nodes that said that they stop, and when
}

// Opened returns the number of connections made through other nodes.
func (d *Dialer) Opened() int { return int(d.opened.Load()) }

// indirectConn is a connection through another node.
type indirectConn struct {
	net.Conn
	dialer *Dialer
	node   string
	opened time.Time
}

// Indirect marks the connection for package backend.
func (indirectConn) Indirect() {}

// Ending implements backend.EndingConn.
func (c indirectConn) Ending() bool {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	return c.dialer.stopping[c.node].After(c.opened)
}

// NodeStops records that a node is about to end, with the connections that lead through it.
func (d *Dialer) NodeStops(node string) {
	now := d.Reach.Time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping == nil {
		d.stopping = make(map[string]time.Time)
	}
	maps.DeleteFunc(d.stopping, func(_ string, at time.Time) bool { return now.Sub(at) > rememberStopTime })
	d.stopping[node] = now
}

// DialDirect connects to a server directly.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	began := d.Reach.Time.Now()
	conn, err := d.Direct(ctx, address)
	if err != nil && ctx.Err() == nil && d.wasHeldUp(d.Reach.Time.Since(began)) {
		conn, err = d.Direct(ctx, address)
	}
	switch {
	case err == nil:
		d.Reach.Connected(address)
	case ctx.Err() == nil:
		d.Reach.Failed(address, !isRejection(err))
	}
	return conn, err
}

// wasHeldUp reports whether a direct connection that failed took so long that this node was held up meanwhile.
func (d *Dialer) wasHeldUp(took time.Duration) bool {
	return d.DirectTime > 0 && took > d.DirectTime+maxTimerDelay
}

// DialOnlyDirect connects to a server directly, for messages that must not lead through another node. Whether
// others reach the server is found out by a probe.
func (d *Dialer) DialOnlyDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.DialDirect(ctx, address)
	if err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.unconfirmed == nil {
			d.unconfirmed = make(map[string]bool)
		}
		d.unconfirmed[address] = true
	}
	return conn, err
}

// takeUnconfirmed returns the servers that DialOnlyDirect did not reach since the last call.
func (d *Dialer) takeUnconfirmed() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses := d.unconfirmed
	d.unconfirmed = nil
	return addresses
}

// isRejection reports whether a connection failed by an answer, which may come from the server or from a
// link that rejects connections.
func isRejection(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// Dial connects to a server, through another node if the direct connection is late or fails. A refused
// connection is reported as such only if the server itself refused it, as far as known.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	way := d.Reach.routeTo(address)
	r := &race{dialer: d, address: address, began: d.Reach.Time.Now(), results: make(chan attempt, 1+maxHelpers)}
	defer r.abandon()
	r.helperCtx, r.stopHelpers = context.WithCancel(ctx)
	if way.direct {
		r.startDirect(ctx)
	}
	return r.run(ctx, way.around)
}

// candidates returns the nodes to ask, in this order: one of the own zone, then those of other zones, since
// most of a zone may be cut at once. Those that opened no tunnel a moment ago come last.
func (d *Dialer) candidates() []Node {
	nodes := d.knownNodes()
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	slices.SortStableFunc(nodes, func(a, b Node) int { return int(d.preference(a)) - int(d.preference(b)) })
	if i := slices.IndexFunc(nodes, func(n Node) bool { return d.preference(n) == ownZone }); i > 0 {
		near := nodes[i]
		nodes = slices.Insert(slices.Delete(nodes, i, i+1), 0, near)
	}
	return nodes[:min(len(nodes), maxHelpers)]
}

// knownNodes returns the nodes that are or were lately listed.
func (d *Dialer) knownNodes() []Node {
	if d.Nodes == nil {
		return nil
	}
	listed := d.Nodes()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Reach.Time.Now()
	if d.known == nil {
		d.known = make(map[Node]time.Time)
	}
	for _, n := range listed {
		d.known[n] = now
	}
	maps.DeleteFunc(d.known, func(_ Node, at time.Time) bool { return now.Sub(at) > rememberTime })
	return slices.Collect(maps.Keys(d.known))
}

// preference sorts nodes to ask, the lowest first.
type preference uint8

const (
	otherZone preference = iota
	ownZone
	avoided // opened no tunnel a moment ago
)

func (d *Dialer) preference(n Node) preference {
	switch {
	case d.avoids(n.Address):
		return avoided
	case n.Zone == d.Zone:
		return ownZone
	}
	return otherZone
}

func (d *Dialer) avoids(node string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Reach.Time.Now().Before(d.avoided[node])
}

// avoid makes a node that opened no tunnel come last for a while.
func (d *Dialer) avoid(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Reach.Time.Now()
	if d.avoided == nil {
		d.avoided = make(map[string]time.Time)
	}
	for other, until := range d.avoided {
		if now.After(until) {
			delete(d.avoided, other)
		}
	}
	d.avoided[node] = now.Add(avoidHelperTime)
}

// attempt is the outcome of one way to connect.
type attempt struct {
	conn   net.Conn
	node   string // that was asked; empty: none, the connection is direct
	result Result // of the node
	err    error
}

// race connects to one server directly and through other nodes, and takes what comes up first.
type race struct {
	dialer      *Dialer
	address     string
	began       time.Time
	nodes       []Node // not asked yet
	asked       bool   // nodes is set
	results     chan attempt
	pending     int
	triedDirect bool
	directErr   error // why the direct connection failed; nil: it has not
	reset       bool  // the server reset a connection of another node
	helperCtx   context.Context
	stopHelpers context.CancelFunc
}

// startDirect connects directly. If another node is faster, the outcome still shows whether the direct way is
// broken.
func (r *race) startDirect(ctx context.Context) {
	r.triedDirect = true
	r.pending++
	ctx = context.WithoutCancel(ctx)
	go func() {
		conn, err := r.dialer.DialDirect(ctx, r.address)
		r.results <- attempt{conn: conn, err: err}
	}()
}

// askNext asks the next node. It reports whether there is one.
func (r *race) askNext() bool {
	if !r.asked {
		r.nodes, r.asked = r.dialer.candidates(), true
	}
	if len(r.nodes) == 0 {
		return false
	}
	if r.dialer.asking.Add(1) > maxAsking {
		r.dialer.asking.Add(-1)
		return true
	}
	node := r.nodes[0].Address
	r.nodes = r.nodes[1:]
	r.pending++
	go func() {
		defer r.dialer.asking.Add(-1)
		conn, result, err := r.dialer.Connect(r.helperCtx, node, r.address)
		r.results <- attempt{conn, node, result, err}
	}()
	return true
}

// run waits for the first connection. around tells to ask other nodes at once.
func (r *race) run(ctx context.Context, around bool) (net.Conn, error) {
	first := directTime
	if around {
		first = 0
	}
	next := time.NewTimer(first)
	defer next.Stop()
	var unconfirmed <-chan time.Time // fires when nobody confirmed a refusal in time
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-unconfirmed:
			return nil, r.failure()
		case <-next.C:
			if r.askNext() {
				next.Reset(nextHelperTime)
			} else if r.pending == 0 {
				if r.triedDirect {
					return nil, r.failure()
				}
				r.startDirect(ctx) // the way is broken, but no other node is known
			}
		case a := <-r.results:
			r.pending--
			switch {
			case a.conn != nil:
				return r.won(a), nil
			case a.result == Refused:
				return nil, rejection(syscall.ECONNREFUSED)
			case a.result == Reset:
				r.reset = true
			case a.node != "":
				r.dialer.avoid(a.node)
			default:
				r.directErr = a.err
				if isRejection(a.err) {
					unconfirmed = time.After(confirmTime)
				}
			}
			next.Reset(0)
		}
	}
}

// won returns the connection that came up first.
func (r *race) won(a attempt) net.Conn {
	if a.node == "" {
		return a.conn
	}
	r.dialer.opened.Add(1)
	r.dialer.Reach.ReachedByOther(r.address)
	return indirectConn{a.conn, r.dialer, a.node, r.began}
}

// failure returns why there is no connection.
func (r *race) failure() error {
	switch {
	case r.reset:
		return rejection(syscall.ECONNRESET)
	case r.directErr == nil:
		return errNotReached
	case isRejection(r.directErr) && r.dialer.Reach.doubtsRefusal(r.address):
		return errors.Wrap(errNotReached, "a connection was rejected")
	}
	return r.directErr
}

// rejection is the error of a connection that the server refused to another node, or reset.
func rejection(how syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", how)}
}

// abandon ends the attempts that are not needed. A direct one ends by its own time limit.
func (r *race) abandon() {
	r.stopHelpers()
	if r.pending == 0 {
		return
	}
	pending := r.pending
	go func() {
		for range pending {
			if a := <-r.results; a.conn != nil {
				_ = a.conn.Close()
			}
		}
	}()
}

// Run probes servers until ctx ends, so that no request has to find out when a cut begins and ends.
func (d *Dialer) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.probe(ctx)
		}
	}
}

// probe connects to a server to which the way is broken, to those that others may reach, and to random ones if
// the node may be cut.
func (d *Dialer) probe(ctx context.Context) {
	d.knownNodes() // remembers those that are listed now
	if broken := d.Reach.brokenWays(); len(broken) > 0 {
		go d.probeServer(ctx, broken[0], d.DialDirect)
	}
	for address := range d.takeUnconfirmed() {
		go d.probeServer(ctx, address, d.Dial)
	}
	for _, address := range d.someServers(d.randomProbes(), "") {
		go d.probeServer(ctx, address, d.Dial)
	}
}

// randomProbes returns how many random servers to probe.
func (d *Dialer) randomProbes() int {
	unanswered := d.Reach.unanswered()
	switch {
	case d.Reach.Cut():
		return 0
	case d.Reach.mayBeCut():
		return probedServers
	case d.Leads() && d.Reach.silentFor() > leaderSilence:
		return 1
	case !unanswered:
		d.silentProbes = 0
		return 0
	}
	d.silentProbes++
	if d.silentProbes == 1 {
		return 1 // usually an answer is just late, and one connection shows it
	}
	return probedServers
}

// ReachesServers reports whether this node reaches servers directly. If nobody reaches those that it tries, it
// reports true, as no other node is better off.
func (d *Dialer) ReachesServers(ctx context.Context) bool {
	if d.Reach.silentFor() < cutSilence {
		return true
	}
	began := d.Reach.Time.Now()
	addresses := d.someServers(probedServers, "")
	around := make(chan bool, len(addresses)) // whether another node's connection came up first
	for _, address := range addresses {
		go func() {
			conn, err := d.Dial(ctx, address)
			_, indirect := conn.(indirectConn)
			if err == nil {
				_ = conn.Close()
			}
			around <- indirect
		}()
	}
	others := 0
	for range addresses {
		if <-around {
			others++
		}
		if d.Reach.HeardSince(began) {
			return true
		}
	}
	return others == 0
}

// probeServer connects to a server and closes the connection. What it shows is recorded by dial.
func (d *Dialer) probeServer(ctx context.Context, address string, dial func(context.Context, string) (net.Conn, error)) {
	if conn, err := dial(ctx, address); err == nil {
		_ = conn.Close()
	}
}

// someServers returns the addresses of n random servers without the one at except.
func (d *Dialer) someServers(n int, except string) []string {
	all := slices.Clone(d.Servers())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = slices.DeleteFunc(all, func(address string) bool { return address == except })
	return all[:min(n, len(all))]
}
