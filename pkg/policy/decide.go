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
	NameFixedKeepAliveNear = "fixed-keepalive-near" // with adaptive's placement
	NameNeverUnload        = "never-unload"
	NameUnloadAtOnce       = "unload-at-once"
	NameDemandFirst        = "demand-first" // for sites on which idle memory is free
)

// deciders are all deciders, the default first.
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

// ByName returns the decider with the name, false if there is none.
func ByName(name string) (Decider, bool) {
	for i := range deciders {
		if deciders[i].name == name {
			return deciders[i], true
		}
	}
	return nil, false
}

// retention is what deciders differ in: which models stay loaded while idle.
type retention interface {
	// unload tells whether a replica that was last used at lastUse is not
	// worth its memory any more.
	unload(p *plan, model *Model, replica *Replica, lastUse time.Time) bool
	// prewarm tells whether and why a model that is not loaded is to be loaded
	// before a request comes.
	prewarm(p *plan, model *Model) (prewarmWish, bool)
	// value ranks idle replicas when memory is short: the lowest goes first.
	value(p *plan, model *Model, replica *Replica, lastUse time.Time) float64
	// worth is what a second until the model is ready costs, in the unit of value.
	worth(model *Model) float64
}

// prewarmWish is the wish to load a model before a request comes.
type prewarmWish struct {
	reason string
	placer placer
}

// decider is a Decider with a shared load order.
type decider struct {
	name      string
	retention retention
	placer    placer
	order     loadOrder
	// scarce tells that places for models are scarce and loads long, so that each has to
	// be worth it: room that is made is kept for its model, nothing makes way for what is
	// worth less, and models wait for servers with their copy of which all replicas are
	// in use.
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

// wantedLoad is a load that demand or the settings ask for.
type wantedLoad struct {
	model      *Model
	extraBytes uint64 // for the adapter that the base is loaded for
	waiting    int
	overloaded bool // more requests run than the present replicas have room for
	priority   int
	deadline   time.Time // zero if no request waits
	late       bool      // cannot be ready by the deadline
	gainRate   float64   // what it is worth for each second of the load
	reason     string
}

// wanted returns the loads that are missing, in the order given.
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

// wantedLoad describes the load of one replica of model.
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

// baseLoad describes the load of a base that adapter waits for.
func (p *plan) baseLoad(base, adapter *Model) wantedLoad {
	load := p.wantedLoad(adapter)
	load.model = base
	load.extraBytes = ReplicaBytes(adapter)
	load.reason = fmt.Sprintf("base of %s: %s", adapter.Name, load.reason)
	return load
}

// compareUrgency orders loads: those that requests wait for and that can be
// in time come first, then by priority and deadline.
func compareUrgency(a, b wantedLoad) int {
	return cmp.Or(
		cmp.Compare(urgencyClass(a), urgencyClass(b)),
		cmp.Compare(b.priority, a.priority),
		a.deadline.Compare(b.deadline),
		cmp.Compare(b.waiting, a.waiting),
	)
}

// urgencyClass returns 0 for loads in time, 1 for late ones and 2 for those
// that no request waits for.
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

// fastestLoad returns the expected load time on the best server.
func (p *plan) fastestLoad(model *Model) time.Duration {
	best := tierRemote
	for i := range p.servers {
		p.looks++
		if p.eligible(model, &p.servers[i]) {
			best = max(best, p.tierOn(model, &p.servers[i]))
		}
	}
	return model.loadTime(best)
}

// maxReplicas returns the bound on a model's replicas.
func maxReplicas(model *Model) int {
	return max(model.Settings.MaxReplicas, 0)
}

// neededReplicas returns how many replicas the demand and the settings ask for, spare
// ones aside.
func neededReplicas(model *Model) int {
	concurrency := max(model.Settings.MaxConcurrency, 1)
	requests := model.Demand.Waiting + model.Demand.InFlight
	return max(model.Settings.MinReplicas, (requests+concurrency-1)/concurrency)
}

// overloaded tells whether more requests run at so many replicas than they have room for:
// those that are too many wait at the servers.
func overloaded(model *Model, present int) bool {
	return model.Demand.InFlight > present*max(model.Settings.MaxConcurrency, 1)
}

// wantedReplicas returns how many replicas the demand and the settings ask for.
func wantedReplicas(model *Model) int {
	return min(max(neededReplicas(model), model.Spares), maxReplicas(model))
}

// hasUsableBase tells whether the adapter's base is present, ready or not, on
// a server without the adapter.
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

// loadWanted starts a wanted load, or makes room for it.
func (d decider) loadWanted(p *plan, want wantedLoad) {
	model := want.model
	if p.present[p.indexOf(model.Name)] >= maxReplicas(model) {
		return
	}
	placed := d.place(p, model, want.extraBytes, d.placer)
	switch {
	case placed.server == nil:
	case placed.waits:
		p.makeRoom(placed, model, ReplicaBytes(model)+want.extraBytes)
	default:
		p.load(model, placed.server, want.waiting > 0 || want.overloaded, want.reason)
	}
}

// unloadIdle unloads the replicas whose keep-alive has passed.
func (d decider) unloadIdle(p *plan) {
	for _, i := range p.loaded {
		model := &p.input.Models[i]
		for j := range model.Replicas {
			replica := &model.Replicas[j]
			p.looks++
			if !p.mayUnload(model, replica) {
				continue
			}
			lastUse := p.lastUse(model, replica)
			if d.retention.unload(p, model, replica, lastUse) {
				p.drop(model, replica, fmt.Sprintf("idle %s", p.now.Sub(lastUse).Round(time.Second)), "")
			}
		}
	}
}

// prewarmIdle loads models ahead of their requests, if nothing has to go and
// no load that a request waits for would be later by it.
func (d decider) prewarmIdle(p *plan) {
	if p.urgentLoads() {
		return
	}
	for i := range p.input.Models {
		model := &p.input.Models[i]
		if p.present[i] > 0 || maxReplicas(model) == 0 || !model.Settings.Prewarm {
			continue
		}
		wish, wished := d.retention.prewarm(p, model)
		if !wished {
			continue
		}
		if placed := d.place(p, model, 0, wish.placer); placed.server != nil && !placed.waits {
			p.load(model, placed.server, false, wish.reason)
		}
	}
}

// urgentLoads tells whether a request waits for a load.
func (p *plan) urgentLoads() bool {
	for i := range p.input.Models {
		if p.input.Models[i].Demand.Waiting > 0 {
			return true
		}
	}
	return false
}
