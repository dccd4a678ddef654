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

// programName is the name in log lines.
const programName = "martenwheel"

// Options are the parameters of New.
type Options struct {
	Settings settings.Settings
	Version  string    // program version
	Logs     io.Writer // receives the log as JSON lines
}

// Addresses are the addresses that a node listens on, with the actual ports where
// port 0 was configured.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Node is one process of martenwheel. Addresses, Status and Ready are safe for
// concurrent use. Run must be called only once.
type Node struct {
	settings    settings.Settings
	logger      hclog.Logger
	registry    *prometheus.Registry
	credentials *credentials

	server           *peer.Server
	transport        *peer.Client
	counters         *peer.Counters
	trees            *tree.Holder
	store            *tree.Store
	view             *view
	loop             *loop
	executor         *executor
	claimState       *claimState
	claims           *keeper.Client
	router           *traffic.Router
	gateway          *gateway.Gateway
	callerListener   net.Listener
	operatorServer   *operator.Server
	operatorListener net.Listener

	ready       atomic.Bool
	stopControl context.CancelFunc
}

// New opens the listeners and creates the components. Nothing runs before Run. It
// fails if a file of keys or certificates or a platform setting is invalid, or if a
// listener cannot be opened. A findings.Error reports all invalid files together.
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
		settings:    options.Settings,
		logger:      logger,
		credentials: secrets,
		registry:    newRegistry(options),
		trees:       tree.NewHolder(tree.Empty()),
	}
	n.view = newView(n.trees)
	if err := n.openPeers(); err != nil {
		return nil, err
	}
	if err := n.wireControl(); err != nil {
		return nil, n.closeAfterError(err)
	}
	if err := n.openCallers(); err != nil {
		return nil, n.closeAfterError(err)
	}
	if err := n.openOperators(); err != nil {
		return nil, n.closeAfterError(err)
	}
	return n, nil
}

// closeAfterError closes what New has opened so far and returns cause.
func (n *Node) closeAfterError(cause error) error {
	if n.callerListener != nil {
		_ = n.callerListener.Close()
	}
	if n.stopControl != nil {
		n.stopControl()
	}
	_ = n.transport.Close()
	_ = n.server.Close() // only cause is reported
	return cause
}

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.callerListener.Addr().String(),
		Operators: n.operatorListener.Addr().String(),
		Peers:     n.server.Self().PeerAddress,
	}
}

// listeners is the number of servers in Run that can fail.
const listeners = 2

// Run serves until ctx ends or a listener fails, and then performs a planned stop:
// requests in flight are completed, and the node's role in the control plane is
// handed over. It returns the error of the listener that failed, if any.
func (n *Node) Run(ctx context.Context) error {
	var group conc.WaitGroup
	loopContext, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	n.server.Serve(&peerHandler{loop: n.loop, trees: n.trees, keeper: n.claimState.keeper})
	group.Go(func() { n.loop.run(loopContext) })
	group.Go(func() { n.bootstrap(ctx) })
	group.Go(func() { n.claimState.keeper.Run(loopContext, n.transport) })
	group.Go(func() { n.credentials.watch(loopContext, n.logger) })
	group.Go(func() { newObserver(n.executor.engines, n.router, n.view).run(loopContext) })
	failed := make(chan error, listeners)
	group.Go(func() { failed <- n.gateway.Serve(n.callerListener) })
	group.Go(func() { failed <- n.operatorServer.Serve(n.operatorListener) })
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
	_ = n.transport.Close() // messages that are still queued are no longer needed
	_ = n.server.Close()
	group.Wait()
	return err
}

// bootstrap gets the first tree and then marks the node as ready.
func (n *Node) bootstrap(ctx context.Context) {
	newBootstrap(n.trees, n.store, n.transport, n.settings.Seeds, n.logger).run(ctx)
	if ctx.Err() == nil {
		n.ready.Store(true)
		n.logger.Info("ready", telemetry.FieldRevision, n.trees.Current().Revision())
	}
}
