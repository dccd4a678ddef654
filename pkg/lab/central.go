package lab

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/policy"
)

// centralPlane is an ideal control plane: one owner per service that never
// fails, with the real decider. It stands in for elections, leases and
// gossip, so that policies are compared by their decisions alone.
type centralPlane struct {
	world  *world
	owners []*owner // by service
}

// Times of the central plane.
const (
	decideInterval   = time.Second
	decideDelay      = 5 * time.Millisecond   // collects the reports of a burst
	inventoryLag     = 100 * time.Millisecond // until the owner notices a change of an engine
	drainBeforeOrder = 300 * time.Millisecond // until all nodes know that a replica drains
	demandLifetime   = 3 * time.Second        // of a report that is not repeated
)

// owner decides for one service.
type owner struct {
	world    *world
	service  int
	zone     int
	decider  policy.Decider
	engines  []*emulatedEngine
	states   []*modelState // sorted by the models' names
	byModel  map[int]*modelState
	servers  map[api.ServerID]*emulatedEngine
	believed []believedServer
	fences   map[*emulatedEngine]uint32
	orders   int
	deciding *event
	buffer   policy.Input // reused: a decider keeps nothing of it
}

// believedServer is what the owner believes of a server.
type believedServer struct {
	gone      bool
	leaving   bool
	cached    map[string]engine.CacheTier
	cacheUses uint64 // uses of the caches when cached was made
	instance  string
}

// modelState is what the owner knows of a model.
type modelState struct {
	model    *model
	replicas []policy.Replica
	demand   []nodeDemand // by node
	history  policy.History
	last     time.Time     // arrival
	reported time.Duration // last report of any node
}

// nodeDemand is a node's last report of a model.
type nodeDemand struct {
	demand api.ModelDemand
	at     time.Duration
}

// newCentralPlane returns the owners of all services.
func newCentralPlane(w *world, decider policy.Decider) *centralPlane {
	plane := &centralPlane{world: w}
	for i := range w.scenario.Services {
		plane.owners = append(plane.owners, newOwner(w, i, decider))
	}
	return plane
}

// newOwner returns the owner of a service; it decides from the start.
func newOwner(w *world, service int, decider policy.Decider) *owner {
	o := &owner{
		world: w, service: service, zone: service % len(w.scenario.Zones), decider: decider,
		engines: w.serviceEngines(service), byModel: make(map[int]*modelState),
		servers: make(map[api.ServerID]*emulatedEngine), fences: make(map[*emulatedEngine]uint32),
	}
	o.believed = make([]believedServer, len(o.engines))
	for _, e := range o.engines {
		o.servers[e.id] = e
	}
	for _, m := range w.models {
		if m.service != service {
			continue
		}
		state := &modelState{model: m, demand: make([]nodeDemand, len(w.nodes))}
		o.states = append(o.states, state)
		o.byModel[m.index] = state
	}
	slices.SortFunc(o.states, func(a, b *modelState) int {
		return strings.Compare(string(a.model.name), string(b.model.name))
	})
	w.clock.after(decideInterval, o.tick)
	return o
}

// tick decides every decideInterval.
func (o *owner) tick() {
	o.decide()
	o.world.clock.after(decideInterval, o.tick)
}

// soon decides shortly, once for all that happens until then.
func (o *owner) soon() {
	if o.deciding != nil {
		return
	}
	o.deciding = o.world.clock.after(decideDelay, func() {
		o.deciding = nil
		o.decide()
	})
}

// report implements controlPlane.
func (p *centralPlane) report(n *node, model int, demand api.ModelDemand) {
	o := p.owners[p.world.models[model].service]
	p.world.network.send(n.zone, o.zone, func() { o.takeReport(n, model, demand) })
}

