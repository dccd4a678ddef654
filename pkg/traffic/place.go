package traffic

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic/outlier"
	"martenwheel.dev/pkg/traffic/routing"
	"martenwheel.dev/pkg/tree"
)

// refresh updates a model's state to the newest settings and directory. It reads both
// under the pool's lock, so that a slow request that resolved the model earlier can't
// restore older settings.
func (p *pool) refresh(model tree.Model) *modelState {
	settings, _ := p.router.config.Control.Tree()
	if newest, found := settings.Model(model.Name); found {
		model = newest
	}
	state, known := p.models[model.Name]
	if !known {
		state = newModelState(model)
		p.models[model.Name] = state
	}
	state.model = model
	if base, found := settings.Model(model.Base); found {
		state.baseSettings = base.Settings
	}
	directory := p.router.config.Control.Directory()
	switch {
	case p.directory != directory:
		p.rebuildAll(directory)
	case !known:
		p.rebuild(state)
	}
	return state
}

// rebuildAll switches the pool to a new directory. It rebuilds all models at once,
// because they share usages.
func (p *pool) rebuildAll(directory *Directory) {
	p.directory = directory
	for key, unused := range p.usages {
		if unused.requests == 0 {
			delete(p.usages, key)
		}
	}
	for _, state := range p.models {
		p.rebuild(state)
	}
}

// refreshAll updates all models of the pool, and refuses the requests that wait for
// models that were removed from the settings.
func (p *pool) refreshAll() {
	settings, _ := p.router.config.Control.Tree()
	for name, state := range p.models {
		model, found := settings.Model(name)
		if found {
			p.refresh(model)
			continue
		}
		for _, waiting := range p.waitingOf(state) {
			p.dequeue(waiting, settlement{refusal: unknownModel(name)})
		}
	}
}

// forgetRemoved deletes the idle models that were removed from the settings.
func (p *pool) forgetRemoved(settings *tree.Tree) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, state := range p.models {
		_, found := settings.Model(name)
		if !found && state.throughput.running == 0 && p.waitingCount(state) == 0 {
			delete(p.models, name)
		}
	}
}

// rebuild builds the list of a model's replicas from the directory.
func (p *pool) rebuild(state *modelState) {
	state.replicas = state.replicas[:0]
	for _, listed := range p.directory.Replicas[state.name] {
		view, known := p.directory.Servers[listed.Server]
		if !known {
			continue
		}
		added := replica{
			Replica: listed, view: view,
			server: p.router.servers.get(listed.Server),
			usage:  p.usageOf(state.name, listed.Server),
		}
		if base := state.model.Base; base != "" {
			added.baseUsage = p.usageOf(base, listed.Server)
		}
		state.replicas = append(state.replicas, added)
	}
}

func (p *pool) usageOf(model api.ModelName, server api.ServerID) *usage {
	key := usageKey{model, server}
	known, found := p.usages[key]
	if !found {
		known = &usage{}
		p.usages[key] = known
	}
	return known
}

// tryPlace chooses a replica for the request and takes a slot on it. It returns nil if
// no replica can take the request.
func (p *pool) tryPlace(now time.Time, state *modelState, request *Request, earlier attempts) *grant {
	p.fillCandidates(now, state, request)
	routingRequest := routing.Request{
		Zone:   p.router.config.Zone,
		Tokens: tokensOf(request),
		Blocks: len(request.Prefixes),
	}
	if otherServes(state.candidates, earlier.tried) {
		routingRequest.Tried = earlier.tried
	}
	index, found := p.chooser.Choose(p.random, &routingRequest, state.candidates)
	if !found {
		return nil
	}
	return p.grantSlot(now, state, &state.replicas[index], request, earlier)
}

// grantSlot takes a slot on a replica.
func (p *pool) grantSlot(now time.Time, state *modelState, chosen *replica, request *Request, earlier attempts) *grant {
	tokens := tokensOf(request)
	chosen.usage.add(now, tokens)
	if chosen.baseUsage != nil {
		chosen.baseUsage.add(now, tokens)
	}
	chosen.server.inFlight.Add(1)
	chosen.server.prefixes.Hint(now, state.seed, request.Prefixes)
	state.throughput.begin(now)
	state.counters.granted++
	p.router.running.Add(1)
	return &grant{
		pool: p, state: state, request: *request, earlier: earlier, tokens: tokens, since: now,
		target: Target{Server: chosen.Server, Address: chosen.view.Address, Zone: chosen.view.Zone},
		server: chosen.server, usage: chosen.usage, baseUsage: chosen.baseUsage,
	}
}

