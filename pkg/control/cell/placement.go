package cell

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// failure is the back-off state of a model whose loads failed.
type failure struct {
	count   int                        // number of failures in a row
	until   time.Time                  // end of the back-off
	servers map[api.ServerID]time.Time // earliest next attempt on each server
}

// loadObstacle returns why a load of the model cannot start on any server, or
// zero, and the end of a back-off.
func (o *Owner) loadObstacle(now time.Time, model tree.Model) (waitCause, time.Time) {
	if f := o.failures[model.Name]; f != nil && now.Before(f.until) {
		return waitsForBackoff, f.until
	}
	if cause := o.countObstacle(model); cause != 0 {
		return cause, time.Time{}
	}
	_, cause := o.choosePlacement(now, model, "")
	return cause, time.Time{}
}

// cancelDrain returns a draining replica to service and reports whether it did,
// so that no other replica need be loaded.
func (o *Owner) cancelDrain(now time.Time, model tree.Model, sink Sink) bool {
	if o.liveCount(model.Name) >= model.Settings.MaxReplicas {
		return false
	}
	for _, r := range o.replicasOf(model.Name) {
		s := o.servers[r.intent.Server]
		if r.phase != phaseDraining || s == nil || !s.fenced || s.failures > 0 || s.leaving() || r.intent.Version != model.Settings.Version {
			continue
		}
		if r.intent.Base != "" && !o.baseReady(r.intent.Base, s.ID) {
			continue
		}
		sink.Log("info", "draining replica returned to service", "model", model.Name, "server", s.ID)
		o.setPhase(now, r, phaseReady)
		r.lastUse = now
		o.noteChange()
		return true
	}
	return false
}

// liveCount returns the number of replicas that are neither draining nor
// unloading.
func (o *Owner) liveCount(model api.ModelName) int {
	count := 0
	for _, r := range o.ofModel[model] {
		if !r.isBeingRemoved() {
			count++
		}
	}
	return count
}

// countObstacle returns why the replica limit forbids another load now, or zero.
func (o *Owner) countObstacle(model tree.Model) waitCause {
	counted := o.counted(model.Name)
	switch {
	case o.outdated():
		return waitsForServers
	case counted < model.Settings.MaxReplicas:
		return 0
	case counted > o.counts[model.Name], o.hasInherited(model.Name):
		return waitsForServers
	case o.liveCount(model.Name) < model.Settings.MaxReplicas:
		return waitsForOwnUnload
	default:
		return waitsForMemory
	}
}

// hasInherited reports whether the model has a replica from an earlier owner that
// no inventory has confirmed yet. It may be loading, so a request for it must not
// be refused as if all memory were in use.
func (o *Owner) hasInherited(model api.ModelName) bool {
	for _, r := range o.ofModel[model] {
		if r.phase == phaseInherited {
			return true
		}
	}
	return false
}

// choosePlacement returns the preferred server if it can take the load, else the
// suitable server with the most free memory. Without any it returns the cause to
// wait for.
func (o *Owner) choosePlacement(now time.Time, model tree.Model, preferred api.ServerID) (*server, waitCause) {
	if s := o.servers[preferred]; s != nil && o.serverObstacle(now, model, s) == 0 {
		return s, 0
	}
	var best *server
	cause := waitsForMemory
	for _, s := range o.sortedServers() {
		obstacle := o.serverObstacle(now, model, s)
		if obstacle == 0 && (best == nil || o.freeBytes(s) > o.freeBytes(best)) {
			best = s
		}
		if obstacle != 0 && obstacle < cause {
			cause = obstacle
		}
	}
	if best != nil {
		return best, 0
	}
	return nil, cause
}

// freeBytes returns the memory of a server that is not reserved.
func (o *Owner) freeBytes(s *server) uint64 {
	return s.capacityBytes() - min(s.capacityBytes(), o.reserved[s.ID])
}

// serverObstacle returns why a server cannot take a load of the model now, or
// zero.
func (o *Owner) serverObstacle(now time.Time, model tree.Model, s *server) waitCause {
	if s.isSettling(now) || s.admitted && !s.fenced && s.reachable {
		return waitsForServers
	}
	if !s.admitted || s.unverified() {
		return waitsForRecord
	}
	if !s.acceptsLoads() || o.replicas[replicaKey{server: s.ID, model: model.Name}] != nil {
		return waitsForMemory
	}
	if f := o.failures[model.Name]; f != nil && now.Before(f.servers[s.ID]) {
		return waitsForMemory
	}
	if model.Base != "" && !o.baseReady(model.Base, s.ID) {
		if base := o.replicas[replicaKey{server: s.ID, model: model.Base}]; base != nil && base.loading() {
			return waitsForBase
		}
		return waitsForMemory
	}
	need := replicaBytes(model)
	if o.reserved[s.ID]+need <= s.capacityBytes() {
		return 0
	}
	if need <= o.freeBytes(s)+o.leavingBytes(s.ID) {
		return waitsForPendingUnload
	}
	return waitsForMemory
}

// leavingBytes returns the memory that draining and unloading replicas will free.
func (o *Owner) leavingBytes(id api.ServerID) uint64 {
	var bytes uint64
	for _, r := range o.onServer[id] {
		if r.isBeingRemoved() {
			bytes += r.intent.Bytes
		}
	}
	return bytes
}

// loadFailed starts a back-off for the model and, if the engine reported the
// failure, a longer one for the model on that server. The model's back-off
// doubles with each failure in a row, which keeps retries rare.
func (o *Owner) loadFailed(now time.Time, s *server, r *replica, failed bool) {
	f := o.failures[r.intent.Model]
	if f == nil {
		f = &failure{servers: make(map[api.ServerID]time.Time)}
		o.failures[r.intent.Model] = f
	}
	f.count++
	pause := min(o.config.Timing.FailurePause<<min(f.count-1, 10), o.config.Timing.FailurePauseMax)
	f.until = now.Add(pause/2 + o.jitter(pause/2))
	if failed {
		f.servers[s.ID] = now.Add(o.config.Timing.ServerPause)
	}
}
