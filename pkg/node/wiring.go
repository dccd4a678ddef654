package node

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/gateway"
	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/settings"
	"martenwheel.dev/pkg/telemetry"
	"martenwheel.dev/pkg/traffic"
	"martenwheel.dev/pkg/tree"
)

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

// openPeers opens the listener for other nodes and creates the client to call them.
func (n *Node) openPeers() error {
	registerMessages()
	n.counters = peer.NewCounters()
	config := peer.Config{
		Self: api.NodeRef{
			ID:          n.settings.Node.ID,
			Incarnation: uint64(time.Now().UnixNano()),
			PeerAddress: n.advertisedAddress(),
			Zone:        n.settings.Node.Zone,
			Region:      n.settings.Node.Region,
		},
		Address:  n.settings.Listen.Peers,
		TLS:      n.credentials.peers,
		Counters: n.counters,
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

// advertisedAddress returns the address at which other nodes reach this one. It is ""
// for the address of the listener, whose port may be chosen by the kernel.
func (n *Node) advertisedAddress() string {
	if n.settings.Listen.AdvertisePeers == n.settings.Listen.Peers {
		return ""
	}
	return n.settings.Listen.AdvertisePeers
}

// wireControl creates the control machine with its loop and executor.
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
	n.claimState = newClaimState(self)
	n.loop = newLoop(machine, n.view, n.trees, n.claimState)
	if err := n.registerMetrics(collector{loop: n.loop, counters: n.counters}, n.claimState.keeper); err != nil {
		return err
	}
	n.store = tree.NewStore(clients.table, clients.objects)
	ctx, cancel := context.WithCancel(context.Background())
	n.stopControl = cancel
	n.executor = n.newExecutor(ctx, clients)
	n.loop.execute = n.executor.execute
	return nil
}

// newExecutor returns the executor of the control loop's effects, which works until
// ctx ends.
func (n *Node) newExecutor(ctx context.Context, clients platformClients) *executor {
	logger := n.logger.Named("control")
	x := &executor{
		ctx:        ctx,
		loop:       n.loop,
		view:       n.view,
		engines:    engine.NewHTTPClient(engine.HTTPClientConfig{}),
		table:      clients.table,
		machines:   clients.machines,
		transport:  n.transport,
		claimState: n.claimState,
		logger:     logger,
	}
	x.fetcher = &treeFetcher{
		ctx:       ctx,
		tasks:     &x.tasks,
		trees:     n.trees,
		store:     n.store,
		transport: n.transport,
		logger:    logger,
	}
	return x
}

func (n *Node) registerMetrics(collectors ...prometheus.Collector) error {
	for _, metrics := range collectors {
		if err := n.registry.Register(metrics); err != nil {
			return errors.Wrap(err, "node: register metrics")
		}
	}
	return nil
}

// decider returns the policy with a name, or nil if there is none.
func decider(name string) policy.Decider {
	found, ok := policy.ByName(name)
	if !ok {
		return nil
	}
	return found
}

// openCallers creates the router and the gateway, and opens the listener for callers.
func (n *Node) openCallers() error {
	n.router = traffic.New(traffic.Config{
		Control: n.view,
		Zone:    n.settings.Node.Zone,
		Seed:    n.server.Self().Incarnation,
	})
	if err := n.registerMetrics(traffic.Collector{Router: n.router}); err != nil {
		return err
	}
	n.claims = keeper.NewClient(n.transport, n.claimState.configuration, time.Now, 0)
	config := gateway.Config{
		Node:       string(n.settings.Node.ID),
		Region:     n.settings.Node.Region,
		Dispatcher: n.router,
		Claims:     n.claims,
		Catalog:    n.catalog,
		Logger:     n.logger.Named("gateway"),
		Metrics:    n.registry,
		TLS:        n.credentials.listeners,
		Limits:     callerLimits(n.settings.Limits),
		Timeouts:   callerTimeouts(n.settings.Limits),
	}
	if n.credentials.callers != nil {
		config.Authenticator = n.credentials.callers
	}
	callers, err := gateway.New(config)
	if err != nil {
		return err
	}
	n.gateway = callers
	n.callerListener, err = net.Listen("tcp", n.settings.Listen.Callers)
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

// openOperators creates the operators' API and opens its listener.
func (n *Node) openOperators() error {
	config := operator.Config{
		Trees:        fitCheckingEditor{Editor: tree.NewEditor(n.store, n.trees), view: n.view},
		Status:       n,
		Metrics:      n.registry,
		Logger:       n.logger.Named("operator"),
		Now:          time.Now,
		HeaderBytes:  n.settings.Limits.HeaderBytes,
		Connections:  n.settings.Limits.Connections,
		ReadTimeout:  n.settings.Limits.ReadTimeout,
		WriteTimeout: n.settings.Limits.WriteTimeout,
		TLS:          n.credentials.listeners,
	}
	if n.credentials.operators != nil {
		config.Authorizer = operatorAuthorizer{n.credentials.operators}
	}
	n.operatorServer = operator.New(config)
	var err error
	n.operatorListener, err = net.Listen("tcp", n.settings.Listen.Operators)
	return errors.Wrap(err, "node: listen for operators")
}

// catalog returns the models in force, or nil before the first tree.
func (n *Node) catalog() gateway.Catalog {
	if !n.ready.Load() {
		return nil
	}
	return n.trees.Current()
}
