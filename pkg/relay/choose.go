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

// Intervals at which a waiting request checks for servers and asks for its model.
const (
	pollInterval        = 100 * time.Millisecond
	loadRequestInterval = 250 * time.Millisecond
	// loadRequestTimeout bounds one call of the ModelLoader.
	loadRequestTimeout = time.Second
)

// acquire waits for a server that may get the request. It returns nil if the request was answered.
func (c *call) acquire(ctx context.Context) *backend.Member {
	began := c.relay.Time.Now()
	defer func() { c.record.waited += c.relay.Time.Since(began) }()
	var requestedAt time.Time
	backoffLeft := time.Duration(0)
	results := make(chan loadResult, 1)
	requestPending, answered := false, false
	c.unrun = c.runs == 0 && !c.headSent
	for {
		changed := c.relay.Servers.Changed()
		if c.relay.stopped(c.route.Kind, false) || c.stopTooNear(0) {
			c.refuse(c.notServed(reasonStopping, stopping.after))
			return nil
		}
		if m := c.choose(); m != nil {
			return m
		}
		if c.versionGone() && c.listsAll() {
			c.refuse(c.notServed(reasonVersionGone, 0))
			return nil
		}
		backoff := c.firstBackoffEnd(c.relay.Time.Now())
		if c.record.waitFor = c.waitReason(); backoff != nil {
			c.record.waitFor = waitsForBackoff
			if backoff.In > backoffLeft { // it was asked for again: what was known before no longer holds
				requestedAt = time.Time{}
			}
			backoffLeft = backoff.In
		}
		needsLoad := c.need.Model != "" && c.record.waitFor != waitsForServer
		needsSearch := c.need.Model == "" && !c.listsAll()
		if (needsLoad || needsSearch) && !requestPending && c.relay.Time.Since(requestedAt) >= loadRequestInterval {
			requestedAt, requestPending = c.relay.Time.Now(), true
			go c.requestLoad(ctx, c.shortageWith(backoff), results)
		}
		if f, refused := c.evaluateWithoutModel(backoff); refused && (!needsSearch || answered) {
			c.refuse(f)
			return nil
		}
		if c.callerLeavesSoon() {
			c.refuse(c.notServed(reasonLoading, max(c.record.readyIn, defaultRetryAfter)))
			return nil
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			c.giveUp(ctx, context.Cause(ctx))
			return nil
		case <-changed:
		case <-timer.C:
		case a := <-results:
			requestPending, answered = false, true
			c.record.loadError = a.err
			if c.need.Model == "" {
				break // see evaluateWithoutModel
			}
			if f, refused := c.evaluateStatus(a.status, backoff); refused {
				timer.Stop()
				c.refuse(f)
				return nil
			}
		}
		timer.Stop()
	}
}

// callerLeavesSoon reports whether the caller is about to leave without an answer, although the
// model was expected to be ready by now.
func (c *call) callerLeavesSoon() bool {
	if c.need.Model == "" || c.headSent || c.record.waitFor == waitsForServer {
		return false
	}
	return c.callerLeavesBy(c.relay.Time.Now())
}

// callerLeavesBy reports whether the caller is about to leave without an answer at the given time.
func (c *call) callerLeavesBy(at time.Time) bool {
	return at.Sub(c.arrived) > c.patience()-impatienceMargin
}

// impatienceMargin is the time that a refusal needs to reach the caller before it leaves.
const impatienceMargin = 2 * pollInterval

// Reasons for waiting, in logs.
const (
	waitsForServer  = "server" // no server that may get the request now
	waitsForModel   = "model"
	waitsForAdapter = "adapter" // a server holds the model without the adapter
	waitsForBackoff = "rest"    // all suitable servers asked for a back-off
)

// waitReason returns why no server may get the request now.
func (c *call) waitReason() string {
	if c.need.Model == "" || c.engine == nil {
		return waitsForServer
	}
	now := c.relay.Time.Now()
	base := backend.Need{Model: c.need.Model}
	reason := waitsForModel
	for _, m := range c.servers() {
		if m.Serves(now, c.need) {
			return waitsForServer
		}
		if base != c.need && m.Serves(now, base) {
			reason = waitsForAdapter
		}
	}
	return reason
}

// loadResult is the result of a call of the ModelLoader.
type loadResult struct {
	status LoadStatus
	err    error
}

// requestLoad asks for the needed model to be loaded and reports the servers that could not serve
// it. For a request without a model, it asks for servers that this node does not know.
func (c *call) requestLoad(ctx context.Context, s shortage, results chan<- loadResult) {
	ctx, cancel := context.WithTimeout(ctx, loadRequestTimeout)
	defer cancel()
	status, err := c.relay.Loader.RequestLoad(ctx, LoadRequest{
		Service: c.service, Need: c.need, Priority: c.priority(), Deadline: c.deadline, RequestID: c.id,
		Missing: s.server, Gone: s.gone, Bound: c.pinned, Software: c.software, Short: s.short, ShortFor: s.shortFor,
	})
	if err != nil && status.ReadyIn <= 0 {
		status.ReadyIn = c.readyUnanswered(status.Silence)
	}
	if status.Server != "" && c.need.Model != "" {
		c.relay.Servers.OverrideHolding(status.Server, c.need, true, c.relay.Time.Now().Add(assumedHeldTime))
	}
	results <- loadResult{status, err}
}

