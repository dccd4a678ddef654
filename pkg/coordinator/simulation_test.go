package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/relay"
	"martenwheel.dev/pkg/revision"
	"martenwheel.dev/pkg/route"
)

// errNoAnswer is the error of calls whose outcome is unknown.
var errNoAnswer = errors.New("no answer")

// simulation is a simulated cluster in virtual time: its store, servers, links and nodes fail as
// drawn from a seed. It records all orders that reach a server.
type simulation struct {
	*site
	random        *rand.Rand // for the schedule of faults; not safe for concurrent use
	restartRandom *rand.Rand // for the names of restarted servers; not safe for concurrent use
	// keepServerNames makes each server restart under its own name.
	keepServerNames bool
	// keepNodeAddresses makes all incarnations of a node listen at one address, like processes that
	// restart on the same machine. Otherwise each has its own address, like a process on another
	// machine.
	keepNodeAddresses bool
	// configDelay is how long a new incarnation of a node runs before it has read the configuration.
	configDelay time.Duration
	nodes       []*simNode
	restarts    int     // number of incarnations of nodes and of servers started under new names
	loadRate    float64 // ceiling of loads, per second

	mu               sync.Mutex
	callRandom       *rand.Rand // for the faults and durations of calls
	faults           faultRates
	storeFaultsEnded time.Time // when store calls last stopped failing
	fenced           bool      // holders rely on the servers' fences and continue without the store
	orders           []receivedOrder
	lateOrders       int
	events           []string
}

// faultRates holds the current faults of calls, mostly as probabilities between 0 and 1.
type faultRates struct {
	loseOrder, loseAnswer, lateOrder      float64
	loseWrite, loseWriteAnswer, lateWrite float64
	loseMessage, slow                     float64
	storeDown                             bool
}

// simNode is one incarnation of a node.
type simNode struct {
	*node
	member  *Member
	sim     *simulation
	name    string                      // name of this incarnation
	table   atomic.Pointer[route.Table] // the configuration that it read last
	tableAt atomic.Int64                // when that was in force, in Unix nanoseconds
	started time.Time
	crashed chan struct{}

	mu               sync.Mutex
	frozenUntil      time.Time
	cutFromStore     bool
	storeFaultsEnded time.Time // end of the last cut-off from the store, or of the last freeze
	cutFromServers   map[string]bool
	cutFromNodes     map[string]bool // by name
}

// stopNodes stops all nodes and waits in virtual time until their calls have ended.
func (sim *simulation) stopNodes() {
	for _, n := range sim.nodes {
		n.stop()
	}
	time.Sleep(5 * time.Second)
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		site:   newSite(t, []string{"m0", "m1"}, []string{"m0", "m2"}, []string{"m3"}, nil),
		random: rand.New(rand.NewPCG(seed, 1)), callRandom: rand.New(rand.NewPCG(seed, 2)),
		restartRandom: rand.New(rand.NewPCG(seed, 4)),
	}
	sim.withQuotas()
	sim.engines.loadDuration = 2 * time.Second
	sim.loadRate = exploreLoadRates[seed%uint64(len(exploreLoadRates))]
	sim.table.Service("s").Engine.LoadsPerSecond = sim.loadRate
	sim.fenced = seed/uint64(len(exploreLoadRates))%2 == 0
	for i := range 3 {
		sim.startNode(i)
	}
	return sim
}

// chance reports whether a fault of the given probability hits this call.
func (sim *simulation) chance(probability func(faultRates) float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.callRandom.Float64() < probability(sim.faults)
}

// randomDuration draws a duration between least and most.
func (sim *simulation) randomDuration(least, most time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return least + time.Duration(sim.callRandom.Int64N(int64(most-least)+1))
}

