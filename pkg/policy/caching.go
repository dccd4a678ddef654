package policy

import (
	"math"

	"martenwheel.dev/pkg/api"
)

// Assumptions about loads that only cache a checkpoint.
const (
	// reuseProbability is the probability that a cached checkpoint is used before
	// it is evicted from the cache.
	reuseProbability = 0.5
	// cachingOverhead is how long a model is held in addition to its load time, in
	// seconds.
	cachingOverhead = 5.0
)

// worthCaching reports whether a model is to be loaded once while the weight
// store is idle, so that its next load is faster. This applies to a model that no
// server caches, and to one that is cached only on disks while the memory of a server
// has space for it. The size of a server's memory cache is not known; it is assumed
// to hold as much as the fullest one does. One such load runs at a time.
func (p *plan) worthCaching(model *Model) bool {
	if model.Base != "" || p.prewarming() {
		return false
	}
	from := p.fastestTier(model)
	if from == tierMemory {
		return false
	}
	least, most := p.cachedBytesRange(model)
	if from == tierDisk && least+model.Settings.MemoryBytes > most {
		return false
	}
	load := model.Settings.LoadTime.Seconds()
	sooner := model.loadTime(from) - model.loadTime(tierMemory)
	saved := sooner.Seconds() * reuseProbability * coldStartCost(model)
	return saved > (load+cachingOverhead)*accelerators(model)
}

// fastestTier returns the fastest tier that caches the checkpoint.
func (p *plan) fastestTier(model *Model) checkpointTier {
	fastest := tierRemote
	for i := range p.servers {
		fastest = max(fastest, p.tierOn(model, &p.servers[i]))
	}
	return fastest
}

// cachedBytesRange returns the least number of bytes cached in the memory of a server that
// can take the model now, and the largest number cached in the memory of any server.
func (p *plan) cachedBytesRange(model *Model) (least, most uint64) {
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

// prewarming reports whether a load for which no request waits is under way or planned.
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