// takeReport notes a node's demand.
func (o *owner) takeReport(n *node, model int, demand api.ModelDemand) {
	state := o.byModel[model]
	state.reported = o.world.clock.elapsed
	state.demand[n.index] = nodeDemand{demand, o.world.clock.elapsed}
	if demand.Arrivals > 0 && demand.LastArrival.After(state.last) {
		state.last = demand.LastArrival
		state.history.Observe(demand.LastArrival)
	}
	if demand.Arrivals > 0 || demand.InFlight > 0 {
		now := o.world.clock.now()
		for i := range state.replicas {
			if state.replicas[i].State == api.ReplicaReady {
				state.replicas[i].LastUse = now
			}
		}
	}
	if demand.Waiting > 0 && len(state.replicas) == 0 {
		o.soon()
	}
}

// nodeStarted implements controlPlane.
func (p *centralPlane) nodeStarted(n *node) {
	for _, o := range p.owners {
		for _, state := range o.states {
			o.tell(n, state)
		}
	}
}

// healed implements controlPlane: nodes that were cut off hear what they missed.
func (p *centralPlane) healed() {
	for _, n := range p.world.nodes {
		p.nodeStarted(n)
	}
}

// publish tells all nodes about a model.
func (o *owner) publish(state *modelState) {
	for _, n := range o.world.nodes {
		o.tell(n, state)
	}
}

// tell tells a node about a model.
func (o *owner) tell(n *node, state *modelState) {
	views := make([]replicaView, 0, len(state.replicas))
	for _, replica := range state.replicas {
		e := o.servers[replica.Server]
		views = append(views, replicaView{
			server: e, state: replica.State, readyBy: replica.ReadyBy.Sub(epoch),
			leaving: o.believed[o.position(e)].leaving,
		})
	}
	life := n.lives
	o.world.network.send(o.zone, n.zone, func() {
		n.handle(func() {
			if n.lives == life {
				n.setReplicas(state.model.index, views)
			}
		})
	})
}

// position returns the number of the server among the owner's.
func (o *owner) position(e *emulatedEngine) int {
	for i := range o.engines {
		if o.engines[i] == e {
			return i
		}
	}
	return -1
}

// input describes the service to the decider.
func (o *owner) input() policy.Input {
	if o.buffer.Models == nil {
		o.buffer = policy.Input{
			Models:   make([]policy.Model, len(o.states)),
			Servers:  make([]policy.Server, len(o.engines)),
			LoadRate: o.world.scenario.WeightStore.LoadsPerSecond,
		}
	}
	input := o.buffer
	input.LoadSlots = o.slots()
	reserved := make(map[api.ServerID]uint64)
	for i, state := range o.states {
		m := state.model
		input.Models[i] = policy.Model{
			Name: m.name, Settings: m.settings, Replicas: state.replicas,
			Demand: state.sum(o.world.clock.elapsed), History: &state.history,
		}
		if m.base >= 0 {
			input.Models[i].Base = o.world.models[m.base].name
		}
		for _, replica := range state.replicas {
			reserved[replica.Server] += m.holdBytes
		}
	}
	for i, e := range o.engines {
		input.Servers[i] = o.describe(i, e, reserved[e.id])
	}
	return input
}

// slots returns how many loads the owner may have under way: all that the store
// serves at full speed, less the loads of other owners that come from it.
func (o *owner) slots() int {
	slots := o.world.scenario.WeightStore.FullSpeed
	for _, e := range o.world.engines {
		if e.service == o.service {
			continue
		}
		for _, it := range e.items {
			if it != nil && it.fetch != nil {
				slots--
			}
		}
	}
	return max(slots, 1)
}

// describe describes a server to the decider.
func (o *owner) describe(position int, e *emulatedEngine, reserved uint64) policy.Server {
	server := policy.Server{
		ID: e.id, Zone: o.world.scenario.Zones[e.zone],
		CapacityBytes: e.capacity, FreeBytes: e.capacity - min(reserved, e.capacity),
		Leaving:   o.believed[position].leaving,
		Reachable: !o.believed[position].gone,
		Cached:    o.cached(position, e),
	}
	return server
}

