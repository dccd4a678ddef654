package lab

import (
	"slices"
	"strings"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/policy"
)

// owner makes the decisions for one service.
type owner struct {
	sim             *simulation
	service         int
	zone            int
	decider         policy.Decider
	engines         []*emulatedEngine
	states          []*modelState // sorted by the models' names
	byModel         map[int]*modelState
	servers         map[api.ServerID]*emulatedEngine
	serverViews     []serverView
	fences          map[*emulatedEngine]uint32
	orderCount      int
	pendingDecision *event
	buffer          policy.Input // reused between decisions; a decider keeps no reference to it
}

// serverView is the owner's view of a server.
type serverView struct {
	leaving       bool
	cached        map[string]engine.CacheTier
	cacheUseCount uint64 // the caches' use counters when cached was built
	instance      string
}

// modelState is the owner's view of a model.
type modelState struct {
	model       *model
	replicas    []policy.Replica
	demand      []nodeDemand // by node index
	history     policy.History
	lastArrival time.Time     // latest arrival
	lastReport  time.Duration // latest report of any node
}

// nodeDemand is a node's latest report on a model.
type nodeDemand struct {
	demand api.ModelDemand
	at     time.Duration
}

// newOwner returns the owner of a service and schedules its decisions.
func newOwner(sim *simulation, service int, decider policy.Decider) *owner {
	o := &owner{
		sim: sim, service: service, zone: service % len(sim.scenario.Zones), decider: decider,
		engines: sim.serviceEngines(service), byModel: make(map[int]*modelState),
		servers: make(map[api.ServerID]*emulatedEngine), fences: make(map[*emulatedEngine]uint32),
	}
	o.serverViews = make([]serverView, len(o.engines))
	for _, e := range o.engines {
		o.servers[e.id] = e
	}
	for _, m := range sim.models {
		if m.service != service {
			continue
		}
		state := &modelState{model: m, demand: make([]nodeDemand, len(sim.nodes))}
		o.states = append(o.states, state)
		o.byModel[m.index] = state
	}
	slices.SortFunc(o.states, func(a, b *modelState) int {
		return strings.Compare(string(a.model.name), string(b.model.name))
	})
	sim.clock.after(decideInterval, o.tick)
	return o
}

// tick decides every decideInterval.
func (o *owner) tick() {
	o.decide()
	o.sim.clock.after(decideInterval, o.tick)
}

// scheduleDecision schedules a decision after decideDelay, one for all calls until then.
func (o *owner) scheduleDecision() {
	if o.pendingDecision != nil {
		return
	}
	o.pendingDecision = o.sim.clock.after(decideDelay, func() {
		o.pendingDecision = nil
		o.decide()
	})
}

// handleReport records a node's demand.
func (o *owner) handleReport(n *node, model int, demand api.ModelDemand) {
	state := o.byModel[model]
	state.lastReport = o.sim.clock.elapsed
	state.demand[n.index] = nodeDemand{demand, o.sim.clock.elapsed}
	if demand.Arrivals > 0 && demand.LastArrival.After(state.lastArrival) {
		state.lastArrival = demand.LastArrival
		state.history.Observe(demand.LastArrival)
	}
	if demand.Arrivals > 0 || demand.InFlight > 0 {
		now := o.sim.clock.now()
		for i := range state.replicas {
			if state.replicas[i].State == api.ReplicaReady {
				state.replicas[i].LastUse = now
			}
		}
	}
	if demand.Waiting > 0 && len(state.replicas) == 0 {
		o.scheduleDecision()
	}
}

// publish sends the state of a model to all nodes.
func (o *owner) publish(state *modelState) {
	for _, n := range o.sim.nodes {
		o.publishTo(n, state)
	}
}