// fillCandidates fills state.candidates, the snapshot of the replicas for routing.
func (p *pool) fillCandidates(now time.Time, state *modelState, request *Request) {
	state.candidates = state.candidates[:0]
	halfLife := reportHalfLife(state.throughput.holdTime)
	for index := range state.replicas {
		known := &state.replicas[index]
		status := known.server.outliers.Status(now)
		candidate := routing.Candidate{
			Server:       known.Server,
			Zone:         known.view.Zone,
			State:        known.State,
			Leaving:      known.view.Leaving || known.server.leaving.Load() != nil,
			Unreachable:  known.server.unreachable(now, known.view),
			Ejected:      status.Ejected,
			Share:        status.Share,
			Usage:        known.usage.routingUsage(&state.model.Settings),
			Recent:       known.usage.recentBy(now),
			ReportedLoad: known.server.othersLoad(now, halfLife),
			AdapterSeen:  known.server.reportsModel(state.name),
		}
		if p.router.config.off.leaving {
			candidate.Leaving = false
		}
		if p.router.config.off.unreachable {
			candidate.Unreachable = false
		}
		if known.baseUsage != nil {
			candidate.BaseUsage = known.baseUsage.routingUsage(&state.baseSettings)
		}
		if len(request.Prefixes) > 0 && len(state.replicas) > 1 {
			candidate.MatchedBlocks = known.server.prefixes.Match(now, state.seed, request.Prefixes)
		}
		state.candidates = append(state.candidates, candidate)
	}
	p.capEjections(now, state)
}

// capEjections readmits servers if too many of the model's replicas are ejected,
// starting with those whose ejection ends soonest.
func (p *pool) capEjections(now time.Time, state *modelState) {
	serving, ejected := 0, 0
	for index := range state.candidates {
		if !serves(&state.candidates[index]) {
			continue
		}
		serving++
		if state.candidates[index].Ejected {
			ejected++
		}
	}
	allowed := min(int(maxEjectedShare*float64(serving)), serving-1)
	for ; ejected > max(0, allowed); ejected-- {
		readmitSoonest(now, state)
	}
}

func readmitSoonest(now time.Time, state *modelState) {
	soonest := -1
	var soonestEnd outlier.Status
	for index := range state.candidates {
		candidate := &state.candidates[index]
		if !candidate.Ejected || !serves(candidate) {
			continue
		}
		status := state.replicas[index].server.outliers.Status(now)
		if soonest < 0 || status.Until.Before(soonestEnd.Until) {
			soonest, soonestEnd = index, status
		}
	}
	if soonest >= 0 {
		state.candidates[soonest].Ejected = false
	}
}

// serves reports whether the candidate's replica is ready and its server is reachable
// and not leaving.
func serves(candidate *routing.Candidate) bool {
	return candidate.State == api.ReplicaReady && !candidate.Leaving && !candidate.Unreachable
}

// otherServes reports whether a candidate that was not tried yet could serve the
// request, now or once it has a free slot.
func otherServes(candidates []routing.Candidate, tried []api.ServerID) bool {
	for index := range candidates {
		candidate := &candidates[index]
		if !serves(candidate) || candidate.Ejected {
			continue
		}
		if !slices.Contains(tried, candidate.Server) {
			return true
		}
	}
	return false
}

// forecast returns the model's current state for estimates of when requests start.
func (p *pool) forecast(now time.Time, state *modelState) forecast {
	f := forecast{
		now:             now,
		ready:           state.anyServes(now),
		nextReadyAt:     state.nextReadyAt(),
		running:         state.throughput.running,
		slotsPerReplica: state.model.Settings.MaxConcurrency,
		holdTime:        state.throughput.expectedHoldTime(now),
		lastEnd:         state.throughput.lastEnd,
		firstToken:      state.throughput.firstToken,
	}
	if f.ready {
		state.answer.accepted = false
		return f
	}
	estimate, known := p.router.config.Control.Estimate(state.name)
	if !known {
		return f
	}
	state.answer.update(now, estimate)
	if estimate.Accepted {
		if estimate.ReadyBy.After(now) {
			f.nextReadyAt = estimate.ReadyBy
		}
		return f
	}
	if !f.nextReadyAt.IsZero() {
		return f
	}
	f.retryAfter, f.rejected = state.answer.rejection(now, state.demand.wokenAt)
	f.loadFailed = state.answer.accepted
	f.message = estimate.Reason
	return f
}
