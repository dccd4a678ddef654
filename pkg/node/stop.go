package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/control"
)

// stop performs the planned stop. Traffic is drained first, since requests that wait
// for a model still need the control plane.
func (n *Node) stop() {
	n.logger.Info("stopping", "bound", n.settings.DrainTime)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTime)
	defer cancel()
	n.ready.Store(false)
	n.drain(ctx)
	n.handOver()
	if err := n.operatorServer.Shutdown(ctx); err != nil {
		n.logger.Warn("operators' API not stopped in time", "error", err)
	}
	n.logger.Info("stopped")
}

// drain ends the traffic: the router refuses requests that can no longer start, and
// the gateway waits for running requests.
func (n *Node) drain(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	var group conc.WaitGroup
	group.Go(func() { n.router.Drain(deadline) })
	if err := n.gateway.Drain(ctx); err != nil {
		n.logger.Warn("requests still running at the end of the drain time", "error", err)
	}
	group.Wait()
	n.router.Close()
}

// Timeout and poll interval of the hand-over by a stopping node.
const (
	handOverTimeout = 12 * time.Second
	handOverPoll    = 50 * time.Millisecond
)

// handOver asks the control machine to stop, and waits until it has and until other nodes have what this one remembers of
// unsafe requests.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	n.loop.deliver(ctx, control.StopRequested{})
	for !n.controlStopped(ctx) && ctx.Err() == nil {
		time.Sleep(handOverPoll)
	}
	began := time.Now()
	unready := n.claimState.keeper.AwaitSuccessors(ctx, n.transport)
	n.logger.Info("keepers handed over", "unready_cells", unready, "ms", time.Since(began).Milliseconds())
}

func (n *Node) controlStopped(ctx context.Context) bool {
	stopped := false
	n.loop.inspect(ctx, func(machine *control.Machine) { stopped = machine.Stopped() })
	return stopped
}
