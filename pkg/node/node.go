// Package node runs one process of martenwheel: it wires the libraries of the
// control side and of the traffic side together and starts and stops them.
package node

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/gateway"
	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/settings"
	"martenwheel.dev/pkg/telemetry"
	"martenwheel.dev/pkg/traffic"
	"martenwheel.dev/pkg/tree"
)

// programName is the name that log lines carry.
const programName = "martenwheel"

// Options are what a node is started with.
type Options struct {
	Settings settings.Settings
	Version  string    // of the program
	Logs     io.Writer // gets JSON lines
}

// Addresses are where a node listens, with the ports that the kernel chose.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Node is one process of martenwheel.
type Node struct {
	settings settings.Settings
	logger   hclog.Logger
	registry *prometheus.Registry
	secrets  *credentials

	server    *peer.Server
	transport *peer.Client
	trees     *tree.Holder
	view      *view
	loop      *loop
	executor  *executor
	gateway   *gateway.Gateway
	callers   net.Listener
	operators *operator.Server
	operating net.Listener

	ready       atomic.Bool
	stopControl context.CancelFunc
}

// New opens the listeners and wires the parts. Nothing runs before Run.
func New(options Options) (*Node, error) {
	logger, err := newLogger(options)
	if err != nil {
		return nil, err
	}
	secrets, err := openCredentials(options.Settings)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: options.Settings,
		logger:   logger,
		secrets:  secrets,
		registry: newRegistry(options),
		trees:    tree.NewHolder(tree.Empty()),
	}
	n.view = newView(n.trees)
	if err := n.openPeers(); err != nil {
		return nil, err
	}
	if err := n.wireControl(); err != nil {
		return nil, n.abandon(err)
	}
	if err := n.openCallers(); err != nil {
		return nil, n.abandon(err)
	}
	if err := n.openOperators(); err != nil {
		return nil, n.abandon(err)
	}
	return n, nil
}

// abandon closes what New has opened and returns cause.
func (n *Node) abandon(cause error) error {
	if n.callers != nil {
		_ = n.callers.Close()
	}
	_ = n.server.Close() // cause is what matters
	return cause
}

func newLogger(options Options) (hclog.Logger, error) {
	return telemetry.NewLogger(telemetry.LogOptions{
		Name:   programName,
		Node:   string(options.Settings.Node.ID),
		Level:  options.Settings.LogLevel,
		Output: options.Logs,
	})
}

func newRegistry(options Options) *prometheus.Registry {
	return telemetry.NewRegistry(telemetry.BuildInfo{
		Version: options.Version,
		Node:    string(options.Settings.Node.ID),
		Zone:    options.Settings.Node.Zone,
		Region:  options.Settings.Node.Region,
	})
}

// openPeers opens the listener for other nodes and the client towards them.
func (n *Node) openPeers() error {
	registerMessages()
	counters := peer.NewCounters()
	config := peer.Config{
		Self: api.NodeRef{
			ID:          n.settings.Node.ID,
			Incarnation: uint64(time.Now().UnixNano()),
			PeerAddress: n.advertisedAddress(),
			Zone:        n.settings.Node.Zone,
			Region:      n.settings.Node.Region,
		},
		Address:  n.settings.Listen.Peers,
		TLS:      n.secrets.peers,
		Counters: counters,
		Logger:   n.logger.Named("peer"),
	}
	server, err := peer.Listen(config)
	if err != nil {
		return err
	}
	n.server = server
	config.Self = server.Self()
	n.transport = peer.NewClient(config)
	return nil
}

// advertisedAddress returns where other nodes reach this one, or "" if that is
// the address of the listener, whose port may be the kernel's choice.
func (n *Node) advertisedAddress() string {
	if n.settings.Listen.AdvertisePeers == n.settings.Listen.Peers {
		return ""
	}
	return n.settings.Listen.AdvertisePeers
}

// wireControl makes the control machine, its loop and its executor.
func (n *Node) wireControl() error {
	clients, err := newPlatformClients(n.settings.Platform)
	if err != nil {
		return err
	}
	self := n.server.Self()
	machine := control.New(control.Config{
		Self:    self,
		Seeds:   n.settings.Seeds,
		Seed:    self.Incarnation,
		Decider: decider,
	})
	n.loop = newLoop(machine, n.view, n.trees)
	ctx, cancel := context.WithCancel(context.Background())
	n.stopControl = cancel
	n.executor = &executor{
		ctx:       ctx,
		loop:      n.loop,
		view:      n.view,
		trees:     n.trees,
		store:     tree.NewStore(clients.table, clients.objects),
		engines:   engine.NewHTTPClient(engine.HTTPClientConfig{}),
		table:     clients.table,
		machines:  clients.machines,
		transport: n.transport,
		logger:    n.logger.Named("control"),
	}
	n.loop.carryOut = n.executor.carryOut
	return nil
}

// decider returns the policy of a name, or nil.
func decider(name string) policy.Decider {
	found, ok := policy.ByName(name)
	if !ok {
		return nil
	}
	return found
}

