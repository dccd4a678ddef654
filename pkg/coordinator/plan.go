package coordinator

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/tree"
)

// Parameters by which the number of replicas follows demand.
const (
	oneSpareRate    = 0.8 // arrivals per second from which a model has one spare replica
	twoSparesRate   = 2.5 // arrivals per second from which a model has two spare replicas
	maxPerReplica   = 24  // concurrent requests per replica at most
	replicaShare    = 0.5 // part of a server's slots for one model, as models share a server
	maxPrewarmLoads = 2   // concurrent loads that no request waits for, at most
)

// serviceDemand is the demand for the models of one service, gathered once per plan.
type serviceDemand struct {
	waiting  map[string][]*demand // demands with waiting requests for the model or its adapters, by model
	adapters map[string]int       // number of recently requested adapters, by model
	inFlight map[string]int       // running requests, by model
	running  map[replica]int      // requests, as last reported by the nodes
}

// replica names a model on a server.
type replica struct {
	server, model string
}

// gatherDemand collects the demand for a service.
func (h *Holder) gatherDemand(now time.Time, service string) serviceDemand {
	w := serviceDemand{waiting: make(map[string][]*demand), adapters: make(map[string]int), inFlight: make(map[string]int),
		running: make(map[replica]int)}
	for key, d := range h.demands {
		if key.service != service {
			continue
		}
		need := backend.ParseNeed(key.need)
		if d.waits(now) {
			w.waiting[need.Model] = append(w.waiting[need.Model], d)
		}
		if need.Adapter != "" && now.Sub(d.lastArrival) < adapterUseTime {
			w.adapters[need.Model]++
		}
	}
	for _, n := range h.nodes {
		for key, u := range n.uses {
			if key.service == service {
				for _, at := range u.Running {
					w.inFlight[u.Model] += at.InFlight
					w.running[replica{at.Server, u.Model}] += at.InFlight
				}
			}
		}
	}
	return w
}

// replicaCounts counts the servers of a service that hold or load each model.
func (h *Holder) replicaCounts(now time.Time, service string) map[string]int {
	count := make(map[string]int)
	for _, s := range h.indexOf(service).servers {
		if s.gone(now) {
			continue
		}
		for model := range s.holds {
			count[model]++
		}
		if s.busy != nil && s.busy.load {
			count[s.busy.need.Model]++
		}
	}
	return count
}

// knowsAllServers tells whether this node knows all servers. A node that just took the lease may know only
// some of them, and would load models again that other servers hold.
func (h *Holder) knowsAllServers() bool { return h.Complete == nil || h.Complete() }

// plan decides what to load where and gives the orders, for all services with engines.
func (h *Holder) plan(now time.Time) {
	defer func() {
		h.lastPlanned = h.Time.Now()
		h.planTook = h.lastPlanned.Sub(now)
		h.signalPlanned()
	}()
	h.pollServers(now)
	table := h.Routes()
	h.learnSizes(now, table)
	h.recordSizes(now)
	if table == nil || !h.Servers.Known() || !h.knowsAllServers() {
		return
	}
	if now.Before(h.resumeAt) {
		return
	}
	if h.awaitingHandover || h.awaitsRoutes() {
		return
	}
	clear(h.indices)
	h.raiseFences(now)
	h.resendUnresolved(now)
	for name, s := range table.Services() {
		if s.Engine != nil {
			h.planAdapters(now, name, s.Engine)
			h.planModels(now, name, s.Engine)
		}
	}
}

// awaitsRoutes reports whether orders wait until the configuration is confirmed to be in force: another one may list models with sizes under
// which servers load them now. A holder that can't write to the store either goes on by the configuration that it has.
func (h *Holder) awaitsRoutes() bool {
	overdue := h.RoutesOverdue != nil && h.RoutesOverdue() && !h.Lease.WritesFail()
	if overdue != h.routesOverdue {
		h.routesOverdue = overdue
		h.Logger.Info("orders wait for the configuration", "waiting", overdue, "version", h.Routes().Version(), "term", h.term)
	}
	return overdue
}

// resendUnresolved repeats orders whose outcome is unknown, with the same expected sequence: only one of
// the two can take effect.
func (h *Holder) resendUnresolved(now time.Time) {
	for _, s := range h.servers {
		if s.unresolved == nil || !s.resend || s.awaitingAnswer || !s.usable(now) {
			continue
		}
		o := *s.unresolved
		if o.after > s.sequence+1 {
			// The server accepted fewer orders than assumed: this order takes effect if it arrives when the
			// sequence has got there.
			s.quietUntil, s.recheck = latest(s.quietUntil, now.Add(maxOrderDelay)), true
		}
		if o.after != s.sequence+1 {
			s.unresolved = nil
			continue
		}
		expected := time.Duration(0)
		fetch := false
		if s.busy != nil {
			expected, fetch = s.busy.readyAt.Sub(s.busy.since), s.busy.fetch
		}
		s.resend = false
		h.sendOrder(s, o, fetch, expected, "no answer before")
	}
}

