package relay

import (
	"slices"
	"sync"

	"martenwheel.dev/pkg/affinity"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/traffic/routing"
)

// Whether a request went to the replica that it prefers, in logs and metrics.
const (
	preferenceTaken  = "taken"     // the request went to the replica that it prefers
	preferencePassed = "passed on" // that one failed, was tried or was loaded beyond its share
	preferenceNone   = "none"      // the request prefers none
)

// mixes are what the relay saw lately of long and short requests, by service. The zero value is
// ready to use. Safe for concurrent use.
type mixes struct {
	mu       sync.Mutex
	services map[string]*affinity.Mix
}

// of returns the mix of a service. It keeps one for each: services are those of configurations.
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

// shape works out which replicas the request prefers, if its route says that its requests
// share parts of their prompts and it tells them.
func (c *call) shape() {
	if !c.route.Sticky || c.engine == nil || c.need.Model == "" || len(c.prompt.Parts()) == 0 {
		return
	}
	c.shaped = affinity.Of(c.need.Model, c.need.Adapter, &c.prompt, affinity.Terms{
		Target: c.route.Target, GapTarget: c.route.GapTarget, EventTokens: c.engine.EventTokens,
	})
	c.relay.mixes.of(c.service).Note(c.arrived, &c.shaped)
}

// picking is what a choice works on. It is kept between choices, so that they allocate nothing.
type picking struct {
	members    []*backend.Member
	candidates []routing.Candidate // the members, as package routing sees them
	replicas   []affinity.Replica  // the members, as package affinity sees them
	asked      routing.Request
}

var pickings = sync.Pool{New: func() any { return &picking{} }}

// reset empties it and lets go of what it points to.
func (p *picking) reset() {
	clear(p.members)
	p.members, p.candidates, p.replicas = p.members[:0], p.candidates[:0], p.replicas[:0]
	p.asked = routing.Request{Tried: p.asked.Tried[:0]}
}

// prefer marks the candidate that the request prefers, if it prefers one. The caller holds the
// relay's mu.
func (c *call) prefer(p *picking) (affinity.Choice, bool) {
	if !c.shaped.Shares() && c.shaped.Lane() == affinity.AnyLane {
		return affinity.Choice{}, false
	}
	for i := range p.candidates {
		p.replicas = append(p.replicas, replica(&p.asked, &p.candidates[i]))
	}
	p.barFar()
	choice, prefers := c.shaped.Choose(c.relay.random, c.relay.mixes.of(c.service).Lanes(), p.replicas)
	if !prefers {
		return choice, false
	}
	preferred := &p.candidates[choice.Taken]
	if c.shaped.Shares() {
		preferred.Affinity = c.shaped.Strength()
	} else {
		preferred.Lane = 1
	}
	return choice, true
}

// barFar keeps requests from preferring a replica in another region while their own has some: what
// they share is then kept once in each region, in place of sending prompts over the links between.
func (p *picking) barFar() {
	near := func(i int) bool { return p.candidates[i].Region == p.asked.Region }
	for i := range p.replicas {
		if near(i) && !p.replicas[i].Barred {
			for j := range p.replicas {
				p.replicas[j].Barred = p.replicas[j].Barred || !near(j)
			}
			return
		}
	}
}

// replica is a candidate as package affinity sees it.
func replica(asked *routing.Request, candidate *routing.Candidate) affinity.Replica {
	near := routing.ConnectedScorer{}.Score(asked, candidate)*weightConnected +
		routing.ZoneScorer{}.Score(asked, candidate)*weightZone
	return affinity.Replica{
		Life: affinity.LifeOf(string(candidate.Server)), Load: candidate.Usage.Requests, Slowness: candidate.Slowness,
		Near: near / (weightConnected + weightZone), Barred: candidate.Ejected || slices.Contains(asked.Tried, candidate.Server),
	}
}

// noteChoice keeps for the log whether the request went where it prefers to.
func (c *call) noteChoice(choice affinity.Choice, prefers bool, chosen int) {
	switch {
	case !prefers:
		c.record.preference = preferenceNone
	case chosen == choice.First:
		c.record.preference = preferenceTaken
	default:
		c.record.preference = preferencePassed
	}
}

// pick chooses among candidates.
func (c *call) pick(p *picking) (int, bool) {
	r := c.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setChooser()
	choice, prefers := c.prefer(p)
	i, found := r.chooser.Choose(r.random, &p.asked, p.candidates)
	if found {
		c.noteChoice(choice, prefers, i)
	}
	return i, found
}

// notePace notes the pace of a server that streamed the answer; where long prompts make pauses that
// count, other nodes are told of it as well.
func (c *call) notePace(m *backend.Member) {
	pace := c.record.pace()
	c.relay.Servers.Paced(m.ID, c.need.Model, pace)
	if c.shaped.Lane() != affinity.AnyLane {
		c.relay.Servers.Report(backend.Pace{Server: m.ID, Model: c.need.Model, PerEvent: pace})
	}
}
