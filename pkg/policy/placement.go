package policy

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// checkpointTier orders the places a checkpoint is loaded from, fastest last.
type checkpointTier int

const (
	tierRemote checkpointTier = iota // the weight store
	tierDisk
	tierMemory
)

// Expected load times from a cache as shares of the time from the weight store.
const (
	diskLoadShare   = 0.4
	memoryLoadShare = 0.1
)

// tier returns where server would load model's checkpoint from.
func (p *plan) tier(model *Model, id api.ServerID) checkpointTier {
	server := p.server(id)
	if server == nil {
		return tierRemote
	}
	switch server.Cached[CheckpointName(model)] {
	case engine.TierMemory:
		return tierMemory
	case engine.TierDisk:
		return tierDisk
	default:
		return tierRemote
	}
}

// loadShare returns the expected load time from the tier as a share of that
// from the weight store.
func (t checkpointTier) loadShare() float64 {
	switch t {
	case tierMemory:
		return memoryLoadShare
	case tierDisk:
		return diskLoadShare
	default:
		return 1
	}
}

// eligible tells whether model may be loaded on server, memory aside.
func (p *plan) eligible(model *Model, server *serverPlan) bool {
	if !server.Reachable || server.Leaving || p.holds(model, server.ID) {
		return false
	}
	if model.Base == "" {
		return true
	}
	base := p.base(model)
	return base != nil && p.readyOn(base, server.ID)
}

// place picks the server for a load that fits now. Servers near a cached
// checkpoint come first, then those in a zone without a replica of the model,
// then the one that the load fills most, so that large gaps stay whole. It
// returns nil if no server fits or the checkpoint has to come from the weight
// store and that has no slot.
func (p *plan) place(model *Model, extraBytes uint64) *serverPlan {
	var best *serverPlan
	var bestScore placementScore
	for i := range p.servers {
		server := &p.servers[i]
		if !p.eligible(model, server) || server.free < ReplicaBytes(model)+extraBytes {
			continue
		}
		tier := p.tier(model, server.ID)
		if tier == tierRemote && p.slots <= 0 {
			continue
		}
		score := placementScore{
			tier:    tier,
			newZone: !p.inZone(model, server.Zone),
			free:    server.free,
		}
		if best == nil || score.betterThan(bestScore) {
			best, bestScore = server, score
		}
	}
	return best
}

// placementScore ranks the servers that a model fits on.
type placementScore struct {
	tier    checkpointTier
	newZone bool
	free    uint64
}

// betterThan tells whether s is preferred over other.
func (s placementScore) betterThan(other placementScore) bool {
	if s.tier != other.tier {
		return s.tier > other.tier
	}
	if s.newZone != other.newZone {
		return s.newZone
	}
	return s.free < other.free
}

// inZone tells whether the zone has a replica of the model.
func (p *plan) inZone(model *Model, zone string) bool {
	for i := range model.Replicas {
		if server := p.server(model.Replicas[i].Server); server != nil && server.Zone == zone {
			return true
		}
	}
	return false
}
