// Package site runs one node of a site whose control state lies in a shared
// store: it carries callers' requests (package relay), takes its part among the
// nodes (packages coordinator and lease), and stops as planned. What the
// surroundings speak is given by an adapter.
package site

import (
	"context"
	"net"
	"net/http"
	"os"
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
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/relay"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/storeclock"
	"martenwheel.dev/pkg/watch"
)

// Site is one node of a site. Set the fields before Run.
type Site struct {
	Self    coordinator.Node
	Headers relay.Headers
	Routes  func() *route.Table
	// Configured is told the version of the configuration at the node that coordinates; may be nil.
	Configured func(version uint64)
	Keys       relay.KeyAge
	Clock      *storeclock.Clock // of the store
	Servers    *backend.Directory
	Store      lease.Store
	Tables     []*watch.Table // of the store, which the site keeps up to date
	Orders     coordinator.Orders
	Mover      relay.Mover // of running streams; nil: none move
	// DrainTime is how long a server that leaves surely goes on serving; zero: not known.
	DrainTime time.Duration
	Turns     time.Duration // between orders of two holders to one server
	Fenced    bool          // servers refuse orders of lower terms than they have seen
	Ceiling   coordinator.Ceiling
	Budget    relay.BudgetConfig
	// Tolerance is what may run beyond tenants' quotas.
	Tolerance quota.Tolerance
	// Regions tells the region of each zone; nil: not known.
	Regions  map[string]string
	First    bool          // the whole site starts for the first time
	Grace    time.Duration // of a planned stop
	Linger   time.Duration // callers may still come for so long after it began
	Metrics  string        // IP:port; empty: not served
	Registry *prometheus.Registry
	Logger   hclog.Logger

	member   *coordinator.Member
	hub      *watch.Hub
	relay    *relay.Relay
	traffic  *peerTraffic
	stopping atomic.Bool
	watched  atomic.Pointer[watchedNodes]
}

// Ready tells whether callers may be sent to this node.
func (s *Site) Ready() bool {
	return !s.stopping.Load() && s.Routes() != nil && s.Servers.Known()
}

// Nodes returns the nodes of the site as far as this one knows.
func (s *Site) Nodes() []coordinator.Node {
	if s.member == nil {
		return nil
	}
	return s.member.Nodes()
}

// listen opens what the node listens on.
func (s *Site) listen() (net.Listener, *peer.Server, error) {
	callers, err := net.Listen("tcp", s.Self.Callers)
	if err != nil {
		return nil, nil, errors.Wrap(err, "site: callers")
	}
	peers, err := peer.Listen(peer.Config{Self: s.ref(), Address: s.Self.Peers, Logger: s.Logger, Counters: s.traffic.counters})
	if err != nil {
		_ = callers.Close()
		return nil, nil, errors.Wrap(err, "site: peers")
	}
	return callers, peers, nil
}

// ref is this node as peers know it.
func (s *Site) ref() api.NodeRef {
	return api.NodeRef{ID: api.NodeID(s.Self.Name), Incarnation: uint64(s.Self.Life), PeerAddress: s.Self.Peers, Zone: s.Self.Zone}
}

// peerDial bounds the wait for a connection to another node.
const peerDial = 500 * time.Millisecond

