package policy

import (
	"cmp"
	"hash/fnv"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// checkpointTier is a place that a checkpoint is loaded from; faster ones are greater.
type checkpointTier int

const (
	tierRemote checkpointTier = iota // the weight store
	tierDisk
	tierMemory
)

// Expected load times from a cache as shares of the load time from the weight store,
// for sites that do not configure them.
const (
	diskLoadShare   = 0.62
	memoryLoadShare = 0.22
)

// tier returns the tier from which the server would load the model's checkpoint.
func (p *plan) tier(model *Model, id api.ServerID) checkpointTier {
	server := p.server(id)
	if server == nil {
		return tierRemote
	}
	return p.tierOn(model, server)
}

// tierOn is tier for a server that was already looked up.
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

// loadTime returns the expected duration of a load of the model from a tier.
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

// eligible reports whether the model may be loaded on the server, apart from its free
// memory.
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

// maxCandidates bounds how many servers without a copy of the weights are compared for a load. The
// best of some hundred is hardly worse than the best of thousands, and choosing the victims on each
// server is the expensive part of a plan.
const maxCandidates = 512

// firstCandidate returns the index of the server with which the comparison for a model begins. If not
// all servers are compared, it depends on the model, so that loads are spread.
func (p *plan) firstCandidate(model *Model) int {
	if len(p.servers) <= maxCandidates {
		return 0
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(model.Name)) // never fails
	return int(sum.Sum32() % uint32(len(p.servers)))
}

// evictionSeconds is about how long it takes to drain and unload a replica.
const evictionSeconds = 0.8

// placement is a server that a model may be loaded on, with the costs of the load.
type placement struct {
	server      *serverPlan
	victims     []victim // replicas to be unloaded first
	evicted     float64  // total value of the victims
	waits       bool     // whether the load waits for memory that is being freed, or for the victims
	seconds     float64  // expected time until the model is ready
	waitCost    float64  // cost of each of the seconds, in the unit of evicted
	cachedBytes uint64   // bytes of the checkpoints cached in the server's memory
	newZone     bool     // whether the server's zone has no replica of the model
}

// placer ranks placements.
type placer interface {
	// better reports whether a is preferred over b.
	better(a, b placement) bool
}

// tierFirst prefers servers with enough free memory, then the fastest source of the
// checkpoint, then a zone without a replica, then the server with the least free
// memory, so that large free blocks are kept. Evictions are its last resort.
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

// lowestCost prefers the placement with the lowest cost: the load time, weighted by
// the cost of a cold start, plus the value of the victims. At equal cost it prefers
// the server whose memory caches the least, so that checkpoints spread over the
// servers and stay cached; then a zone without a replica of the model; then the
// server with the least free memory.
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

// leastCached prefers the server whose memory caches the least, whatever tier the
// checkpoint is loaded from.
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

// cost returns the cost of the placement, in the unit of evicted. Victims with a
// negative value cost nothing.
func (a placement) cost() float64 {
	return a.seconds*a.waitCost + max(a.evicted, 0)
}

// place chooses the server for a load. The server of the placement is nil if none can
// take the model, if the checkpoint would have to come from the weight store and that
// has no slot, or if it is better to wait for a busy server.
func (d decider) place(p *plan, model *Model, extraBytes uint64, by placer) placement {
	var best placement
	first, compared := p.firstCandidate(model), 0
	for k := range p.servers {
		server := &p.servers[(first+k)%len(p.servers)]
		p.examined++
		if !p.eligible(model, server) {
			continue
		}
		if p.tierOn(model, server) == tierRemote && (p.slots <= 0 || compared >= maxCandidates) {
			continue
		}
		compared++
		candidate, ok := d.placeOn(p, model, server, ReplicaBytes(model)+extraBytes)
		if ok && (best.server == nil || by.better(candidate, best)) {
			best = candidate
		}
	}
	if best.server != nil && d.shouldDefer(p, model, best) {
		return placement{}
	}
	return best
}

// Bounds of waiting for a server that has a copy of a checkpoint.
const (
	minDeferGain = 0.5 // seconds by which the model has to be ready sooner than elsewhere
	// maxDefer bounds how long a request waits without a load. It only guards
	// against a server whose load never ends: loading the model from the weight store on
	// another server would keep that one from short loads for several times as long.
	maxDefer = 20 * time.Second
)

// IdleWait is the expected time until some replica becomes idle on a server whose
// replicas are all in use: the rest of the shortest of several streams of two seconds,
// plus the time until the nodes report it. In practice it is 1 to 3 s.
const IdleWait = 1500 * time.Millisecond

// shouldDefer reports whether a server with a copy of the checkpoint that can't take
// the model now would still have it ready sooner than placed. If so, it marks the
// server as busy until then, so that no other model waits for it.
func (d decider) shouldDefer(p *plan, model *Model, placed placement) bool {
	since := model.Demand.WaitingSince
	if since.IsZero() || p.now.Sub(since) > maxDefer {
		return false
	}
	var best *serverPlan
	ready := placed.seconds - minDeferGain
	for i := range p.servers {
		server := &p.servers[i]
		tier := p.tierOn(model, server)
		if tier == tierRemote || server.Leaving || p.holdsOn(model, server) {
			continue
		}
		free := d.secondsUntilFree(p, model, server)
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

// secondsUntilFree returns in how many seconds a server that can't take the model now will
// be able to; zero if that is unknown or if it can take the model now.
func (d decider) secondsUntilFree(p *plan, model *Model, server *serverPlan) float64 {
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

// placeOn returns the placement of a load on one server; false if not enough memory
// may be freed there.
func (d decider) placeOn(p *plan, model *Model, server *serverPlan, need uint64) (placement, bool) {
	placed := placement{
		server:      server,
		seconds:     model.loadTime(p.tierOn(model, server)).Seconds(),
		waitCost:    d.retention.waitCost(model),
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

// cachedBytes returns the total size of the checkpoints cached in the server's memory.
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
		p.examined++
		if tier == engine.TierMemory {
			server.cachedBytes += p.sizes[checkpoint]
		}
	}
	return server.cachedBytes
}

// inZone reports whether the zone has a replica of the model.
func (p *plan) inZone(model *Model, zone string) bool {
	i := p.indexOf(model.Name)
	if p.zones[i] == nil {
		p.zones[i] = make(map[string]bool)
		for j := range model.Replicas {
			p.examined++
			if server := p.server(model.Replicas[j].Server); server != nil {
				p.zones[i][server.Zone] = true
			}
		}
	}
	return p.zones[i][zone]
}
