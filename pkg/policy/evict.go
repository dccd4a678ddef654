package policy

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// mayUnload tells whether a replica is idle and neither needed by the settings
// nor by adapters on it.
func (p *plan) mayUnload(model *Model, replica *Replica) bool {
	if replica.State != api.ReplicaReady || replica.InFlight > 0 {
		return false
	}
	if p.unload[replicaKey{model.Name, replica.Server}] {
		return false
	}
	if model.Demand.Waiting > 0 || model.Demand.InFlight > 0 && len(model.Replicas) == 1 {
		return false
	}
	if p.staying(model) <= model.Settings.MinReplicas {
		return false
	}
	return model.Base != "" || !p.carriesAdapter(model, replica.Server)
}

// staying returns the ready replicas of the model that no action unloads.
func (p *plan) staying(model *Model) int { return p.stay[p.indexOf(model.Name)] }

// carriesAdapter tells whether an adapter of base holds memory on the server
// or waits for the base.
func (p *plan) carriesAdapter(base *Model, server api.ServerID) bool {
	for adapter := range p.adapters(base) {
		if adapter.Demand.Waiting > 0 || p.holds(adapter, server) {
			return true
		}
	}
	return false
}

// lastUse returns when the replica was last needed: by a request, or by having
// become ready.
func (p *plan) lastUse(model *Model, replica *Replica) time.Time {
	last := latest(replica.LastUse, replica.Since)
	if model.Base != "" {
		return last
	}
	for adapter := range p.adapters(model) {
		last = latest(last, adapter.Demand.LastArrival)
	}
	return last
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// victim is an idle replica that may go when memory is short.
type victim struct {
	model   *Model
	replica *Replica
	value   float64
}

// makeRoom unloads the victims of a placement and keeps the memory for it.
func (p *plan) makeRoom(placed placement, model *Model, need uint64) {
	for _, v := range placed.victims {
		p.drop(v.model, v.replica, "room for "+string(model.Name), model.Name)
	}
	if p.scarce {
		p.reserve(model, placed.server, need)
		return
	}
	p.claim(placed.server, need)
}

// claim takes memory that is free or will be, so that no other load of this
// decision counts on it.
func (p *plan) claim(server *serverPlan, bytes uint64) {
	fromFree := min(server.free, bytes)
	server.free -= fromFree
	server.freeSoon -= min(server.freeSoon, bytes-fromFree)
}

// victims returns the cheapest idle replicas of the server that free missing
// bytes, and their value; nil if there are not enough.
func (d decider) victims(p *plan, server *serverPlan, incoming *Model, missing uint64) ([]victim, float64) {
	var candidates []victim
	for _, held := range server.held {
		model := &p.input.Models[held.model]
		replica := &model.Replicas[held.replica]
		if model == incoming || model.Name == incoming.Base || !p.mayUnload(model, replica) {
			continue
		}
		value := d.retention.value(p, model, replica, p.lastUse(model, replica))
		candidates = append(candidates, victim{model, replica, value})
	}
	slices.SortStableFunc(candidates, func(a, b victim) int { return cmp.Compare(a.value, b.value) })
	value := 0.0
	freed := uint64(0)
	for i := range candidates {
		freed += ReplicaBytes(candidates[i].model)
		value += candidates[i].value
		if freed >= missing {
			return candidates[:i+1], value
		}
	}
	return nil, 0
}
