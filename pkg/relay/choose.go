package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/traffic/routing"
)

// How often a waiting request looks again without news.
const (
	lookInterval = 100 * time.Millisecond
	wakeInterval = 250 * time.Millisecond
	// wakeTimeout bounds one question to the waker.
	wakeTimeout = time.Second
)

// acquire waits for a server that may get the request. It returns nil when the
// request was answered.
func (c *call) acquire(ctx context.Context) *backend.Member {
	began := c.relay.Time.Now()
	defer func() { c.record.waited += c.relay.Time.Since(began) }()
	var askedAt time.Time
	outlooks := make(chan asked, 1)
	asking := false
	for {
		changed := c.relay.Servers.Changed()
		if c.relay.stopped(c.route.Kind, false) {
			c.refuse(c.notServed(reasonStopping, stopping.after))
			return nil
		}
		if m := c.choose(); m != nil {
			return m
		}
		resting := c.resting(c.relay.Time.Now())
		if c.record.waitFor = c.lacks(); resting != nil {
			c.record.waitFor = lacksRest
		}
		if c.need.Model != "" && c.record.waitFor != lacksServer && !asking && c.relay.Time.Since(askedAt) >= wakeInterval {
			askedAt, asking = c.relay.Time.Now(), true
			go c.ask(ctx, c.lackingOr(resting), outlooks)
		}
		if f, refused := c.judgePlain(resting); refused {
			c.refuse(f)
			return nil
		}
		if c.leavesSoon() {
			c.refuse(c.notServed(reasonLoading, max(c.record.readyIn, defaultRetryAfter)))
			return nil
		}
		timer := time.NewTimer(lookInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			c.giveUp(ctx)
			return nil
		case <-changed:
		case <-timer.C:
		case a := <-outlooks:
			asking = false
			c.record.wakeError = a.err
			if f, refused := c.judge(a.outlook, resting); refused {
				timer.Stop()
				c.refuse(f)
				return nil
			}
		}
		timer.Stop()
	}
}

// leavesSoon tells whether the caller is about to leave without an answer. A request
// that was to be ready by now and is not is given up.
func (c *call) leavesSoon() bool {
	if c.need.Model == "" || c.headSent || c.record.waitFor == lacksServer {
		return false
	}
	return c.leavesBy(c.relay.Time.Now())
}

// leavesBy tells whether the caller is about to leave without an answer by a time.
func (c *call) leavesBy(at time.Time) bool {
	return at.Sub(c.arrived) > c.patience()-impatienceMargin
}

// impatienceMargin is the time for a refusal to reach a caller before it leaves.
const impatienceMargin = 2 * lookInterval

// What a waiting request lacks, in logs.
const (
	lacksServer  = "server" // that may get it now
	lacksModel   = "model"
	lacksAdapter = "adapter" // of a model that a server holds
	lacksRest    = "rest"    // the servers that could get it want nothing for a while
)

// lacks tells what keeps a request waiting that no server may get now.
func (c *call) lacks() string {
	if c.need.Model == "" || c.engine == nil {
		return lacksServer
	}
	now := c.relay.Time.Now()
	base := backend.Need{Model: c.need.Model}
	lack := lacksModel
	for _, m := range c.relay.Servers.Snapshot().Service(c.service) {
		if m.Serves(now, c.need) {
			return lacksServer
		}
		if base != c.need && m.Serves(now, base) {
			lack = lacksAdapter
		}
	}
	return lack
}

// asked is an answer of the waker.
type asked struct {
	outlook Outlook
	err     error
}

// ask tells the waker what is needed, and of the server that lacks it.
func (c *call) ask(ctx context.Context, by lacking, outlooks chan<- asked) {
	ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
	defer cancel()
	o, err := c.relay.Waker.Wake(ctx, Wish{
		Service: c.service, Need: c.need, Priority: c.priority(), Deadline: c.deadline, RequestID: c.id,
		Missing: by.server, Gone: by.gone, Short: by.short, ShortFor: by.shortFor,
	})
	if err != nil {
		o.ReadyIn = unknownReady
	}
	if o.Server != "" {
		c.relay.Servers.Believe(o.Server, c.need, true, c.relay.Time.Now().Add(beliefTime))
	}
	outlooks <- asked{o, err}
}

// beliefTime is how long the waker's word on a server counts before its record
// confirms it.
const beliefTime = 5 * time.Second

// judgePlain refuses a request without a model that can't be served while its caller is there.
func (c *call) judgePlain(resting *backend.Return) (refusal, bool) {
	if c.need.Model != "" {
		return refusal{}, false
	}
	if resting != nil {
		next := c.courseAtRest(resting, 0)
		return c.notServed(reasonRest, next.after), !next.hold
	}
	next := c.prospect(0).course()
	return c.notServed(reasonNoServer, next.after), !next.hold
}

