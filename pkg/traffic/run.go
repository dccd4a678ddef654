package traffic

import (
	"sync/atomic"
	"time"
)

// sweepInterval is how often the waiting requests are checked again with the current
// estimates of loads and service times. They are also checked at each change of the
// directory.
const sweepInterval = 100 * time.Millisecond

// run is the router's background loop. It checks the waiting requests periodically and
// at changes of the settings or the directory, and reports demand.
func (r *Router) run() {
	sweeps := time.NewTicker(sweepInterval)
	defer sweeps.Stop()
	reports := time.NewTicker(reportInterval)
	defer reports.Stop()
	for {
		changed := r.config.Control.Changed()
		r.sweep()
		select {
		case <-changed:
		case <-sweeps.C:
		case <-reports.C:
			r.report()
		case <-r.closed:
			return
		}
	}
}

// sweep checks all waiting requests again.
func (r *Router) sweep() {
	if r.waiting.Load() == 0 {
		return
	}
	now := r.config.Now()
	r.eachPool(func(p *pool) { p.sweep(now) })
}

// report passes the demand of all models to the control plane, and removes servers and
// models that no longer exist.
func (r *Router) report() {
	r.servers.forgetMissing(r.config.Control.Directory())
	settings, _ := r.config.Control.Tree()
	r.eachPool(func(p *pool) {
		p.forgetRemoved(settings)
		for _, demand := range p.dueReports() {
			r.config.Control.Report(demand)
		}
	})
}

func (r *Router) eachPool(visit func(*pool)) {
	r.pools.Range(func(_, known any) bool {
		visit(known.(*pool))
		return true
	})
}

// reserveWaiting counts a request as waiting, or refuses it if its service has too many
// requests waiting on this node. The limit of a service is its weight times the free
// capacity of the queues ("dynamic thresholds", Choudhury and Hahne 1998), so that no
// service can exclude others by filling the node's queues.
func (r *Router) reserveWaiting(state *modelState) *Refusal {
	free := int64(r.config.MaxWaiting) - r.waiting.Load()
	count := r.waitingOfService(state.model.Service)
	if float64(count.Load()) >= r.serviceShare(state.model.Service)*float64(free) {
		return &Refusal{Reason: ReasonQueueFull, Message: "too many requests wait on this node",
			RetryAfter: defaultRetryAfter}
	}
	count.Add(1)
	r.waiting.Add(1)
	return nil
}

// releaseWaiting counts a request as no longer waiting.
func (r *Router) releaseWaiting(state *modelState) {
	r.waitingOfService(state.model.Service).Add(-1)
	r.waiting.Add(-1)
}

func (r *Router) waitingOfService(service string) *atomic.Int64 {
	if count, found := r.services.Load(service); found {
		return count.(*atomic.Int64)
	}
	count, _ := r.services.LoadOrStore(service, new(atomic.Int64))
	return count.(*atomic.Int64)
}

// stopAt returns the end of the planned stop, or zero if there is none.
func (r *Router) stopAt() time.Time {
	end := r.stopDeadline.Load()
	if end == 0 {
		return time.Time{}
	}
	return time.Unix(0, end)
}

// drainPoll is how often a planned stop checks whether all requests have ended.
const drainPoll = 10 * time.Millisecond

// Leftover describes what is left at the deadline of a planned stop.
type Leftover struct {
	Running int // requests that still hold a slot
}

// Drain begins the planned stop of the node. It returns when no request waits or runs
// any more, or at the deadline. New requests, and waiting ones that can't start by the
// deadline, are refused at once; the others are served.
func (r *Router) Drain(deadline time.Time) Leftover {
	r.stopDeadline.CompareAndSwap(0, deadline.UnixNano())
	r.sweep()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for r.config.Now().Before(deadline) {
		if r.waiting.Load() == 0 && r.running.Load() == 0 {
			return Leftover{}
		}
		<-ticker.C
	}
	r.sweep()
	return Leftover{Running: int(r.running.Load())}
}