// cached returns what is cached on a server, anew if that has changed.
func (o *owner) cached(position int, e *emulatedEngine) map[string]engine.CacheTier {
	believed := &o.believed[position]
	uses := e.disk.uses + e.memory.uses
	if believed.cached != nil && believed.cacheUses == uses && believed.instance == e.instance {
		return believed.cached
	}
	believed.cacheUses, believed.instance = uses, e.instance
	believed.cached = make(map[string]engine.CacheTier, len(e.disk.entries)+len(e.memory.entries))
	for index := range e.disk.entries {
		believed.cached[string(o.world.models[index].name)] = engine.TierDisk
	}
	for index := range e.memory.entries {
		believed.cached[string(o.world.models[index].name)] = engine.TierMemory
	}
	return believed.cached
}

// sum adds up the nodes' reports.
func (s *modelState) sum(elapsed time.Duration) policy.Demand {
	sum := policy.Demand{LastArrival: s.last}
	if s.reported == 0 || elapsed-s.reported > demandLifetime {
		return sum
	}
	for i := range s.demand {
		reported := &s.demand[i]
		if reported.at == 0 || elapsed-reported.at > demandLifetime {
			continue
		}
		demand := &reported.demand
		sum.InFlight += int(demand.InFlight)
		if demand.Waiting == 0 {
			continue
		}
		if sum.Waiting == 0 || demand.HighestPriority > sum.HighestPriority {
			sum.HighestPriority = demand.HighestPriority
		}
		if sum.EarliestDeadline.IsZero() || demand.EarliestDeadline.Before(sum.EarliestDeadline) {
			sum.EarliestDeadline = demand.EarliestDeadline
		}
		sum.Waiting += int(demand.Waiting)
	}
	return sum
}

// decide asks the decider and carries out what it wishes.
func (o *owner) decide() {
	for _, action := range o.decider.Decide(o.world.clock.now(), o.input()) {
		state := o.byModel[o.world.byName[action.Model].index]
		if action.Kind == policy.ActionLoad {
			o.load(state, action)
		} else {
			o.unload(state, action)
		}
	}
}

// load orders a load, unless it would break the decided number of replicas.
func (o *owner) load(state *modelState, action policy.Action) {
	m := state.model
	if len(state.replicas) >= m.settings.MaxReplicas {
		return
	}
	now := o.world.clock.now()
	state.replicas = append(state.replicas, policy.Replica{
		Server: action.Server, State: api.ReplicaLoading, Since: now,
		ReadyBy: now.Add(m.settings.LoadTime), Prewarmed: !action.Urgent,
	})
	kind := engine.OrderLoad
	if m.base >= 0 {
		kind = engine.OrderLoadAdapter
	}
	o.order(state, action.Server, kind, action.Urgent)
	o.publish(state)
}

// unload drains a replica and then orders its unload.
func (o *owner) unload(state *modelState, action policy.Action) {
	replica := state.replica(action.Server)
	if replica == nil || replica.State != api.ReplicaReady {
		return
	}
	replica.State = api.ReplicaDraining
	replica.Since = o.world.clock.now()
	o.publish(state)
	instance := o.servers[action.Server].instance
	o.world.clock.after(drainBeforeOrder, func() {
		replica := state.replica(action.Server)
		if replica == nil || o.servers[action.Server].instance != instance {
			return
		}
		replica.State = api.ReplicaUnloading
		kind := engine.OrderUnload
		if state.model.base >= 0 {
			kind = engine.OrderUnloadAdapter
		}
		o.order(state, action.Server, kind, false)
	})
}

// replica returns the model's replica on a server, nil if there is none.
func (s *modelState) replica(server api.ServerID) *policy.Replica {
	for i := range s.replicas {
		if s.replicas[i].Server == server {
			return &s.replicas[i]
		}
	}
	return nil
}

// order sends a fenced order. An engine that refuses it does not hold the
// model; one that cannot be reached is asked again until it answers or is gone.
func (o *owner) order(state *modelState, server api.ServerID, kind engine.OrderKind, urgent bool) {
	e := o.servers[server]
	o.orders++
	o.fences[e]++
	order := engine.Order{
		ID: fmt.Sprintf("%d-%d", o.service, o.orders), Fence: api.MakeFence(1, o.fences[e]),
		Kind: kind, Model: state.model.name, MemoryBytes: state.model.holdBytes, Urgent: urgent,
	}
	o.send(state, e, e.instance, order)
}

