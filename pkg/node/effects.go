package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/platform"
)

// Timeouts of one effect. After the timeout the outcome of an effect is unknown.
const (
	orderTimeout     = 2 * time.Second
	inventoryTimeout = 2 * time.Second
	platformTimeout  = 3 * time.Second
)

// executor executes the effects of the control machine and delivers their results to
// the loop as events. Effects that wait for other systems run in their own
// goroutines; the machine limits how many run at the same time.
type executor struct {
	ctx        context.Context // ends when the node stops
	tasks      conc.WaitGroup
	loop       *loop
	view       *view
	fetcher    *treeFetcher
	engines    engine.Client
	table      platform.Table
	machines   platform.Machines
	transport  peer.Transport
	claimState *claimState
	logger     hclog.Logger
}

// execute starts an effect. The loop calls it, so it does not block.
func (x *executor) execute(effect control.Effect) {
	switch effect := effect.(type) {
	case control.SendPeer:
		x.transport.Send(effect.To.PeerAddress, effect.Message)
	case control.OrderEngine:
		x.start(orderTimeout, func(ctx context.Context) control.Event { return x.orderEngine(ctx, effect) })
	case control.ReadInventory:
		x.start(inventoryTimeout, func(ctx context.Context) control.Event { return x.readInventory(ctx, effect) })
	case control.ListMachines:
		x.start(platformTimeout, func(ctx context.Context) control.Event { return x.listMachines(ctx, effect) })
	case control.ReadRecord:
		x.start(platformTimeout, func(ctx context.Context) control.Event { return x.readRecord(ctx, effect) })
	case control.CommitRecord:
		x.start(platformTimeout, func(ctx context.Context) control.Event { return x.commitRecord(ctx, effect) })
	case control.FetchTree:
		x.fetcher.fetch(effect)
	case control.PublishView:
		x.claimState.adoptView(effect.View)
		x.view.publishView(effect.View)
	case control.PublishEstimate:
		x.view.publishEstimate(effect.Estimate)
	case control.Log:
		x.logger.Log(hclog.LevelFromString(effect.Level), effect.Message, effect.Fields...)
	default:
		x.logger.Error("effect of unknown type", "type", hclog.Fmt("%T", effect))
	}
}

// start runs work in the background with a timeout and delivers the event that it
// returns, if any.
func (x *executor) start(limit time.Duration, work func(context.Context) control.Event) {
	x.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(x.ctx, limit)
		defer cancel()
		event := work(ctx)
		if event != nil {
			x.loop.deliver(x.ctx, event)
		}
	})
}

func (x *executor) orderEngine(ctx context.Context, effect control.OrderEngine) control.Event {
	result, err := x.engines.Order(ctx, effect.Address, effect.Order)
	return control.OrderAnswered{Server: effect.Server, Order: effect.Order, Result: result, Err: err}
}

func (x *executor) readInventory(ctx context.Context, effect control.ReadInventory) control.Event {
	inventory, err := x.engines.Inventory(ctx, effect.Address, effect.Request)
	return control.InventoryAnswered{Server: effect.Server, Request: effect.Request, Inventory: inventory, Err: err}
}

func (x *executor) listMachines(ctx context.Context, effect control.ListMachines) control.Event {
	list, err := x.machines.List(ctx, effect.Region)
	return control.MachinesListed{List: list, Err: err}
}

func (x *executor) readRecord(ctx context.Context, effect control.ReadRecord) control.Event {
	record, err := x.table.Get(ctx, effect.Key, true)
	return control.RecordRead{Key: effect.Key, Record: record, Err: err}
}

func (x *executor) commitRecord(ctx context.Context, effect control.CommitRecord) control.Event {
	err := x.table.Commit(ctx, effect.Transaction)
	return control.RecordCommitted{Transaction: effect.Transaction, Err: err}
}
