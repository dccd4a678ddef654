package coordinator

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/route"
)

// queued is a model that requests wait for and that no server holds, loads or is reserved for.
type queued struct {
	model    *route.Model
	gainRate float64 // gain per second of load time
}

// before compares two models in the order in which the decider loads them.
func (q queued) before(other queued) int {
	return cmp.Or(cmp.Compare(other.gainRate, q.gainRate), cmp.Compare(q.model.Name, other.model.Name))
}

// queueServer is a server in the queue estimate: when it may start its next load, how long a load takes there, and
// whether the weights come from the weight store.
type queueServer struct {
	freeAt   time.Time
	loadTime func(m *route.Model) (took time.Duration, fetch bool)
}

// storeSlots are the times when each of the concurrent loads from the weight store may start, in order.
type storeSlots []time.Time

// startAt returns when a load starts at a server that is free from the given time.
func (s storeSlots) startAt(free time.Time, fetch bool) time.Time {
	if !fetch || len(s) == 0 {
		return free
	}
	return latest(free, s[0])
}

// occupy gives the slot that is free first to a load from the store until done.
func (s storeSlots) occupy(done time.Time) {
	if len(s) > 0 {
		s[0] = done
		slices.SortFunc(s, time.Time.Compare)
	}
}

// storeSlotsFrom returns the slots of the weight store, given the loads under way.
func (h *Holder) storeSlotsFrom(now time.Time) storeSlots {
	var busy storeSlots
	for _, s := range h.servers {
		if op := s.busy; op != nil && op.load && op.fetch {
			busy = append(busy, latest(now, op.readyAt))
		}
	}
	slices.SortFunc(busy, time.Time.Compare)
	limit := max(h.storeSlots(now), 1)
	if len(busy) > limit {
		return busy[len(busy)-limit:]
	}
	slots := make(storeSlots, limit-len(busy), limit)
	for i := range slots {
		slots[i] = now
	}
	return append(slots, busy...)
}

// queueServers returns the servers of a service that can take loads.
func (h *Holder) queueServers(now time.Time, service string) []queueServer {
	var list []queueServer
	for s := range h.serversOf(service) {
		if s.excluded(now) || s.gone(now) {
			continue
		}
		free := latest(now, s.quietUntil)
		if s.busy != nil {
			free = latest(free, s.busy.readyAt)
		}
		if name := s.reservedFor(now); name != "" {
			if at, known := h.expectedReady[service][name]; known {
				free = latest(free, at)
			}
		}
		list = append(list, queueServer{freeAt: free, loadTime: s.loadTime})
	}
	return list
}

// planReservations estimates when the models that servers are reserved for will be ready. It returns how
// many servers hold, load or are reserved for each model.
func (h *Holder) planReservations(now time.Time, service string, e *route.Engine, slots storeSlots) map[string]int {
	counts := h.replicaCounts(now, service)
	for s := range h.serversOf(service) {
		name := s.reservedFor(now)
		m := e.Models[name]
		if m == nil {
			continue
		}
		counts[name]++
		took, fetch := s.loadTime(m)
		ready := slots.startAt(s.reservedFreeAt(now), fetch).Add(took)
		if fetch {
			slots.occupy(ready)
		}
		if at, known := h.expectedReady[service][name]; !known || ready.Before(at) {
			h.expectedReady[service][name] = ready
		}
	}
	return counts
}

// queue returns the models of a service that wait for a server, in the order in which the decider loads them.
func (h *Holder) queue(e *route.Engine, w *serviceDemand, input *policy.Input, counts map[string]int) []queued {
	var list []queued
	for i := range input.Models {
		candidate := &input.Models[i]
		m := e.Models[string(candidate.Name)]
		if m == nil || counts[m.Name] > 0 || len(w.waiting[m.Name]) == 0 {
			continue
		}
		list = append(list, queued{model: m, gainRate: policy.GainRate(candidate, m.LoadTime)})
	}
	slices.SortFunc(list, queued.before)
	return list
}

