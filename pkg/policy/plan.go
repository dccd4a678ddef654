package policy

import (
	"iter"
	"math"
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
)

// ReplicaBytes returns the accelerator memory that one replica of a model
// needs: weights and the room for the KV cache, which adapters have none of.
func ReplicaBytes(model *Model) uint64 {
	return model.Settings.MemoryBytes + model.Settings.KVBytes
}

// CheckpointName returns the name of a model's checkpoint in the weight store.
func CheckpointName(model *Model) string {
	if model.Settings.Checkpoint != "" {
		return model.Settings.Checkpoint
	}
	return string(model.Name)
}

// plan is the working copy of one decision: what the servers and models will
// hold if the actions so far are carried out.
type plan struct {
	now     time.Time
	input   *Input
	servers []serverPlan
	loaded  []int               // models with replicas
	present []int               // replicas of each model, whatever their state, with planned loads
	kin     []kin               // of each model
	unload  map[replicaKey]bool // replicas that an action unloads
	slots   int                 // loads from the weight store that may still start
	actions []Action
	stay    []int             // ready replicas of each model that no action unloads
	zones   []map[string]bool // that have a replica of a model; nil: not worked out
	sizes   map[string]uint64 // of checkpoints; nil: not worked out

	scarce bool // see decider.scarce
	looks  int  // at servers and replicas, which a plan's time grows with
}

// kin links a model with its adapters: -1 where there is none.
type kin struct {
	base         int
	firstAdapter int
	nextAdapter  int // of the same base
}

// serverPlan is a server with what the plan changes on it.
type serverPlan struct {
	*Server
	reserved api.ModelName // see Server.Reserved; by this decision or an earlier one
	free     uint64        // bytes that a load may take now
	freeSoon uint64        // bytes of replicas that are being unloaded
	busyFor  float64       // seconds until the loads are done that are under way or are to wait for it
	held     []heldReplica // on it, in the order of the models

	cachedKnown bool // cachedBytes was worked out
	cachedBytes uint64
}

// heldReplica is a replica of the input, by the numbers of its model and among those.
type heldReplica struct{ model, replica int }

// replicaKey names a replica: a server holds a model at most once.
type replicaKey struct {
	model  api.ModelName
	server api.ServerID
}

// newPlan starts a decision.
func newPlan(now time.Time, input *Input) *plan {
	p := &plan{
		now:     now,
		input:   input,
		servers: make([]serverPlan, len(input.Servers)),
		present: make([]int, len(input.Models)),
		kin:     make([]kin, len(input.Models)),
		stay:    make([]int, len(input.Models)),
		zones:   make([]map[string]bool, len(input.Models)),
	}
	for i := range input.Servers {
		p.servers[i] = serverPlan{Server: &input.Servers[i], free: input.Servers[i].FreeBytes, busyFor: input.Servers[i].BusyFor.Seconds()}
	}
	p.linkAdapters()
	p.countReplicas()
	return p
}

// linkAdapters links the bases with their adapters.
func (p *plan) linkAdapters() {
	for i := range p.kin {
		p.kin[i] = kin{-1, -1, -1}
	}
	for i := range p.input.Models {
		if p.input.Models[i].Base == "" {
			continue
		}
		base := p.indexOf(p.input.Models[i].Base)
		if base < 0 {
			continue
		}
		p.kin[i].base = base
		p.kin[i].nextAdapter = p.kin[base].firstAdapter
		p.kin[base].firstAdapter = i
	}
}

// countReplicas notes what the replicas hold, and the slots of the weight
// store that loads under way leave.
func (p *plan) countReplicas() {
	input, now := p.input, p.now
	fetching, started := 0, 0
	window := startWindow(input.LoadRate)
	for i := range input.Models {
		model := &input.Models[i]
		if len(model.Replicas) > 0 {
			p.loaded = append(p.loaded, i)
		}
		for j := range model.Replicas {
			replica := &model.Replicas[j]
			if server := p.server(replica.Server); server != nil {
				server.held = append(server.held, heldReplica{i, j})
				if replica.State == api.ReplicaUnloading {
					server.freeSoon += ReplicaBytes(model)
				}
			}
			p.looks++
			p.present[i]++
			if replica.State == api.ReplicaReady {
				p.stay[i]++
			}
			if replica.State != api.ReplicaLoading || p.tier(model, replica.Server) != tierRemote {
				continue
			}
			fetching++
			if now.Sub(replica.Since) < window {
				started++
			}
		}
	}
	p.slots = max(min(input.LoadSlots-fetching, startsPerWindow(input.LoadRate)-started), 0)
}

