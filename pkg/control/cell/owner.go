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

// Owner decides what the servers of one cell load, for as long as its term
// lasts. See New.
type Owner struct {
	config Config
	start  Start

	models      map[api.ModelName]tree.Model
	modelOrder  []api.ModelName // sorted
	servers     map[api.ServerID]*server
	serverOrder []*server // sorted; nil when servers were added or removed
	replicas    replicaSet
	moving      replicaSet // of these, those with an order due or under way
	onServer    replicaIndex[api.ServerID]
	ofModel     replicaIndex[api.ModelName]
	reserved    map[api.ServerID]uint64   // bytes counted on each server
	counts      map[api.ModelName]int     // replicas counted of each model
	demand      map[api.ModelName]*demand // of the models that nodes reported
	failures    map[api.ModelName]*failure
	loadTimes   map[api.ModelName]time.Duration // measured

	revision    uint64 // of the settings
	listVersion uint64
	allocation  weights.Allocation
	loadTokens  float64
	rated       bool // the first tokens were given
	tokensAt    time.Time
	queue       []queuedLoad // wishes that wait for a slot or for room

	version   uint64 // of the view
	changed   bool   // the view changed since it was last taken
	dirty     bool   // the data changed since it was last taken
	decideAt  time.Time
	decidedAt time.Time
	deposedBy uint64 // a higher term that an engine has seen
	exhausted bool
	orders    uint32 // given so far, for their IDs
}

// New returns the owner of a cell for the term in start.
func New(now time.Time, config Config, start Start) *Owner {
	o := &Owner{
		config:    config,
		start:     start,
		models:    make(map[api.ModelName]tree.Model),
		servers:   make(map[api.ServerID]*server),
		replicas:  make(replicaSet),
		moving:    make(replicaSet),
		onServer:  make(replicaIndex[api.ServerID]),
		ofModel:   make(replicaIndex[api.ModelName]),
		reserved:  make(map[api.ServerID]uint64),
		counts:    make(map[api.ModelName]int),
		demand:    make(map[api.ModelName]*demand),
		failures:  make(map[api.ModelName]*failure),
		loadTimes: make(map[api.ModelName]time.Duration),
		tokensAt:  now,
		decideAt:  now,
	}
	o.inheritServers(now)
	o.inheritReplicas(now)
	o.dirty = false
	o.changed = true
	return o
}

func (o *Owner) inheritServers(now time.Time) {
	for _, known := range o.start.Data.Servers {
		o.servers[known.ID] = &server{
			Server:    known,
			admitted:  true,
			committed: true,
			knownAt:   now,
			reachable: true, // until shown otherwise
			pollAt:    now,
		}
	}
}

func (o *Owner) inheritReplicas(now time.Time) {
	serving := make(map[key]bool)
	for _, r := range o.start.Previous.Replicas {
		if r.State == api.ReplicaReady {
			serving[key{server: r.Server, model: r.Model}] = true
		}
	}
	for _, intent := range o.start.Data.Intents {
		r := &replica{intent: intent, committed: true, phase: phaseInherited, since: now, lastUse: now}
		r.serving = serving[r.key()]
		o.addReplica(r)
	}
}

// Term returns the term that the owner orders in.
func (o *Owner) Term() uint64 {
	return o.start.Term
}

// DeposedBy returns a higher term that an engine has seen, or zero. The owner
// does nothing more then.
func (o *Owner) DeposedBy() uint64 {
	return o.deposedBy
}

// Exhausted tells that the fences of the term run out: a new term is needed.
func (o *Owner) Exhausted() bool {
	return o.exhausted
}

// Configure takes over the settings of the cell's models, sorted by name, of a
// revision of the tree.
func (o *Owner) Configure(revision tree.Revision, models []tree.Model) {
	if uint64(revision) > o.revision {
		o.revision = uint64(revision)
		o.dirty = true
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

// outdated tells whether the owner before this one decided by newer settings.
// This one loads nothing until it has them too.
func (o *Owner) outdated() bool {
	return o.revision < o.start.Data.Revision && !o.config.Unsafe.NoRevision
}

// Committed tells that a majority has committed data.
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
			s.pollBy(now)
			o.news()
		}
	}
}

// TakeData returns the data to commit, and false if it is the same as last time.
func (o *Owner) TakeData() (quorum.Data, bool) {
	if !o.dirty {
		return quorum.Data{}, false
	}
	o.dirty = false
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

// Advance does what is due: it decides, gives orders and reads inventories.
// It is called after each event and with each tick.
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

// Allocate sets the owner's share of the weight store's slots.
func (o *Owner) Allocate(allocation weights.Allocation) {
	o.allocation = allocation
}

// Claim returns what the owner has under way and wants of the weight store.
func (o *Owner) Claim(now time.Time) weights.Claim {
	claim := weights.Claim{Cell: o.config.Cell, Heard: now, Active: o.activeLoads()}
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

func (o *Owner) activeLoads() int {
	active := 0
	for _, r := range o.moving {
		if r.loading() {
			active++
		}
	}
	return active
}

// refillTokens lets the rate of the weight store accrue, up to one second's.
func (o *Owner) refillTokens(now time.Time) {
	elapsed := now.Sub(o.tokensAt).Seconds()
	o.tokensAt = now
	limit := max(1, o.allocation.Rate)
	if !o.rated {
		o.rated, o.loadTokens = true, limit
	}
	o.loadTokens = min(limit, o.loadTokens+elapsed*o.allocation.Rate)
}

// news makes a decision and a new view due.
func (o *Owner) news() {
	o.changed = true
	o.decideAt = time.Time{}
}

// sortedServers returns the servers in order of ID.
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

// replicaBytes is the memory that a replica of the model may take.
func replicaBytes(model tree.Model) uint64 {
	return policy.ReplicaBytes(&policy.Model{Base: model.Base, Settings: model.Settings})
}
