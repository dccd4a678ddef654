package policy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// Names of the deciders, the values of the setting "policy".
const (
	NameAdaptive           = "adaptive" // the default
	NameFixedKeepAlive     = "fixed-keepalive"
	NameFixedKeepAliveNear = "fixed-keepalive-near" // fixed-keepalive with the placement of adaptive
	NameNeverUnload        = "never-unload"
	NameUnloadAtOnce       = "unload-at-once"
	NameDemandFirst        = "demand-first" // for sites on which idle memory costs nothing
)

// deciders holds all deciders, the default first.
var deciders = []decider{
	{name: NameAdaptive, retention: adaptive{}, placer: lowestCost{}, order: compareUrgency},
	{name: NameFixedKeepAlive, retention: fixedKeepAlive{}, placer: tierFirst{}, order: compareUrgency},
	{name: NameFixedKeepAliveNear, retention: fixedKeepAlive{}, placer: lowestCost{}, order: compareUrgency},
	{name: NameNeverUnload, retention: neverUnload{}, placer: tierFirst{}, order: compareUrgency},
	{name: NameUnloadAtOnce, retention: unloadAtOnce{}, placer: tierFirst{}, order: compareUrgency},
	{name: NameDemandFirst, retention: demandFirst{}, placer: lowestCost{}, order: byGain, scarce: true},
}

// Names returns the names of all deciders, the default first.
func Names() []string {
	names := make([]string, len(deciders))
	for i := range deciders {
		names[i] = deciders[i].name
	}
	return names
}

// ByName returns the decider with the name; false if there is none.
func ByName(name string) (Decider, bool) {
	for i := range deciders {
		if deciders[i].name == name {
			return deciders[i], true
		}
	}
	return nil, false
}

// retention decides which models stay loaded while idle and which are loaded in
// advance.
type retention interface {
	// unload reports whether a replica that was last used at lastUse is no longer
	// worth its memory.
	unload(p *plan, model *Model, replica *Replica, lastUse time.Time) bool
	// prewarm reports whether and why a model that is not loaded should be loaded
	// before a request comes.
	prewarm(p *plan, model *Model) (prewarmLoad, bool)
	// value ranks idle replicas when memory is short: the lowest is evicted first.
	value(p *plan, model *Model, replica *Replica, lastUse time.Time) float64
	// waitCost returns the cost of each second until the model is ready, in the unit of
	// value.
	waitCost(model *Model) float64
}

// prewarmLoad proposes to load a model before a request comes.
type prewarmLoad struct {
	reason string
	placer placer
}

// decider is a Decider composed of a retention, a placer and a load order.
type decider struct {
	name      string
	retention retention
	placer    placer
	order     loadOrder
	// scarce is set if memory is scarce and loads are long. Memory that was freed for a
	// model is then reserved for it, no replica is evicted for one that is worth less, and
	// a model waits for a server with a copy of its checkpoint even if all replicas there
	// are in use.
	scarce bool
}

// Name implements Decider.
func (d decider) Name() string { return d.name }

// Decide implements Decider.
func (d decider) Decide(now time.Time, input Input) []Action {
	p := newPlan(now, &input)
	if p.scarce = d.scarce; p.scarce {
		p.useReservations()
	}
	for _, want := range p.wanted(d.order) {
		d.loadWanted(p, want)
	}
	d.unloadIdle(p)
	d.prewarmIdle(p)
	return p.actions
}

// wantedLoad is a load of one replica that the demand or the settings ask for.
type wantedLoad struct {
	model      *Model
	extraBytes uint64 // memory for the adapter because of which the base is loaded
	waiting    int    // requests that wait for it
	overloaded bool   // whether more requests run than the present replicas can serve at once
	priority   int
	deadline   time.Time // zero if no request waits
	late       bool      // whether it cannot be ready by the deadline
	gainRate   float64   // gain per second of the load
	reason     string
}

// wanted returns the missing loads, sorted by order.
func (p *plan) wanted(order loadOrder) []wantedLoad {
	var loads []wantedLoad
	for i := range p.input.Models {
		model := &p.input.Models[i]
		missing := wantedReplicas(model) - p.present[i]
		if missing <= 0 {
			continue
		}
		if model.Base != "" && !p.hasUsableBase(model) {
			if base := p.base(model); base != nil && p.present[p.indexOf(base.Name)] < maxReplicas(base) {
				loads = append(loads, p.baseLoad(base, model))
			}
			continue
		}
		for more := range missing {
			load := p.wantedLoad(model)
			load.overloaded = overloaded(model, p.present[i])
			load.gainRate = gain(model, p.present[i]+more) / (p.fastestLoad(model).Seconds() + evictionSeconds)
			loads = append(loads, load)
		}
	}
	slices.SortStableFunc(loads, order)
	return loads
}

// wantedLoad returns the load of one replica of the model.
func (p *plan) wantedLoad(model *Model) wantedLoad {
	demand := &model.Demand
	load := wantedLoad{
		model:    model,
		waiting:  demand.Waiting,
		priority: demand.HighestPriority,
		deadline: demand.EarliestDeadline,
		reason:   fmt.Sprintf("%d waiting", demand.Waiting),
	}
	if demand.Waiting == 0 {
		load.priority = model.Settings.Priority
		load.reason = "fewer than decided"
	}
	load.late = !load.deadline.IsZero() && p.now.Add(p.fastestLoad(model)).After(load.deadline)
	return load
}

