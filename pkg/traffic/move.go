package traffic

import "time"

var _ Movable = (*grant)(nil)

// Leaving reports whether the engine reported that it leaves, or the directory lists its
// server as leaving.
func (g *grant) Leaving() bool {
	if g.pool.router.config.off.leaving {
		return false
	}
	if g.server.leaving.Load() != nil {
		return true
	}
	return g.pool.router.config.Control.Directory().Servers[g.target.Server].Leaving
}

// Move takes a slot on another replica that is ready now. The hold time there counts
// from the start of the request on the first replica.
func (g *grant) Move() (Movable, error) {
	earlier := g.earlier.after(g.target.Server, Outcome{Kind: OutcomeCancelled})
	moved := g.pool.move(g.pool.router.config.Now(), g, earlier)
	if moved == nil {
		return nil, earlier.refuse(&Refusal{Reason: ReasonNoCapacity,
			Message: "no other replica has room for the stream", RetryAfter: defaultRetryAfter})
	}
	return moved, nil
}

// move returns an additional slot for a running request, or nil if there is none.
func (p *pool) move(now time.Time, running *grant, earlier attempts) *grant {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.refresh(running.state.model)
	p.fillCandidates(now, state, &running.request)
	if !otherServes(state.candidates, earlier.tried) {
		return nil
	}
	moved := p.tryPlace(now, state, &running.request, earlier)
	if moved == nil {
		return nil
	}
	moved.since = running.since
	return moved
}
