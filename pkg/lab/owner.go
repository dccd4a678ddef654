package lab

import (
	"slices"
	"strings"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/policy"
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
		Reachable: true, // a dead one is believed to be leaving
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
