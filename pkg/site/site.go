// Package site runs one node of a site whose control state is in a shared
// store. It relays callers' requests (package relay), takes part in the coordination
// of the nodes (packages coordinator and lease), and shuts down gracefully. An
// adapter provides the protocols of the platform.
package site

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/coordinator"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/relay"
	"martenwheel.dev/pkg/revision"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/storeclock"
	"martenwheel.dev/pkg/tunnel"
	"martenwheel.dev/pkg/watch"
)

// Site is one node of a site. Set the fields before Run.
type Site struct {
	Self    coordinator.Node
	Headers relay.Headers
	Routes  func() *route.Table
	// Configured is called with the version of the lease holder's configuration; may be nil.
	Configured func(version uint64)
	Keys       relay.KeyAge      // limits the age of the key table by which requests are admitted
	Clock      *storeclock.Clock // the store's clock
	Servers    *backend.Directory
	Dial       backend.Dialer // connects to servers directly; nil: Dial
	Store      lease.Store
	Origins    lineage.Store  // keeps the origins of streams; nil: they are lost with all nodes
	Tables     []*watch.Table // tables of the store that the site keeps up to date
	Orders     coordinator.Orders
	// ReadVersions reads from the platform's store which software versions serve.
	ReadVersions coordinator.ReadVersions
	// Identify returns a probe that finds out whether a server is the incarnation of its record; may be nil.
	Identify func(m *backend.Member) *backend.Probe
	Mover    relay.Mover // moves running streams between servers; nil: streams are not moved
	// DrainTime is how long a draining server keeps serving at least; zero: unknown.
	DrainTime     time.Duration
	HandoverPause time.Duration       // pause between the orders of two successive lease holders to one server
	Fenced        bool                // servers refuse orders of lower terms than the highest they have seen
	Ceiling       coordinator.Ceiling // limits loads from the weight store
	Budget        relay.BudgetConfig  // limits retries at another server, over all nodes
	// Tolerance is how far tenants' quotas may be exceeded.
	Tolerance quota.Tolerance
	// Regions maps each zone to its region; nil: unknown.
	Regions    map[string]string
	FirstStart bool          // this is the first start of the whole site
	Grace      time.Duration // time limit for a graceful shutdown
	Linger     time.Duration // time after the start of a shutdown in which new callers are still served
	Memory     int64         // bytes that the process may take; zero: unknown
	Conns      ConnLimits    // of the listeners
	Metrics    string        // IP:port; empty: not served
	Registry   *prometheus.Registry
	Logger     hclog.Logger

	member   *coordinator.Member
	lineage  *lineage.Register
	hub      *watch.Hub
	relay    *relay.Relay
	traffic  *peerTraffic
	reach    *tunnel.Reach
	dialer   *tunnel.Dialer
	helper   *tunnel.Helper
	stopping atomic.Bool
	stopped  time.Time // when the planned stop began; zero: it has not; used by the goroutine of Run only
	watched  convertedNodes[watch.Node]
	known    convertedNodes[lineage.Node]

	transport peer.Transport
}

// Ready reports whether this node can serve callers.
func (s *Site) Ready() bool {
	return !s.stopping.Load() && s.Routes() != nil && s.Servers.Known()
}

// Nodes returns the nodes of the site that this node knows.
func (s *Site) Nodes() []coordinator.Node {
	if s.member == nil {
		return nil
	}
	return s.member.Nodes()
}

// listen opens the listeners for callers and peers.
func (s *Site) listen() (net.Listener, *peer.Server, error) {
	callers, err := Listen(s.Self.Callers, s.Logger)
	if err != nil {
		return nil, nil, errors.Wrap(err, "site: callers")
	}
	peers, err := peer.Listen(peer.Config{Self: s.nodeRef(), Address: s.Self.Peers, Logger: s.Logger, Counters: s.traffic.counters,
		Limits: peer.ServiceLimits{Hellos: s.Conns.Hellos}})
	if err != nil {
		_ = callers.Close()
		return nil, nil, errors.Wrap(err, "site: peers")
	}
	return callers, peers, nil
}

