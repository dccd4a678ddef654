package node

import (
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/gateway"
	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/peer"
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

// Node is one process of martenwheel. Addresses, Status and Ready may be called
// from any goroutine; Run once.
type Node struct {
	settings settings.Settings
	logger   hclog.Logger
	registry *prometheus.Registry
	secrets  *credentials

	server    *peer.Server
	transport *peer.Client
	counters  *peer.Counters
	trees     *tree.Holder
	store     *tree.Store
	view      *view
	loop      *loop
	executor  *executor
	keeping   *keeping
	claims    *keeper.Client
	router    *traffic.Router
	gateway   *gateway.Gateway
	callers   net.Listener
	operators *operator.Server
	operating net.Listener

	ready       atomic.Bool
	stopControl context.CancelFunc
}

// New opens the listeners and wires the parts. Nothing runs before Run. It fails
// if a file of keys or certificates is faulty, a setting of the platform is, or
// an address can't be listened on; findings.Error tells of all faulty files.
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
	if n.stopControl != nil {
		n.stopControl()
	}
	_ = n.transport.Close()
	_ = n.server.Close() // cause is what matters
	return cause
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
	n.server.Serve(&peerHandler{loop: n.loop, trees: n.trees, keeper: n.keeping.keeper})
	group.Go(func() { n.loop.run(loopContext) })
	group.Go(func() { n.start(ctx) })
	group.Go(func() { n.keeping.keeper.Run(loopContext, n.transport) })
	group.Go(func() { n.secrets.watch(loopContext, n.logger) })
	group.Go(func() { newObserver(n.executor.engines, n.router, n.view).run(loopContext) })
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
	n.claims.Close()
	_ = n.transport.Close() // its queues are not needed any more
	_ = n.server.Close()
	group.Wait()
	return err
}

// start gets the first tree; then the node is ready.
func (n *Node) start(ctx context.Context) {
	newBootstrap(n.trees, n.store, n.transport, n.settings.Seeds, n.logger).run(ctx)
	if ctx.Err() == nil {
		n.ready.Store(true)
		n.logger.Info("ready", telemetry.FieldRevision, n.trees.Current().Revision())
	}
}
