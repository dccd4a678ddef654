package traffic

import "time"

var _ Movable = (*grant)(nil)

// Leaving tells whether the engine said that it leaves, or its machine is about
// to go.
func (g *grant) Leaving() bool {
	if g.pool.router.config.off.leaving {
		return false
	}
	if g.server.leaving.Load() != nil {
		return true
	}
	return g.pool.router.config.Control.Directory().Servers[g.target.Server].Leaving
}

// Move takes a place on another replica that is ready now. The request counts
// there as if it had begun when it did.
func (g *grant) Move() (Movable, error) {
	earlier := g.earlier.after(g.target.Server, Outcome{Kind: OutcomeCancelled})
	moved := g.pool.move(g.pool.router.config.Now(), g, earlier)
	if moved == nil {
		return nil, earlier.refuse(&Refusal{Reason: ReasonNoCapacity,
			Message: "no other replica has room for the stream", RetryAfter: defaultRetryAfter})
	}
	return moved, nil
}

// move returns a place for a running request besides the one it has, or nil.
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
