package cell

import (
	"maps"
	"slices"
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

// failure is the back-off of a model whose loads failed.
type failure struct {
	count   int
	until   time.Time
	servers map[api.ServerID]time.Time // not tried again before
}

// decisionDue tells whether it is time for the next decision.
func (o *Owner) decisionDue(now time.Time) bool {
	return !now.Before(o.decideAt) && now.Sub(o.decidedAt) >= o.config.Timing.DecidePause
}

// decide asks the policies for their wishes and carries out those that the
// limits allow.
func (o *Owner) decide(now time.Time, sink Sink) {
	o.decidedAt = now
	o.decideAt = now.Add(o.config.Timing.DecideInterval)
	o.queue = o.queue[:0]
	o.revive(now, sink)
	for _, name := range o.policies() {
		decider := o.config.Decider(name)
		if decider == nil {
			sink.Log("error", "unknown policy", "policy", name)
			continue
		}
		for _, action := range decider.Decide(now, o.input(now, name)) {
			o.carryOut(now, action, sink)
		}
	}
	o.queueUnwished(now)
	o.answerDemand(now, sink)
}

// revive takes draining replicas back into service for requests that began to
// wait meanwhile. A policy does not wish that: it counts them as present.
func (o *Owner) revive(now time.Time, sink Sink) {
	draining := func(r *replica) bool { return r.phase == phaseDraining }
	for _, r := range o.moving.sorted(draining) {
		model, known := o.models[r.intent.Model]
		if known && !o.hasReady(model.Name) && o.summary(now, model.Name).Waiting > 0 {
			o.undrain(now, model, sink)
		}
	}
}

// queueUnwished queues the models with waiting requests that no policy wished
// to load now, since a policy may hold a wish back until there is a slot.
func (o *Owner) queueUnwished(now time.Time) {
	queued := make(map[api.ModelName]bool, len(o.queue))
	for _, load := range o.queue {
		queued[load.model] = true
	}
	for _, name := range o.modelOrder {
		if o.demand[name] == nil || queued[name] || o.servesSoon(name) || o.summary(now, name).Waiting == 0 {
			continue
		}
		wait := queuedLoad{model: name, urgent: true}
		wait.cause, wait.until = o.loadObstacle(now, o.models[name])
		if wait.cause == 0 {
			wait.cause = waitsForSlot
		}
		o.queue = append(o.queue, wait)
	}
}

// servesSoon tells whether a replica of the model is ready or loading.
func (o *Owner) servesSoon(model api.ModelName) bool {
	if o.counts[model] == 0 {
		return false
	}
	for _, r := range o.ofModel[model] {
		if r.loading() || r.state() == api.ReplicaReady {
			return true
		}
	}
	return false
}

// loadObstacle tells why a load of the model can't begin on any server.
func (o *Owner) loadObstacle(now time.Time, model tree.Model) (waitCause, time.Time) {
	if f := o.failures[model.Name]; f != nil && now.Before(f.until) {
		return waitsForBackoff, f.until
	}
	if cause := o.countObstacle(model); cause != 0 {
		return cause, time.Time{}
	}
	_, cause := o.place(now, model, "")
	return cause, time.Time{}
}

// policies returns the policies that the cell's models name, in order.
func (o *Owner) policies() []string {
	seen := make(map[string]bool)
	var names []string
	for _, model := range o.models {
		if name := model.Settings.Policy; !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (o *Owner) input(now time.Time, policyName string) policy.Input {
	input := policy.Input{LoadSlots: o.allocation.Slots, LoadRate: o.allocation.Rate}
	replicas := o.replicasByModel()
	loading := make(map[api.ServerID]int)
	for _, r := range o.moving {
		if r.loading() {
			loading[r.intent.Server]++
		}
	}
	for _, name := range o.modelOrder {
		if model := o.models[name]; model.Settings.Policy == policyName {
			input.Models = append(input.Models, o.policyModel(now, model, replicas[name]))
		}
	}
	for _, s := range o.sortedServers() {
		if s.admitted {
			input.Servers = append(input.Servers, o.policyServer(s, loading[s.ID]))
		}
	}
	return input
}

func (o *Owner) replicasByModel() map[api.ModelName][]*replica {
	byModel := make(map[api.ModelName][]*replica)
	for _, r := range o.replicas.sorted(anyReplica) {
		byModel[r.intent.Model] = append(byModel[r.intent.Model], r)
	}
	return byModel
}

func (o *Owner) policyModel(now time.Time, model tree.Model, replicas []*replica) policy.Model {
	result := policy.Model{
		Name:     model.Name,
		Base:     model.Base,
		Settings: model.Settings,
		Demand:   o.summary(now, model.Name),
		History:  o.history(model.Name),
	}
	ready := 0
	for _, r := range replicas {
		if r.state() == api.ReplicaReady {
			ready++
		}
	}
	for _, r := range replicas {
		shown := policy.Replica{
			Server: r.intent.Server, State: r.state(), Since: r.since,
			LastUse: r.lastUse, ReadyBy: r.readyBy, Prewarmed: r.prewarmed,
		}
		if shown.State == api.ReplicaReady {
			shown.InFlight = (result.Demand.InFlight + ready - 1) / ready
			shown.ReadyBy = time.Time{}
		}
		result.Replicas = append(result.Replicas, shown)
	}
	return result
}

func (o *Owner) policyServer(s *server, loading int) policy.Server {
	shown := policy.Server{
		ID: s.ID, Zone: s.Zone, CapacityBytes: s.capacityBytes(), Leaving: s.leaving(),
		Reachable: s.reachable && s.fenced, Loading: loading, Cached: s.cached,
	}
	if used := o.reserved[s.ID]; used < shown.CapacityBytes {
		shown.FreeBytes = shown.CapacityBytes - used
	}
	return shown
}

// carryOut does what a policy wishes as far as the limits allow.
func (o *Owner) carryOut(now time.Time, action policy.Action, sink Sink) {
	model, known := o.models[action.Model]
	if !known {
		return
	}
	if action.Kind == policy.ActionUnload {
		r := o.replicas[key{server: action.Server, model: action.Model}]
		if r != nil && r.phase != phaseInherited {
			o.startDrain(now, r, action.Reason, sink)
		}
		return
	}
	if o.config.Unsafe.TrustDecider {
		if s := o.servers[action.Server]; s != nil && o.replicas[key{server: s.ID, model: model.Name}] == nil {
			o.intend(now, model, s, action.Urgent)
		}
		return
	}
	o.carryOutLoad(now, model, action, sink)
}

func (o *Owner) carryOutLoad(now time.Time, model tree.Model, action policy.Action, sink Sink) {
	if o.undrain(now, model, sink) {
		return
	}
	wait := queuedLoad{model: model.Name, urgent: action.Urgent}
	wait.cause, wait.until = o.loadObstacle(now, model)
	if wait.cause == 0 && (o.activeLoads() >= max(1, o.allocation.Slots) || o.loadTokens < 1) {
		wait.cause = waitsForSlot
	}
	if wait.cause != 0 {
		o.queue = append(o.queue, wait)
		return
	}
	s, _ := o.place(now, model, action.Server)
	o.loadTokens--
	o.intend(now, model, s, action.Urgent)
}

// undrain takes a replica back into service instead of loading another one.
func (o *Owner) undrain(now time.Time, model tree.Model, sink Sink) bool {
	if o.liveCount(model.Name) >= model.Settings.MaxReplicas {
		return false
	}
	for _, r := range o.replicasOf(model.Name) {
		s := o.servers[r.intent.Server]
		if r.phase != phaseDraining || s == nil || s.leaving() || r.intent.Version != model.Settings.Version {
			continue
		}
		if r.intent.Base != "" && !o.baseReady(r.intent.Base, s.ID) {
			continue
		}
		sink.Log("info", "replica taken back into service", "model", model.Name, "server", s.ID)
		o.enter(now, r, phaseReady)
		r.lastUse = now
		o.news()
		return true
	}
	return false
}

// liveCount is the number of replicas that are not on their way out.
func (o *Owner) liveCount(model api.ModelName) int {
	count := 0
	for _, r := range o.ofModel[model] {
		if !r.leavingMemory() {
			count++
		}
	}
	return count
}

// countObstacle tells why the replica limit forbids another load now.
func (o *Owner) countObstacle(model tree.Model) waitCause {
	counted := o.counted(model.Name)
	switch {
	case o.outdated():
		return waitsForServers
	case counted < model.Settings.MaxReplicas:
		return 0
	case counted > o.counts[model.Name]:
		return waitsForServers
	case o.liveCount(model.Name) < model.Settings.MaxReplicas:
		return waitsForUnload
	default:
		return waitsForMemory
	}
}

// place returns the wished server, or another one if the wished one can't take
// the load.
func (o *Owner) place(now time.Time, model tree.Model, wished api.ServerID) (*server, waitCause) {
	if s := o.servers[wished]; s != nil && o.obstacle(now, model, s) == 0 {
		return s, 0
	}
	var best *server
	cause := waitsForMemory
	for _, s := range o.sortedServers() {
		obstacle := o.obstacle(now, model, s)
		if obstacle == 0 && (best == nil || o.free(s) > o.free(best)) {
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

func (o *Owner) free(s *server) uint64 {
	return s.capacityBytes() - min(s.capacityBytes(), o.reserved[s.ID])
}

// obstacle tells why a server can't take a load of the model now.
func (o *Owner) obstacle(now time.Time, model tree.Model, s *server) waitCause {
	if s.settles(now) || s.admitted && !s.fenced && s.reachable {
		return waitsForServers
	}
	if !s.admitted || s.unverified() {
		return waitsForRecord
	}
	if !s.takesLoads() || o.replicas[key{server: s.ID, model: model.Name}] != nil {
		return waitsForMemory
	}
	if f := o.failures[model.Name]; f != nil && now.Before(f.servers[s.ID]) {
		return waitsForMemory
	}
	if model.Base != "" && !o.baseReady(model.Base, s.ID) {
		if base := o.replicas[key{server: s.ID, model: model.Base}]; base != nil && base.loading() {
			return waitsForBase
		}
		return waitsForMemory
	}
	need := replicaBytes(model)
	if o.reserved[s.ID]+need <= s.capacityBytes() {
		return 0
	}
	if need <= o.free(s)+o.leavingBytes(s.ID) {
		return waitsForRoom
	}
	return waitsForMemory
}

// leavingBytes is the memory that unloads under way will free.
func (o *Owner) leavingBytes(id api.ServerID) uint64 {
	var bytes uint64
	for _, r := range o.onServer[id] {
		if r.leavingMemory() {
			bytes += r.intent.Bytes
		}
	}
	return bytes
}

// drainExcess drains replicas beyond a lowered limit, of models that are no
// longer in the settings, on leaving servers, and of outdated versions.
func (o *Owner) drainExcess(now time.Time, sink Sink) {
	live := make(map[api.ModelName][]*replica)
	settled := func(r *replica) bool { return !r.leavingMemory() && r.phase != phaseInherited }
	for _, r := range o.replicas.sorted(settled) {
		if s := o.servers[r.intent.Server]; s != nil && s.leaving() {
			o.startDrain(now, r, "server leaving", sink)
			continue
		}
		live[r.intent.Model] = append(live[r.intent.Model], r)
	}
	for _, name := range slices.Sorted(maps.Keys(live)) {
		replicas := live[name]
		settings := o.models[name].Settings // none: no replica is allowed
		if excess := len(replicas) - settings.MaxReplicas; excess > 0 {
			o.drainFirst(now, replicas, excess, sink)
			continue
		}
		o.drainOutdated(now, replicas, settings.Version, sink)
	}
}

// drainFirst drains the replicas that are missed least.
func (o *Owner) drainFirst(now time.Time, replicas []*replica, count int, sink Sink) {
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

// drainOutdated drains one replica of another version than the settings name,
// once all others are ready.
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

// loadFailed backs off from a model, and for longer from the server. The pause
// doubles with each failure in a row, so retries stay few.
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