// nodeRef returns the reference by which peers know this node.
func (s *Site) nodeRef() api.NodeRef {
	return api.NodeRef{ID: api.NodeID(s.Self.Name), Incarnation: uint64(s.Self.Life), PeerAddress: s.Self.Peers, Zone: s.Self.Zone}
}

// peerDialTimeout is the timeout for connecting to another node.
const peerDialTimeout = 500 * time.Millisecond

// assemble creates the parts of the node and connects them.
func (s *Site) assemble() (*lease.Lease, *coordinator.Holder, peer.Transport) {
	transport := peer.NewClient(peer.Config{
		Self: s.nodeRef(), Logger: s.Logger, Counters: s.traffic.counters, Timeouts: peer.Timeouts{Dial: peerDialTimeout, Write: time.Second, Ping: time.Second},
	})
	l := &lease.Lease{
		Store: s.Store, IncarnationPrefix: s.Self.Name + "/", Self: s.Self.Name + "/" + strconv.FormatInt(s.Self.Life, 36),
		Address: s.Self.Peers,
		Log:     func(message string, fields ...any) { s.Logger.Info(message, fields...) },
	}
	known := new(quarantine.Table)
	registerQuarantine(s.Registry, known)
	registerBackpressure(s.Registry, s.Servers)
	decider, _ := policy.ByName(policy.NameDemandFirst)
	holder := &coordinator.Holder{
		Lease: l, Routes: s.Routes, Servers: s.Servers, Orders: s.Orders, Transport: transport,
		Clock: s.Clock, Decider: decider, HandoverPause: s.HandoverPause, Fenced: s.Fenced, Ceiling: s.Ceiling, Budget: s.Budget, Tolerance: s.Tolerance, Quarantine: known,
		Logger: s.Logger.Named("holder"),
	}
	s.member = &coordinator.Member{
		Self: s.Self, Lease: l, Holder: holder, Transport: transport, Servers: s.Servers, Clock: s.Clock, Quarantine: known, Configured: s.Configured,
		Logger: s.Logger.Named("member"),
	}
	s.Servers.OnSignalChange = s.member.SignalsChanged
	holder.Nodes, holder.HolderSilence, holder.ScarceTenants = s.member.Nodes, s.member.HolderSilence, s.member.ScarceTenants
	s.hub = &watch.Hub{
		Self: watchNode(s.Self), Nodes: s.watchNodes, Known: s.member.NodesKnown, Transport: transport,
		Tables: s.Tables, FirstStart: s.FirstStart, Logger: s.Logger.Named("watch"),
		NeedsWhole: func() bool { _, held := l.Held(); return held },
	}
	holder.Complete, holder.ListAge, holder.ListRevision = s.tablesComplete, s.serversAge, s.serversRevision
	holder.RoutesOverdue = s.configurationOverdue
	s.member.ReadVersions = s.ReadVersions
	s.Servers.Age = s.serversAge
	s.member.NearestFullNode, s.member.EnsureServers = s.nearestFullNode, s.ensureServers
	l.Fleet, l.AllowOffline = holder.FleetSize, holder.MayContinueOffline
	l.Quarantine = func(recorded []quarantine.Aged) []quarantine.Aged { return known.MergeStored(clock.Now(), recorded) }
	l.Quotas, l.Sole, l.Sizes = holder.QuotaBalances, holder.SoleVersions, holder.ModelSizes
	l.FirstStart, l.TakeoverDelay = s.FirstStart, s.takeoverDelay
	l.Eager = func() bool { return s.member.NodesKnown() && s.hub.Watching() }
	s.member.Candidate = s.hub.Watching
	s.lineage = &lineage.Register{
		Self: s.Self.Name, Nodes: s.lineageNodes, Holder: func() string { return s.holderAddress(l) }, Transport: transport, Logger: s.Logger.Named("lineage"),
		Store: s.Origins, Alone: s.member.ServedAlone,
	}
	s.Registry.MustRegister(s.lineage.Collect()...)
	s.relay = &relay.Relay{
		Headers: s.Headers, Node: s.Self.Name, Zone: s.Self.Zone, Regions: s.Regions, Routes: s.Routes, Keys: s.Keys, Quotas: s.member, Servers: s.Servers, Answers: s.newAnswers(), Loader: s.member,
		Quarantine: s.member, Slots: s.member, Places: s.member, Lineage: s.lineage, SoleVersion: s.member.SoleVersion, ConfirmSole: s.member.ConfirmSole, ListsAll: s.tablesComplete, Identify: s.Identify, Mover: s.Mover, DrainTime: s.DrainTime,
		Nodes: s.member.FleetSize, Budget: s.Budget, Lender: s.member, BudgetStart: s.budgetStart(clock.Now()), Logger: s.Logger.Named("relay"),
		Metrics: relay.NewMetrics(s.Registry), RequestArrived: s.member.RequestArrived, Bodies: s.newBodies(),
	}
	return l, holder, transport
}