// planModels gives the decider's orders for the models of a service and estimates when queued models will
// be ready.
func (h *Holder) planModels(now time.Time, service string, e *route.Engine) {
	w := h.gatherDemand(now, service)
	h.dropPaused(now, service, &w)
	h.store.nominal = longestLoad(e)
	h.planRetired(now, service, &w)
	input := h.deciderInput(now, service, e, &w)
	loading := 0
	for _, s := range h.servers {
		if s.busy != nil && s.busy.load {
			loading++
		}
	}
	for _, action := range h.Decider.Decide(now, input) {
		s := h.servers[string(action.Server)]
		m, load := e.Models[string(action.Model)], action.Kind == policy.ActionLoad
		if s == nil || load && m == nil || s.busy != nil || s.awaitingAnswer || s.unresolved != nil || !s.usable(now) {
			continue
		}
		if !h.prepare(now, s) {
			continue
		}
		o := order{load: load, need: backend.Need{Model: string(action.Model)}}
		if !o.load {
			if !h.learning(now) {
				s.reserved = reservation{string(action.For), now.Add(reservationTime)}
				h.sendOrder(s, o, false, unloadTime, action.Reason)
				h.sendNotice(Notice{Server: s.id, Need: o.need.Model, Holds: false})
			}
			continue
		}
		if !action.Urgent && loading >= maxPrewarmLoads || h.loadPause(now, service, m.Name) > 0 {
			continue
		}
		expected, fetch := s.loadTime(m)
		if fetch && !h.mayFetch(now, e) || s.freeBytes(now, e, adapterMemory(e)) < m.Bytes {
			continue
		}
		loading++
		s.reserved = reservation{}
		h.sendOrder(s, o, fetch, expected, action.Reason)
	}
	h.expectedReady[service] = make(map[string]time.Time)
	slots := h.storeSlotsFrom(now)
	queue := h.queue(e, &w, &input, h.planReservations(now, service, e, slots))
	if len(queue) > 0 {
		h.scarceUntil = now.Add(scarcePeriod)
	}
	if len(queue) > 0 {
		estimateQueue(now, queue, h.queueServers(now, service), slots, h.expectedReady[service])
	}
	h.logWaits(now, service, queue, &w)
}

// longestLoad returns the longest load time from the weight store, without contention.
func longestLoad(e *route.Engine) time.Duration {
	longest := time.Duration(0)
	for _, m := range e.Models {
		longest = max(longest, m.LoadTime)
	}
	return longest
}

// mayFetch tells whether another load from the weight store may start. A new holder waits until the nodes
// have reported their demand: otherwise the first loads of a term, which take longest, go to whichever
// models are requested first.
func (h *Holder) mayFetch(now time.Time, e *route.Engine) bool {
	if h.learning(now) {
		return false
	}
	window := h.Ceiling.Window + ceilingMargin
	h.fetchStarts = slices.DeleteFunc(h.fetchStarts, func(at time.Time) bool { return now.Sub(at) > window })
	return float64(len(h.fetchStarts)+1) <= e.LoadsPerSecond*h.Ceiling.Window.Seconds()+ceilingSpare
}

// The holder counts loads over a window that is longer by ceilingMargin than the platform's, and uses
// ceilingSpare of the loads that the platform allows beyond its limit.
const (
	ceilingMargin = 400 * time.Millisecond
	ceilingSpare  = 1
)

// adapterMemory returns the memory that the adapters of a server may use.
func adapterMemory(e *route.Engine) uint64 {
	largest := uint64(0)
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterBytes)
		}
	}
	return largest * uint64(e.AdapterPlaces)
}

// deciderInput describes the service for the decider.
func (h *Holder) deciderInput(now time.Time, service string, e *route.Engine, w *serviceDemand) policy.Input {
	input := policy.Input{LoadSlots: h.storeSlots(now), LoadRate: e.LoadsPerSecond * h.Ceiling.Window.Seconds()}
	servers := h.indexOf(service).servers
	input.Servers = make([]policy.Server, 0, len(servers))
	adapterReserve := adapterMemory(e)
	for _, s := range servers {
		input.Servers = append(input.Servers, policy.Server{
			ID: api.ServerID(s.id), Zone: s.member.Zone, CapacityBytes: e.WeightBytes, FreeBytes: s.freeBytes(now, e, adapterReserve),
			Leaving:   s.excluded(now),
			Reachable: s.usable(now) && s.unresolved == nil && (s.busy == nil || !s.busy.load) && !s.doubtful(now),
			Cached:    s.cached,
			BusyFor:   s.remainingLoad(now),
			Reserved:  api.ModelName(s.reservedFor(now)),
		})
	}
	present := h.replicaCounts(now, service)
	for name, m := range e.Models {
		if present[name] > 0 || len(w.waiting[name]) > 0 {
			input.Models = append(input.Models, h.modelInput(now, service, m, e, w, len(input.Servers)))
		}
	}
	input.Models = append(input.Models, h.unlistedModels(now, service, e, w, present)...)
	slices.SortFunc(input.Models, func(a, b policy.Model) int { return cmp.Compare(a.Name, b.Name) })
	return input
}

