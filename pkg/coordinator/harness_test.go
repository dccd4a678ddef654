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

// Sizes and times of the test engines.
const (
	engineBytes       = 200
	modelBytes        = 80
	adapterBytes      = 1
	adapterPlaces     = 2
	loadTime          = 4 * time.Second // unless the test sets another one
	diskLoadTime      = 500 * time.Millisecond
	modelCount        = 40
	loadRate          = 2
	holderChangePause = 3 * time.Second
	ceilingWindow     = 5 * time.Second
)

// memoryStore is a lease store in memory.
type memoryStore struct {
	mu         sync.Mutex
	stored     lease.Stored
	down       bool
	writeDelay time.Duration // duration of each write
	started    time.Time
}

func (r *memoryStore) now() int64 { return time.Since(r.started).Milliseconds() }

func (r *memoryStore) Read(context.Context) (lease.Stored, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return lease.Stored{}, errStoreDown
	}
	s := r.stored
	s.Now = r.now()
	return s, nil
}

func (r *memoryStore) Write(_ context.Context, next lease.Record, over lease.Stored) (lease.Stored, error) {
	r.mu.Lock()
	slow := r.writeDelay
	r.mu.Unlock()
	time.Sleep(slow)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return lease.Stored{}, errStoreDown
	}
	if over.Version.Number() != r.stored.Version.Number() || over.Record.Mark != r.stored.Record.Mark {
		s := r.stored
		s.Now = r.now()
		return s, lease.ErrConflict
	}
	r.stored = lease.Stored{Record: next, Version: r.stored.Version + 1, Now: r.now()}
	return r.stored, nil
}

func (r *memoryStore) setWriteDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeDelay = d
}

func (r *memoryStore) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

var errStoreDown = fmt.Errorf("store is down")

// receivedOrder is an order that an engine received, with its result.
type receivedOrder struct {
	at     time.Time
	server string
	order  Order
	result Result
}

// engines is a set of model servers by name. They check orders as real servers do.
type engines struct {
	t  testing.TB
	mu sync.Mutex

	servers       map[string]*engineState
	orders        []receivedOrder
	answersToLose int // how many of the next orders get no answer, and take effect later
	ordersToLose  int // how many of the next orders never arrive
	loadDuration  time.Duration
	answerDelay   time.Duration  // before an order takes effect and is answered
	sizes         map[string]int // memory that a model takes if it is loaded now, if it is not modelBytes
	delayedOrders []func()
}

// engineState is the state of one server.
type engineState struct {
	incarnation    int64 // increases with each restart under the same name
	models         map[string]map[string]bool
	sequence       uint64
	fence          uint64
	busyUntil      time.Time
	loadingModel   string
	unloadingModel string
	sizes          map[string]int // memory that the models it holds or loads take, if it is not modelBytes
	onDisk         []string       // models whose weights are cached on the server's disk
}

// resetServer restarts a server under its name: it holds nothing and counts orders from zero again.
// The caller holds mu.
func (e *engines) resetServer(name string) {
	e.servers[name] = &engineState{incarnation: e.servers[name].incarnation + 1, models: make(map[string]map[string]bool)}
}

// completeDue completes a load or unload whose time has passed.
func (e *engineState) completeDue() {
	if e.busyUntil.IsZero() || time.Now().Before(e.busyUntil) {
		return
	}
	if e.loadingModel != "" {
		e.models[e.loadingModel] = make(map[string]bool)
	}
	delete(e.models, e.unloadingModel)
	e.loadingModel, e.unloadingModel, e.busyUntil = "", "", time.Time{}
}

// usedBytes returns the memory of the models that the server holds or is loading.
func (e *engineState) usedBytes() int {
	used := 0
	for name := range e.models {
		used += sizeIn(e.sizes, name)
	}
	if e.loadingModel != "" {
		used += sizeIn(e.sizes, e.loadingModel)
	}
	return used + e.adapterCount()*adapterBytes
}

// sizeIn returns the memory that a model takes by a list of sizes that differ from modelBytes.
func sizeIn(sizes map[string]int, model string) int {
	if bytes, known := sizes[model]; known {
		return bytes
	}
	return modelBytes
}

// startLoad starts a load that ends after the given time. The model takes as much memory as it does now until it is unloaded.
func (e *engineState) startLoad(model string, bytes int, duration time.Duration) {
	if e.sizes == nil {
		e.sizes = make(map[string]int)
	}
	e.sizes[model] = bytes
	e.loadingModel, e.busyUntil = model, time.Now().Add(duration)
}

func (e *engineState) adapterCount() int {
	n := 0
	for _, names := range e.models {
		n += len(names)
	}
	return n
}

// SendOrder implements Orders.
func (e *engines) SendOrder(ctx context.Context, s *backend.Member, o Order) (Result, error) {
	time.Sleep(max(e.answerDelay, 5*time.Millisecond))
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	e.mu.Lock()
	if e.ordersToLose > 0 {
		e.ordersToLose--
		e.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if e.answersToLose > 0 {
		e.answersToLose--
		e.delayedOrders = append(e.delayedOrders, func() { e.receive(s.Instance(), o) })
		e.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	defer e.mu.Unlock()
	return e.receive(s.Instance(), o), nil
}

// hasDelayedOrders reports whether some order was not answered and has not been applied yet.
func (e *engines) hasDelayedOrders() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.delayedOrders) > 0
}