// budgetStart returns the time since which this node's share of the retry budget counts as unspent. An earlier
// incarnation may have spent it up to now, except at the first start of the site.
func (s *Site) budgetStart(now time.Time) time.Time {
	if s.FirstStart {
		return now.Add(-s.Budget.FillTime())
	}
	return now
}

// maxTakeoverDelay is how long a node with next to no CPU leaves a free lease to more powerful nodes. The lease
// holder of a site of 195 nodes needs a good part of a weak node's CPU for heartbeats and plans, so that its
// calls to the store are late.
const maxTakeoverDelay = 400 * time.Millisecond

// takeoverDelay returns how long this node leaves a free lease to more powerful nodes.
func (s *Site) takeoverDelay() time.Duration {
	most := defaultPower
	if s.member.NodesKnown() {
		most = s.Self.Power
		for _, n := range s.member.Nodes() {
			most = max(most, n.Power)
		}
	}
	return time.Duration(float64(maxTakeoverDelay) * max(1-s.Self.Power/max(most, minPower), 0))
}

// CPU power of a node, in cores.
const (
	defaultPower = 1.0  // assumed for other nodes while none are known
	minPower     = 0.01 // lower bound of the highest known power, to avoid a division by zero
)

// tablesComplete reports whether this node has all rows of all tables.
func (s *Site) tablesComplete() bool {
	for _, t := range s.Tables {
		if !t.Whole() {
			return false
		}
	}
	return true
}

// configurationOverdue reports whether the configuration was not confirmed to be in force for longer than its bound.
func (s *Site) configurationOverdue() bool {
	return slices.ContainsFunc(s.Tables, func(t *watch.Table) bool { return !t.Partitioned && t.Overdue() })
}

// serversAge returns the time since the list of servers was last confirmed to be up to date.
func (s *Site) serversAge() time.Duration {
	age := time.Duration(0)
	for _, t := range s.Tables {
		if t.Partitioned {
			age = max(age, t.Age())
		}
	}
	return age
}

// serversRevision returns the revision of the store at which the list of servers was last confirmed.
func (s *Site) serversRevision() revision.Revision {
	for _, t := range s.Tables {
		if t.Partitioned {
			return t.Version()
		}
	}
	return 0
}

// nearestFullNode returns the address of a node that knows all servers; empty if this one does.
func (s *Site) nearestFullNode() string {
	if s.tablesComplete() {
		return ""
	}
	return s.hub.MainParent()
}

// ensureServers subscribes this node to the rows of servers that it does not know.
func (s *Site) ensureServers(ctx context.Context, servers []string) error {
	keys := make([]string, len(servers))
	for i, id := range servers {
		keys[i] = backend.ParseIncarnation(id).Instance
	}
	for _, t := range s.Tables {
		if !t.Partitioned {
			continue
		}
		if err := s.hub.Cover(ctx, t.Name, keys...); err != nil {
			return err
		}
	}
	return nil
}

