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
// one that only disks of servers cache whose memory is crowded, while that of
// another server is not. One such load runs at a time.
func (p *plan) worthCaching(model *Model) bool {
	if model.Base != "" || p.prewarming() {
		return false
	}
	from, crowd := p.nearest(model)
	switch from {
	case tierMemory:
		return false
	case tierDisk:
		if p.leastCrowd(model)+model.Settings.MemoryBytes > crowd {
			return false
		}
	}
	load := model.Settings.LoadTime.Seconds()
	saved := load * (from.loadShare() - memoryLoadShare) * wantedAgain * coldStartWorth(model)
	return saved > (load+cachingOverhead)*accelerators(model)
}

// nearest returns the fastest tier that caches the checkpoint, and how much the
// memory of the least crowded server of that tier caches.
func (p *plan) nearest(model *Model) (checkpointTier, uint64) {
	nearest, crowd := tierRemote, uint64(0)
	for i := range p.servers {
		server := &p.servers[i]
		tier := p.tierOn(model, server)
		if tier == tierRemote || tier < nearest {
			continue
		}
		if cached := p.cachedBytes(server); tier > nearest || cached < crowd {
			nearest, crowd = tier, cached
		}
	}
	return nearest, crowd
}

// leastCrowd returns how much the memory caches of the least crowded server
// that has room for the model.
func (p *plan) leastCrowd(model *Model) uint64 {
	least := uint64(math.MaxUint64 / 2)
	for i := range p.servers {
		server := &p.servers[i]
		if p.eligible(model, server) && server.free >= ReplicaBytes(model) {
			least = min(least, p.cachedBytes(server))
		}
	}
	return least
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
