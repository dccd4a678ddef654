package traffic

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic/outlier"
	"martenwheel.dev/pkg/traffic/routing"
	"martenwheel.dev/pkg/tree"
)

// refresh brings a model's state up to the newest settings and directory. Both
// are read under the pool's lock, so that a slow request can't bring back the
// older settings that it found the model in.
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

// rebuildAll takes over a new directory. Models share usages, so all are
// rebuilt at once.
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

// refreshAll brings all models of the pool up to date and refuses what waits for
// those that left the settings.
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

// forgetRemoved drops the idle models that left the settings.
func (p *pool) forgetRemoved(settings *tree.Tree) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, state := range p.models {
		_, found := settings.Model(name)
		if !found && state.pace.running == 0 && p.waitingCount(state) == 0 {
			delete(p.models, name)
		}
	}
}

// rebuild makes the list of a model's replicas from the directory.
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

// tryPlace chooses a replica for the request and takes a place on it. It
// returns nil if none has room.
func (p *pool) tryPlace(now time.Time, state *modelState, request *Request, earlier attempts) *grant {
	p.fillCandidates(now, state, request)
	asked := routing.Request{
		Zone:   p.router.config.Zone,
		Tokens: tokensOf(request),
		Blocks: len(request.Prefixes),
	}
	if otherServes(state.candidates, earlier.tried) {
		asked.Tried = earlier.tried
	}
	index, found := p.chooser.Choose(p.random, &asked, state.candidates)
	if !found {
		return nil
	}
	return p.take(now, state, &state.replicas[index], request, earlier)
}

// take takes a place on a replica.
func (p *pool) take(now time.Time, state *modelState, chosen *replica, request *Request, earlier attempts) *grant {
	tokens := tokensOf(request)
	chosen.usage.add(now, tokens)
	if chosen.baseUsage != nil {
		chosen.baseUsage.add(now, tokens)
	}
	chosen.server.inFlight.Add(1)
	chosen.server.prefixes.Hint(now, state.seed, request.Prefixes)
	state.pace.begin(now)
	state.counters.granted++
	p.router.running.Add(1)
	return &grant{
		pool: p, state: state, request: *request, earlier: earlier, tokens: tokens, since: now,
		target: Target{Server: chosen.Server, Address: chosen.view.Address, Zone: chosen.view.Zone},
		server: chosen.server, usage: chosen.usage, baseUsage: chosen.baseUsage,
	}
}

// fillCandidates takes the snapshot that routing decides on.
func (p *pool) fillCandidates(now time.Time, state *modelState, request *Request) {
	state.candidates = state.candidates[:0]
	halfLife := reportHalfLife(state.pace.hold)
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
			Usage:        known.usage.within(&state.model.Settings),
			Recent:       known.usage.recentBy(now),
			ReportedLoad: known.server.othersLoad(now, halfLife),
			AdapterSeen:  known.server.reports(state.name),
		}
		if p.router.config.off.leaving {
			candidate.Leaving = false
		}
		if p.router.config.off.unreachable {
			candidate.Unreachable = false
		}
		if known.baseUsage != nil {
			candidate.BaseUsage = known.baseUsage.within(&state.baseSettings)
		}
		if len(request.Prefixes) > 0 && len(state.replicas) > 1 {
			candidate.MatchedBlocks = known.server.prefixes.Match(now, state.seed, request.Prefixes)
		}
		state.candidates = append(state.candidates, candidate)
	}
	p.capEjections(now, state)
}

// capEjections takes servers back in when too many of the model's replicas are
// ejected: first those whose ejection ends soonest.
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

// serves tells whether the candidate's replica is ready, stays and answers.
func serves(candidate *routing.Candidate) bool {
	return candidate.State == api.ReplicaReady && !candidate.Leaving && !candidate.Unreachable
}

// otherServes tells whether a candidate that was not tried yet could serve,
// perhaps after some waiting.
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

// outlook gathers what is known of a model's near future.
func (p *pool) outlook(now time.Time, state *modelState) outlook {
	view := outlook{
		now:        now,
		ready:      state.anyServes(now),
		loadedAt:   state.loadedAt(),
		running:    state.pace.running,
		perReplica: state.model.Settings.MaxConcurrency,
		hold:       state.pace.expectedHold(now),
		lastEnd:    state.pace.lastEnd,
		firstToken: state.pace.firstToken,
	}
	if view.ready {
		state.answer.wanted = false
		return view
	}
	estimate, known := p.router.config.Control.Estimate(state.name)
	if !known {
		return view
	}
	state.answer.hear(now, estimate)
	if estimate.Accepted {
		if estimate.ReadyBy.After(now) {
			view.loadedAt = estimate.ReadyBy
		}
		return view
	}
	if !view.loadedAt.IsZero() {
		return view
	}
	view.retryAfter, view.rejected = state.answer.rejection(now, state.demand.wokenAt)
	view.loadFailed = state.answer.wanted
	view.message = estimate.Reason
	return view
}
