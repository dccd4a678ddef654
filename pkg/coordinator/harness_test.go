package coordinator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/relay"
	"martenwheel.dev/pkg/route"
)

// Sizes of the test's engines.
const (
	engineBytes   = 200
	modelBytes    = 80
	adapterPlaces = 2
	loadTime      = 4 * time.Second // unless the test says otherwise
	diskTime      = 500 * time.Millisecond
	models        = 40
	loadRate      = 2
	turns         = 3 * time.Second
	window        = 5 * time.Second
)

// row is a lease in memory.
type row struct {
	mu      sync.Mutex
	stored  lease.Stored
	down    bool
	slow    time.Duration // until a write is done
	started time.Time
}

func (r *row) now() int64 { return time.Since(r.started).Milliseconds() }

func (r *row) Read(context.Context) (lease.Stored, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return lease.Stored{}, errDown
	}
	s := r.stored
	s.Now = r.now()
	return s, nil
}

func (r *row) Write(_ context.Context, next lease.Record, over lease.Stored) (lease.Stored, error) {
	r.mu.Lock()
	slow := r.slow
	r.mu.Unlock()
	time.Sleep(slow)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return lease.Stored{}, errDown
	}
	if over.Version.Number() != r.stored.Version.Number() || over.Record.Mark != r.stored.Record.Mark {
		s := r.stored
		s.Now = r.now()
		return s, lease.ErrConflict
	}
	r.stored = lease.Stored{Record: next, Version: r.stored.Version + 1, Now: r.now()}
	return r.stored, nil
}

func (r *row) setSlow(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow = d
}

func (r *row) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

var errDown = fmt.Errorf("the store is down")

// given is an order as an engine got it.
type given struct {
	at     time.Time
	server string
	order  Order
	result Result
}

// engines are model servers, by the names that they answer to, that judge orders as the
// platform's do.
type engines struct {
	t  testing.TB
	mu sync.Mutex

	servers map[string]*engineState
	orders  []given
	silent  int // orders that are taken and not answered
	lost    int // orders that never come
	load    time.Duration
	delay   time.Duration // of an order's answer
	late    []func()
}

// engineState is one server.
type engineState struct {
	born      int64 // of its life; zero: it has not started again under its name
	models    map[string]map[string]bool
	sequence  uint64
	fence     uint64
	busyUntil time.Time
	loading   string
	unloading string
	disk      []string // models with a copy on its disk
}

// reborn has a server start again under its name: it holds nothing and counts anew. The caller
// holds mu.
func (e *engines) reborn(name string) {
	e.servers[name] = &engineState{born: e.servers[name].born + 1, models: make(map[string]map[string]bool)}
}

// settle ends what is done by now.
func (e *engineState) settle() {
	if e.busyUntil.IsZero() || time.Now().Before(e.busyUntil) {
		return
	}
	if e.loading != "" {
		e.models[e.loading] = make(map[string]bool)
	}
	delete(e.models, e.unloading)
	e.loading, e.unloading, e.busyUntil = "", "", time.Time{}
}

// bytes is what the server holds or is loading.
func (e *engineState) bytes() int {
	n := len(e.models)
	if e.loading != "" {
		n++
	}
	return n * modelBytes
}

func (e *engineState) adapters() int {
	n := 0
	for _, names := range e.models {
		n += len(names)
	}
	return n
}

// Give implements Orders.
func (e *engines) Give(ctx context.Context, s *backend.Member, o Order) (Result, error) {
	time.Sleep(max(e.delay, 5*time.Millisecond))
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	e.mu.Lock()
	if e.lost > 0 {
		e.lost--
		e.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if e.silent > 0 {
		e.silent--
		e.late = append(e.late, func() { e.take(s.Instance(), o) })
		e.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	defer e.mu.Unlock()
	return e.take(s.Instance(), o), nil
}

// someLate tells whether an order was not answered and is not carried out yet.
func (e *engines) someLate() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.late) > 0
}

// carryOutLate carries out the orders that were not answered.
func (e *engines) carryOutLate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.late {
		f()
	}
	e.late = nil
}

// take judges an order. The caller holds mu.
func (e *engines) take(id string, o Order) Result {
	s := e.servers[id]
	s.settle()
	result := e.judge(s, o)
	e.orders = append(e.orders, given{time.Now(), id, o, result})
	return result
}

