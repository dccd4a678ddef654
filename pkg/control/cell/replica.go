package cell

import (
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/engine"
)

// phase is the progress of a replica as known to the owner.
type phase uint8

const (
	phaseInherited phase = iota // taken over from an earlier owner; not yet confirmed by an inventory
	phaseIntended               // the intent is being committed
	phaseOrdered                // the load is ordered, with or without an answer
	phaseLoading                // the engine accepted the load or reports it as loading
	phaseReady                  // the engine reports it as ready
	phaseDraining               // routers are told to stop using it
	phaseUnloading              // the unload is ordered
)

// replicaKey identifies a replica: a server holds a model at most once.
type replicaKey struct {
	server api.ServerID
	model  api.ModelName
}

// replica is an intent with the owner's additional state. It counts towards the
// replica limit and the memory in every phase.
type replica struct {
	intent         quorum.Intent
	committed      bool
	phase          phase
	since          time.Time // when the phase began
	outcomeUnknown bool      // the order or its answer may be lost
	wasReady       bool      // inherited, and ready in the last view

	orderedAt time.Time
	readyBy   time.Time // estimated time of readiness while loading
	lastUse   time.Time
	// prewarmed means that it was loaded without waiting requests and not used
	// since.
	prewarmed  bool
	useUnknown bool      // inherited, and not used since
	retryAt    time.Time // when the unload is repeated
	reason     string    // why it was loaded or drained
}

func (r *replica) key() replicaKey {
	return replicaKey{server: r.intent.Server, model: r.intent.Model}
}

// inTransition reports whether an order for the replica is due or pending.
func (r *replica) inTransition() bool {
	return r.phase != phaseReady && r.phase != phaseInherited
}

// setPhase moves a replica to its next phase.
func (o *Owner) setPhase(now time.Time, r *replica, next phase) {
	if r.phase == next {
		return
	}
	r.phase, r.since = next, now
	o.updateTransitioning(r)
}

// updateTransitioning adds the replica to the set of transitioning replicas or
// removes it.
func (o *Owner) updateTransitioning(r *replica) {
	if r.inTransition() {
		o.transitioning[r.key()] = r
		return
	}
	delete(o.transitioning, r.key())
}

// isBeingRemoved reports whether the replica is draining or unloading.
func (r *replica) isBeingRemoved() bool {
	return r.phase == phaseDraining || r.phase == phaseUnloading
}

// loading reports whether the replica takes a slot of the weight store.
func (r *replica) loading() bool {
	return r.phase == phaseIntended || r.phase == phaseOrdered || r.phase == phaseLoading
}

// state returns the replica's state as shown to routers and policies.
func (r *replica) state() api.ReplicaState {
	switch {
	case r.phase == phaseDraining:
		return api.ReplicaDraining
	case r.phase == phaseUnloading:
		return api.ReplicaUnloading
	case r.phase == phaseReady || r.wasReady:
		return api.ReplicaReady
	case r.outcomeUnknown || r.phase == phaseInherited:
		return api.ReplicaInDoubt
	default:
		return api.ReplicaLoading
	}
}

// addReplica starts counting a replica.
func (o *Owner) addReplica(r *replica) {
	o.replicas[r.key()] = r
	o.onServer.add(r.intent.Server, r)
	o.ofModel.add(r.intent.Model, r)
	o.updateTransitioning(r)
	o.reserved[r.intent.Server] += r.intent.Bytes
	o.counts[r.intent.Model]++
	o.dataChanged = true
	o.noteChange()
}

// drop stops counting a replica. The caller must know that it is not loaded and
// that no order given so far can load it.
func (o *Owner) drop(_ time.Time, r *replica) {
	if o.replicas[r.key()] != r {
		return
	}
	delete(o.replicas, r.key())
	delete(o.onServer[r.intent.Server], r.key())
	delete(o.ofModel[r.intent.Model], r.key())
	delete(o.transitioning, r.key())
	o.reserved[r.intent.Server] -= r.intent.Bytes
	o.counts[r.intent.Model]--
	o.dataChanged = true
	o.noteChange()
}

// unboundedBytes is reserved for a model of unknown size, more than any server's memory: engines report the weights, and what is held
// beside them is not known once the settings no longer list the model. Nothing is loaded beside it.
const unboundedBytes = 1 << 50

// boundReservation reserves what the settings tell for a model of unknown size, if they list it by now.
func (o *Owner) boundReservation(r *replica, item engine.Item) {
	model, known := o.models[r.intent.Model]
	if !known || r.intent.Bytes < unboundedBytes {
		return
	}
	bytes := max(item.MemoryBytes, replicaBytes(model))
	o.reserved[r.intent.Server] -= r.intent.Bytes - bytes
	r.intent.Bytes = bytes
	o.dataChanged = true
}

// raiseReservation raises a replica's reserved memory to what its engine reports.
func (o *Owner) raiseReservation(r *replica, bytes uint64) {
	if bytes <= r.intent.Bytes {
		return
	}
	o.reserved[r.intent.Server] += bytes - r.intent.Bytes
	r.intent.Bytes = bytes
	o.dataChanged = true
}

// counted returns the number of replicas of a model that may be loaded: the known
// ones, and one for each server that may hold any model.
func (o *Owner) counted(model api.ModelName) int {
	count := o.counts[model]
	if o.config.Unsafe.UnknownIsEmpty {
		return count
	}
	for id, s := range o.servers {
		if s.Unknown && o.replicas[replicaKey{server: id, model: model}] == nil {
			count++
		}
	}
	return count
}

// replicasOn returns the replicas on a server, sorted by model.
func (o *Owner) replicasOn(id api.ServerID) []*replica {
	return o.onServer[id].sorted(anyReplica)
}

// replicasOf returns the replicas of a model, sorted by server.
func (o *Owner) replicasOf(model api.ModelName) []*replica {
	return o.ofModel[model].sorted(anyReplica)
}

// replicaSet is a set of replicas.
type replicaSet map[replicaKey]*replica

// replicaIndex maps a server or a model to its replicas.
type replicaIndex[K comparable] map[K]replicaSet

func (i replicaIndex[K]) add(value K, r *replica) {
	if i[value] == nil {
		i[value] = make(replicaSet)
	}
	i[value][r.key()] = r
}

func anyReplica(*replica) bool { return true }

// sorted returns the replicas for which wanted is true, sorted by server and
// model.
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
