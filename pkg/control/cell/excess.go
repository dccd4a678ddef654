package cell

import (
	"maps"
	"slices"
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
)

// drainExcess drains replicas above the replica limit, of models missing in the
// settings, on leaving servers, and of outdated versions.
func (o *Owner) drainExcess(now time.Time, sink Sink) {
	live := make(map[api.ModelName][]*replica)
	settled := func(r *replica) bool { return !r.isBeingRemoved() && r.phase != phaseInherited }
	for _, r := range o.replicas.sorted(settled) {
		if s := o.servers[r.intent.Server]; s != nil && s.leaving() {
			o.startDrain(now, r, "server leaving", sink)
			continue
		}
		live[r.intent.Model] = append(live[r.intent.Model], r)
	}
	for _, name := range slices.Sorted(maps.Keys(live)) {
		replicas := live[name]
		settings := o.models[name].Settings // zero value for an unknown model: no replica is allowed
		if excess := len(replicas) - settings.MaxReplicas; excess > 0 {
			o.drainLeastUsed(now, replicas, excess, sink)
			continue
		}
		o.drainOutdated(now, replicas, settings.Version, sink)
	}
}

// drainLeastUsed drains count replicas: first those in the earliest phase, then
// those used least recently.
func (o *Owner) drainLeastUsed(now time.Time, replicas []*replica, count int, sink Sink) {
	sort.Slice(replicas, func(i, j int) bool {
		a, b := replicas[i], replicas[j]
		if a.phase != b.phase {
			return a.phase < b.phase
		}
		if !a.lastUse.Equal(b.lastUse) {
			return a.lastUse.Before(b.lastUse)
		}
		return a.intent.Server < b.intent.Server
	})
	for _, r := range replicas[:count] {
		o.startDrain(now, r, "more than max_replicas", sink)
	}
}

// drainOutdated drains one replica whose version differs from the settings, once
// all replicas are ready.
func (o *Owner) drainOutdated(now time.Time, replicas []*replica, version string, sink Sink) {
	var outdated *replica
	for _, r := range replicas {
		if r.phase != phaseReady {
			return
		}
		if r.intent.Version != version && (outdated == nil || r.intent.Server < outdated.intent.Server) {
			outdated = r
		}
	}
	if outdated != nil {
		o.startDrain(now, outdated, "outdated version", sink)
	}
}
