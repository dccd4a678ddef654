package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
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

// errLost is how calls fail whose outcome is unknown.
var errLost = errors.New("no answer")

// world is a site whose store, servers, links and nodes misbehave as a seed
// tells. It judges all orders that reach a server.
type world struct {
	*site
	random *rand.Rand // for the schedule; not safe for concurrent use
	births *rand.Rand // for the names of lives of servers; the same
	// namesStay has servers start again under their names only.
	namesStay bool
	// addressesStay has all lives of a node listen at one address, as processes that start again on
	// their machine do; else each life has its own, as that of another machine.
	addressesStay bool
	// readsAfter is how long a life of a node does not know the configuration.
	readsAfter time.Duration
	nodes      []*worldNode
	lives      int     // of nodes and servers that were started later
	loadRate   float64 // the ceiling

	mu      sync.Mutex
	luck    *rand.Rand // for calls
	trouble trouble
	calm    time.Time // the end of the last trouble of the store's calls
	fenced  bool      // holders rely on the servers' fences and go on without the store
	orders  []given
	lates   int
	steps   []string
}

// trouble is what may go wrong with calls at the moment: shares of them.
type trouble struct {
	loseOrder, loseAnswer, lateOrder  float64
	loseWrite, loseWritten, lateWrite float64
	loseMessage, slow                 float64
	storeDown                         bool
}

// worldNode is one life of a node.
type worldNode struct {
	*node
	member  *Member
	world   *world
	name    string // of this life
	started time.Time
	crashed chan struct{}

	mu        sync.Mutex
	frozen    time.Time // until
	noStore   bool
	storeBack time.Time // the end of the last cut from the store, or freeze
	noServers map[string]bool
	cutFrom   map[string]bool // other nodes
}

// stopNodes ends all nodes, and waits in virtual time for calls under way to end.
func (w *world) stopNodes() {
	for _, n := range w.nodes {
		n.stop()
	}
	time.Sleep(5 * time.Second)
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		site:   newSite(t, []string{"m0", "m1"}, []string{"m0", "m2"}, []string{"m3"}, nil),
		random: rand.New(rand.NewPCG(seed, 1)), luck: rand.New(rand.NewPCG(seed, 2)),
		births: rand.New(rand.NewPCG(seed, 4)),
	}
	w.withQuotas()
	w.engines.load = 2 * time.Second
	w.loadRate = exploreLoadRates[seed%uint64(len(exploreLoadRates))]
	w.table.Service("s").Engine.LoadsPerSecond = w.loadRate
	w.fenced = seed/uint64(len(exploreLoadRates))%2 == 0
	for i := range 3 {
		w.startNode(i)
	}
	return w
}

// chance tells whether something of a share happens to this call.
func (w *world) chance(share func(trouble) float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.luck.Float64() < share(w.trouble)
}

// between returns a time of a call's own.
func (w *world) between(least, most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return least + time.Duration(w.luck.Int64N(int64(most-least)+1))
}

// note adds a line to the story of the schedule.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps = append(w.steps, fmt.Sprintf("%8v ", time.Since(w.row.started).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// Write adds a line of a holder's log to the story.
func (w *world) Write(line []byte) (int, error) {
	w.note("    %s", bytes.TrimSpace(line))
	return len(line), nil
}

// logger returns the logger of a life, which tells only if it is asked to.
func (w *world) logger(life string) hclog.Logger {
	if !*exploreLogs {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Name: life, Output: w, DisableTime: true})
}