// assemble makes the parts.
func (s *Site) assemble() (*lease.Lease, *coordinator.Holder, peer.Transport) {
	transport := peer.NewClient(peer.Config{
		Self: s.ref(), Logger: s.Logger, Counters: s.traffic.counters, Timeouts: peer.Timeouts{Dial: peerDial, Write: time.Second, Ping: time.Second},
	})
	l := &lease.Lease{
		Store: s.Store, IncarnationPrefix: s.Self.Name + "/", Self: s.Self.Name + "/" + strconv.FormatInt(s.Self.Life, 36),
		Address: s.Self.Peers,
		Log:     func(message string, fields ...any) { s.Logger.Info(message, fields...) },
	}
	known := new(quarantine.Table)
	registerQuarantine(s.Registry, known)
	registerAsking(s.Registry, s.Servers)
	decider, _ := policy.ByName(policy.NameDemandFirst)
	holder := &coordinator.Holder{
		Lease: l, Routes: s.Routes, Servers: s.Servers, Orders: s.Orders, Transport: transport,
		Clock: s.Clock, Decider: decider, HandoverPause: s.Turns, Fenced: s.Fenced, Ceiling: s.Ceiling, Budget: s.Budget, Tolerance: s.Tolerance, Quarantine: known,
		Logger: s.Logger.Named("holder"),
	}
	s.member = &coordinator.Member{
		Self: s.Self, Lease: l, Holder: holder, Transport: transport, Servers: s.Servers, Clock: s.Clock, Quarantine: known, Configured: s.Configured,
		Logger: s.Logger.Named("member"),
	}
	s.Servers.OnSignalChange = s.member.Heard
	holder.Nodes, holder.HolderSilence, holder.KnownScarce = s.member.Nodes, s.member.HolderSilence, s.member.KnownScarce
	s.hub = &watch.Hub{
		Self: watchNode(s.Self), Nodes: s.watchNodes, Known: s.member.Known, Transport: transport,
		Tables: s.Tables, FirstStart: s.First, Logger: s.Logger.Named("watch"),
		NeedsWhole: func() bool { _, held := l.Held(); return held },
	}
	holder.Complete = s.tablesWhole
	s.member.NearestFullNode, s.member.EnsureServers = s.nearest, s.cover
	l.Fleet, l.AllowOffline = holder.Fleet, holder.MayContinueOffline
	l.Quarantine = func(recorded []quarantine.Aged) []quarantine.Aged { return known.MergeStored(clock.Now(), recorded) }
	l.Quotas = holder.QuotaBalances
	l.FirstStart, l.TakeoverDelay = s.First, s.leasePatience
	l.Eager = func() bool { return s.member.Known() && s.hub.Watching() }
	s.member.Candidate = s.hub.Watching
	s.relay = &relay.Relay{
		Headers: s.Headers, Node: s.Self.Name, Zone: s.Self.Zone, Regions: s.Regions, Routes: s.Routes, Keys: s.Keys, Quotas: s.member, Servers: s.Servers, Waker: s.member,
		Quarantine: s.member, Slots: s.member, Places: s.member, Mover: s.Mover, DrainTime: s.DrainTime,
		Nodes: s.member.Fleet, Budget: s.Budget, Lender: s.member, BudgetStart: s.budgetBegan(clock.Now()), Logger: s.Logger.Named("relay"),
		Metrics: relay.NewMetrics(s.Registry), Arrived: s.member.Arrived,
	}
	return l, holder, transport
}

// budgetBegan returns from when the budget of repeats counts as unspent by this node: an
// earlier life of it may have spent its share up to now, unless there was none.
func (s *Site) budgetBegan(now time.Time) time.Time {
	if s.First {
		return now.Add(-s.Budget.FillTime())
	}
	return now
}

// weakestPatience is how long a node with hardly any processor leaves a free lease to
// stronger ones: the holder of a site of 195 nodes spends a good part of a weak one's on
// beats and plans, and its calls of the store are late then.
const weakestPatience = 400 * time.Millisecond

// leasePatience returns how long this node leaves a free lease to stronger ones.
func (s *Site) leasePatience() time.Duration {
	most := wholeCore
	if s.member.Known() {
		most = s.Self.Power
		for _, n := range s.member.Nodes() {
			most = max(most, n.Power)
		}
	}
	return time.Duration(float64(weakestPatience) * max(1-s.Self.Power/max(most, leastPower), 0))
}

// Powers, in cores: what other nodes are taken to have while none are known, and the
// least that counts.
const (
	wholeCore  = 1.0
	leastPower = 0.01
)

// tablesWhole tells whether this node holds all rows of all tables.
func (s *Site) tablesWhole() bool {
	for _, t := range s.Tables {
		if !t.Whole() {
			return false
		}
	}
	return true
}

// nearest returns where a node is reached that knows all servers; empty if this one does.
func (s *Site) nearest() string {
	if s.tablesWhole() {
		return ""
	}
	return s.hub.MainParent()
}