// convertedNodes caches the conversion of the list of nodes to the form of another package, which gets the same
// slice while the nodes are unchanged.
type convertedNodes[N any] struct {
	converted atomic.Pointer[conversion[N]]
}

// conversion is a list of nodes and its conversion.
type conversion[N any] struct {
	source []coordinator.Node
	list   []N
}

// get returns the conversion of the given nodes, of which there is at least one.
func (c *convertedNodes[N]) get(nodes []coordinator.Node, convert func(coordinator.Node) N) []N {
	if known := c.converted.Load(); known != nil && len(known.source) == len(nodes) && &known.source[0] == &nodes[0] {
		return known.list
	}
	next := &conversion[N]{source: nodes, list: make([]N, len(nodes))}
	for i := range nodes {
		next.list[i] = convert(nodes[i])
	}
	c.converted.Store(next)
	return next.list
}

// watchNodes returns the nodes of the site in the form of package watch.
func (s *Site) watchNodes() []watch.Node { return s.watched.get(s.member.Nodes(), watchNode) }

// lineageNodes returns the nodes of the site in the form of package lineage.
func (s *Site) lineageNodes() []lineage.Node { return s.known.get(s.member.Nodes(), lineageNode) }

func lineageNode(n coordinator.Node) lineage.Node {
	return lineage.Node{Name: n.Name, Zone: n.Zone, Address: n.Peers, Stopping: n.Stopping}
}

// holderAddress returns the address of the node that holds the lease, empty if that is unknown or this node.
func (s *Site) holderAddress(l *lease.Lease) string {
	record, _ := l.Current()
	if record.Holder == "" || record.Address == s.Self.Peers {
		return ""
	}
	return record.Address
}

func watchNode(n coordinator.Node) watch.Node {
	return watch.Node{Name: n.Name, Zone: n.Zone, Peers: n.Peers, Power: n.Power, Follows: n.Follows, Leaving: n.Stopping}
}

// HandleMessage implements peer.Handler.
func (s *Site) HandleMessage(ctx context.Context, from api.NodeRef, message peer.Message) (peer.Message, error) {
	if reply, handled, err := s.hub.Handle(ctx, message); handled {
		return reply, err
	}
	if reply, handled := s.lineage.Handle(ctx, message); handled {
		return reply, nil
	}
	if stops, is := message.(tunnel.Stops); is {
		s.dialer.NodeStops(stops.Node)
		return nil, nil
	}
	return s.member.HandleMessage(ctx, from, message)
}

// headerTime is the timeout for reading the headers of an operator's request.
const headerTime = 10 * time.Second

// Run serves until ctx ends and the graceful shutdown is finished.
func (s *Site) Run(ctx context.Context) error {
	s.traffic = newPeerTraffic(s.Registry)
	s.reach = &tunnel.Reach{}
	listener, peers, err := s.listen()
	if err != nil {
		return err
	}
	conns := s.newCallers(listener)
	l, holder, transport := s.assemble()
	conns.yieldBody, conns.heads = s.relay.Bodies.YieldLongest, s.newHeads()
	s.transport = transport
	s.connectThroughOthers(l)
	peers.Serve(s)
	defer s.watchSuspension()()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := conns.newServer(s.relay)
	var tasks conc.WaitGroup
	tasks.Go(func() { l.Run(ctx) })
	tasks.Go(func() { holder.Run(background) })
	tasks.Go(func() { s.member.Run(background) })
	tasks.Go(func() { s.hub.Run(background) })
	tasks.Go(func() { s.lineage.Run(background) })
	tasks.Go(func() { s.dialer.Run(background) })
	tasks.Go(func() { s.keepConnectionShares(background) })
	tasks.Go(func() { s.serveMetrics(background) })
	tasks.Go(func() { s.traffic.summarize(background, s.Logger) })
	failed := make(chan error, 1)
	tasks.Go(func() { conns.run(background) })
	tasks.Go(func() { failed <- server.Serve(conns) })
	s.Logger.Info("serving", "callers", s.Self.Callers, "peers", s.Self.Peers, "pid", os.Getpid())
	select {
	case err = <-failed:
		s.Logger.Error("serving callers failed", "error", err)
	case <-ctx.Done():
		s.stop(server, conns)
		err = nil
	}
	cancel()
	_ = peers.Close()
	_ = transport.Close()
	tasks.Wait()
	return err
}

