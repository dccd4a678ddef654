package coordinator

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/route"
)

// queued is a model that requests wait for and that no server holds, loads or is
// kept for.
type queued struct {
	model *route.Model
	gain  float64 // for each second of its load
}

// before orders models as the decider does.
func (q queued) before(other queued) int {
	return cmp.Or(cmp.Compare(other.gain, q.gain), cmp.Compare(q.model.Name, other.model.Name))
}

// lane is a server as the queue sees it: from when it may take the next load, and how
// long a load takes there and whether it comes from the weight store.
type lane struct {
	free time.Time
	load func(m *route.Model) (took time.Duration, fetch bool)
}

// storeSlots are when each of the loads that the weight store serves at once may begin,
// the first one first.
type storeSlots []time.Time

// begin returns when a load begins that its server may take from a time on.
func (s storeSlots) begin(free time.Time, fetch bool) time.Time {
	if !fetch || len(s) == 0 {
		return free
	}
	return latest(free, s[0])
}

// fill notes a load from the store until it is done.
func (s storeSlots) fill(done time.Time) {
	if len(s) > 0 {
		s[0] = done
		slices.SortFunc(s, time.Time.Compare)
	}
}

// storeSlotsFrom returns the slots of the weight store as the loads under way leave them.
func (h *Holder) storeSlotsFrom(now time.Time) storeSlots {
	var busy storeSlots
	for _, s := range h.servers {
		if op := s.busy; op != nil && op.load && op.fetch {
			busy = append(busy, latest(now, op.readyAt))
		}
	}
	slices.SortFunc(busy, time.Time.Compare)
	most := max(h.storeSlots(now), 1)
	if len(busy) > most {
		return busy[len(busy)-most:]
	}
	slots := make(storeSlots, most-len(busy), most)
	for i := range slots {
		slots[i] = now
	}
	return append(slots, busy...)
}

// lanes returns the servers of a service that may take loads.
func (h *Holder) lanes(now time.Time, service string) []lane {
	var list []lane
	for s := range h.serversOf(service) {
		if s.spared(now) || s.gone(now) {
			continue
		}
		free := latest(now, s.quietUntil)
		if s.busy != nil {
			free = latest(free, s.busy.readyAt)
		}
		if name := s.reservedFor(now); name != "" {
			if at, kept := h.expected[service][name]; kept {
				free = latest(free, at)
			}
		}
		list = append(list, lane{free: free, load: s.loadTime})
	}
	return list
}

// promised works out when the models will be ready that servers are kept for, and
// returns how many servers hold, load or are kept for each model.
func (h *Holder) promised(now time.Time, service string, e *route.Engine, slots storeSlots) map[string]int {
	present := h.presence(now, service)
	for s := range h.serversOf(service) {
		name := s.reservedFor(now)
		m := e.Models[name]
		if m == nil {
			continue
		}
		present[name]++
		took, fetch := s.loadTime(m)
		ready := slots.begin(s.reservedFree(now), fetch).Add(took)
		if fetch {
			slots.fill(ready)
		}
		if at, known := h.expected[service][name]; !known || ready.Before(at) {
			h.expected[service][name] = ready
		}
	}
	return present
}

// queue returns the models of a service that wait for a server, in the order in which
// the decider has them loaded.
func (h *Holder) queue(e *route.Engine, w *wanted, input *policy.Input, present map[string]int) []queued {
	var list []queued
	for i := range input.Models {
		wish := &input.Models[i]
		m := e.Models[string(wish.Name)]
		if m == nil || present[m.Name] > 0 || len(w.wishes[m.Name]) == 0 {
			continue
		}
		list = append(list, queued{model: m, gain: policy.GainRate(wish, m.LoadTime)})
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

// expect works out when each queued model will be ready: each goes, in its turn, to
// the server that has it ready first, and waits for the weight store if it has to come
// from there. It changes the lanes and the slots.
func expect(now time.Time, queue []queued, lanes []lane, slots storeSlots, ready map[string]time.Time) {
	// What the decider did not place at once waits for replicas to go idle.
	for i := range lanes {
		lanes[i].free = latest(lanes[i].free, now.Add(policy.IdleWait))
	}
	for _, q := range queue {
		first, at, fetched := -1, time.Time{}, false
		for i := range lanes {
			took, fetch := lanes[i].load(q.model)
			if done := slots.begin(lanes[i].free, fetch).Add(unloadTime + took); first < 0 || done.Before(at) {
				first, at, fetched = i, done, fetch
			}
		}
		if first < 0 {
			return
		}
		if fetched {
			slots.fill(at)
		}
		lanes[first].free = at
		ready[q.model.Name] = at
	}
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
	pause := h.loadsPause(now, service, need.Model)
	if at, known := h.expected[service][need.Model]; known && at.After(now) {
		return max(at.Sub(now), pause)
	}
	return pause + h.readyAlone(now, service, need.Model)
}

// readyAlone returns when a model that is not queued yet would be ready if it
// were the only one.
func (h *Holder) readyAlone(now time.Time, service, model string) time.Duration {
	e := h.engine(service)
	if e == nil || e.Models[model] == nil {
		return 0
	}
	ready := make(map[string]time.Time)
	expect(now, []queued{{model: e.Models[model]}}, h.lanes(now, service), h.storeSlotsFrom(now), ready)
	if at, found := ready[model]; found {
		return at.Sub(now)
	}
	return 0
}

// loadingLeft returns how long the load of a model still takes that is under way.
func (h *Holder) loadingLeft(now time.Time, service, model string) (time.Duration, bool) {
	left, loading := time.Duration(0), false
	for _, s := range h.holdersOf(service, model) {
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

// leastFailing is how long the store is expected to fail on at least.
const leastFailing = 500 * time.Millisecond

// failsFor returns how long no order can be written yet: a failure of the store is
// taken to last as long again as it has lasted.
func (h *Holder) failsFor(now time.Time) time.Duration {
	if h.failing.IsZero() {
		return 0
	}
	return max(now.Sub(h.failing), leastFailing)
}