// longWaitThreshold is how long a load request waits for an order until that is logged.
const longWaitThreshold = time.Second

// logWaits logs, once per load request, which models have waited long without an order, and how many others
// go before them.
func (h *Holder) logWaits(now time.Time, service string, queue []queued, w *serviceDemand) {
	for i, q := range queue {
		for _, d := range w.waiting[q.model.Name] {
			if d.waitLogged || now.Sub(d.waitingSince) < longWaitThreshold {
				continue
			}
			d.waitLogged = true
			h.Logger.Info("load waits", "model", q.model.Name, "service", service, "request_id", d.requestID,
				"waited_ms", now.Sub(d.waitingSince).Milliseconds(), "before_it", i,
				"expected_ms", h.expectedReady[service][q.model.Name].Sub(now).Milliseconds())
		}
	}
}

// estimateQueue estimates when each queued model will be ready: each goes in order to the server that has it
// ready first, and waits for the weight store if its weights come from there. It changes servers and slots.
func estimateQueue(now time.Time, queue []queued, servers []queueServer, slots storeSlots, ready map[string]time.Time) {
	// Models that the decider did not place at once wait for replicas to become idle.
	for i := range servers {
		servers[i].freeAt = latest(servers[i].freeAt, now.Add(policy.IdleWait))
	}
	for _, q := range queue {
		first, at, fetched := -1, time.Time{}, false
		for i := range servers {
			took, fetch := servers[i].loadTime(q.model)
			if done := slots.startAt(servers[i].freeAt, fetch).Add(unloadTime + took); first < 0 || done.Before(at) {
				first, at, fetched = i, done, fetch
			}
		}
		if first < 0 {
			return
		}
		if fetched {
			slots.occupy(at)
		}
		servers[first].freeAt = at
		ready[q.model.Name] = at
	}
}

// readyIn returns the time until a model is expected to be ready, zero if its service has no engine for it.
func (h *Holder) readyIn(now time.Time, service string, need backend.Need) time.Duration {
	if left, loading := h.remainingLoadTime(now, service, need.Model); loading {
		return left
	}
	if need.Adapter != "" && h.heldBy(now, service, backend.Need{Model: need.Model}) != "" {
		return max(2*adapterTime, h.loadPause(now, service, need.String()))
	}
	pause := h.loadPause(now, service, need.Model)
	if at, known := h.expectedReady[service][need.Model]; known && at.After(now) {
		return max(at.Sub(now), pause)
	}
	return pause + h.readyAlone(now, service, need.Model)
}

// readyAlone returns the time until a model that is not queued yet would be ready if nothing else was queued.
func (h *Holder) readyAlone(now time.Time, service, model string) time.Duration {
	e := h.engine(service)
	if e == nil || e.Models[model] == nil {
		return 0
	}
	ready := make(map[string]time.Time)
	estimateQueue(now, []queued{{model: e.Models[model]}}, h.queueServers(now, service), h.storeSlotsFrom(now), ready)
	if at, found := ready[model]; found {
		return at.Sub(now)
	}
	return 0
}

// remainingLoadTime returns the expected remaining time of the model's load under way, false if there is none.
func (h *Holder) remainingLoadTime(now time.Time, service, model string) (time.Duration, bool) {
	left, loading := time.Duration(0), false
	for _, s := range h.serversWith(service, model) {
		if s.removed || s.busy == nil || !s.busy.load || s.busy.need.Model != model || s.gone(now) {
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

// minStoreOutage is how long the store is expected to fail further, at least.
const minStoreOutage = 500 * time.Millisecond

// expectedOutage returns how long no order's intent can be written: an outage of the store is expected to
// last as long again as it has lasted.
func (h *Holder) expectedOutage(now time.Time) time.Duration {
	if h.failingSince.IsZero() {
		return 0
	}
	return max(now.Sub(h.failingSince), minStoreOutage)
}