// assumedHeldTime is how long a LoadStatus that names a server is trusted before the server's own
// record confirms that it holds the model.
const assumedHeldTime = 5 * time.Second

// evaluateWithoutModel refuses a request without a model that can't be served before its caller
// leaves.
func (c *call) evaluateWithoutModel(backoff *backend.ExpectedReturn) (refusal, bool) {
	if c.need.Model != "" {
		return refusal{}, false
	}
	if c.versionGone() {
		return c.notServed(reasonVersionGone, 0), true
	}
	if backoff != nil {
		return c.holdOrRefuse(c.decideDuringBackoff(backoff, 0), reasonBackoff, backoff.In)
	}
	return c.holdOrRefuse(c.estimateWait(0).decide(), reasonNoServer, 0)
}

// evaluateStatus records the status of a load request. It refuses a request that can't be served
// before its caller leaves.
func (c *call) evaluateStatus(status LoadStatus, backoff *backend.ExpectedReturn) (refusal, bool) {
	c.record.readyIn, c.record.statusAge = status.ReadyIn, status.Age
	if backoff != nil && (status.Server == "" || status.Server == backoff.Server) {
		readyIn := backoff.In
		if status.ReadyIn > 0 {
			readyIn = min(readyIn, status.ReadyIn)
		}
		return c.holdOrRefuse(c.decideDuringBackoff(backoff, status.ReadyIn), reasonBackoff, readyIn)
	}
	if status.Server != "" && c.mayUse(status.Server) {
		return refusal{}, false
	}
	if c.versionGone() {
		return c.notServed(reasonVersionGone, 0), true
	}
	return c.holdOrRefuse(c.estimateWait(status.ReadyIn).decide(), reasonLoading, status.ReadyIn)
}

// holdOrRefuse returns the refusal of a request that is not held, or that a planned stop would cut off if a server got it
// after readyIn, which is zero if unknown.
func (c *call) holdOrRefuse(next holdDecision, reason string, readyIn time.Duration) (refusal, bool) {
	if next.hold && c.stopTooNear(readyIn) {
		return c.notServed(reasonStopping, stopping.after), true
	}
	return c.notServed(reason, next.after), !next.hold
}

// choose picks a server for the request, or returns nil if none may get it now.
func (c *call) choose() *backend.Member {
	now := c.relay.Time.Now()
	p := choiceBufferPool.Get().(*choiceBuffers)
	defer choiceBufferPool.Put(p)
	defer p.reset()
	for _, m := range c.servers() {
		if m.Serves(now, c.need) {
			p.members = append(p.members, m)
			p.candidates = append(p.candidates, c.candidate(now, m))
		}
	}
	if len(p.members) == 0 {
		if m := c.chooseCold(now); m != nil {
			return m
		}
		return c.chooseLeaving(now)
	}
	p.preferUnlimited(c.tried)
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
	p.request.Zone, p.request.Region = c.relay.Zone, c.relay.Regions[c.relay.Zone]
	if untried {
		for _, id := range c.tried {
			p.request.Tried = append(p.request.Tried, api.ServerID(id))
		}
	}
	i, found := c.pick(p)
	if !found {
		return nil
	}
	return p.members[i]
}

// assumedSlots is used for servers that do not report their slots.
const assumedSlots = 16

// candidate converts a server for the plug-ins of package routing.
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

// Weights of the scores by which a server is chosen, and how far below the best score the chosen
// one may lie. Load counts most; open connections and a near zone decide while there is free
// capacity. The replica preferred by package affinity precedes all others unless this node's
// requests fill its slots.
const (
	weightInFlight  = 2.0
	weightRecent    = 0.5
	weightConnected = 0.3
	weightZone      = 0.2
	weightRegion    = 1.0
	weightSpeed     = 1.0
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
			{Scorer: routing.PaceScorer{}, Weight: weightSpeed},
			{Scorer: routing.AffinityScorer{}, Weight: weightAffinity},
			{Scorer: routing.LaneScorer{}, Weight: weightLane},
		},
		routing.TwoChoicePicker{Margin: pickMargin},
	)
}

// initChooser creates the chooser and its random source once. The caller holds mu.
func (r *Relay) initChooser() {
	if r.chooser == nil {
		r.chooser = newChooser()
		r.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// firstByteTime is how long to wait for the first byte of an answer while another server could
// serve the request.
func firstByteTime(r *route.Route) time.Duration {
	if r.Kind == route.Stream {
		return r.Target + r.Target/2 + streamPatience
	}
	return max(2*r.Target, bufferedPatience)
}

// Parts of firstByteTime.
const (
	streamPatience   = 300 * time.Millisecond
	bufferedPatience = 250 * time.Millisecond
)