// judge takes in the outlook of what the request lacks. It refuses one that can't be
// served while its caller is there.
func (c *call) judge(o Outlook, resting *backend.Return) (refusal, bool) {
	c.record.readyIn, c.record.outlookAge = o.ReadyIn, o.Age
	if resting != nil && (o.Server == "" || o.Server == resting.Server) {
		next := c.courseAtRest(resting, o.ReadyIn)
		return c.notServed(reasonRest, next.after), !next.hold
	}
	if o.Server != "" {
		return refusal{}, false
	}
	if next := c.prospect(o.ReadyIn).course(); !next.hold {
		return c.notServed(reasonLoading, next.after), true
	}
	return refusal{}, false
}

// choose picks a server for the request, nil if none may get it now.
func (c *call) choose() *backend.Member {
	now := c.relay.Time.Now()
	p := pickings.Get().(*picking)
	defer pickings.Put(p)
	defer p.reset()
	for _, m := range c.relay.Servers.Snapshot().Service(c.service) {
		if m.Serves(now, c.need) {
			p.members = append(p.members, m)
			p.candidates = append(p.candidates, c.candidate(now, m))
		}
	}
	if len(p.members) == 0 {
		return c.chooseCold(now)
	}
	p.spareLimited(c.tried)
	untried, good := false, false
	for i, m := range p.members {
		untried = untried || !slices.Contains(c.tried, m.ID)
		good = good || !p.candidates[i].Ejected
	}
	if !good {
		for i := range p.candidates {
			p.candidates[i].Ejected = false
		}
	}
	p.asked.Zone, p.asked.Region = c.relay.Zone, c.relay.Regions[c.relay.Zone]
	if untried {
		for _, id := range c.tried {
			p.asked.Tried = append(p.asked.Tried, api.ServerID(id))
		}
	}
	i, found := c.pick(p)
	if !found {
		return nil
	}
	return p.members[i]
}

// assumedSlots stands for the slots of a server that doesn't tell.
const assumedSlots = 16

// candidate is a server as the plug-ins of routing see it.
func (c *call) candidate(now time.Time, m *backend.Member) routing.Candidate {
	slots := m.Slots
	if slots <= 0 {
		slots = assumedSlots
	}
	return routing.Candidate{
		Server:  api.ServerID(m.ID),
		Zone:    m.Zone,
		Region:  c.relay.Regions[m.Zone],
		State:   api.ReplicaReady,
		Ejected: m.Avoid(now),
		Share:   1,
		Usage:   routing.Usage{Requests: m.InFlight(), MaxRequests: slots},
		Recent:  m.Recent(now),

		Connected: m.Idle() > 0,
		Slowness:  m.Slowness(),
	}
}

// The weights of what the choice of a server follows, and how far below the best
// one it may lie. Load counts most; a connection that stands and a near server
// decide while there is room. The replica that a request prefers by package affinity goes
// before all that, unless this node has its slots full.
const (
	weightInFlight  = 2.0
	weightRecent    = 0.5
	weightConnected = 0.3
	weightZone      = 0.2
	weightRegion    = 1.0
	weightPace      = 1.0
	weightAffinity  = 2.0
	weightLane      = 2.0
	pickMargin      = 0.1
)

func newChooser() *routing.Chooser {
	return routing.NewChooser(
		[]routing.Filter{routing.EjectedFilter{}, routing.TriedFilter{}},
		[]routing.Weighted{
			{Scorer: routing.InFlightScorer{}, Weight: weightInFlight},
			{Scorer: routing.RecentScorer{}, Weight: weightRecent},
			{Scorer: routing.ConnectedScorer{}, Weight: weightConnected},
			{Scorer: routing.ZoneScorer{}, Weight: weightZone},
			{Scorer: routing.RegionScorer{}, Weight: weightRegion},
			{Scorer: routing.PaceScorer{}, Weight: weightPace},
			{Scorer: routing.AffinityScorer{}, Weight: weightAffinity},
			{Scorer: routing.LaneScorer{}, Weight: weightLane},
		},
		routing.TwoChoicePicker{Margin: pickMargin},
	)
}

// setChooser makes what choosing needs, once. The caller holds mu.
func (r *Relay) setChooser() {
	if r.chooser == nil {
		r.chooser = newChooser()
		r.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// firstByteTime is how long the first byte of an answer is waited for while another
// server could serve the request.
func firstByteTime(r *route.Route) time.Duration {
	if r.Kind == route.Stream {
		return r.Target + r.Target/2 + streamPatience
	}
	return max(2*r.Target, wholePatience)
}

// Parts of firstByteTime.
const (
	streamPatience = 300 * time.Millisecond
	wholePatience  = 250 * time.Millisecond
)
