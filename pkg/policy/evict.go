package policy

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// mayUnload reports whether a replica is idle and needed neither by the settings
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
	if p.remainingReplicas(model) <= model.Settings.MinReplicas {
		return false
	}
	return model.Base != "" || !p.carriesAdapter(model, replica.Server)
}

// remainingReplicas returns the number of ready replicas of the model that no action unloads.
func (p *plan) remainingReplicas(model *Model) int { return p.remaining[p.indexOf(model.Name)] }

// carriesAdapter reports whether an adapter of base holds memory on the server
// or has waiting requests.
func (p *plan) carriesAdapter(base *Model, server api.ServerID) bool {
	for adapter := range p.adapters(base) {
		if adapter.Demand.Waiting > 0 || p.holds(adapter, server) {
			return true
		}
	}
	return false
}

// lastUse returns when the replica last served a request or entered its state. For a
// base it includes the requests for its adapters.
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

// victim is an idle replica that may be evicted when memory is short.
type victim struct {
	model   *Model
	replica *Replica
	value   float64
}

// evictFor unloads the victims of a placement and reserves the memory for the model.
func (p *plan) evictFor(placed placement, model *Model, need uint64) {
	for _, v := range placed.victims {
		p.unloadReplica(v.model, v.replica, "room for "+string(model.Name), model.Name)
	}
	if p.scarce {
		p.reserve(model, placed.server, need)
		return
	}
	p.claim(placed.server, need)
}

// claim takes memory that is free or is being freed, so that no other load of this
// decision uses it.
func (p *plan) claim(server *serverPlan, bytes uint64) {
	fromFree := min(server.free, bytes)
	server.free -= fromFree
	server.freeSoon -= min(server.freeSoon, bytes-fromFree)
}

// victims returns the idle replicas of the server with the lowest values that
// together free the missing bytes, and their total value; nil if there are not enough.
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
