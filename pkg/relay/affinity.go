package relay

import (
	"slices"
	"sync"

	"martenwheel.dev/pkg/affinity"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/traffic/routing"
)

// Whether a request went to its preferred replica, in logs and metrics.
const (
	preferenceTaken  = "taken"     // the request went to the replica that it prefers
	preferencePassed = "passed on" // the preferred one failed, was tried or exceeded its share of load
	preferenceNone   = "none"      // the request prefers none
)

// mixes holds the recent mix of long and short requests by service. The zero value is ready to use.
// It is safe for concurrent use.
type mixes struct {
	mu       sync.Mutex
	services map[string]*affinity.Mix
}

// of returns the mix of a service. Entries are never removed, since services come from
// configurations.
func (m *mixes) of(service string) *affinity.Mix {
	m.mu.Lock()
	defer m.mu.Unlock()
	mix := m.services[service]
	if mix == nil {
		if m.services == nil {
			m.services = make(map[string]*affinity.Mix)
		}
		mix = &affinity.Mix{}
		m.services[service] = mix
	}
	return mix
}

// computeAffinity determines which replicas the request prefers, if its route declares that
// requests share prompt parts and the request names them.
func (c *call) computeAffinity() {
	if !c.route.Sticky || c.engine == nil || c.need.Model == "" || len(c.prompt.Parts()) == 0 {
		return
	}
	c.affinityReq = affinity.Of(c.need.Model, c.need.Adapter, &c.prompt, affinity.Terms{
		Target: c.route.Target, GapTarget: c.route.GapTarget, EventTokens: c.engine.EventTokens,
	})
	c.relay.mixes.of(c.service).Note(c.arrived, &c.affinityReq)
}

// choiceBuffers holds the working data of a choice. Buffers are reused so that choices allocate
// nothing.
type choiceBuffers struct {
	members    []*backend.Member
	candidates []routing.Candidate // members converted for package routing
	replicas   []affinity.Replica  // members converted for package affinity
	request    routing.Request
}

var choiceBufferPool = sync.Pool{New: func() any { return &choiceBuffers{} }}

// reset empties the buffers and drops their pointers.
func (p *choiceBuffers) reset() {
	clear(p.members)
	p.members, p.candidates, p.replicas = p.members[:0], p.candidates[:0], p.replicas[:0]
	p.request = routing.Request{Tried: p.request.Tried[:0]}
}

// markPreferred marks the candidate that the request prefers, if any. The caller holds the relay's
// mu.
func (c *call) markPreferred(p *choiceBuffers) (affinity.Choice, bool) {
	if !c.affinityReq.Shares() && c.affinityReq.Lane() == affinity.AnyLane {
		return affinity.Choice{}, false
	}
	for i := range p.candidates {
		p.replicas = append(p.replicas, replica(&p.request, &p.candidates[i]))
	}
	p.barRemoteRegions()
	choice, prefers := c.affinityReq.Choose(c.relay.random, c.relay.mixes.of(c.service).Lanes(), p.replicas)
	if !prefers {
		return choice, false
	}
	preferred := &p.candidates[choice.Taken]
	if c.affinityReq.Shares() {
		preferred.Affinity = c.affinityReq.Strength()
	} else {
		preferred.Lane = 1
	}
	return choice, true
}

// barRemoteRegions keeps requests from preferring a replica in another region while their own
// region has one. Shared prompt parts are then cached once in each region instead of being sent
// between regions.
func (p *choiceBuffers) barRemoteRegions() {
	near := func(i int) bool { return p.candidates[i].Region == p.request.Region }
	for i := range p.replicas {
		if near(i) && !p.replicas[i].Excluded {
			for j := range p.replicas {
				p.replicas[j].Excluded = p.replicas[j].Excluded || !near(j)
			}
			return
		}
	}
}

// replica converts a candidate for package affinity.
func replica(request *routing.Request, candidate *routing.Candidate) affinity.Replica {
	near := routing.ConnectedScorer{}.Score(request, candidate)*weightConnected +
		routing.ZoneScorer{}.Score(request, candidate)*weightZone
	return affinity.Replica{
		Hash: affinity.ServerHash(string(candidate.Server)), Load: candidate.Usage.Requests, Slowness: candidate.Slowness,
		Near: near / (weightConnected + weightZone), Excluded: candidate.Ejected || slices.Contains(request.Tried, candidate.Server),
	}
}

// recordChoice records for the log whether the request went to its preferred replica.
func (c *call) recordChoice(choice affinity.Choice, prefers bool, chosen int) {
	switch {
	case !prefers:
		c.record.preference = preferenceNone
	case chosen == choice.First:
		c.record.preference = preferenceTaken
	default:
		c.record.preference = preferencePassed
	}
}

// pick chooses among the candidates.
func (c *call) pick(p *choiceBuffers) (int, bool) {
	r := c.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initChooser()
	choice, prefers := c.markPreferred(p)
	i, found := r.chooser.Choose(r.random, &p.request, p.candidates)
	if found {
		c.recordChoice(choice, prefers, i)
	}
	return i, found
}

// reportSpeed records the speed of a server that streamed the answer. Where long prompts cause
// noticeable pauses, other nodes are informed as well.
func (c *call) reportSpeed(m *backend.Member) {
	perEvent := c.record.timePerEvent()
	c.relay.Servers.RecordPace(m.ID, c.need.Model, perEvent)
	if c.affinityReq.Lane() != affinity.AnyLane {
		c.relay.Servers.QueuePace(backend.Pace{Server: m.ID, Model: c.need.Model, PerEvent: perEvent})
	}
}