func (e *engines) judge(s *engineState, o Order) Result {
	if o.Fence < s.fence {
		return Fenced
	}
	s.fence = o.Fence
	_, holds := s.models[o.Need.Model]
	if o.Load && !holds && o.Need.Adapter == "" && s.loading != o.Need.Model && s.bytes()+modelBytes > engineBytes {
		e.t.Errorf("the server was ordered to load %s beyond its memory", o.Need.Model)
	}
	switch {
	case o.Expected != s.sequence || !s.busyUntil.IsZero():
		return Conflict
	case o.Need.Adapter != "":
		return e.judgeAdapter(s, o)
	case o.Load == holds:
		return Already
	case o.Load:
		s.loading, s.busyUntil = o.Need.Model, time.Now().Add(e.load)
		if slices.Contains(s.disk, o.Need.Model) {
			s.busyUntil = time.Now().Add(diskTime)
		}
	default:
		s.unloading, s.busyUntil = o.Need.Model, time.Now().Add(50*time.Millisecond)
	}
	s.sequence++
	return Accepted
}

func (e *engines) judgeAdapter(s *engineState, o Order) Result {
	names := s.models[o.Need.Model]
	switch {
	case names == nil:
		return Elsewhere
	case o.Load == names[o.Need.Adapter]:
		return Already
	case o.Load:
		names[o.Need.Adapter] = true
		if s.adapters() > adapterPlaces {
			e.t.Errorf("the server was ordered to load %s beyond its places", o.Need)
		}
		s.sequence++
		return Accepted
	default:
		delete(names, o.Need.Adapter)
		s.sequence++
		return Already
	}
}

// Report implements Orders.
func (e *engines) Report(_ context.Context, s *backend.Member) (Report, error) {
	time.Sleep(2 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.servers[s.Instance()]
	if state.born != s.Life().Born {
		return Report{}, ErrOtherLife
	}
	state.settle()
	return Report{Models: state.holdings(), Busy: !state.busyUntil.IsZero(), Sequence: state.sequence, OnDisk: slices.Clone(state.disk)}, nil
}

func (e *engineState) holdings() []backend.Holding {
	var list []backend.Holding
	for name, adapters := range e.models {
		h := backend.Holding{Model: name}
		for adapter := range adapters {
			h.Adapters = append(h.Adapters, adapter)
		}
		list = append(list, h)
	}
	return list
}

// given returns all orders that came.
func (e *engines) given() []given {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// loseAnswers has so many orders not answered.
func (e *engines) loseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = n
}

// loseOrders loses so many orders.
func (e *engines) loseOrders(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = n
}

// loads returns the orders that began a load of a model.
func (e *engines) loads() []given {
	var list []given
	for _, g := range e.given() {
		if g.result == Accepted && g.order.Load && g.order.Need.Adapter == "" {
			list = append(list, g)
		}
	}
	return list
}

// noTransport loses all messages.
type noTransport struct{ peer.Transport }

func (noTransport) Send(string, peer.Message) {}

// directTransport brings messages to the nodes of a site, by name; those that don't run
// are not reached.
type directTransport struct {
	noTransport
	site *site
}

// Call implements peer.Transport.
func (d directTransport) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	d.site.mu.Lock()
	to, other := d.site.running[address], d.site.members[address]
	d.site.mu.Unlock()
	if other != nil {
		return other.HandleMessage(ctx, api.NodeRef{}, message)
	}
	if to == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	member := &Member{Lease: to.lease, Holder: to.holder}
	return member.HandleMessage(ctx, api.NodeRef{}, message)
}

// site is engines, a store and holders.
type site struct {
	t       testing.TB
	row     *row
	engines *engines
	table   *route.Table
	list    []*backend.Server
	nodes   []Node       // that a starting node knows of
	logger  hclog.Logger // of nodes; none if nil
	fenced  bool         // holders rely on the servers' fences

	mu      sync.Mutex
	running map[string]*node   // by name
	members map[string]*Member // that are reached beside the nodes, by name
}

