package policy

import (
	"cmp"
	"hash/fnv"
	"time"

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

// Expected load times from a cache as shares of the time from the weight store, for
// sites that don't tell them.
const (
	diskLoadShare   = 0.62
	memoryLoadShare = 0.22
)

// tier returns where server would load model's checkpoint from.
func (p *plan) tier(model *Model, id api.ServerID) checkpointTier {
	server := p.server(id)
	if server == nil {
		return tierRemote
	}
	return p.tierOn(model, server)
}

// tierOn is tier for a server of the plan.
func (p *plan) tierOn(model *Model, server *serverPlan) checkpointTier {
	switch server.Cached[CheckpointName(model)] {
	case engine.TierMemory:
		return tierMemory
	case engine.TierDisk:
		return tierDisk
	default:
		return tierRemote
	}
}

// loadTime returns how long a load of the model is expected to take from a tier.
func (m *Model) loadTime(from checkpointTier) time.Duration {
	switch from {
	case tierMemory:
		return cmp.Or(m.MemoryTime, time.Duration(memoryLoadShare*float64(m.Settings.LoadTime)))
	case tierDisk:
		return cmp.Or(m.DiskTime, time.Duration(diskLoadShare*float64(m.Settings.LoadTime)))
	default:
		return m.Settings.LoadTime
	}
}

// eligible tells whether model may be loaded on server, memory aside.
func (p *plan) eligible(model *Model, server *serverPlan) bool {
	if !server.Reachable || server.Leaving || server.reserved != "" || p.holdsOn(model, server) {
		return false
	}
	if model.Base == "" {
		return true
	}
	base := p.base(model)
	return base != nil && p.readyOn(base, server.ID)
}

// mostCandidates is how many servers are weighed for a load, besides those with a copy of its weights.
// Of thousands the best of some hundred is hardly worse than the best of all, and what would make way
// on each is the dear part of a plan.
const mostCandidates = 512

// firstCandidate returns the server with which to begin to weigh them: another one for each model if
// not all are weighed, so that loads are spread.
func (p *plan) firstCandidate(model *Model) int {
	if len(p.servers) <= mostCandidates {
		return 0
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(model.Name)) // never fails
	return int(sum.Sum32() % uint32(len(p.servers)))
}

// evictionSeconds is about how long it takes to drain and unload a replica.
const evictionSeconds = 0.8

// placement is a server that a model may be loaded on and what that takes.
type placement struct {
	server      *serverPlan
	victims     []victim // to be unloaded first
	evicted     float64  // summed value of the victims
	waits       bool     // for memory that is being freed, or for the victims
	seconds     float64  // expected until the model is ready
	worth       float64  // of a second, in the unit of evicted
	cachedBytes uint64   // in the server's memory
	newZone     bool     // has no replica of the model
}

// placer ranks placements.
type placer interface {
	// better tells whether a is preferred over b.
	better(a, b placement) bool
}

// tierFirst prefers servers with room, then the nearest checkpoint, then a zone
// without a replica, then the fullest server, so that large gaps stay whole.
// Evictions are its last resort.
type tierFirst struct{}

// better implements placer.
func (tierFirst) better(a, b placement) bool {
	if a.waits != b.waits {
		return b.waits
	}
	if noVictims := len(a.victims) == 0; noVictims != (len(b.victims) == 0) {
		return noVictims
	}
	if a.evicted != b.evicted {
		return a.evicted < b.evicted
	}
	if a.seconds != b.seconds {
		return a.seconds < b.seconds
	}
	if a.newZone != b.newZone {
		return a.newZone
	}
	return a.server.free < b.server.free
}

// lowestCost prefers the placement with the lowest cost: the time to load,
// weighed by the worth of a cold start, and the worth of the victims. Of those
// that cost the same, the server whose memory caches the least comes first, so
// that checkpoints spread over the servers and stay cached; then a zone without
// a replica of the model; then the fullest server.
type lowestCost struct{}

// better implements placer.
func (lowestCost) better(a, b placement) bool {
	if costA, costB := a.cost(), b.cost(); costA != costB {
		return costA < costB
	}
	if a.cachedBytes != b.cachedBytes {
		return a.cachedBytes < b.cachedBytes
	}
	if a.newZone != b.newZone {
		return a.newZone
	}
	return a.server.free < b.server.free
}

// leastCached prefers the server whose memory caches the least, wherever the
// checkpoint comes from.
type leastCached struct{}

// better implements placer.
func (leastCached) better(a, b placement) bool {
	if a.waits != b.waits {
		return b.waits
	}
	if a.cachedBytes != b.cachedBytes {
		return a.cachedBytes < b.cachedBytes
	}
	return lowestCost{}.better(a, b)
}

// cost returns the cost in accelerator seconds. Victims that are worth nothing
// cost nothing.
func (a placement) cost() float64 {
	return a.seconds*a.worth + max(a.evicted, 0)
}

// place picks the server for a load. Its server is nil if none can take the
// model, or if the checkpoint would have to come from the weight store and that
// has no slot.
func (d decider) place(p *plan, model *Model, extraBytes uint64, by placer) placement {
	var best placement
	first, weighed := p.firstCandidate(model), 0
	for k := range p.servers {
		server := &p.servers[(first+k)%len(p.servers)]
		p.looks++
		if !p.eligible(model, server) {
			continue
		}
		if p.tierOn(model, server) == tierRemote && (p.slots <= 0 || weighed >= mostCandidates) {
			continue
		}
		weighed++
		candidate, ok := d.placeOn(p, model, server, ReplicaBytes(model)+extraBytes)
		if ok && (best.server == nil || by.better(candidate, best)) {
			best = candidate
		}
	}
	if best.server != nil && d.soonerLater(p, model, best) {
		return placement{}
	}
	return best
}

// Bounds of waiting for a server that has a copy of a checkpoint.
const (
	leastGain = 0.5 // seconds that a model is to be ready sooner
	// longestDefer bounds how long a request waits without a load. It only guards
	// against a server whose load never ends: a load from the weight store beside keeps
	// another server from short loads for several times as long.
	longestDefer = 20 * time.Second
)

// IdleWait is about how long it takes until a replica is idle on a server of which all
// are in use: what is left of the shortest of some streams of two seconds, and until the
// nodes tell. On lakeshore-ledger it was 1 to 3 s.
const IdleWait = 1500 * time.Millisecond

// soonerLater tells whether a server that can't take the model now would have it ready
// sooner than placed, since it has a copy of the checkpoint. It is then kept for the
// model.
func (d decider) soonerLater(p *plan, model *Model, placed placement) bool {
	since := model.Demand.WaitingSince
	if since.IsZero() || p.now.Sub(since) > longestDefer {
		return false
	}
	var best *serverPlan
	ready := placed.seconds - leastGain
	for i := range p.servers {
		server := &p.servers[i]
		tier := p.tierOn(model, server)
		if tier == tierRemote || server.Leaving || p.holdsOn(model, server) {
			continue
		}
		free := d.freeIn(p, model, server)
		if free <= 0 {
			continue
		}
		seconds := free + evictionSeconds + model.loadTime(tier).Seconds()
		if seconds < ready {
			best, ready = server, seconds
		}
	}
	if best == nil {
		return false
	}
	best.busyFor = ready
	return true
}

// freeIn returns in how many seconds a server can make room for the model that can't
// now; zero if that is not known or if it can now.
func (d decider) freeIn(p *plan, model *Model, server *serverPlan) float64 {
	if server.busyFor > 0 {
		return server.busyFor
	}
	if !d.scarce || !server.Reachable || server.reserved != "" {
		return 0
	}
	if _, ok := d.placeOn(p, model, server, ReplicaBytes(model)); ok {
		return 0
	}
	return IdleWait.Seconds()
}

// placeOn works out what a load on one server takes; false if it has not
// enough memory that may be freed.
func (d decider) placeOn(p *plan, model *Model, server *serverPlan, need uint64) (placement, bool) {
	placed := placement{
		server:      server,
		seconds:     model.loadTime(p.tierOn(model, server)).Seconds(),
		worth:       d.retention.worth(model),
		cachedBytes: p.cachedBytes(server),
		newZone:     !p.inZone(model, server.Zone),
	}
	if server.free >= need {
		return placed, true
	}
	placed.waits = true
	placed.seconds += evictionSeconds
	if available := server.free + server.freeSoon; available < need {
		placed.victims, placed.evicted = d.victims(p, server, model, need-available)
		if placed.victims == nil || d.scarce && p.worthMore(placed.victims, model) {
			return placement{}, false
		}
	}
	return placed, true
}

// cachedBytes returns how much the checkpoints take that are cached in the
// server's memory.
func (p *plan) cachedBytes(server *serverPlan) uint64 {
	if server.cachedKnown {
		return server.cachedBytes
	}
	server.cachedKnown = true
	if p.sizes == nil {
		p.sizes = make(map[string]uint64, len(p.input.Models))
		for i := range p.input.Models {
			p.sizes[CheckpointName(&p.input.Models[i])] += p.input.Models[i].Settings.MemoryBytes
		}
	}
	for checkpoint, tier := range server.Cached {
		p.looks++
		if tier == engine.TierMemory {
			server.cachedBytes += p.sizes[checkpoint]
		}
	}
	return server.cachedBytes
}

// inZone tells whether the zone has a replica of the model.
func (p *plan) inZone(model *Model, zone string) bool {
	i := p.indexOf(model.Name)
	if p.zones[i] == nil {
		p.zones[i] = make(map[string]bool)
		for j := range model.Replicas {
			p.looks++
			if server := p.server(model.Replicas[j].Server); server != nil {
				p.zones[i][server.Zone] = true
			}
		}
	}
	return p.zones[i][zone]
}