// adapters yields the adapters of a base.
func (p *plan) adapters(base *Model) iter.Seq[*Model] {
	return func(yield func(*Model) bool) {
		for i := p.kin[p.indexOf(base.Name)].firstAdapter; i >= 0; i = p.kin[i].nextAdapter {
			if !yield(&p.input.Models[i]) {
				return
			}
		}
	}
}

// startWindow returns the time over which loads that were started count
// against the rate of the weight store.
func startWindow(rate float64) time.Duration {
	if rate <= 0 || rate >= 1 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / rate)
}

// startsPerWindow returns how many loads may start within a startWindow.
func startsPerWindow(rate float64) int {
	if rate <= 0 {
		return 0
	}
	return max(int(math.Floor(rate)), 1)
}

// server returns the server with the ID, nil if the cell has none.
func (p *plan) server(id api.ServerID) *serverPlan {
	i := sort.Search(len(p.servers), func(i int) bool { return p.servers[i].ID >= id })
	if i == len(p.servers) || p.servers[i].ID != id {
		return nil
	}
	return &p.servers[i]
}

// indexOf returns the number of the model with the name, -1 if the cell has
// none.
func (p *plan) indexOf(name api.ModelName) int {
	models := p.input.Models
	i := sort.Search(len(models), func(i int) bool { return models[i].Name >= name })
	if i == len(models) || models[i].Name != name {
		return -1
	}
	return i
}

// base returns the base of an adapter, nil if the cell has none.
func (p *plan) base(adapter *Model) *Model {
	base := p.kin[p.indexOf(adapter.Name)].base
	if base < 0 {
		return nil
	}
	return &p.input.Models[base]
}

// holds tells whether a replica of the model is on the server in any state,
// or will be after the plan's actions. It looks at what the server has, which is little, and not at
// the model's replicas, which are as many as the fleet is large.
func (p *plan) holds(model *Model, id api.ServerID) bool {
	server := p.server(id)
	return server != nil && p.holdsOn(model, server)
}

// holdsOn is holds for a server that is at hand.
func (p *plan) holdsOn(model *Model, server *serverPlan) bool {
	for _, held := range server.held {
		if &p.input.Models[held.model] == model {
			return true
		}
	}
	for i := range p.actions {
		action := &p.actions[i]
		if action.Kind == ActionLoad && action.Model == model.Name && action.Server == server.ID {
			return true
		}
	}
	return false
}

// readyOn tells whether a replica of the model serves on the server and stays.
func (p *plan) readyOn(model *Model, server api.ServerID) bool {
	for i := range model.Replicas {
		replica := &model.Replicas[i]
		if replica.Server == server && replica.State == api.ReplicaReady {
			return !p.unload[replicaKey{model.Name, server}]
		}
	}
	return false
}

// load adds a load to the plan.
func (p *plan) load(model *Model, server *serverPlan, urgent bool, reason string) {
	if p.tierOn(model, server) == tierRemote {
		p.slots--
	}
	server.free -= ReplicaBytes(model)
	p.present[p.indexOf(model.Name)]++
	p.actions = append(p.actions, Action{
		Kind: ActionLoad, Model: model.Name, Server: server.ID, Urgent: urgent, Reason: reason,
	})
}

// drop adds an unload to the plan, done for the model named; empty if there is none.
// The memory is free only once the engine has confirmed it.
func (p *plan) drop(model *Model, replica *Replica, reason string, incoming api.ModelName) {
	if p.unload == nil {
		p.unload = make(map[replicaKey]bool)
	}
	key := replicaKey{model.Name, replica.Server}
	if replica.State == api.ReplicaReady && !p.unload[key] {
		p.stay[p.indexOf(model.Name)]--
	}
	p.unload[key] = true
	if server := p.server(replica.Server); server != nil {
		server.freeSoon += ReplicaBytes(model)
	}
	p.actions = append(p.actions, Action{
		Kind: ActionUnload, Model: model.Name, Server: replica.Server, Reason: reason, For: incoming,
	})
}