// logEvent adds a line to the event log of the schedule.
func (sim *simulation) logEvent(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.events = append(sim.events, fmt.Sprintf("%8v ", time.Since(sim.leaseStore.started).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// Write adds a line of a holder's log to the event log.
func (sim *simulation) Write(line []byte) (int, error) {
	sim.logEvent("    %s", bytes.TrimSpace(line))
	return len(line), nil
}

// logger returns the logger of an incarnation of a node. It discards everything unless -explore.logs
// is set.
func (sim *simulation) logger(name string) hclog.Logger {
	if !*exploreLogs {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Output: sim, DisableTime: true})
}

// startNode starts the next incarnation of node i.
func (sim *simulation) startNode(i int) {
	sim.restarts++
	n := &simNode{
		sim: sim, name: fmt.Sprintf("node-%d/%d", i, sim.restarts), started: time.Now(), crashed: make(chan struct{}),
		cutFromServers: make(map[string]bool), cutFromNodes: make(map[string]bool),
	}
	n.table.Store(sim.currentTable())
	n.tableAt.Store(time.Now().UnixNano())
	ctx, cancel := context.WithCancel(sim.t.Context())
	servers := &backend.Directory{}
	address := n.name
	if sim.keepNodeAddresses {
		address = fmt.Sprintf("node-%d", i)
	}
	nodeLease := &lease.Lease{Store: n, Self: n.name, IncarnationPrefix: fmt.Sprintf("node-%d/", i), Address: address}
	decider, _ := policy.ByName(policy.NameDemandFirst)
	n.node = &node{servers: servers, lease: nodeLease, stop: cancel}
	quarantineTable := new(quarantine.Table)
	n.holder = &Holder{Quarantine: quarantineTable,
		Lease: nodeLease, Routes: n.routes, Servers: servers, Orders: n, Transport: n,
		Decider: decider, HandoverPause: holderChangePause, Fenced: sim.fenced, Ceiling: Ceiling{Window: ceilingWindow}, Logger: sim.logger(n.name),
	}
	n.member = &Member{Quarantine: quarantineTable,
		Self:  Node{Name: fmt.Sprintf("node-%d", i), Life: int64(sim.restarts), Peers: address},
		Lease: nodeLease, Holder: n.holder, Transport: n, Servers: servers, Logger: hclog.NewNullLogger(),
	}
	n.holder.RoutesOverdue = n.routesOverdue
	n.holder.Nodes, n.holder.HolderSilence, n.holder.ScarceTenants = n.member.Nodes, n.member.HolderSilence, n.member.ScarceTenants
	nodeLease.Fleet, nodeLease.AllowOffline = n.holder.FleetSize, n.holder.MayContinueOffline
	nodeLease.Quotas, nodeLease.Sizes = n.holder.QuotaBalances, n.holder.ModelSizes
	nodeLease.Quarantine = func(recorded []quarantine.Aged) []quarantine.Aged {
		return quarantineTable.MergeStored(time.Now(), recorded)
	}
	if *exploreLogs {
		nodeLease.Log = func(message string, fields ...any) { n.holder.Logger.Info(message, fields...) }
	}
	sim.mu.Lock()
	if i < len(sim.nodes) {
		sim.nodes[i] = n
	} else {
		sim.nodes = append(sim.nodes, n)
	}
	sim.mu.Unlock()
	go nodeLease.Run(ctx)
	go n.holder.Run(ctx)
	go n.member.Run(ctx)
	go n.watchServers(ctx)
	go n.watchTable(ctx)
}

// routes returns the configuration, or nil while the node has not read it.
func (n *simNode) routes() *route.Table {
	if time.Since(n.started) < n.sim.configDelay {
		return nil
	}
	return n.table.Load()
}

// routesOverdue reports whether the node has not read the configuration for longer than it takes while it reaches the store.
func (n *simNode) routesOverdue() bool {
	return time.Since(time.Unix(0, n.tableAt.Load())) > 2*maxTableDelay
}

// watchTable reads the configuration from the store, with a delay.
func (n *simNode) watchTable(ctx context.Context) {
	for ctx.Err() == nil {
		table, at := n.sim.currentTable(), time.Now()
		time.Sleep(n.sim.randomDuration(50*time.Millisecond, maxTableDelay))
		if n.reachesStore() {
			n.table.Store(table)
			n.tableAt.Store(at.UnixNano())
		}
	}
}

// watchServers updates the node's server directory from the store's records, with a delay.
func (n *simNode) watchServers(ctx context.Context) {
	for version := revision.Revision(1); ctx.Err() == nil; version++ {
		list := n.sim.currentRecords(version)
		time.Sleep(n.sim.randomDuration(50*time.Millisecond, 900*time.Millisecond))
		if n.reachesStore() {
			n.servers.Replace(list, version)
		}
	}
}

// currentRecords returns the store's records of the servers.
func (sim *simulation) currentRecords(version revision.Revision) []*backend.Server {
	sim.engines.mu.Lock()
	defer sim.engines.mu.Unlock()
	var list []*backend.Server
	for name, e := range sim.engines.servers {
		e.completeDue()
		id := backend.Incarnation{Instance: name, Started: e.incarnation}.ID()
		list = append(list, &backend.Server{ID: id, Service: "s", Zone: "z", Slots: 8, Version: version, Models: e.holdings()})
	}
	return list
}

// isFrozen reports whether the node is frozen now.
func (n *simNode) isFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.frozenUntil)
}