// Times of a graceful shutdown.
const (
	stopMargin       = 400 * time.Millisecond // part of the grace period reserved for the end of the process
	stopPollInterval = 50 * time.Millisecond  // interval of checks whether all requests are finished
	// shutdownTimeout is the time for sending the responses to cancelled requests and for closing unused
	// connections.
	shutdownTimeout = 200 * time.Millisecond
	// backlogTime is the part of shutdownTimeout in which connections are still accepted. Many wait for that if this process
	// has just stood still, and would be reset with their requests.
	backlogTime = 30 * time.Millisecond
	// cutOffTime is the time for requests whose connections were closed to end and to be logged. The rest of
	// stopMargin is for other nodes' connections and the log.
	cutOffTime = 100 * time.Millisecond
	// closePollInterval is the interval of checks whether connections are unused, or closed requests have ended.
	closePollInterval = 5 * time.Millisecond
)

// stop waits for running requests to finish and still serves new ones, within the grace period, and then
// cancels the rest.
func (s *Site) stop(server *http.Server, conns *callers) {
	began := clock.Now()
	s.stopped = began
	s.stopping.Store(true)
	s.member.Stop()
	s.relay.Stop(s.Grace)
	s.tellTunnelOwners()
	s.Logger.Info("stopping", "in_flight", s.relay.InFlight(), "grace_ms", s.Grace.Milliseconds())
	for left := s.Grace - stopMargin; left > 0; left = s.Grace - stopMargin - clock.Since(began) {
		if clock.Since(began) > s.Linger && s.relay.InFlight() == 0 && s.helper.Open() == 0 {
			break
		}
		time.Sleep(min(stopPollInterval, left))
	}
	unfinished := s.relay.InFlight()
	s.relay.CancelAll()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	time.Sleep(backlogTime)
	// The server's own Shutdown closes connections from which a request was just read. Those that are still open are closed below.
	open := conns.shutDown(ctx)
	cutOff := s.relay.InFlight()
	_ = server.Close()
	s.awaitCutOff()
	s.Logger.Info("stopped", "unfinished", unfinished, "cut_off", cutOff, "unlogged", s.relay.InFlight(), "open", open, "ms", clock.Since(began).Milliseconds())
}

// awaitCutOff waits until the requests whose connections were closed have ended, so that each has its line in the log.
func (s *Site) awaitCutOff() {
	for began := clock.Now(); s.relay.InFlight() > 0 && clock.Since(began) < cutOffTime; {
		time.Sleep(closePollInterval)
	}
}

// GraceLeft returns what is left of the grace period once Run has returned.
func (s *Site) GraceLeft() time.Duration {
	if s.stopped.IsZero() {
		return s.Grace
	}
	return s.Grace - clock.Since(s.stopped)
}

// serveMetrics serves the metrics and the quarantine list until ctx ends.
func (s *Site) serveMetrics(ctx context.Context) {
	if s.Metrics == "" {
		return
	}
	l, err := Listen(s.Metrics, s.Logger)
	if err != nil {
		s.Logger.Error("serving metrics failed", "error", err)
		return
	}
	server := NewSideServer(s.operatorHandler(), headerTime)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(LimitConns(l, s.Conns.Metrics, s.Logger)); !errors.Is(err, http.ErrServerClosed) {
		s.Logger.Error("serving metrics failed", "error", err)
	}
}
