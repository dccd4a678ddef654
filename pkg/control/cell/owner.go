package cell

import (
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/control/weights"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

// Owner decides what the servers of one cell load during one term. Use New to
// create one.
type Owner struct {
	config Config
	start  Start
	began  time.Time // when the term began

	models        map[api.ModelName]tree.Model
	modelOrder    []api.ModelName // sorted
	servers       map[api.ServerID]*server
	serverOrder   []*server // sorted by ID; nil when servers were added or removed
	replicas      replicaSet
	transitioning replicaSet // replicas with a due or pending order
	onServer      replicaIndex[api.ServerID]
	ofModel       replicaIndex[api.ModelName]
	reserved      map[api.ServerID]uint64   // bytes reserved on each server
	counts        map[api.ModelName]int     // counted replicas of each model
	demand        map[api.ModelName]*demand // reported demand by model
	failures      map[api.ModelName]*failure
	loadTimes     map[api.ModelName]time.Duration // measured load times

	revision uint64 // tree revision of the settings
	// listVersion is the version of the last machine list.
	listVersion uint64
	allocation  weights.Allocation
	// loadTokens is the number of loads that the weight store's rate allows to
	// start now, as of tokensAt.
	loadTokens        float64
	tokensInitialized bool // loadTokens was initialised
	tokensAt          time.Time
	queue             []queuedLoad // requested loads that cannot start yet

	version     uint64 // version of the view
	viewChanged bool   // the view changed since TakeView
	dataChanged bool   // the data changed since TakeData
	// decideAt is when the next decision is due, decidedAt when the last one was
	// made.
	decideAt  time.Time
	decidedAt time.Time
	deposedBy uint64 // a higher term seen by an engine, else zero
	// exhausted means that the fences of the term are used up.
	exhausted   bool
	intentCount uint32 // number of load intents so far, used in order IDs
}

// New returns the owner of a cell for the term in start.
func New(now time.Time, config Config, start Start) *Owner {
	o := &Owner{
		config:        config,
		start:         start,
		began:         now,
		models:        make(map[api.ModelName]tree.Model),
		servers:       make(map[api.ServerID]*server),
		replicas:      make(replicaSet),
		transitioning: make(replicaSet),
		onServer:      make(replicaIndex[api.ServerID]),
		ofModel:       make(replicaIndex[api.ModelName]),
		reserved:      make(map[api.ServerID]uint64),
		counts:        make(map[api.ModelName]int),
		demand:        make(map[api.ModelName]*demand),
		failures:      make(map[api.ModelName]*failure),
		loadTimes:     make(map[api.ModelName]time.Duration),
		tokensAt:      now,
		decideAt:      now,
	}
	o.inheritServers(now)
	o.inheritReplicas(now)
	o.dataChanged = false
	o.viewChanged = true
	return o
}

// inheritServers takes over the servers of the committed data. Those that the previous owner could not reach stay
// unreachable until they answer, so that routers do not choose them meanwhile.
func (o *Owner) inheritServers(now time.Time) {
	unreachable := make(map[api.ServerID]bool)
	for _, s := range o.start.Previous.Servers {
		unreachable[s.ID] = !s.Reachable
	}
	for _, known := range o.start.Data.Servers {
		o.servers[known.ID] = &server{
			Server:    known,
			admitted:  true,
			committed: true,
			knownAt:   now,
			reachable: !unreachable[known.ID], // until shown otherwise
			pollAt:    now,
		}
	}
}

// inheritReplicas takes over the replicas of the committed data. Those that were
// ready in the last view keep serving until an inventory shows their state.
func (o *Owner) inheritReplicas(now time.Time) {
	wasReady := make(map[replicaKey]bool)
	for _, r := range o.start.Previous.Replicas {
		if r.State == api.ReplicaReady {
			wasReady[replicaKey{server: r.Server, model: r.Model}] = true
		}
	}
	for _, intent := range o.start.Data.Intents {
		r := &replica{intent: intent, committed: true, phase: phaseInherited, since: now, lastUse: now, useUnknown: true}
		r.wasReady = wasReady[r.key()]
		o.addReplica(r)
	}
}

// Term returns the term of the owner's orders.
func (o *Owner) Term() uint64 {
	return o.start.Term
}

// DeposedBy returns a higher term that an engine has seen, or zero. A deposed
// owner does nothing more.
func (o *Owner) DeposedBy() uint64 {
	return o.deposedBy
}

// Exhausted reports that the fences of the term are used up, so that a new term
// is needed.
func (o *Owner) Exhausted() bool {
	return o.exhausted
}

// Configure sets the settings of the cell's models, which come from the given
// tree revision.
func (o *Owner) Configure(revision tree.Revision, models []tree.Model) {
	if uint64(revision) > o.revision {
		o.revision = uint64(revision)
		o.dataChanged = true
	}
	o.models = make(map[api.ModelName]tree.Model, len(models))
	o.modelOrder = o.modelOrder[:0]
	for _, model := range models {
		o.models[model.Name] = model
		o.modelOrder = append(o.modelOrder, model.Name)
	}
	sort.Slice(o.modelOrder, func(i, j int) bool { return o.modelOrder[i] < o.modelOrder[j] })
	o.decideAt = time.Time{}
}

// outdated reports whether the previous owner used newer settings than this one
// has. Until it has them, this owner loads nothing.
func (o *Owner) outdated() bool {
	return o.revision < o.start.Data.Revision && !o.config.Unsafe.NoRevision
}

// Committed notes that a majority has committed data.
func (o *Owner) Committed(now time.Time, data quorum.Data) {
	orders := make(map[string]bool, len(data.Intents))
	for _, intent := range data.Intents {
		orders[intent.OrderID] = true
	}
	for _, r := range o.replicas {
		r.committed = r.committed || orders[r.intent.OrderID]
	}
	for _, known := range data.Servers {
		s, present := o.servers[known.ID]
		if present && s.admitted && !s.committed {
			s.committed = true
			s.pollNoLaterThan(now)
			o.noteChange()
		}
	}
}

// TakeData returns the data to commit, and false if it has not changed since the
// last call.
func (o *Owner) TakeData() (quorum.Data, bool) {
	if !o.dataChanged {
		return quorum.Data{}, false
	}
	o.dataChanged = false
	data := quorum.Data{FormedAt: o.start.Data.FormedAt, Revision: max(o.revision, o.start.Data.Revision)}
	for _, s := range o.sortedServers() {
		if s.admitted {
			data.Servers = append(data.Servers, s.Server)
		}
	}
	for _, r := range o.replicas.sorted(anyReplica) {
		data.Intents = append(data.Intents, r.intent)
	}
	return data, true
}

// Advance performs all due work: it decides, sends orders and reads inventories.
// It must be called after each event and each tick.
func (o *Owner) Advance(now time.Time, sink Sink) {
	if o.deposedBy > 0 || o.exhausted {
		return
	}
	o.refillTokens(now)
	if o.decisionDue(now) {
		o.drainExcess(now, sink)
		o.decide(now, sink)
	}
	o.orderLoads(now, sink)
	o.orderUnloads(now, sink)
	o.pollServers(now, sink)
}

// Allocate sets the owner's share of the weight store's slots and rate.
func (o *Owner) Allocate(allocation weights.Allocation) {
	o.allocation = allocation
}

// Claim returns the owner's current and wanted use of the weight store.
func (o *Owner) Claim(now time.Time) weights.Claim {
	claim := weights.Claim{Cell: o.config.Cell, UpdatedAt: now, Active: o.activeLoads()}
	for _, queued := range o.queue {
		if queued.cause != waitsForSlot {
			continue
		}
		claim.Wanted++
		if queued.urgent {
			claim.Urgent++
		}
	}
	return claim
}

// activeLoads returns the number of loads in progress.
func (o *Owner) activeLoads() int {
	active := 0
	for _, r := range o.transitioning {
		if r.loading() {
			active++
		}
	}
	return active
}

// refillTokens adds the load starts that the rate allows since the last call,
// limited to those of one second.
func (o *Owner) refillTokens(now time.Time) {
	elapsed := now.Sub(o.tokensAt).Seconds()
	o.tokensAt = now
	limit := max(1, o.allocation.Rate)
	if !o.tokensInitialized {
		o.tokensInitialized, o.loadTokens = true, limit
	}
	o.loadTokens = min(limit, o.loadTokens+elapsed*o.allocation.Rate)
}

// noteChange triggers a decision and a new view.
func (o *Owner) noteChange() {
	o.viewChanged = true
	o.decideAt = time.Time{}
}

// sortedServers returns the servers sorted by ID.
func (o *Owner) sortedServers() []*server {
	if len(o.serverOrder) == len(o.servers) {
		return o.serverOrder
	}
	sorted := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		sorted = append(sorted, s)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	o.serverOrder = sorted
	return sorted
}

// replicaBytes returns the memory that a replica of the model may use.
func replicaBytes(model tree.Model) uint64 {
	return policy.ReplicaBytes(&policy.Model{Base: model.Base, Settings: model.Settings})
}