// waitUntilRunning waits until the node is no longer frozen. It returns false if the node has
// crashed.
func (n *simNode) waitUntilRunning() bool {
	n.mu.Lock()
	until := n.frozenUntil
	n.mu.Unlock()
	time.Sleep(time.Until(until))
	select {
	case <-n.crashed:
		return false
	default:
		return true
	}
}

func (n *simNode) reachesStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	return !n.cutFromStore && !n.sim.faults.storeDown && time.Now().After(n.frozenUntil)
}

// storeFaulty reports whether calls to the store can fail or be slow.
func (t faultRates) storeFaulty() bool {
	return t.storeDown || t.loseWrite+t.loseWriteAnswer+t.lateWrite+t.slow > 0
}

// contactTime is how long a node must have been without store faults to count as in contact with the
// store.
const contactTime = 5 * time.Second

// inContact reports whether the node has been without store faults for contactTime, so that it may
// not act without the store.
func (n *simNode) inContact() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	return !n.cutFromStore && !n.sim.faults.storeFaulty() &&
		time.Since(n.sim.storeFaultsEnded) > contactTime && time.Since(n.storeFaultsEnded) > contactTime
}

// hang blocks until the caller gives up, as for a call that is never answered.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return errNoAnswer
}

// Read implements lease.Store.
func (n *simNode) Read(ctx context.Context) (lease.Stored, error) {
	if !n.waitUntilRunning() || !n.reachesStore() {
		return lease.Stored{}, hang(ctx)
	}
	n.delay(ctx)
	s, err := n.sim.leaseStore.Read(ctx)
	if !n.waitUntilRunning() || ctx.Err() != nil {
		return lease.Stored{}, errNoAnswer
	}
	return s, err
}

// Write implements lease.Store.
func (n *simNode) Write(ctx context.Context, r lease.Record, over lease.Stored) (lease.Stored, error) {
	sim := n.sim
	if !n.waitUntilRunning() || !n.reachesStore() || sim.chance(func(t faultRates) float64 { return t.loseWrite }) {
		return lease.Stored{}, hang(ctx)
	}
	if sim.chance(func(t faultRates) float64 { return t.lateWrite }) {
		time.AfterFunc(sim.randomDuration(time.Millisecond, 4*time.Second), func() { _, _ = sim.leaseStore.Write(context.Background(), r, over) })
		return lease.Stored{}, hang(ctx)
	}
	n.delay(ctx)
	s, err := sim.leaseStore.Write(ctx, r, over)
	if !n.waitUntilRunning() || ctx.Err() != nil || sim.chance(func(t faultRates) float64 { return t.loseWriteAnswer }) {
		return lease.Stored{}, hang(ctx)
	}
	return s, err
}