// openCallers makes the traffic side and opens its listener.
func (n *Node) openCallers() error {
	dispatcher := traffic.New(traffic.Config{
		Control: n.view,
		Lookup:  (*tree.Tree).Model,
		Zone:    n.settings.Node.Zone,
	})
	config := gateway.Config{
		Node:       string(n.settings.Node.ID),
		Region:     n.settings.Node.Region,
		Dispatcher: dispatcher,
		Catalog:    n.catalog,
		Logger:     n.logger.Named("gateway"),
		Metrics:    n.registry,
		TLS:        n.secrets.listeners,
		Limits:     callerLimits(n.settings.Limits),
		Timeouts:   callerTimeouts(n.settings.Limits),
	}
	if n.secrets.callers != nil {
		config.Authenticator = callerAuthenticator{n.secrets.callers}
	}
	callers, err := gateway.New(config)
	if err != nil {
		return err
	}
	n.gateway = callers
	n.callers, err = net.Listen("tcp", n.settings.Listen.Callers)
	return errors.Wrap(err, "node: listen for callers")
}

func callerLimits(limits settings.Limits) gateway.Limits {
	return gateway.Limits{
		BodyBytes:   limits.BodyBytes,
		HeaderBytes: limits.HeaderBytes,
		Connections: limits.Connections,
	}
}

func callerTimeouts(limits settings.Limits) gateway.Timeouts {
	return gateway.Timeouts{
		Read:  limits.ReadTimeout,
		Write: limits.WriteTimeout,
		Idle:  limits.IdleTimeout,
	}
}

// openOperators makes the operators' API and opens its listener.
func (n *Node) openOperators() error {
	config := operator.Config{
		Trees:        tree.NewEditor(n.executor.store, n.trees),
		Status:       n,
		Metrics:      n.registry,
		Logger:       n.logger.Named("operator"),
		Now:          time.Now,
		HeaderBytes:  n.settings.Limits.HeaderBytes,
		Connections:  n.settings.Limits.Connections,
		ReadTimeout:  n.settings.Limits.ReadTimeout,
		WriteTimeout: n.settings.Limits.WriteTimeout,
		TLS:          n.secrets.listeners,
	}
	if n.secrets.operators != nil {
		config.Authorizer = operatorAuthorizer{n.secrets.operators}
	}
	n.operators = operator.New(config)
	var err error
	n.operating, err = net.Listen("tcp", n.settings.Listen.Operators)
	return errors.Wrap(err, "node: listen for operators")
}

// catalog returns the models in force, or nil before the first tree.
func (n *Node) catalog() gateway.Catalog {
	if !n.ready.Load() {
		return nil
	}
	return n.trees.Current()
}

// Addresses returns where the node listens.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.callers.Addr().String(),
		Operators: n.operating.Addr().String(),
		Peers:     n.server.Self().PeerAddress,
	}
}

// listeners is the number of parts of Run that can fail.
const listeners = 2

// Run serves until ctx ends, and then stops as planned: requests in flight end
// whole, and the node's part in the control side is handed over. It returns the
// first error of a part that failed.
func (n *Node) Run(ctx context.Context) error {
	var group conc.WaitGroup
	loopContext, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	n.server.Serve(&peerHandler{loop: n.loop, trees: n.trees})
	group.Go(func() { n.loop.run(loopContext) })
	group.Go(func() { n.start(ctx) })
	group.Go(func() { n.secrets.watch(loopContext, n.logger) })
	failed := make(chan error, listeners)
	group.Go(func() { failed <- n.gateway.Serve(n.callers) })
	group.Go(func() { failed <- n.operators.Serve(n.operating) })
	addresses := n.Addresses()
	n.logger.Info("listening", "callers", addresses.Callers, "operators", addresses.Operators, "peers", addresses.Peers)

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	n.stop()
	stopLoop()
	n.stopControl()
	n.executor.tasks.Wait()
	_ = n.transport.Close() // its queues are not needed any more
	_ = n.server.Close()
	group.Wait()
	return err
}

// start gets the first tree; then the node is ready.
func (n *Node) start(ctx context.Context) {
	first := bootstrap{executor: n.executor, seeds: n.settings.Seeds, logger: n.logger}
	first.run(ctx)
	if ctx.Err() == nil {
		n.ready.Store(true)
		n.logger.Info("ready", telemetry.FieldRevision, n.trees.Current().Revision())
	}
}

// stop is the planned stop. Traffic ends first, since requests that wait for a
// model still need the control side.
func (n *Node) stop() {
	n.logger.Info("stopping", "bound", n.settings.DrainTime)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTime)
	defer cancel()
	n.ready.Store(false)
	if err := n.gateway.Drain(ctx); err != nil {
		n.logger.Warn("not all requests ended within the bound", "error", err)
	}
	n.handOver()
	if err := n.operators.Shutdown(ctx); err != nil {
		n.logger.Warn("operators' API not stopped in time", "error", err)
	}
	n.logger.Info("stopped")
}

// Bounds of the hand-over of a stopping node's control side.
const (
	handOverBound = 12 * time.Second
	handOverPoll  = 50 * time.Millisecond
)

// handOver asks the control machine to stop and waits until it has.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverBound)
	defer cancel()
	n.loop.deliver(ctx, control.StopRequested{})
	for !n.controlStopped(ctx) && ctx.Err() == nil {
		time.Sleep(handOverPoll)
	}
}

func (n *Node) controlStopped(ctx context.Context) bool {
	stopped := false
	n.loop.inspect(ctx, func(machine *control.Machine) { stopped = machine.Stopped() })
	return stopped
}
