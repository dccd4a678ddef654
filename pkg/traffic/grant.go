package traffic

import (
	"context"
	"sync/atomic"
	"time"

	"martenwheel.dev/pkg/traffic/outlier"
)

// grant is a slot on a replica. It implements Movable.
type grant struct {
	pool      *pool
	state     *modelState
	request   Request
	earlier   attempts
	tokens    int
	since     time.Time // start of the request; after a move, the start on its first replica
	target    Target
	server    *server
	usage     *usage
	baseUsage *usage
	ended     atomic.Bool
}

// Target returns the replica.
func (g *grant) Target() Target { return g.target }

// Done releases the slot. A second call has no effect.
func (g *grant) Done(outcome Outcome) {
	if g.ended.CompareAndSwap(false, true) {
		g.pool.finish(g.pool.router.config.Now(), g, outcome)
	}
}

// Retry releases the slot and acquires one on another server.
func (g *grant) Retry(ctx context.Context, outcome Outcome) (Grant, error) {
	g.Done(outcome)
	earlier := g.earlier.after(g.target.Server, outcome)
	pause, refusal := g.pool.allowRetry(g.pool.router.config.Now(), g, outcome, len(earlier.tried))
	if refusal != nil {
		return nil, earlier.refuse(refusal)
	}
	if !sleep(ctx, pause) {
		return nil, earlier.refuse(callerLeft())
	}
	return g.pool.router.retry(ctx, &g.request, earlier)
}

// sleep waits for the pause. It returns false if ctx ends first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// allowRetry decides whether a request may be retried after count attempts. It returns
// the pause before the retry, or a refusal.
func (p *pool) allowRetry(now time.Time, g *grant, outcome Outcome, count int) (time.Duration, *Refusal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counters := &g.state.counters
	if refusal := checkRetry(&g.request, outcome); refusal != nil && !p.router.config.off.retryChecks {
		counters.refuse(refusal.Reason)
		return 0, refusal
	}
	pause := backOff(p.random, count)
	if !now.Add(pause).Before(g.request.Deadline) {
		counters.refuse(ReasonDeadline)
		return 0, &Refusal{Reason: ReasonDeadline, Message: "no time is left for another attempt",
			RetryAfter: defaultRetryAfter}
	}
	if !g.state.budget.spend() {
		counters.refuse(ReasonEngineFailed)
		return 0, &Refusal{Reason: ReasonEngineFailed,
			Message: "the engine failed and the retry budget is spent", RetryAfter: defaultRetryAfter}
	}
	counters.retries++
	return pause, nil
}

// finish releases the slot of a grant and gives free slots to waiting requests.
func (p *pool) finish(now time.Time, g *grant, outcome Outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	g.usage.remove(g.tokens)
	if g.baseUsage != nil {
		g.baseUsage.remove(g.tokens)
	}
	g.server.inFlight.Add(-1)
	if outcome.Leaving {
		g.server.observeRefusal()
	}
	g.state.throughput.end(now, now.Sub(g.since), outcome)
	p.router.running.Add(-1)
	p.recordOutcome(now, g, outcome)
	if p.queue.Len() > 0 || len(p.retries) > 0 {
		p.serveWaiting(now)
	}
}

// recordOutcome reports the end of an attempt to outlier detection.
func (p *pool) recordOutcome(now time.Time, g *grant, outcome Outcome) {
	if outcome.Kind == OutcomeCancelled || outcome.Leaving {
		return
	}
	if outcome.Kind == OutcomeServed {
		g.server.observeAnswer(now)
	}
	if g.server.outliers.Record(now, outcome.Kind == OutcomeServed) {
		g.state.counters.ejections++
	}
	config := p.router.config.Outlier
	if now.Sub(g.state.comparedAt) < config.Interval {
		return
	}
	g.state.comparedAt = now
	trackers := make([]*outlier.Tracker, 0, len(g.state.replicas))
	for index := range g.state.replicas {
		trackers = append(trackers, g.state.replicas[index].server.outliers)
	}
	g.state.counters.ejections += uint64(outlier.Compare(now, config, trackers))
}
