package scale

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

// Constants of a hollow node, as in package node.
const (
	eventBacklog    = 1024
	effectTimeout   = 5 * time.Second
	demandInterval  = time.Second
	busyAfterWake   = 2 * time.Second // a woken model runs a request for so long
	idleConnection  = 15 * time.Second
	loopbackAnyPort = "127.0.0.1:0"
)

// hollowNode is a node without traffic.
type hollowNode struct {
	site      *site
	self      api.NodeRef
	server    *peer.Server
	transport *peer.Client
	counters  *peer.Counters
	trees     *tree.Holder
	store     *tree.Store
	machine   *control.Machine
	events    chan control.Event
	inspects  chan func(*control.Machine)
	fetching  atomic.Bool // a fetch of the tree is under way
	ctx       context.Context
	cancel    context.CancelFunc
	workers   conc.WaitGroup // the loop
	tasks     conc.WaitGroup // effects under way

	// The loop's own.
	views    map[api.CellName]api.CellView
	wakes    map[api.ModelName]*wake
	demandAt time.Time
}

// wake is the demand for a model at one node: a request waits until a replica
// is ready, runs on it, and ends.
type wake struct {
	model   api.ModelName
	cell    api.CellName
	began   time.Time
	ready   time.Time // zero while the request waits
	hold    bool      // runs only until ready
	stopped chan<- time.Duration
}

// registerMessages makes the messages of the nodes known to the transport.
func registerMessages() {
	for _, message := range append(control.Messages(), membership.Messages()...) {
		peer.Register(message)
	}
	peer.Register(tree.FetchRequest{}, tree.FetchAnswer{})
}

// openNode opens a node's listener. Nothing runs before start.
func openNode(s *site, ref api.NodeRef) (*hollowNode, error) {
	n := &hollowNode{
		site:     s,
		counters: peer.NewCounters(),
		trees:    tree.NewHolder(tree.Empty()),
		store:    tree.NewStore(s.table, s.objects),
		events:   make(chan control.Event, eventBacklog),
		inspects: make(chan func(*control.Machine)),
		views:    make(map[api.CellName]api.CellView),
		wakes:    make(map[api.ModelName]*wake),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	config := peer.Config{
		Self:     ref,
		Address:  loopbackAnyPort,
		Counters: n.counters,
		Timeouts: peer.Timeouts{Idle: idleConnection},
	}
	server, err := peer.Listen(config)
	if err != nil {
		return nil, err
	}
	n.server = server
	config.Self = server.Self()
	n.self = config.Self
	n.transport = peer.NewClient(config)
	return n, nil
}

// start runs the node.
func (n *hollowNode) start(seeds []string, seed uint64) {
	n.machine = control.New(control.Config{
		Self:  n.self,
		Seeds: seeds,
		Seed:  seed,
		Decider: func(name string) policy.Decider {
			found, _ := policy.ByName(name)
			return found
		},
	})
	n.server.Serve(n)
	n.workers.Go(n.run)
}

// kill ends the node at once.
func (n *hollowNode) kill() {
	n.cancel()
	n.workers.Wait()
	n.transport.Close()
	n.server.Close()
	n.tasks.Wait()
}

// HandleMessage implements peer.Handler.
func (n *hollowNode) HandleMessage(_ context.Context, from api.NodeRef, message peer.Message) (peer.Message, error) {
	if request, ok := message.(tree.FetchRequest); ok {
		return n.trees.Answer(request), nil
	}
	n.deliver(control.PeerReceived{From: from, Message: message})
	return nil, nil
}

func (n *hollowNode) deliver(event control.Event) {
	select {
	case n.events <- event:
	case <-n.ctx.Done():
	}
}

// run is the loop that owns the machine.
func (n *hollowNode) run() {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		changed := n.trees.Changed()
		if current := n.trees.Current(); current.Revision() > 0 {
			n.carryOut(n.machine.SetTree(time.Now(), current))
		}
		if !n.serve(ticker.C, changed) {
			return
		}
	}
}

// serve handles events until the tree changes; false when the node ends.
func (n *hollowNode) serve(ticks <-chan time.Time, treeChanged <-chan struct{}) bool {
	for {
		select {
		case <-n.ctx.Done():
			return false
		case <-treeChanged:
			return true
		case <-ticks:
			n.step(control.Tick{})
			n.reportDemand()
		case event := <-n.events:
			n.step(event)
		case inspect := <-n.inspects:
			inspect(n.machine)
		}
	}
}

func (n *hollowNode) step(event control.Event) {
	n.carryOut(n.machine.Step(time.Now(), event))
}

