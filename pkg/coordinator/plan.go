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

// How replicas follow the demand.
const (
	busyRate       = 0.8 // arrivals a second from which a model has a spare replica
	veryBusyRate   = 2.5 // from which it has two
	perReplica     = 24  // requests that one replica is to run at most
	replicaShare   = 0.5 // of a server's slots that a model is to take: models share them
	prewarmedLoads = 2   // loads under way that no request waits for
)

// wanted is what is asked of the models of one service, gathered once a plan.
type wanted struct {
	wishes   map[string][]*demand // of models and their adapters, by model
	adapters map[string]int       // that were asked for lately, by model
	inFlight map[string]int       // by model
	running  map[replica]int      // requests, as the nodes told last
}

// replica names a model on a server.
type replica struct {
	server, model string
}

// gather reads all demands of a service.
func (h *Holder) gather(now time.Time, service string) wanted {
	w := wanted{wishes: make(map[string][]*demand), adapters: make(map[string]int), inFlight: make(map[string]int),
		running: make(map[replica]int)}
	for key, d := range h.demands {
		if key.service != service {
			continue
		}
		need := backend.ParseNeed(key.need)
		if d.waits(now) {
			w.wishes[need.Model] = append(w.wishes[need.Model], d)
		}
		if need.Adapter != "" && now.Sub(d.last) < adapterUseTime {
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

// presence counts the servers of a service that hold or load each model.
func (h *Holder) presence(now time.Time, service string) map[string]int {
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

// complete tells whether this node knows of all servers. A node that takes the lease may hold some of
// them only; a model that another one holds would be loaded once more.
func (h *Holder) complete() bool { return h.Complete == nil || h.Complete() }

// plan decides and orders for all services with engines.
func (h *Holder) plan(now time.Time) {
	defer func() {
		h.planned = h.Time.Now()
		h.planTook = h.planned.Sub(now)
		h.tellPlanned()
	}()
	h.look(now)
	table := h.Routes()
	if table == nil || !h.Servers.Known() || !h.complete() {
		return
	}
	if now.Before(h.resumeAt) {
		return
	}
	if h.taking {
		return
	}
	clear(h.indices)
	h.raiseFences(now)
	h.repeatDoubts(now)
	for name, s := range table.Services() {
		if s.Engine != nil {
			h.planAdapters(now, name, s.Engine)
			h.planModels(now, name, s.Engine)
		}
	}
}

// repeatDoubts gives orders without an answer again, under the same condition:
// only one of the two can take effect.
func (h *Holder) repeatDoubts(now time.Time) {
	for _, s := range h.servers {
		if s.doubt == nil || !s.repeat || s.asking || !s.usable(now) {
			continue
		}
		o := *s.doubt
		if o.after > s.sequence+1 {
			// The server took fewer orders than believed: this one takes effect if it comes
			// once the count gets there.
			s.quietUntil, s.recheck = latest(s.quietUntil, now.Add(latestOrder)), true
		}
		if o.after != s.sequence+1 {
			s.doubt = nil
			continue
		}
		expected := time.Duration(0)
		fetch := false
		if s.busy != nil {
			expected, fetch = s.busy.readyAt.Sub(s.busy.since), s.busy.fetch
		}
		s.repeat = false
		h.give(s, o, fetch, expected, "no answer before")
	}
}

// planModels asks the decider and gives its orders.
func (h *Holder) planModels(now time.Time, service string, e *route.Engine) {
	w := h.gather(now, service)
	h.dropPaused(now, service, &w)
	h.store.told = longestLoad(e)
	input := h.input(now, service, e, &w)
	loading := 0
	for _, s := range h.servers {
		if s.busy != nil && s.busy.load {
			loading++
		}
	}
	for _, action := range h.Decider.Decide(now, input) {
		s := h.servers[string(action.Server)]
		m := e.Models[string(action.Model)]
		if s == nil || m == nil || s.busy != nil || s.asking || s.doubt != nil || !s.usable(now) {
			continue
		}
		if !h.prepare(now, s) {
			continue
		}
		o := order{load: action.Kind == policy.ActionLoad, need: backend.Need{Model: m.Name}}
		if !o.load {
			if !h.learning(now) {
				s.reserved = reservation{string(action.For), now.Add(reservationTime)}
				h.give(s, o, false, unloadTime, action.Reason)
				h.tell(Notice{Server: s.id, Need: m.Name, Holds: false})
			}
			continue
		}
		if !action.Urgent && loading >= prewarmedLoads || h.loadsPause(now, service, m.Name) > 0 {
			continue
		}
		expected, fetch := s.loadTime(m)
		if fetch && !h.mayFetch(now, e) || s.freeBytes(e, adapterRoom(e)) < m.Bytes {
			continue
		}
		loading++
		s.reserved = reservation{}
		h.give(s, o, fetch, expected, action.Reason)
	}
	h.expected[service] = make(map[string]time.Time)
	slots := h.storeSlotsFrom(now)
	queue := h.queue(e, &w, &input, h.promised(now, service, e, slots))
	if len(queue) > 0 {
		h.scarceUntil = now.Add(scarceTime)
	}
	if len(queue) > 0 {
		expect(now, queue, h.lanes(now, service), slots, h.expected[service])
	}
	h.tellWaits(now, service, queue, &w)
}

// longestLoad returns how long the longest load from the weight store takes by itself.
func longestLoad(e *route.Engine) time.Duration {
	longest := time.Duration(0)
	for _, m := range e.Models {
		longest = max(longest, m.LoadTime)
	}
	return longest
}

// mayFetch tells whether one more load may start from the weight store. A new holder waits
// until the nodes told what they ask for: without it, the first loads of a term, which take
// the longest, went to whichever models were wished for first.
func (h *Holder) mayFetch(now time.Time, e *route.Engine) bool {
	if h.learning(now) {
		return false
	}
	window := h.Ceiling.Window + ceilingMargin
	h.fetches = slices.DeleteFunc(h.fetches, func(at time.Time) bool { return now.Sub(at) > window })
	return float64(len(h.fetches)+1) <= e.LoadsPerSecond*h.Ceiling.Window.Seconds()+ceilingSpare
}

// The ceiling counts a little longer, and takes part of the platform's spare.
const (
	ceilingMargin = 400 * time.Millisecond
	ceilingSpare  = 1
)

// freeBytes returns the memory of a server that no model, order or, of the room kept for them,
// adapter may take.
func (s *serverState) freeBytes(e *route.Engine, adapters uint64) uint64 {
	used := adapters
	for name := range s.holds {
		if m := e.Models[name]; m != nil {
			used += m.Bytes
		}
	}
	if s.busy != nil && s.busy.load && s.holds[s.busy.need.Model] == nil {
		if m := e.Models[s.busy.need.Model]; m != nil {
			used += m.Bytes
		}
	}
	if used >= e.WeightBytes {
		return 0
	}
	return e.WeightBytes - used
}

// adapterRoom is the memory that the adapters of a server may take.
func adapterRoom(e *route.Engine) uint64 {
	largest := uint64(0)
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterBytes)
		}
	}
	return largest * uint64(e.AdapterPlaces)
}

// input describes the service for the decider.
func (h *Holder) input(now time.Time, service string, e *route.Engine, w *wanted) policy.Input {
	input := policy.Input{LoadSlots: h.storeSlots(now), LoadRate: e.LoadsPerSecond * h.Ceiling.Window.Seconds()}
	servers := h.indexOf(service).servers
	input.Servers = make([]policy.Server, 0, len(servers))
	room := adapterRoom(e)
	for _, s := range servers {
		input.Servers = append(input.Servers, policy.Server{
			ID: api.ServerID(s.id), Zone: s.member.Zone, CapacityBytes: e.WeightBytes, FreeBytes: s.freeBytes(e, room),
			Leaving:   s.spared(now),
			Reachable: s.usable(now) && s.doubt == nil && (s.busy == nil || !s.busy.load),
			Cached:    s.cached,
			BusyFor:   s.loadsFor(now),
			Reserved:  api.ModelName(s.reservedFor(now)),
		})
	}
	present := h.presence(now, service)
	for name, m := range e.Models {
		if present[name] > 0 || len(w.wishes[name]) > 0 {
			input.Models = append(input.Models, h.modelInput(now, service, m, e, w, len(input.Servers)))
		}
	}
	slices.SortFunc(input.Models, func(a, b policy.Model) int { return cmp.Compare(a.Name, b.Name) })
	return input
}

// loadsFor returns how long the load under way is still expected to take, zero if
// there is none or if it is overdue.
func (s *serverState) loadsFor(now time.Time) time.Duration {
	if s.busy == nil || !s.busy.load || s.unsure || s.doubt != nil {
		return 0
	}
	return max(s.busy.readyAt.Sub(now), 0)
}

// mostUrgent is the priority of the product for the most urgent requests.
const mostUrgent = 9

// modelInput describes a model for the decider.
func (h *Holder) modelInput(now time.Time, service string, m *route.Model, e *route.Engine, w *wanted, servers int) policy.Model {
	name := m.Name
	d := h.demands[demandKey{service, name}]
	model := policy.Model{
		Name: api.ModelName(name),
		Settings: tree.Settings{
			MemoryBytes: m.Bytes, LoadTime: m.LoadTime, MaxReplicas: servers, MaxConcurrency: concurrency(e),
			KeepAlive: time.Hour, ColdStartWeight: 1,
		},
		History:  &policy.History{},
		DiskTime: m.DiskTime, MemoryTime: m.MemoryTime,
	}
	model.Demand.InFlight = w.inFlight[name]
	if d != nil {
		model.Demand.LastArrival = d.last
		model.Demand.Rate, model.Demand.WeightedRate = d.rate.count.at(now), d.rate.weight.at(now)
		model.Spares = spareReplicas(model.Demand.Rate, servers)
	}
	if e.AdapterPlaces > 0 {
		wanted := (w.adapters[name] + e.AdapterPlaces - 1) / e.AdapterPlaces
		model.Spares = max(model.Spares, min(wanted, servers))
	}
	addWishes(w.wishes[name], &model)
	holders := h.holdersOf(service, name)
	model.Replicas = make([]policy.Replica, 0, len(holders))
	for _, s := range holders {
		if r, present := s.replica(now, name); present {
			r.LastUse = model.Demand.LastArrival
			r.InFlight = w.running[replica{s.id, name}]
			model.Replicas = append(model.Replicas, r)
		}
	}
	if h.crowded(service, name) {
		widen(&model)
	}
	if len(model.Replicas) < model.Spares && model.Demand.Waiting == 0 {
		// A busy model without its spare replicas goes before rare ones that wait.
		model.Demand.Waiting = 1
		model.Demand.HighestPriority = mostUrgent
	}
	return model
}

// concurrency returns how many requests one replica is to run. Beyond it a model
// gets another one.
func concurrency(e *route.Engine) int {
	if e.Slots <= 0 {
		return perReplica
	}
	return min(perReplica, max(int(replicaShare*float64(e.Slots)), 1))
}

// spareReplicas returns how many replicas a model with so many arrivals a second
// has at least, so that the loss of a server leaves some.
func spareReplicas(rate float64, servers int) int {
	switch {
	case rate >= veryBusyRate:
		return min(3, servers)
	case rate >= busyRate:
		return min(2, servers)
	default:
		return 0
	}
}

// scarceTime is how long after a model waited for a server the nodes tell at once what
// goes idle.
const scarceTime = 5 * time.Second

// adapterUseTime is how long an adapter counts as in use after a request.
const adapterUseTime = 6 * time.Second

// addWishes takes in the requests that wait for the model or an adapter of it.
func addWishes(wishes []*demand, model *policy.Model) {
	for _, d := range wishes {
		model.Demand.Waiting++
		model.Demand.WaitingWeight += policy.UrgencyWeight(d.priority)
		model.Demand.HighestPriority = max(model.Demand.HighestPriority, mostUrgent-d.priority)
		if model.Demand.WaitingSince.IsZero() || d.since.Before(model.Demand.WaitingSince) {
			model.Demand.WaitingSince = d.since
		}
		if model.Demand.EarliestDeadline.IsZero() || d.deadline.Before(model.Demand.EarliestDeadline) {
			model.Demand.EarliestDeadline = d.deadline
		}
	}
}

// replica returns a model's replica on the server.
func (s *serverState) replica(now time.Time, name string) (policy.Replica, bool) {
	r := policy.Replica{Server: api.ServerID(s.id), Since: now}
	if s.gone(now) {
		return r, false
	}
	if known := s.holds[name]; known != nil {
		r.State, r.Since = api.ReplicaReady, known.since
		if s.spared(now) {
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