// newSite has servers that hold the models named, and models m0, m1 and so on.
func newSite(t testing.TB, holds ...[]string) *site {
	s := &site{t: t, running: make(map[string]*node), row: &row{started: time.Now()}, engines: &engines{t: t, load: loadTime, servers: make(map[string]*engineState)}}
	e := &route.Engine{Slots: 8, WeightBytes: engineBytes, AdapterPlaces: adapterPlaces, LoadsPerSecond: loadRate,
		CacheTokens: 250_000, EventTokens: 6,
		Models: make(map[string]*route.Model)}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		e.Models[name] = &route.Model{Name: name, Bytes: modelBytes, Adapters: 9, AdapterBytes: 1, LoadTime: loadTime, DiskTime: diskTime}
	}
	s.table = route.NewTable(1, route.Limits{}, nil, []*route.Service{{Name: "s", Engine: e}})
	for i, models := range holds {
		id := fmt.Sprintf("server-%d", i)
		state := &engineState{models: make(map[string]map[string]bool)}
		server := &backend.Server{ID: id, Service: "s", Zone: "z", Slots: 8, Version: 1}
		for _, m := range models {
			state.models[m] = make(map[string]bool)
			server.Models = append(server.Models, backend.Holding{Model: m})
		}
		s.engines.servers[id] = state
		s.list = append(s.list, server)
	}
	return s
}

// nodeStore is the store as one node reaches it.
type nodeStore struct {
	*row
	away atomic.Bool
}

// Read implements lease.Store.
func (s *nodeStore) Read(ctx context.Context) (lease.Stored, error) {
	if s.away.Load() {
		return lease.Stored{}, errDown
	}
	return s.row.Read(ctx)
}

// Write implements lease.Store.
func (s *nodeStore) Write(ctx context.Context, next lease.Record, over lease.Stored) (lease.Stored, error) {
	if s.away.Load() {
		return lease.Stored{}, errDown
	}
	return s.row.Write(ctx, next, over)
}

// node is a node with its own holder and view of the servers.
type node struct {
	store   *nodeStore
	holder  *Holder
	lease   *lease.Lease
	servers *backend.Directory
	stop    func()
}

// budget is that of the site's repeats.
func (s *site) budget() relay.BudgetConfig {
	return relay.BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}
}

// start runs a node.
func (s *site) start(name string) *node {
	n := &node{servers: &backend.Directory{}, store: &nodeStore{row: s.row}}
	n.servers.Replace(s.list, 1)
	n.lease = &lease.Lease{Store: n.store, Self: name, Address: name}
	if machine, _, several := strings.Cut(name, "/"); several {
		n.lease.IncarnationPrefix, n.lease.Address = machine+"/", machine
	}
	decider, _ := policy.ByName(policy.NameDemandFirst)
	n.holder = &Holder{Quarantine: new(quarantine.Table),
		Lease: n.lease, Routes: func() *route.Table { return s.table }, Servers: n.servers, Orders: s.engines,
		Transport: directTransport{site: s}, Decider: decider, Turns: turns, Fenced: s.fenced,
		Ceiling: Ceiling{Window: window}, Budget: s.budget(), Logger: s.logger, Nodes: func() []Node { return s.nodes },
	}
	n.lease.Fleet, n.lease.AllowOffline = n.holder.Fleet, n.holder.MayGoOn
	s.mu.Lock()
	s.running[name] = n
	s.mu.Unlock()
	if s.logger == nil {
		n.holder.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	n.stop = func() {
		s.mu.Lock()
		delete(s.running, name)
		s.mu.Unlock()
		cancel()
		time.Sleep(time.Second) // virtual; for what is under way to end
	}
	go n.lease.Run(ctx)
	go n.holder.Run(ctx)
	return n
}

// hold waits until the node holds the lease.
func (n *node) hold() {
	for _, held := n.lease.Held(); !held; _, held = n.lease.Held() {
		time.Sleep(time.Millisecond)
	}
}

// wish asks the node's holder for a model.
func (n *node) wish(t *testing.T, need string) WishAnswer {
	t.Helper()
	return n.wishWith(t, need, 2)
}

// wishWith tells a wish of a priority, 0 being the most urgent.
func (n *node) wishWith(t *testing.T, need string, priority int) WishAnswer {
	t.Helper()
	reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, WishMessage{Service: "s", Need: need, Priority: priority, Left: 20 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	answer := reply.(WishAnswer)
	if answer.Term == 0 {
		n.lease.Suspect() // as a member does
	}
	return answer
}

// bubble runs a test under virtual time.
func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