// remainingLoad returns the expected remaining time of the load under way, zero if there is none or if it
// is overdue.
func (s *serverState) remainingLoad(now time.Time) time.Duration {
	if s.busy == nil || !s.busy.load || s.sequenceUnknown || s.unresolved != nil {
		return 0
	}
	return max(s.busy.readyAt.Sub(now), 0)
}

// topPriority is the decider's priority of the most urgent requests, whose priority in requests is 0.
const topPriority = 9

// modelInput describes a model for the decider.
func (h *Holder) modelInput(now time.Time, service string, m *route.Model, e *route.Engine, w *serviceDemand, servers int) policy.Model {
	name := m.Name
	d := h.demands[demandKey{service, name}]
	model := policy.Model{
		Name: api.ModelName(name),
		Settings: tree.Settings{
			MemoryBytes: m.Bytes, LoadTime: m.LoadTime, MaxReplicas: servers, MaxConcurrency: replicaConcurrency(e),
			KeepAlive: time.Hour, ColdStartWeight: 1,
		},
		History:  &policy.History{},
		DiskTime: m.DiskTime, MemoryTime: m.MemoryTime,
	}
	model.Demand.InFlight = w.inFlight[name]
	if d != nil {
		model.Demand.LastArrival = d.lastArrival
		model.Demand.Rate, model.Demand.WeightedRate = d.rate.count.at(now), d.rate.weight.at(now)
		model.Spares = spareReplicas(model.Demand.Rate, servers)
	}
	if e.AdapterPlaces > 0 {
		adapterReplicas := (w.adapters[name] + e.AdapterPlaces - 1) / e.AdapterPlaces
		model.Spares = max(model.Spares, min(adapterReplicas, servers))
	}
	addWaiting(w.waiting[name], &model)
	var versions []string
	model.Replicas, versions = h.replicasOf(now, service, name, model.Demand.LastArrival, w)
	markSole(model.Replicas, versions)
	if h.modelOverloaded(service, name) {
		widen(&model)
	}
	if len(model.Replicas) < model.Spares && model.Demand.Waiting == 0 {
		// A busy model that lacks spare replicas goes before rare models that requests wait for.
		model.Demand.Waiting = 1
		model.Demand.HighestPriority = topPriority
	}
	return model
}

// replicasOf returns the replicas of a model for the decider, with the software versions of their servers.
func (h *Holder) replicasOf(now time.Time, service, name string, lastUse time.Time, w *serviceDemand) ([]policy.Replica, []string) {
	holders := h.serversWith(service, name)
	replicas := make([]policy.Replica, 0, len(holders))
	versions := make([]string, 0, len(holders))
	for _, s := range holders {
		if r, present := s.replica(now, name); present {
			r.LastUse = lastUse
			r.InFlight = w.running[replica{s.id, name}]
			replicas = append(replicas, r)
			versions = append(versions, s.software())
		}
	}
	return replicas, versions
}

// replicaConcurrency returns how many requests one replica may run before its model gets another replica.
func replicaConcurrency(e *route.Engine) int {
	if e.Slots <= 0 {
		return maxPerReplica
	}
	return min(maxPerReplica, max(int(replicaShare*float64(e.Slots)), 1))
}

// spareReplicas returns the minimum number of replicas for an arrival rate, so that some remain when a
// server is lost.
func spareReplicas(rate float64, servers int) int {
	switch {
	case rate >= twoSparesRate:
		return min(3, servers)
	case rate >= oneSpareRate:
		return min(2, servers)
	default:
		return 0
	}
}

// scarcePeriod is how long nodes report idle replicas at once after a model waited for a server.
const scarcePeriod = 5 * time.Second

// adapterUseTime is how long an adapter counts as in use after a request.
const adapterUseTime = 6 * time.Second

// addWaiting adds the requests that wait for the model or one of its adapters.
func addWaiting(waiting []*demand, model *policy.Model) {
	for _, d := range waiting {
		model.Demand.Waiting++
		model.Demand.WaitingWeight += policy.UrgencyWeight(d.priority)
		model.Demand.HighestPriority = max(model.Demand.HighestPriority, topPriority-d.priority)
		if model.Demand.WaitingSince.IsZero() || d.waitingSince.Before(model.Demand.WaitingSince) {
			model.Demand.WaitingSince = d.waitingSince
		}
		if model.Demand.EarliestDeadline.IsZero() || d.deadline.Before(model.Demand.EarliestDeadline) {
			model.Demand.EarliestDeadline = d.deadline
		}
	}
}

// replica returns a model's replica on the server, false if there is none.
func (s *serverState) replica(now time.Time, name string) (policy.Replica, bool) {
	r := policy.Replica{Server: api.ServerID(s.id), Since: now}
	if s.gone(now) {
		return r, false
	}
	if known := s.holds[name]; known != nil {
		r.State, r.Since = api.ReplicaReady, known.since
		if s.excluded(now) {
			return r, false
		}
	}
	if s.busy != nil && s.busy.need.Model == name {
		r.State = api.ReplicaUnloading
		if s.busy.load {
			r.State, r.ReadyBy = api.ReplicaLoading, s.busy.readyAt
		}
		r.Since = s.busy.since
	}
	return r, r.State != 0
}
