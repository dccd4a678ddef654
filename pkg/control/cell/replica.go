package cell

import (
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
)

// phase is how far a replica has come, as the owner knows.
type phase uint8

const (
	phaseInherited phase = iota // of an earlier owner; the inventory will tell
	phaseIntended               // its intent is being committed
	phaseOrdered                // the load is ordered, with or without an answer
	phaseLoading                // the engine shows that it loads
	phaseReady                  // the engine shows that it serves
	phaseDraining               // routers are told to stop using it
	phaseUnloading              // its unload is ordered
)

// key identifies a replica: a server holds a model at most once.
type key struct {
	server api.ServerID
	model  api.ModelName
}

// replica is one intent with what the owner knows besides. It counts for the
// replica limit and the memory in every phase.
type replica struct {
	intent    quorum.Intent
	committed bool
	phase     phase
	since     time.Time // of the phase
	doubt     bool      // the order or its answer may be lost
	serving   bool      // inherited, and ready in the last view

	orderedAt time.Time
	readyBy   time.Time // estimate while loading
	lastUse   time.Time
	prewarmed bool
	retryAt   time.Time // of the unload
	reason    string    // why it was loaded, or drains
}

func (r *replica) key() key {
	return key{server: r.intent.Server, model: r.intent.Model}
}

// moving tells whether an order for the replica is due or under way.
func (r *replica) moving() bool {
	return r.phase != phaseReady && r.phase != phaseInherited
}

// enter moves a replica to its next phase.
func (o *Owner) enter(now time.Time, r *replica, next phase) {
	if r.phase == next {
		return
	}
	r.phase, r.since = next, now
	o.noteMoving(r)
}

// noteMoving keeps the set of moving replicas.
func (o *Owner) noteMoving(r *replica) {
	if r.moving() {
		o.moving[r.key()] = r
		return
	}
	delete(o.moving, r.key())
}

// leavingMemory tells whether the replica is on its way out.
func (r *replica) leavingMemory() bool {
	return r.phase == phaseDraining || r.phase == phaseUnloading
}

// loading tells whether the replica takes a slot of the weight store.
func (r *replica) loading() bool {
	return r.phase == phaseIntended || r.phase == phaseOrdered || r.phase == phaseLoading
}

// state translates the phase for routers and policies.
func (r *replica) state() api.ReplicaState {
	switch {
	case r.phase == phaseDraining:
		return api.ReplicaDraining
	case r.phase == phaseUnloading:
		return api.ReplicaUnloading
	case r.phase == phaseReady || r.serving:
		return api.ReplicaReady
	case r.doubt || r.phase == phaseInherited:
		return api.ReplicaInDoubt
	default:
		return api.ReplicaLoading
	}
}

// addReplica takes a replica into the count.
func (o *Owner) addReplica(r *replica) {
	o.replicas[r.key()] = r
	o.onServer.add(r.intent.Server, r)
	o.ofModel.add(r.intent.Model, r)
	o.noteMoving(r)
	o.reserved[r.intent.Server] += r.intent.Bytes
	o.counts[r.intent.Model]++
	o.dirty = true
	o.news()
}

// drop takes a replica out of the count: it is surely not loaded, and will not
// be by any order given so far.
func (o *Owner) drop(_ time.Time, r *replica) {
	if o.replicas[r.key()] != r {
		return
	}
	delete(o.replicas, r.key())
	delete(o.onServer[r.intent.Server], r.key())
	delete(o.ofModel[r.intent.Model], r.key())
	delete(o.moving, r.key())
	o.reserved[r.intent.Server] -= r.intent.Bytes
	o.counts[r.intent.Model]--
	o.dirty = true
	o.news()
}

// grow raises the memory that a replica counts for to what its engine reports.
func (o *Owner) grow(r *replica, bytes uint64) {
	if bytes <= r.intent.Bytes {
		return
	}
	o.reserved[r.intent.Server] += bytes - r.intent.Bytes
	r.intent.Bytes = bytes
	o.dirty = true
}

// counted returns the number of replicas of a model that may be loaded: those
// known, and one for each server that may hold any model.
func (o *Owner) counted(model api.ModelName) int {
	count := o.counts[model]
	if o.config.Unsafe.UnknownIsEmpty {
		return count
	}
	for id, s := range o.servers {
		if s.Unknown && o.replicas[key{server: id, model: model}] == nil {
			count++
		}
	}
	return count
}

// replicasOn returns the replicas on a server in order of model.
func (o *Owner) replicasOn(id api.ServerID) []*replica {
	return o.onServer[id].sorted(anyReplica)
}

// replicasOf returns the replicas of a model in order of server.
func (o *Owner) replicasOf(model api.ModelName) []*replica {
	return o.ofModel[model].sorted(anyReplica)
}

// replicaSet is a set of replicas.
type replicaSet map[key]*replica

// replicaIndex finds the replicas of a server or of a model.
type replicaIndex[K comparable] map[K]replicaSet

func (i replicaIndex[K]) add(value K, r *replica) {
	if i[value] == nil {
		i[value] = make(replicaSet)
	}
	i[value][r.key()] = r
}

func anyReplica(*replica) bool { return true }

// sorted returns the wanted replicas in order of server and model.
func (s replicaSet) sorted(wanted func(*replica) bool) []*replica {
	var selected []*replica
	for _, r := range s {
		if wanted(r) {
			selected = append(selected, r)
		}
	}
	sort.Slice(selected, func(i, j int) bool {
		a, b := selected[i].intent, selected[j].intent
		if a.Server != b.Server {
			return a.Server < b.Server
		}
		return a.Model < b.Model
	})
	return selected
}