// applyDelayedOrders applies the orders that were not answered.
func (e *engines) applyDelayedOrders() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.delayedOrders {
		f()
	}
	e.delayedOrders = nil
}

// receive applies an order and records it. The caller holds mu.
func (e *engines) receive(id string, o Order) Result {
	s := e.servers[id]
	s.completeDue()
	result := e.apply(s, o)
	e.orders = append(e.orders, receivedOrder{time.Now(), id, o, result})
	return result
}

func (e *engines) apply(s *engineState, o Order) Result {
	if o.Fence < s.fence {
		return Fenced
	}
	s.fence = o.Fence
	_, holds := s.models[o.Need.Model]
	if o.Load && !holds && o.Need.Adapter == "" && s.loadingModel != o.Need.Model && s.usedBytes()+sizeIn(e.sizes, o.Need.Model) > engineBytes {
		e.t.Errorf("order to load %s exceeds the server's memory, of which %d are taken: %v", o.Need.Model, s.usedBytes(), s.sizes)
	}
	switch {
	case o.Expected != s.sequence || !s.busyUntil.IsZero():
		return Conflict
	case o.Need.Adapter != "":
		return e.applyAdapter(s, o)
	case o.Load == holds:
		return Already
	case o.Load:
		duration := e.loadDuration
		if slices.Contains(s.onDisk, o.Need.Model) {
			duration = diskLoadTime
		}
		s.startLoad(o.Need.Model, sizeIn(e.sizes, o.Need.Model), duration)
	default:
		s.unloadingModel, s.busyUntil = o.Need.Model, time.Now().Add(50*time.Millisecond)
	}
	s.sequence++
	return Accepted
}

func (e *engines) applyAdapter(s *engineState, o Order) Result {
	names := s.models[o.Need.Model]
	switch {
	case names == nil:
		return Elsewhere
	case o.Load == names[o.Need.Adapter]:
		return Already
	case o.Load:
		names[o.Need.Adapter] = true
		if s.adapterCount() > adapterPlaces {
			e.t.Errorf("order to load %s exceeds the server's adapter places", o.Need)
		}
		if s.usedBytes() > engineBytes {
			e.t.Errorf("order to load %s exceeds the server's memory", o.Need)
		}
		s.sequence++
		return Accepted
	default:
		delete(names, o.Need.Adapter)
		s.sequence++
		return Already
	}
}