// inspect runs read in the loop. It returns false if the node has ended.
func (n *hollowNode) inspect(read func(*control.Machine)) bool {
	done := make(chan struct{})
	select {
	case n.inspects <- func(machine *control.Machine) { read(machine); close(done) }:
		<-done
		return true
	case <-n.ctx.Done():
		return false
	}
}

// carryOut starts the effects.
func (n *hollowNode) carryOut(effects []control.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case control.SendPeer:
			n.transport.Send(effect.To.PeerAddress, effect.Message)
		case control.PublishView:
			n.views[effect.View.Cell] = effect.View
			n.noteReady(effect.View)
		case control.PublishEstimate, control.Log:
		default:
			n.tasks.Go(func() { n.perform(effect) })
		}
	}
}

// perform carries out an effect that has a result.
func (n *hollowNode) perform(effect control.Effect) {
	ctx, cancel := context.WithTimeout(n.ctx, effectTimeout)
	defer cancel()
	switch effect := effect.(type) {
	case control.OrderEngine:
		result, err := n.site.engines.order(ctx, effect.Address, effect.Order)
		n.deliver(control.OrderAnswered{Server: effect.Server, Order: effect.Order, Result: result, Err: err})
	case control.ReadInventory:
		inventory, err := n.site.engines.inventory(ctx, effect.Address, effect.Request)
		n.deliver(control.InventoryAnswered{Server: effect.Server, Request: effect.Request, Inventory: inventory, Err: err})
	case control.ListMachines:
		list, err := n.site.machines.List(ctx, effect.Region)
		n.deliver(control.MachinesListed{List: list, Err: err})
	case control.ReadRecord:
		record, err := n.site.table.Get(ctx, effect.Key, true)
		n.deliver(control.RecordRead{Key: effect.Key, Record: record, Err: err})
	case control.CommitRecord:
		err := n.site.table.Commit(ctx, effect.Transaction)
		n.deliver(control.RecordCommitted{Transaction: effect.Transaction, Err: err})
	case control.FetchTree:
		n.fetchTree(ctx, effect.Peer)
	}
}

// fetchTree gets the tree from a peer or the platform. A failure is repeated
// by the machine's own polling. One fetch at a time: the machine asks again
// while the tree is still being parsed, and each answer would be parsed anew.
func (n *hollowNode) fetchTree(ctx context.Context, address string) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	defer n.fetching.Store(false)
	if address == "" {
		if newest, err := n.store.Load(ctx); err == nil {
			n.trees.Offer(newest)
		}
		return
	}
	request := tree.FetchRequest{After: n.trees.Current().Revision()}
	if n.exchangeTree(ctx, address, request) {
		return
	}
	request.Whole = true
	n.exchangeTree(ctx, address, request)
}

func (n *hollowNode) exchangeTree(ctx context.Context, address string, request tree.FetchRequest) bool {
	answer, err := n.transport.Call(ctx, address, request)
	if err != nil {
		return false
	}
	fetched, ok := answer.(tree.FetchAnswer)
	if !ok {
		return false
	}
	n.site.parsing <- struct{}{}
	defer func() { <-n.site.parsing }()
	_, err = n.trees.Receive(fetched)
	return err == nil
}

// wakeModel lets a request for a model arrive. The time until a replica was
// ready is sent to stopped when the request has ended.
func (n *hollowNode) wakeModel(model api.ModelName, cell api.CellName, hold bool, stopped chan<- time.Duration) {
	n.inspect(func(*control.Machine) {
		n.wakes[model] = &wake{model: model, cell: cell, began: time.Now(), hold: hold, stopped: stopped}
		n.demandAt = time.Time{}
	})
}

// reportDemand reports what waits and runs, as routers do.
func (n *hollowNode) reportDemand() {
	now := time.Now()
	if len(n.wakes) == 0 || now.Before(n.demandAt) {
		return
	}
	n.demandAt = now.Add(demandInterval)
	for model, w := range n.wakes {
		n.noteReady(n.views[w.cell])
		demand := api.ModelDemand{Model: model, LastArrival: w.began}
		switch {
		case w.ready.IsZero():
			demand.Waiting, demand.EarliestDeadline = 1, w.began.Add(time.Minute)
		case w.hold || now.Sub(w.ready) > busyAfterWake:
			delete(n.wakes, model)
			w.stopped <- w.ready.Sub(w.began)
		default:
			demand.InFlight = 1
		}
		n.step(control.DemandReported{Demand: demand})
	}
}

// noteReady ends the wait for the models that a view shows as ready.
func (n *hollowNode) noteReady(view api.CellView) {
	if len(n.wakes) == 0 {
		return
	}
	for _, replica := range view.Replicas {
		w, waits := n.wakes[replica.Model]
		if waits && w.ready.IsZero() && replica.State == api.ReplicaReady {
			w.ready = time.Now()
		}
	}
}