// cover has this node told of lives of servers that it does not know.
func (s *Site) cover(ctx context.Context, servers []string) error {
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

// watchedNodes is a list of the nodes of the site as the hub needs it.
type watchedNodes struct {
	of   []coordinator.Node
	list []watch.Node
}

// watchNodes returns the nodes of the site as the hub needs them: the same list while they are the
// same, by which the hub tells that it has nothing to work out.
func (s *Site) watchNodes() []watch.Node {
	nodes := s.member.Nodes()
	if known := s.watched.Load(); known != nil && len(known.of) == len(nodes) && &known.of[0] == &nodes[0] {
		return known.list
	}
	next := &watchedNodes{of: nodes, list: make([]watch.Node, len(nodes))}
	for i := range nodes {
		next.list[i] = watchNode(nodes[i])
	}
	s.watched.Store(next)
	return next.list
}

func watchNode(n coordinator.Node) watch.Node {
	return watch.Node{Name: n.Name, Zone: n.Zone, Peers: n.Peers, Power: n.Power, Follows: n.Follows, Leaving: n.Stopping}
}

// HandleMessage implements peer.Handler.
func (s *Site) HandleMessage(ctx context.Context, from api.NodeRef, message peer.Message) (peer.Message, error) {
	if reply, handled, err := s.hub.Handle(ctx, message); handled {
		return reply, err
	}
	return s.member.HandleMessage(ctx, from, message)
}

// headerTime bounds the wait for a request's head, idleTime how long an unused
// connection of a caller is kept.
const (
	headerTime = 10 * time.Second
	idleTime   = 2 * time.Minute
)

// Run serves until ctx ends and the planned stop is over.
func (s *Site) Run(ctx context.Context) error {
	s.traffic = newPeerTraffic(s.Registry)
	callers, peers, err := s.listen()
	if err != nil {
		return err
	}
	l, holder, transport := s.assemble()
	peers.Serve(s)
	defer s.watchSuspension()()
	life, end := context.WithCancel(context.Background())
	defer end()
	server := &http.Server{
		Handler: s.relay, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime,
		ErrorLog: s.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	var tasks conc.WaitGroup
	tasks.Go(func() { l.Run(ctx) })
	tasks.Go(func() { holder.Run(life) })
	tasks.Go(func() { s.member.Run(life) })
	tasks.Go(func() { s.hub.Run(life) })
	tasks.Go(func() { s.keepConnectionShares(life) })
	tasks.Go(func() { s.serveMetrics(life) })
	tasks.Go(func() { s.traffic.summarize(life, s.Logger) })
	failed := make(chan error, 1)
	tasks.Go(func() { failed <- server.Serve(callers) })
	s.Logger.Info("serving", "callers", s.Self.Callers, "peers", s.Self.Peers, "pid", os.Getpid())
	select {
	case err = <-failed:
		s.Logger.Error("callers can't be served", "error", err)
	case <-ctx.Done():
		s.stop(server)
		err = nil
	}
	end()
	_ = peers.Close()
	_ = transport.Close()
	tasks.Wait()
	return err
}

// Times of a planned stop.
const (
	stopMargin = 400 * time.Millisecond // left of the grace for the end of the process
	stopLook   = 50 * time.Millisecond
	// lastWords is the time for the answers to requests that were ended before their servers
	// answered to go out, and for unused connections to close.
	lastWords = 200 * time.Millisecond
)

// stop lets the requests end and serves those who still come.
func (s *Site) stop(server *http.Server) {
	began := clock.Now()
	s.stopping.Store(true)
	s.member.Stop()
	s.relay.Stop(s.Grace)
	s.Logger.Info("stopping", "in_flight", s.relay.InFlight(), "grace_ms", s.Grace.Milliseconds())
	for clock.Since(began) < s.Grace-stopMargin {
		if clock.Since(began) > s.Linger && s.relay.InFlight() == 0 {
			break
		}
		time.Sleep(stopLook)
	}
	unfinished := s.relay.InFlight()
	s.relay.CancelAll()
	ctx, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	_ = server.Shutdown(ctx) // what is still open then is cut off
	s.Logger.Info("stopped", "unfinished", unfinished, "cut_off", s.relay.InFlight(), "ms", clock.Since(began).Milliseconds())
	_ = server.Close()
}

// serveMetrics serves the metrics until ctx ends.
func (s *Site) serveMetrics(ctx context.Context) {
	if s.Metrics == "" {
		return
	}
	server := &http.Server{
		Addr: s.Metrics, Handler: s.operatorHandler(), ReadHeaderTimeout: headerTime,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		s.Logger.Error("metrics are not served", "error", err)
	}
}
