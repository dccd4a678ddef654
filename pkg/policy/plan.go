package policy

import (
	"math"
	"time"

	"martenwheel.dev/pkg/api"
)

// ReplicaBytes returns the accelerator memory that one replica of a model
// needs: weights and, unless it is an adapter, which shares its base's, the
// room for the KV cache.
func ReplicaBytes(model *Model) uint64 {
	if model.Base != "" {
		return model.Settings.MemoryBytes
	}
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
	index   map[api.ModelName]int
	servers []serverPlan
	present []int               // replicas of each model that are not going away
	unload  map[replicaKey]bool // replicas that an action unloads
	slots   int                 // loads from the weight store that may still start
	actions []Action
}

// serverPlan is a server with what the plan changes on it.
type serverPlan struct {
	*Server
	free     uint64 // bytes that a load may take now
	freeSoon uint64 // bytes of replicas that are being unloaded
}

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
		index:   make(map[api.ModelName]int, len(input.Models)),
		servers: make([]serverPlan, len(input.Servers)),
		present: make([]int, len(input.Models)),
		unload:  make(map[replicaKey]bool),
	}
	for i := range input.Servers {
		p.servers[i] = serverPlan{Server: &input.Servers[i], free: input.Servers[i].FreeBytes}
	}
	for i := range input.Models {
		p.index[input.Models[i].Name] = i
	}
	fetching, started := 0, 0
	window := startWindow(input.LoadRate)
	for i := range input.Models {
		model := &input.Models[i]
		for j := range model.Replicas {
			replica := &model.Replicas[j]
			if replica.State == api.ReplicaUnloading {
				if server := p.server(replica.Server); server != nil {
					server.freeSoon += ReplicaBytes(model)
				}
			}
			p.present[i]++
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
	return p
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
	for i := range p.servers {
		if p.servers[i].ID == id {
			return &p.servers[i]
		}
	}
	return nil
}

// model returns the model with the name, nil if the cell has none.
func (p *plan) model(name api.ModelName) *Model {
	i, ok := p.index[name]
	if !ok {
		return nil
	}
	return &p.input.Models[i]
}

// holds tells whether a replica of the model is on the server in any state,
// or will be after the plan's actions.
func (p *plan) holds(model *Model, server api.ServerID) bool {
	for i := range model.Replicas {
		if model.Replicas[i].Server == server {
			return true
		}
	}
	for i := range p.actions {
		action := &p.actions[i]
		if action.Kind == ActionLoad && action.Model == model.Name && action.Server == server {
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
	if p.tier(model, server.ID) == tierRemote {
		p.slots--
	}
	server.free -= ReplicaBytes(model)
	p.present[p.index[model.Name]]++
	p.actions = append(p.actions, Action{
		Kind: ActionLoad, Model: model.Name, Server: server.ID, Urgent: urgent, Reason: reason,
	})
}

// drop adds an unload to the plan. The memory is free only once the engine
// has confirmed it.
func (p *plan) drop(model *Model, replica *Replica, reason string) {
	p.unload[replicaKey{model.Name, replica.Server}] = true
	if server := p.server(replica.Server); server != nil {
		server.freeSoon += ReplicaBytes(model)
	}
	p.actions = append(p.actions, Action{
		Kind: ActionUnload, Model: model.Name, Server: replica.Server, Reason: reason,
	})
}