// orderRetry is how long the owner waits before it repeats an order that got
// no answer.
const orderRetry = time.Second

// send sends an order until it is answered or the engine is another instance.
func (o *owner) send(state *modelState, e *emulatedEngine, instance string, order engine.Order) {
	c, network := o.world.clock, o.world.network
	answered := false
	network.send(o.zone, e.zone, func() {
		e.handle(func() {
			if e.instance != instance {
				return
			}
			result := e.order(order)
			network.send(e.zone, o.zone, func() {
				answered = true
				o.takeResult(state, e, order, result)
			})
		})
	})
	c.after(orderRetry, func() {
		if !answered && e.instance == instance && state.replica(e.id) != nil {
			o.send(state, e, instance, order)
		}
	})
}

// takeResult forgets a replica whose load an engine refused.
func (o *owner) takeResult(state *modelState, e *emulatedEngine, order engine.Order, result engine.OrderResult) {
	if result.Status == engine.OrderAccepted || order.Kind == engine.OrderUnload || order.Kind == engine.OrderUnloadAdapter {
		return
	}
	o.forget(state, e.id)
}

// forget removes a replica.
func (o *owner) forget(state *modelState, server api.ServerID) {
	for i := range state.replicas {
		if state.replicas[i].Server == server {
			state.replicas = append(state.replicas[:i:i], state.replicas[i+1:]...)
			break
		}
	}
	o.publish(state)
	o.soon()
}

// itemChanged implements controlPlane.
func (p *centralPlane) itemChanged(e *emulatedEngine, m *model) {
	o := p.owners[e.service]
	instance := e.instance
	p.world.clock.after(inventoryLag, func() { o.notice(e, instance, m) })
}

// notice takes a change of an item over, once the engine can be reached.
func (o *owner) notice(e *emulatedEngine, instance string, m *model) {
	if e.instance != instance || !e.alive {
		return
	}
	if e.frozen || !o.world.network.reaches(o.zone, e.zone) {
		o.world.clock.after(orderRetry, func() { o.notice(e, instance, m) })
		return
	}
	state := o.byModel[m.index]
	replica := state.replica(e.id)
	if replica == nil {
		return
	}
	it := e.items[m.index]
	if it == nil {
		o.forget(state, e.id)
		return
	}
	if it.state == engine.ItemReady && replica.State == api.ReplicaLoading {
		replica.State = api.ReplicaReady
		replica.Since = o.world.clock.now()
		replica.ReadyBy = time.Time{}
		o.publish(state)
		o.soon()
	}
}

// engineChanged implements controlPlane: a leaving engine says so itself; a
// dead machine is believed gone only when the list shows it.
func (p *centralPlane) engineChanged(e *emulatedEngine) {
	o := p.owners[e.service]
	position := o.position(e)
	if e.alive {
		p.world.clock.after(inventoryLag, func() { o.takeServer(position, e) })
		return
	}
	p.world.clock.after(time.Second, func() {
		o.believed[position].leaving = true
		o.publishServer(e)
	})
}

// takeServer takes over the state of a live engine.
func (o *owner) takeServer(position int, e *emulatedEngine) {
	o.believed[position].leaving = e.leavingAt >= 0
	if e.leavingAt < 0 {
		o.fences[e] = 0
		for _, state := range o.states {
			if state.replica(e.id) != nil && e.items[state.model.index] == nil {
				o.forget(state, e.id)
			}
		}
	}
	o.publishServer(e)
	o.soon()
}

// publishServer tells the nodes about the models on a server.
func (o *owner) publishServer(e *emulatedEngine) {
	for _, state := range o.states {
		if state.replica(e.id) != nil {
			o.publish(state)
		}
	}
}