// delay waits for as long as the call takes.
func (n *simNode) delay(ctx context.Context) {
	most := 10 * time.Millisecond
	if n.sim.chance(func(t faultRates) float64 { return t.slow }) {
		most = time.Second
	}
	timer := time.NewTimer(n.sim.randomDuration(time.Millisecond, most))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// SendOrder implements Orders.
func (n *simNode) SendOrder(ctx context.Context, m *backend.Member, o Order) (Result, error) {
	sim := n.sim
	sent := time.Now()
	if !n.waitUntilRunning() {
		return 0, hang(ctx)
	}
	if o.CheckSend() != nil {
		return 0, ErrNotSent
	}
	if o.Offline && n.inContact() {
		sim.t.Errorf("%s gave an order without the store, although the store answers", n.name)
	}
	wasFrozen := time.Since(sent) > 0
	if n.isCutFromServer(m.Instance()) || sim.chance(func(t faultRates) float64 { return t.loseOrder }) {
		return 0, hang(ctx)
	}
	if sim.chance(func(t faultRates) float64 { return t.lateOrder }) {
		time.AfterFunc(sim.randomDuration(time.Millisecond, 3*time.Second), func() { sim.deliver(m.Instance(), o, true) })
		return 0, hang(ctx)
	}
	if n.delay(ctx); ctx.Err() != nil {
		return 0, errNoAnswer // the connection closed before the order was sent
	}
	result := sim.deliver(m.Instance(), o, wasFrozen)
	if !n.waitUntilRunning() || ctx.Err() != nil || sim.chance(func(t faultRates) float64 { return t.loseAnswer }) {
		return 0, hang(ctx)
	}
	return result, nil
}

// deliver applies an order at a server. Orders that the network or a freeze delayed are not recorded
// for checkOrders, which checks the time between orders of different holders.
func (sim *simulation) deliver(id string, o Order, late bool) Result {
	sim.engines.mu.Lock()
	if sim.engines.servers[id] == nil {
		sim.engines.mu.Unlock()
		return Elsewhere
	}
	result := sim.engines.receive(id, o)
	sim.engines.mu.Unlock()
	sim.logEvent("%s: %+v of %s is %d, late %t", id, o.Need, o.Holder, result, late)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if late {
		sim.lateOrders++
		return result
	}
	sim.orders = append(sim.orders, receivedOrder{time.Now(), id, o, result})
	return result
}

// FetchReport implements Orders.
func (n *simNode) FetchReport(ctx context.Context, m *backend.Member) (Report, error) {
	if !n.waitUntilRunning() || n.isCutFromServer(m.Instance()) {
		return Report{}, hang(ctx)
	}
	n.delay(ctx)
	r, err := n.sim.report(m.Incarnation())
	if !n.waitUntilRunning() || ctx.Err() != nil || n.sim.chance(func(t faultRates) float64 { return t.loseAnswer }) {
		return Report{}, hang(ctx)
	}
	return r, err
}

// report returns a server's report of its state.
func (sim *simulation) report(server backend.Incarnation) (Report, error) {
	sim.engines.mu.Lock()
	defer sim.engines.mu.Unlock()
	e := sim.engines.servers[server.Instance]
	switch {
	case e == nil:
		return Report{}, errNoAnswer
	case e.incarnation != server.Started:
		return Report{}, ErrOtherIncarnation
	}
	e.completeDue()
	return Report{Models: e.holdings(), Busy: !e.busyUntil.IsZero(), Sequence: e.sequence}, nil
}

func (n *simNode) isCutFromServer(server string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutFromServers[server]
}

// Call implements peer.Transport.
func (n *simNode) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	to := n.nodeAt(address)
	if !n.waitUntilRunning() || to == nil {
		return nil, hang(ctx)
	}
	n.delay(ctx)
	answers := make(chan callResult, 1)
	go func() { // a frozen node handles the message once it resumes, even after the caller gave up
		if to.waitUntilRunning() {
			reply, err := to.member.HandleMessage(ctx, api.NodeRef{}, message)
			answers <- callResult{reply, err, to.waitUntilRunning()}
		}
	}()
	select {
	case a := <-answers:
		if !a.sent || !n.waitUntilRunning() || ctx.Err() != nil {
			return nil, errNoAnswer
		}
		return a.reply, a.err
	case <-ctx.Done():
		n.waitUntilRunning()
		return nil, errNoAnswer
	}
}

// callResult is a node's reply to a call. sent is false if the node crashed before the reply was
// sent.
type callResult struct {
	reply peer.Message
	err   error
	sent  bool
}

// Send implements peer.Transport.
func (n *simNode) Send(address string, message peer.Message) {
	to := n.nodeAt(address)
	if to == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if n.waitUntilRunning() && to.waitUntilRunning() {
			_, _ = to.member.HandleMessage(ctx, api.NodeRef{}, message)
		}
	}()
}

// Close implements peer.Transport.
func (n *simNode) Close() error { return nil }

// nodeAt returns the node at an address, or nil if the message is lost.
func (n *simNode) nodeAt(address string) *simNode {
	if n.sim.chance(func(t faultRates) float64 { return t.loseMessage }) {
		return nil
	}
	n.sim.mu.Lock()
	nodes := slices.Clone(n.sim.nodes)
	n.sim.mu.Unlock()
	for _, to := range nodes {
		n.mu.Lock()
		cut := n.cutFromNodes[to.member.Self.Name]
		n.mu.Unlock()
		if to.member.Self.Peers == address && !cut {
			return to
		}
	}
	return nil
}

// requestLoad sends one load request and reports whether a server holds the model now.
func (n *simNode) requestLoad(need string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o, err := n.member.RequestLoad(ctx, relay.LoadRequest{
		Service: "s", Need: backend.ParseNeed(need), Priority: 1, Deadline: time.Now().Add(20 * time.Second), RequestID: need,
	})
	return err == nil && o.Server != ""
}
