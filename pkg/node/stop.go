package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/control"
)

// stop is the planned stop. Traffic ends first, since requests that wait for a
// model still need the control side.
func (n *Node) stop() {
	n.logger.Info("stopping", "bound", n.settings.DrainTime)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTime)
	defer cancel()
	n.ready.Store(false)
	n.drain(ctx)
	n.handOver()
	if err := n.operators.Shutdown(ctx); err != nil {
		n.logger.Warn("operators' API not stopped in time", "error", err)
	}
	n.logger.Info("stopped")
}

// drain ends the traffic: the dispatcher refuses what cannot begin any more,
// while the gateway lets what runs end.
func (n *Node) drain(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	var group conc.WaitGroup
	group.Go(func() { n.router.Drain(deadline) })
	if err := n.gateway.Drain(ctx); err != nil {
		n.logger.Warn("not all requests ended within the bound", "error", err)
	}
	group.Wait()
	n.router.Close()
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
