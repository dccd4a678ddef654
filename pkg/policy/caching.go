package policy

import (
	"math"

	"martenwheel.dev/pkg/api"
)

// Assumptions about loads that only bring a checkpoint near.
const (
	// wantedAgain is the probability that a cached checkpoint is used before
	// it is dropped from the cache.
	wantedAgain = 0.5
	// cachingOverhead is how long a model is held besides its load, in seconds.
	cachingOverhead = 5.0
)

// worthCaching tells whether a model is to be loaded once while the weight
// store is idle, so that its next load is faster: one that no server caches, or
// one that only disks cache while the memory of a server has room for it. A
// server's room is not known, but it can cache as much as the fullest one does.
// One such load runs at a time.
func (p *plan) worthCaching(model *Model) bool {
	if model.Base != "" || p.prewarming() {
		return false
	}
	from := p.nearest(model)
	if from == tierMemory {
		return false
	}
	least, most := p.crowds(model)
	if from == tierDisk && least+model.Settings.MemoryBytes > most {
		return false
	}
	load := model.Settings.LoadTime.Seconds()
	sooner := model.loadTime(from) - model.loadTime(tierMemory)
	saved := sooner.Seconds() * wantedAgain * coldStartWorth(model)
	return saved > (load+cachingOverhead)*accelerators(model)
}

// nearest returns the fastest tier that caches the checkpoint.
func (p *plan) nearest(model *Model) checkpointTier {
	nearest := tierRemote
	for i := range p.servers {
		nearest = max(nearest, p.tierOn(model, &p.servers[i]))
	}
	return nearest
}

// crowds returns how much the memory caches of the least crowded server that
// can take the model now, and of the most crowded one.
func (p *plan) crowds(model *Model) (least, most uint64) {
	least = math.MaxUint64 / 2
	for i := range p.servers {
		server := &p.servers[i]
		cached := p.cachedBytes(server)
		most = max(most, cached)
		if p.eligible(model, server) && server.free >= ReplicaBytes(model) {
			least = min(least, cached)
		}
	}
	return least, most
}

// prewarming tells whether a load that no request waits for is under way.
func (p *plan) prewarming() bool {
	for _, i := range p.loaded {
		for _, replica := range p.input.Models[i].Replicas {
			if replica.State == api.ReplicaLoading && replica.Prewarmed {
				return true
			}
		}
	}
	for i := range p.actions {
		if p.actions[i].Kind == ActionLoad && !p.actions[i].Urgent {
			return true
		}
	}
	return false
}
