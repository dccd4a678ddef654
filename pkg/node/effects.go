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

// Time limits of one effect. A result that comes later counts as unknown.
const (
	orderTimeout     = 2 * time.Second
	inventoryTimeout = 2 * time.Second
	platformTimeout  = 3 * time.Second
)

// executor carries out the effects of the control machine and delivers their
// results to the loop as events. Effects that wait for others run in goroutines
// of their own; the machine bounds how many it has under way.
type executor struct {
	ctx       context.Context // ends when the node stops
	tasks     conc.WaitGroup
	loop      *loop
	view      *view
	fetcher   *treeFetcher
	engines   engine.Client
	table     platform.Table
	machines  platform.Machines
	transport peer.Transport
	keeping   *keeping
	logger    hclog.Logger
}

// carryOut starts an effect. It is called by the loop and does not block.
func (x *executor) carryOut(effect control.Effect) {
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
		x.keeping.takeView(effect.View)
		x.view.publishView(effect.View)
	case control.PublishEstimate:
		x.view.publishEstimate(effect.Estimate)
	case control.Log:
		x.logger.Log(hclog.LevelFromString(effect.Level), effect.Message, effect.Fields...)
	default:
		x.logger.Error("effect of unknown type", "type", hclog.Fmt("%T", effect))
	}
}

// start runs work with a time limit and delivers its event, if it has one.
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
