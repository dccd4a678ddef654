package coordinator

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// queued is a model that requests wait for and that no server holds or loads.
type queued struct {
	model    *route.Model
	priority int // 0 is the most urgent
	deadline time.Time
}

// before orders models as the decider does those that can be in time.
func (q queued) before(other queued) int {
	return cmp.Or(
		cmp.Compare(q.priority, other.priority),
		q.deadline.Compare(other.deadline),
		cmp.Compare(q.model.Name, other.model.Name),
	)
}

// freeTimes returns from when each server of a service may take the next load.
func (h *Holder) freeTimes(now time.Time, service string) []time.Time {
	var list []time.Time
	for s := range h.serversOf(service) {
		if s.member.Leaving() {
			continue
		}
		free := latest(now, s.quietUntil)
		if s.busy != nil {
			free = latest(free, s.busy.readyAt)
		}
		list = append(list, free)
	}
	return list
}

// queue returns the models of a service that wait for a server, the most urgent
// first.
func (h *Holder) queue(e *route.Engine, w *wanted, present map[string]int) []queued {
	var list []queued
	for name, wishes := range w.wishes {
		m := e.Models[name]
		if m == nil || present[name] > 0 {
			continue
		}
		q := queued{model: m, priority: wishes[0].priority, deadline: wishes[0].deadline}
		for _, d := range wishes[1:] {
			q.priority = min(q.priority, d.priority)
			if d.deadline.Before(q.deadline) {
				q.deadline = d.deadline
			}
		}
		list = append(list, q)
	}
	slices.SortFunc(list, queued.before)
	return list
}

// longWait is how long a wish waits for an order before the log tells.
const longWait = time.Second

// tellWaits logs, once for each wish, which models wait for long without an
// order, and for how many others.
func (h *Holder) tellWaits(now time.Time, service string, queue []queued, w *wanted) {
	for i, q := range queue {
		for _, d := range w.wishes[q.model.Name] {
			if d.waitTold || now.Sub(d.since) < longWait {
				continue
			}
			d.waitTold = true
			h.Logger.Info("load waits", "model", q.model.Name, "service", service, "request_id", d.request,
				"waited_ms", now.Sub(d.since).Milliseconds(), "before_it", i,
				"expected_ms", h.expected[service][q.model.Name].Sub(now).Milliseconds())
		}
	}
}

// expect works out when each queued model will be ready at the latest: each goes,
// in its turn, to the server that is free first. All loads count as from the weight
// store, since the decider may choose a server without a copy, and a caller who
// comes back too early is worse off than one who comes back late. It changes free.
func expect(queue []queued, free []time.Time) map[string]time.Time {
	ready := make(map[string]time.Time, len(queue))
	if len(free) == 0 {
		return ready
	}
	for _, q := range queue {
		first := 0
		for i := range free {
			if free[i].Before(free[first]) {
				first = i
			}
		}
		free[first] = free[first].Add(unloadTime + q.model.LoadTime)
		ready[q.model.Name] = free[first]
	}
	return ready
}

// readyIn returns when a model is expected to be ready, zero if its service has
// no engine for it.
func (h *Holder) readyIn(now time.Time, service string, need backend.Need) time.Duration {
	if left, loading := h.loadingLeft(now, service, need.Model); loading {
		return left
	}
	if need.Adapter != "" && h.heldBy(now, service, backend.Need{Model: need.Model}) != "" {
		return 2 * adapterTime
	}
	if at, known := h.expected[service][need.Model]; known && at.After(now) {
		return at.Sub(now)
	}
	return h.readyAlone(now, service, need.Model)
}

// readyAlone returns when a model that is not queued yet would be ready if it
// were the only one.
func (h *Holder) readyAlone(now time.Time, service, model string) time.Duration {
	e := h.engine(service)
	if e == nil || e.Models[model] == nil {
		return 0
	}
	at, found := expect([]queued{{model: e.Models[model]}}, h.freeTimes(now, service))[model]
	if !found {
		return 0
	}
	return at.Sub(now)
}

// loadingLeft returns how long the load of a model still takes that is under way.
func (h *Holder) loadingLeft(now time.Time, service, model string) (time.Duration, bool) {
	left, loading := time.Duration(0), false
	for s := range h.serversOf(service) {
		if s.busy == nil || !s.busy.load || s.busy.need.Model != model {
			continue
		}
		if l := max(s.busy.readyAt.Sub(now), tickInterval/4); !loading || l < left {
			left, loading = l, true
		}
	}
	return left, loading
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