// baseLoad returns the load of a base for which an adapter waits.
func (p *plan) baseLoad(base, adapter *Model) wantedLoad {
	load := p.wantedLoad(adapter)
	load.model = base
	load.extraBytes = ReplicaBytes(adapter)
	load.reason = fmt.Sprintf("base of %s: %s", adapter.Name, load.reason)
	return load
}

// compareUrgency orders loads by urgency class, priority, deadline and the number of
// waiting requests.
func compareUrgency(a, b wantedLoad) int {
	return cmp.Or(
		cmp.Compare(urgencyClass(a), urgencyClass(b)),
		cmp.Compare(b.priority, a.priority),
		a.deadline.Compare(b.deadline),
		cmp.Compare(b.waiting, a.waiting),
	)
}

// urgencyClass returns 0 for loads that will be ready by the deadline, 1 for late
// ones and 2 for those for which no request waits.
func urgencyClass(load wantedLoad) int {
	switch {
	case load.waiting == 0:
		return 2
	case load.late:
		return 1
	default:
		return 0
	}
}

// fastestLoad returns the shortest expected load time on any eligible server.
func (p *plan) fastestLoad(model *Model) time.Duration {
	best := tierRemote
	for i := range p.servers {
		p.examined++
		if p.eligible(model, &p.servers[i]) {
			best = max(best, p.tierOn(model, &p.servers[i]))
		}
	}
	return model.loadTime(best)
}

// maxReplicas returns the maximum number of a model's replicas.
func maxReplicas(model *Model) int {
	return max(model.Settings.MaxReplicas, 0)
}

// neededReplicas returns how many replicas the demand and the settings ask for, not
// counting spares.
func neededReplicas(model *Model) int {
	concurrency := max(model.Settings.MaxConcurrency, 1)
	requests := model.Demand.Waiting + model.Demand.InFlight
	return max(model.Settings.MinReplicas, (requests+concurrency-1)/concurrency)
}

// overloaded reports whether more requests are in flight than the present replicas can
// serve at once, so that some wait at the servers.
func overloaded(model *Model, present int) bool {
	return model.Demand.InFlight > present*max(model.Settings.MaxConcurrency, 1)
}

// wantedReplicas returns how many replicas the demand and the settings ask for,
// including spares.
func wantedReplicas(model *Model) int {
	return min(max(neededReplicas(model), model.Spares), maxReplicas(model))
}

// hasUsableBase reports whether the adapter's base is ready or loading on a server
// without the adapter, or is to be loaded by the plan.
func (p *plan) hasUsableBase(adapter *Model) bool {
	base := p.base(adapter)
	if base == nil {
		return false
	}
	for i := range base.Replicas {
		replica := &base.Replicas[i]
		if replica.State != api.ReplicaReady && replica.State != api.ReplicaLoading {
			continue
		}
		if !p.holds(adapter, replica.Server) {
			return true
		}
	}
	for i := range p.actions {
		if p.actions[i].Kind == ActionLoad && p.actions[i].Model == base.Name {
			return true
		}
	}
	return false
}

// loadWanted plans a wanted load, or the unloads that free the memory for it.
func (d decider) loadWanted(p *plan, want wantedLoad) {
	model := want.model
	if p.present[p.indexOf(model.Name)] >= maxReplicas(model) {
		return
	}
	placed := d.place(p, model, want.extraBytes, d.placer)
	switch {
	case placed.server == nil:
	case placed.waits:
		p.evictFor(placed, model, ReplicaBytes(model)+want.extraBytes)
	default:
		p.load(model, placed.server, want.waiting > 0 || want.overloaded, want.reason)
	}
}

// unloadIdle unloads the idle replicas that the retention does not keep.
func (d decider) unloadIdle(p *plan) {
	for _, i := range p.loaded {
		model := &p.input.Models[i]
		for j := range model.Replicas {
			replica := &model.Replicas[j]
			p.examined++
			if !p.mayUnload(model, replica) {
				continue
			}
			lastUse := p.lastUse(model, replica)
			if d.retention.unload(p, model, replica, lastUse) {
				p.unloadReplica(model, replica, fmt.Sprintf("idle %s", p.now.Sub(lastUse).Round(time.Second)), "")
			}
		}
	}
}

// prewarmIdle loads models before requests for them come, if no replica has to be
// evicted for it and no request waits for a load, which this could delay.
func (d decider) prewarmIdle(p *plan) {
	if p.urgentLoads() {
		return
	}
	for i := range p.input.Models {
		model := &p.input.Models[i]
		if p.present[i] > 0 || maxReplicas(model) == 0 || !model.Settings.Prewarm {
			continue
		}
		prewarm, ok := d.retention.prewarm(p, model)
		if !ok {
			continue
		}
		if placed := d.place(p, model, 0, prewarm.placer); placed.server != nil && !placed.waits {
			p.load(model, placed.server, false, prewarm.reason)
		}
	}
}

// urgentLoads reports whether any request waits.
func (p *plan) urgentLoads() bool {
	for i := range p.input.Models {
		if p.input.Models[i].Demand.Waiting > 0 {
			return true
		}
	}
	return false
}
