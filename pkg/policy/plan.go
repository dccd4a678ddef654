package policy

import (
	"iter"
	"math"
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
)

// ReplicaBytes returns the accelerator memory that one replica of a model needs: its
// weights and its KV cache. Adapters have no KV cache of their own.
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

// plan is the working state of one decision: what the servers and models will hold
// once the actions so far are carried out.
type plan struct {
	now          time.Time
	input        *Input
	servers      []serverPlan
	loaded       []int               // indexes of the models with replicas
	present      []int               // number of replicas of each model, in any state or planned
	adapterLinks []adapterLinks      // links between bases and adapters, by model
	unload       map[replicaKey]bool // replicas that an action unloads
	slots        int                 // loads from the weight store that may still start
	actions      []Action
	remaining    []int             // number of ready replicas of each model that no action unloads
	zones        []map[string]bool // zones with a replica, by model; nil: not computed yet
	sizes        map[string]uint64 // bytes by checkpoint; nil: not computed yet

	scarce   bool // see decider.scarce
	examined int  // servers and replicas examined so far, a measure of the running time
}

// adapterLinks holds the indexes of a model's base and adapters; -1 if there is none. The
// adapters of a base form a linked list.
type adapterLinks struct {
	base         int // base of an adapter
	firstAdapter int // first adapter of a base
	nextAdapter  int // next adapter of the same base
}

// serverPlan is a server and the changes that the plan makes to it.
type serverPlan struct {
	*Server
	reserved api.ModelName // model that this decision or an earlier one reserved the server for
	free     uint64        // bytes that a load may take now
	freeSoon uint64        // bytes of replicas that are being unloaded
	busyFor  float64       // seconds until the loads under way and those waiting for the server are done
	held     []heldReplica // replicas on the server, in the order of the models

	cachedKnown bool   // whether cachedBytes was computed
	cachedBytes uint64 // bytes of the checkpoints cached in memory
}

// heldReplica holds the index of a model in Input.Models and of one of its replicas.
type heldReplica struct{ model, replica int }

// replicaKey identifies a replica. A server holds at most one replica of a model.
type replicaKey struct {
	model  api.ModelName
	server api.ServerID
}

// newPlan returns a plan without actions.
func newPlan(now time.Time, input *Input) *plan {
	p := &plan{
		now:          now,
		input:        input,
		servers:      make([]serverPlan, len(input.Servers)),
		present:      make([]int, len(input.Models)),
		adapterLinks: make([]adapterLinks, len(input.Models)),
		remaining:    make([]int, len(input.Models)),
		zones:        make([]map[string]bool, len(input.Models)),
	}
	for i := range input.Servers {
		p.servers[i] = serverPlan{Server: &input.Servers[i], free: input.Servers[i].FreeBytes, busyFor: input.Servers[i].BusyFor.Seconds()}
	}
	p.linkAdapters()
	p.countReplicas()
	return p
}

// linkAdapters sets p.adapterLinks.
func (p *plan) linkAdapters() {
	for i := range p.adapterLinks {
		p.adapterLinks[i] = adapterLinks{-1, -1, -1}
	}
	for i := range p.input.Models {
		if p.input.Models[i].Base == "" {
			continue
		}
		base := p.indexOf(p.input.Models[i].Base)
		if base < 0 {
			continue
		}
		p.adapterLinks[i].base = base
		p.adapterLinks[i].nextAdapter = p.adapterLinks[base].firstAdapter
		p.adapterLinks[base].firstAdapter = i
	}
}

// countReplicas records the replicas of each model and server, and the slots of the
// weight store that the loads under way leave.
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
			p.examined++
			p.present[i]++
			if replica.State == api.ReplicaReady {
				p.remaining[i]++
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
		for i := p.adapterLinks[p.indexOf(base.Name)].firstAdapter; i >= 0; i = p.adapterLinks[i].nextAdapter {
			if !yield(&p.input.Models[i]) {
				return
			}
		}
	}
}

// startWindow returns for how long a started load counts against the rate limit of
// the weight store.
func startWindow(rate float64) time.Duration {
	if rate <= 0 || rate >= 1 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / rate)
}

// startsPerWindow returns the number of loads that may start within a startWindow.
func startsPerWindow(rate float64) int {
	if rate <= 0 {
		return 0
	}
	return max(int(math.Floor(rate)), 1)
}

// server returns the server with the ID; nil if the cell has none.
func (p *plan) server(id api.ServerID) *serverPlan {
	i := sort.Search(len(p.servers), func(i int) bool { return p.servers[i].ID >= id })
	if i == len(p.servers) || p.servers[i].ID != id {
		return nil
	}
	return &p.servers[i]
}

// indexOf returns the index of the model with the name; -1 if the cell has none.
func (p *plan) indexOf(name api.ModelName) int {
	models := p.input.Models
	i := sort.Search(len(models), func(i int) bool { return models[i].Name >= name })
	if i == len(models) || models[i].Name != name {
		return -1
	}
	return i
}

// base returns the base of an adapter; nil if the cell has none.
func (p *plan) base(adapter *Model) *Model {
	base := p.adapterLinks[p.indexOf(adapter.Name)].base
	if base < 0 {
		return nil
	}
	return &p.input.Models[base]
}

// holds reports whether a replica of the model is on the server in any state, or will
// be after the plan's actions. It searches the few replicas of the server rather than
// the model's replicas, whose number grows with the fleet.
func (p *plan) holds(model *Model, id api.ServerID) bool {
	server := p.server(id)
	return server != nil && p.holdsOn(model, server)
}

// holdsOn is holds for a server that was already looked up.
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

// readyOn reports whether a replica of the model is ready on the server and no action
// unloads it.
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

// unloadReplica adds an unload to the plan. If it frees memory for a model, incoming names
// that model; otherwise it is empty. The memory is free only once the engine has confirmed
// the unload.
func (p *plan) unloadReplica(model *Model, replica *Replica, reason string, incoming api.ModelName) {
	if p.unload == nil {
		p.unload = make(map[replicaKey]bool)
	}
	key := replicaKey{model.Name, replica.Server}
	if replica.State == api.ReplicaReady && !p.unload[key] {
		p.remaining[p.indexOf(model.Name)]--
	}
	p.unload[key] = true
	if server := p.server(replica.Server); server != nil {
		server.freeSoon += ReplicaBytes(model)
	}
	p.actions = append(p.actions, Action{
		Kind: ActionUnload, Model: model.Name, Server: replica.Server, Reason: reason, For: incoming,
	})
}