// publishTo sends the state of a model to a node.
func (o *owner) publishTo(n *node, state *modelState) {
	views := make([]replicaView, 0, len(state.replicas))
	for _, replica := range state.replicas {
		e := o.servers[replica.Server]
		views = append(views, replicaView{
			server: e, software: e.software, state: replica.State, readyBy: replica.ReadyBy.Sub(epoch),
			leaving: o.serverViews[o.position(e)].leaving,
		})
	}
	incarnation := n.incarnation
	o.sim.network.send(o.zone, n.zone, func() {
		n.handle(func() {
			if n.incarnation == incarnation {
				n.setReplicas(state.model.index, views)
			}
		})
	})
}

// position returns the index of the server among the owner's engines.
func (o *owner) position(e *emulatedEngine) int {
	for i := range o.engines {
		if o.engines[i] == e {
			return i
		}
	}
	return -1
}

// input returns the decider's input for the service.
func (o *owner) input() policy.Input {
	if o.buffer.Models == nil {
		o.buffer = policy.Input{
			Models:   make([]policy.Model, len(o.states)),
			Servers:  make([]policy.Server, len(o.engines)),
			LoadRate: o.sim.scenario.WeightStore.LoadsPerSecond,
		}
	}
	input := o.buffer
	input.LoadSlots = o.loadSlots()
	reserved := make(map[api.ServerID]uint64)
	for i, state := range o.states {
		m := state.model
		input.Models[i] = policy.Model{
			Name: m.name, Settings: m.settings, Replicas: state.replicas,
			Demand: state.totalDemand(o.sim.clock.elapsed), History: &state.history,
		}
		if m.base >= 0 {
			input.Models[i].Base = o.sim.models[m.base].name
		}
		for _, replica := range state.replicas {
			reserved[replica.Server] += m.holdBytes
		}
	}
	for i, e := range o.engines {
		input.Servers[i] = o.serverInput(i, e, reserved[e.id])
	}
	return input
}

// loadSlots returns how many loads the owner may have in progress: the number that the store serves at
// full speed, less the store's transfers for other owners.
func (o *owner) loadSlots() int {
	slots := o.sim.scenario.WeightStore.FullSpeed
	for _, e := range o.sim.engines {
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

// serverInput returns the decider's input for a server.
func (o *owner) serverInput(position int, e *emulatedEngine, reserved uint64) policy.Server {
	server := policy.Server{
		ID: e.id, Zone: o.sim.scenario.Zones[e.zone],
		CapacityBytes: e.capacity, FreeBytes: e.capacity - min(reserved, e.capacity),
		Leaving:   o.serverViews[position].leaving,
		Reachable: true, // a dead server is marked as leaving instead
		Cached:    o.cached(position, e),
	}
	return server
}

// cached returns what is cached on a server. The map is rebuilt only if the caches have been used
// or the engine has restarted.
func (o *owner) cached(position int, e *emulatedEngine) map[string]engine.CacheTier {
	view := &o.serverViews[position]
	useCount := e.disk.useCount + e.memory.useCount
	if view.cached != nil && view.cacheUseCount == useCount && view.instance == e.instance {
		return view.cached
	}
	view.cacheUseCount, view.instance = useCount, e.instance
	view.cached = make(map[string]engine.CacheTier, len(e.disk.entries)+len(e.memory.entries))
	for index := range e.disk.entries {
		view.cached[string(o.sim.models[index].name)] = engine.TierDisk
	}
	for index := range e.memory.entries {
		view.cached[string(o.sim.models[index].name)] = engine.TierMemory
	}
	return view.cached
}

// totalDemand adds up the nodes' reports that have not expired.
func (s *modelState) totalDemand(elapsed time.Duration) policy.Demand {
	sum := policy.Demand{LastArrival: s.lastArrival}
	if s.lastReport == 0 || elapsed-s.lastReport > demandTTL {
		return sum
	}
	for i := range s.demand {
		reported := &s.demand[i]
		if reported.at == 0 || elapsed-reported.at > demandTTL {
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