// startNode starts the next life of a node.
func (w *world) startNode(i int) {
	w.lives++
	n := &worldNode{
		world: w, name: fmt.Sprintf("node-%d/%d", i, w.lives), started: time.Now(), crashed: make(chan struct{}),
		noServers: make(map[string]bool), cutFrom: make(map[string]bool),
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	servers := &backend.Directory{}
	address := n.name
	if w.addressesStay {
		address = fmt.Sprintf("node-%d", i)
	}
	own := &lease.Lease{Store: n, Self: n.name, IncarnationPrefix: fmt.Sprintf("node-%d/", i), Address: address}
	decider, _ := policy.ByName(policy.NameDemandFirst)
	n.node = &node{servers: servers, lease: own, stop: cancel}
	known := new(quarantine.Table)
	n.holder = &Holder{Quarantine: known,
		Lease: own, Routes: n.routes, Servers: servers, Orders: n, Transport: n,
		Decider: decider, Turns: turns, Fenced: w.fenced, Ceiling: Ceiling{Window: window}, Logger: w.logger(n.name),
	}
	n.member = &Member{Quarantine: known,
		Self:  Node{Name: fmt.Sprintf("node-%d", i), Life: int64(w.lives), Peers: address},
		Lease: own, Holder: n.holder, Transport: n, Servers: servers, Logger: hclog.NewNullLogger(),
	}
	n.holder.Nodes, n.holder.Unheard, n.holder.ScarceTold = n.member.Nodes, n.member.Unheard, n.member.ScarceTold
	own.Fleet, own.AllowOffline = n.holder.Fleet, n.holder.MayGoOn
	own.Quotas = n.holder.QuotaBalances
	own.Quarantine = func(recorded []quarantine.Aged) []quarantine.Aged { return known.MergeStored(time.Now(), recorded) }
	if *exploreLogs {
		own.Log = func(message string, fields ...any) { n.holder.Logger.Info(message, fields...) }
	}
	w.mu.Lock()
	if i < len(w.nodes) {
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	w.mu.Unlock()
	go own.Run(ctx)
	go n.holder.Run(ctx)
	go n.member.Run(ctx)
	go n.follow(ctx)
}

// routes returns the configuration, nil while the node has not read it.
func (n *worldNode) routes() *route.Table {
	if time.Since(n.started) < n.world.readsAfter {
		return nil
	}
	return n.world.table
}

// follow takes in the records of the servers, which lag.
func (n *worldNode) follow(ctx context.Context) {
	for version := revision.Revision(1); ctx.Err() == nil; version++ {
		list := n.world.records(version)
		time.Sleep(n.world.between(50*time.Millisecond, 900*time.Millisecond))
		if n.reachesStore() {
			n.servers.Replace(list, version)
		}
	}
}

// records returns what the store tells of the servers.
func (w *world) records(version revision.Revision) []*backend.Server {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	var list []*backend.Server
	for name, e := range w.engines.servers {
		e.settle()
		id := backend.Life{Instance: name, Born: e.born}.ID()
		list = append(list, &backend.Server{ID: id, Service: "s", Zone: "z", Slots: 8, Version: version, Models: e.holdings()})
	}
	return list
}

// isFrozen tells whether the node does not run now.
func (n *worldNode) isFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.frozen)
}

// awake waits until the node runs. It returns false if it has crashed.
func (n *worldNode) awake() bool {
	n.mu.Lock()
	until := n.frozen
	n.mu.Unlock()
	time.Sleep(time.Until(until))
	select {
	case <-n.crashed:
		return false
	default:
		return true
	}
}

func (n *worldNode) reachesStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return !n.noStore && !n.world.trouble.storeDown && time.Now().After(n.frozen)
}

// storeTroubled tells whether calls of the store go wrong.
func (t trouble) storeTroubled() bool {
	return t.storeDown || t.loseWrite+t.loseWritten+t.lateWrite+t.slow > 0
}

// contact is how long a node is without trouble until it counts as in touch with the
// store.
const contact = 5 * time.Second

// inTouch tells whether the node was without trouble with the store for so long that it
// may not go on without it.
func (n *worldNode) inTouch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return !n.noStore && !n.world.trouble.storeTroubled() &&
		time.Since(n.world.calm) > contact && time.Since(n.storeBack) > contact
}

// hang waits for the end of a call without an answer.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return errLost
}

// Read implements lease.Store.
func (n *worldNode) Read(ctx context.Context) (lease.Stored, error) {
	if !n.awake() || !n.reachesStore() {
		return lease.Stored{}, hang(ctx)
	}
	n.delay(ctx)
	s, err := n.world.row.Read(ctx)
	if !n.awake() || ctx.Err() != nil {
		return lease.Stored{}, errLost
	}
	return s, err
}

// Write implements lease.Store.
func (n *worldNode) Write(ctx context.Context, r lease.Record, over lease.Stored) (lease.Stored, error) {
	w := n.world
	if !n.awake() || !n.reachesStore() || w.chance(func(t trouble) float64 { return t.loseWrite }) {
		return lease.Stored{}, hang(ctx)
	}
	if w.chance(func(t trouble) float64 { return t.lateWrite }) {
		time.AfterFunc(w.between(time.Millisecond, 4*time.Second), func() { _, _ = w.row.Write(context.Background(), r, over) })
		return lease.Stored{}, hang(ctx)
	}
	n.delay(ctx)
	s, err := w.row.Write(ctx, r, over)
	if !n.awake() || ctx.Err() != nil || w.chance(func(t trouble) float64 { return t.loseWritten }) {
		return lease.Stored{}, hang(ctx)
	}
	return s, err
}