// FetchReport implements Orders.
func (e *engines) FetchReport(_ context.Context, s *backend.Member) (Report, error) {
	time.Sleep(2 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.servers[s.Instance()]
	if state.incarnation != s.Incarnation().Started {
		return Report{}, ErrOtherIncarnation
	}
	state.completeDue()
	return Report{Models: state.holdings(), Busy: !state.busyUntil.IsZero(), Sequence: state.sequence, OnDisk: slices.Clone(state.onDisk)}, nil
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

// receivedOrders returns all orders received so far.
func (e *engines) receivedOrders() []receivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// loseAnswers leaves the next n orders without an answer; they take effect when applyDelayedOrders
// is called.
func (e *engines) loseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answersToLose = n
}

// loseOrders drops the next n orders.
func (e *engines) loseOrders(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordersToLose = n
}

// loads returns the orders that started loading a model.
func (e *engines) loads() []receivedOrder {
	var list []receivedOrder
	for _, g := range e.receivedOrders() {
		if g.result == Accepted && g.order.Load && g.order.Need.Adapter == "" {
			list = append(list, g)
		}
	}
	return list
}

// droppingTransport drops all messages.
type droppingTransport struct{ peer.Transport }

func (droppingTransport) Send(string, peer.Message) {}

// directTransport delivers messages to the nodes of a site by name. Nodes that are not running can't
// be reached.
type directTransport struct {
	droppingTransport
	site *site
}

// Call implements peer.Transport.
func (d directTransport) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	d.site.mu.Lock()
	to, other := d.site.runningNodes[address], d.site.reachableMembers[address]
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

// site is a test site: engines, a lease store and the nodes that run.
type site struct {
	t             testing.TB
	leaseStore    *memoryStore
	engines       *engines
	table         *route.Table
	serverRecords []*backend.Server
	knownNodes    []Node       // that a starting node knows of
	logger        hclog.Logger // logger of the nodes; nil discards everything
	fenced        bool         // holders rely on the servers' fences
	// laterTable is the configuration in force once it has changed.
	laterTable atomic.Pointer[route.Table]
	// routesOverdue tells holders whether it may have changed; nil: it has not.
	routesOverdue func() bool

	mu               sync.Mutex
	runningNodes     map[string]*node   // by name
	reachableMembers map[string]*Member // added by startMember, by name
}

// newSite returns a site with one server per argument, which holds the given models. The
// configuration has the models m0, m1 and so on.
func newSite(t testing.TB, held ...[]string) *site {
	s := &site{t: t, runningNodes: make(map[string]*node), leaseStore: &memoryStore{started: time.Now()}, engines: &engines{t: t, loadDuration: loadTime, servers: make(map[string]*engineState)}}
	e := &route.Engine{Slots: 8, WeightBytes: engineBytes, AdapterPlaces: adapterPlaces, LoadsPerSecond: loadRate,
		CacheTokens: 250_000, EventTokens: 6,
		Models: make(map[string]*route.Model)}
	for i := range modelCount {
		name := fmt.Sprintf("m%d", i)
		e.Models[name] = &route.Model{Name: name, Bytes: modelBytes, Adapters: 9, AdapterBytes: 1, LoadTime: loadTime, DiskTime: diskLoadTime}
	}
	s.table = route.NewTable(1, route.Limits{}, nil, []*route.Service{{Name: "s", Engine: e}})
	for i, models := range held {
		id := fmt.Sprintf("server-%d", i)
		state := &engineState{models: make(map[string]map[string]bool)}
		server := &backend.Server{ID: id, Service: "s", Zone: "z", Slots: 8, Version: 1}
		for _, m := range models {
			state.models[m] = make(map[string]bool)
			server.Models = append(server.Models, backend.Holding{Model: m})
		}
		s.engines.servers[id] = state
		s.serverRecords = append(s.serverRecords, server)
	}
	return s
}

// nodeStore is the lease store as seen by one node.
type nodeStore struct {
	*memoryStore
	unreachable atomic.Bool
}

// Read implements lease.Store.
func (s *nodeStore) Read(ctx context.Context) (lease.Stored, error) {
	if s.unreachable.Load() {
		return lease.Stored{}, errStoreDown
	}
	return s.memoryStore.Read(ctx)
}

// Write implements lease.Store.
func (s *nodeStore) Write(ctx context.Context, next lease.Record, over lease.Stored) (lease.Stored, error) {
	if s.unreachable.Load() {
		return lease.Stored{}, errStoreDown
	}
	return s.memoryStore.Write(ctx, next, over)
}

// node is a node with its own holder and its own view of the servers.
type node struct {
	store   *nodeStore
	holder  *Holder
	lease   *lease.Lease
	servers *backend.Directory
	stop    func()
}

// currentTable returns the configuration in force.
func (s *site) currentTable() *route.Table {
	if later := s.laterTable.Load(); later != nil {
		return later
	}
	return s.table
}

// retryBudget returns the configuration of the site's retry budget.
func (s *site) retryBudget() relay.BudgetConfig {
	return relay.BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}
}

// start starts a node.
func (s *site) start(name string) *node {
	n := &node{servers: &backend.Directory{}, store: &nodeStore{memoryStore: s.leaseStore}}
	n.servers.Replace(s.serverRecords, 1)
	n.lease = &lease.Lease{Store: n.store, Self: name, Address: name}
	if machine, _, several := strings.Cut(name, "/"); several {
		n.lease.IncarnationPrefix, n.lease.Address = machine+"/", machine
	}
	decider, _ := policy.ByName(policy.NameDemandFirst)
	n.holder = &Holder{Quarantine: new(quarantine.Table),
		Lease: n.lease, Routes: s.currentTable, Servers: n.servers, Orders: s.engines,
		Transport: directTransport{site: s}, Decider: decider, HandoverPause: holderChangePause, Fenced: s.fenced,
		Ceiling: Ceiling{Window: ceilingWindow}, Budget: s.retryBudget(), Logger: s.logger, Nodes: func() []Node { return s.knownNodes },
		RoutesOverdue: s.routesOverdue,
	}
	n.lease.Fleet, n.lease.AllowOffline, n.lease.Sizes = n.holder.FleetSize, n.holder.MayContinueOffline, n.holder.ModelSizes
	s.mu.Lock()
	s.runningNodes[name] = n
	s.mu.Unlock()
	if s.logger == nil {
		n.holder.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	n.stop = func() {
		s.mu.Lock()
		delete(s.runningNodes, name)
		s.mu.Unlock()
		cancel()
		time.Sleep(time.Second) // virtual; lets pending calls end
	}
	go n.lease.Run(ctx)
	go n.holder.Run(ctx)
	return n
}

// waitForLease waits until the node holds the lease.
func (n *node) waitForLease() {
	for _, held := n.lease.Held(); !held; _, held = n.lease.Held() {
		time.Sleep(time.Millisecond)
	}
}

// requestLoad asks the node's holder to load a model.
func (n *node) requestLoad(t *testing.T, need string) WishAnswer {
	t.Helper()
	return n.requestLoadWithPriority(t, need, 2)
}

// requestLoadWithPriority asks the node's holder to load a model with a priority; 0 is the most
// urgent.
func (n *node) requestLoadWithPriority(t *testing.T, need string, priority int) WishAnswer {
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

// bubble runs a test in a synctest bubble, under virtual time.
func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
