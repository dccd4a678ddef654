package policy

import "martenwheel.dev/pkg/api"

// Assumptions about loads that only bring a checkpoint near.
const (
	// wantedAgain is the probability that a cached checkpoint is used before
	// it is dropped from the cache.
	wantedAgain = 0.5
	// cachingOverhead is how long a model is held besides its load, in seconds.
	cachingOverhead = 5.0
)

// worthCaching tells whether a model that no server caches is to be loaded once
// while the weight store is idle, so that its next load is faster. One such
// load runs at a time.
func (p *plan) worthCaching(model *Model) bool {
	if model.Base != "" || p.cachedSomewhere(model) || p.prewarming() {
		return false
	}
	load := model.Settings.LoadTime.Seconds()
	saved := load * (1 - memoryLoadShare) * wantedAgain * coldStartWorth(model)
	return saved > (load+cachingOverhead)*accelerators(model)
}

// cachedSomewhere tells whether a server of the cell caches the checkpoint.
func (p *plan) cachedSomewhere(model *Model) bool {
	for i := range p.servers {
		if p.tier(model, p.servers[i].ID) != tierRemote {
			return true
		}
	}
	return false
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