// delay is the time of a call.
func (n *worldNode) delay(ctx context.Context) {
	most := 10 * time.Millisecond
	if n.world.chance(func(t trouble) float64 { return t.slow }) {
		most = time.Second
	}
	timer := time.NewTimer(n.world.between(time.Millisecond, most))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Give implements Orders.
func (n *worldNode) Give(ctx context.Context, m *backend.Member, o Order) (Result, error) {
	w := n.world
	sent := time.Now()
	if !n.awake() {
		return 0, hang(ctx)
	}
	if o.May() != nil {
		return 0, ErrNotGiven
	}
	if o.Offline && n.inTouch() {
		w.t.Errorf("%s orders without the store, which answers", n.name)
	}
	thawed := time.Since(sent) > 0
	if n.cutOff(m.Instance()) || w.chance(func(t trouble) float64 { return t.loseOrder }) {
		return 0, hang(ctx)
	}
	if w.chance(func(t trouble) float64 { return t.lateOrder }) {
		time.AfterFunc(w.between(time.Millisecond, 3*time.Second), func() { w.take(m.Instance(), o, true) })
		return 0, hang(ctx)
	}
	if n.delay(ctx); ctx.Err() != nil {
		return 0, errLost // the connection closed before
	}
	result := w.take(m.Instance(), o, thawed)
	if !n.awake() || ctx.Err() != nil || w.chance(func(t trouble) float64 { return t.loseAnswer }) {
		return 0, hang(ctx)
	}
	return result, nil
}

// take has a server judge an order. One that comes late, by the network's or a
// freeze's fault, is not held against its sender's turn.
func (w *world) take(id string, o Order, late bool) Result {
	w.engines.mu.Lock()
	if w.engines.servers[id] == nil {
		w.engines.mu.Unlock()
		return Elsewhere
	}
	result := w.engines.take(id, o)
	w.engines.mu.Unlock()
	w.note("%s: %+v of %s is %d, late %t", id, o.Need, o.Holder, result, late)
	w.mu.Lock()
	defer w.mu.Unlock()
	if late {
		w.lates++
		return result
	}
	w.orders = append(w.orders, given{time.Now(), id, o, result})
	return result
}

// Report implements Orders.
func (n *worldNode) Report(ctx context.Context, m *backend.Member) (Report, error) {
	if !n.awake() || n.cutOff(m.Instance()) {
		return Report{}, hang(ctx)
	}
	n.delay(ctx)
	r, err := n.world.report(m.Life())
	if !n.awake() || ctx.Err() != nil || n.world.chance(func(t trouble) float64 { return t.loseAnswer }) {
		return Report{}, hang(ctx)
	}
	return r, err
}

// report returns what a server tells of itself.
func (w *world) report(of backend.Life) (Report, error) {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	e := w.engines.servers[of.Instance]
	switch {
	case e == nil:
		return Report{}, errLost
	case e.born != of.Born:
		return Report{}, ErrOtherLife
	}
	e.settle()
	return Report{Models: e.holdings(), Busy: !e.busyUntil.IsZero(), Sequence: e.sequence}, nil
}

func (n *worldNode) cutOff(server string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.noServers[server]
}

// Call implements peer.Transport.
func (n *worldNode) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	to := n.reach(address)
	if !n.awake() || to == nil {
		return nil, hang(ctx)
	}
	n.delay(ctx)
	answers := make(chan answered, 1)
	go func() { // a frozen node reads it when it goes on, also after its caller gave up
		if to.awake() {
			reply, err := to.member.HandleMessage(ctx, api.NodeRef{}, message)
			answers <- answered{reply, err, to.awake()}
		}
	}()
	select {
	case a := <-answers:
		if !a.sent || !n.awake() || ctx.Err() != nil {
			return nil, errLost
		}
		return a.reply, a.err
	case <-ctx.Done():
		n.awake()
		return nil, errLost
	}
}

// answered is what a node answers a call, and whether it got off.
type answered struct {
	reply peer.Message
	err   error
	sent  bool
}

// Send implements peer.Transport.
func (n *worldNode) Send(address string, message peer.Message) {
	to := n.reach(address)
	if to == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if n.awake() && to.awake() {
			_, _ = to.member.HandleMessage(ctx, api.NodeRef{}, message)
		}
	}()
}

// Close implements peer.Transport.
func (n *worldNode) Close() error { return nil }

// reach returns the node at an address, nil if a message does not get there.
func (n *worldNode) reach(address string) *worldNode {
	if n.world.chance(func(t trouble) float64 { return t.loseMessage }) {
		return nil
	}
	n.world.mu.Lock()
	nodes := slices.Clone(n.world.nodes)
	n.world.mu.Unlock()
	for _, to := range nodes {
		n.mu.Lock()
		cut := n.cutFrom[to.member.Self.Name]
		n.mu.Unlock()
		if to.member.Self.Peers == address && !cut {
			return to
		}
	}
	return nil
}

// serves tells a wish once and returns whether a server holds the model by now.
func (n *worldNode) serves(need string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o, err := n.member.Wake(ctx, relay.LoadRequest{
		Service: "s", Need: backend.ParseNeed(need), Priority: 1, Deadline: time.Now().Add(20 * time.Second), RequestID: need,
	})
	return err == nil && o.Server != ""
}
