package cell

import (
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
)

// estimateTolerance is the largest change of an estimate that is not sent.
const estimateTolerance = 500 * time.Millisecond

// demand is the demand that the nodes reported for one model.
type demand struct {
	reports     map[api.NodeID]*report
	history     *policy.History
	lastArrival time.Time // before this owner's term, as nodes reported it; zero: unknown
}

// report is the last demand report of one node.
type report struct {
	node      api.NodeRef
	demand    api.ModelDemand
	at        time.Time
	estimated *api.LoadEstimate // last estimate sent to the node
}

// Reported handles a node's demand report.
func (o *Owner) Reported(now time.Time, node api.NodeRef, models []api.ModelDemand) {
	for _, seen := range models {
		if _, known := o.models[seen.Model]; !known {
			continue
		}
		d := o.demand[seen.Model]
		if d == nil {
			d = &demand{reports: make(map[api.NodeID]*report), history: &policy.History{}}
			o.demand[seen.Model] = d
		}
		if seen.Arrivals > 0 {
			d.history.Observe(seen.LastArrival)
		}
		o.updateReport(now, d, node, seen)
	}
}

// updateReport replaces a node's report for a model. The first waiting request
// triggers a decision, and use of the model postpones its unload.
func (o *Owner) updateReport(now time.Time, d *demand, node api.NodeRef, seen api.ModelDemand) {
	previous := d.reports[node.ID]
	next := &report{node: node, demand: seen, at: now}
	if previous != nil && previous.demand.Waiting > 0 && now.Sub(previous.at) < o.config.Timing.DemandExpiry {
		next.estimated = previous.estimated
	}
	if seen.Waiting > 0 && (previous == nil || previous.demand.Waiting == 0) {
		o.decideAt = time.Time{}
	}
	d.reports[node.ID] = next
	if seen.Arrivals == 0 && seen.InFlight == 0 {
		if last := now.Add(-seen.Idle); seen.Idle > 0 && last.After(d.lastArrival) {
			d.lastArrival = last
		}
		return
	}
	for _, r := range o.replicasOf(seen.Model) {
		r.lastUse = now
		r.prewarmed, r.useUnknown = false, false
	}
}

// inheritedUseGrace is how long a new owner takes inherited replicas for used as its term began. In this time the nodes
// report when they last used them.
const inheritedUseGrace = 3 * time.Second

// lastUseOf returns when a replica was last used, and when its phase began. Otherwise an idle replica of a cell whose
// owner changes often would never be unloaded.
func (o *Owner) lastUseOf(now time.Time, r *replica) (lastUse, since time.Time) {
	d := o.demand[r.intent.Model]
	if !r.useUnknown || d == nil || d.lastArrival.IsZero() || now.Sub(o.began) < inheritedUseGrace {
		return r.lastUse, r.since
	}
	return d.lastArrival, d.lastArrival
}

// summary sums up the reports on a model that have not expired. LastArrival
// includes expired ones.
func (o *Owner) summary(now time.Time, model api.ModelName) policy.Demand {
	var sum policy.Demand
	d := o.demand[model]
	if d == nil {
		return sum
	}
	for _, r := range d.reports {
		seen := r.demand
		if seen.LastArrival.After(sum.LastArrival) {
			sum.LastArrival = seen.LastArrival
		}
		if now.Sub(r.at) >= o.config.Timing.DemandExpiry {
			continue
		}
		sum.InFlight += int(seen.InFlight)
		if seen.Waiting == 0 {
			continue
		}
		if sum.Waiting == 0 || seen.HighestPriority > sum.HighestPriority {
			sum.HighestPriority = seen.HighestPriority
		}
		sum.Waiting += int(seen.Waiting)
		if sum.EarliestDeadline.IsZero() || seen.EarliestDeadline.Before(sum.EarliestDeadline) {
			sum.EarliestDeadline = seen.EarliestDeadline
		}
	}
	return sum
}

// waitingRequest returns the ID of a request that waits for the model, or "".
// With several nodes it is the smallest ID, to keep the choice deterministic.
func (o *Owner) waitingRequest(model api.ModelName) string {
	least := ""
	d := o.demand[model]
	if d == nil {
		return least
	}
	for _, r := range d.reports {
		if id := r.demand.RequestID; id != "" && (least == "" || id < least) {
			least = id
		}
	}
	return least
}

// inFlight returns the number of the model's requests in flight on all nodes.
func (o *Owner) inFlight(now time.Time, model api.ModelName) int {
	return o.summary(now, model).InFlight
}

// history returns the recorded arrivals of a model.
func (o *Owner) history(model api.ModelName) *policy.History {
	if d := o.demand[model]; d != nil {
		return d.history
	}
	return &policy.History{}
}

// sendEstimates sends an estimate of when the model will be ready to the nodes
// with requests that wait for it, unless they already have it. Models with a
// ready replica are skipped.
func (o *Owner) sendEstimates(now time.Time, sink Sink) {
	for _, name := range o.modelOrder {
		d := o.demand[name]
		if d == nil || o.hasReady(name) {
			continue
		}
		o.sendModelEstimate(now, name, d, sink)
	}
}

// hasReady reports whether the model has a ready replica.
func (o *Owner) hasReady(model api.ModelName) bool {
	if o.counts[model] == 0 {
		return false
	}
	for _, r := range o.replicasOf(model) {
		if r.state() == api.ReplicaReady {
			return true
		}
	}
	return false
}

// sendModelEstimate sends one model's estimate to the nodes whose last one
// differs.
func (o *Owner) sendModelEstimate(now time.Time, model api.ModelName, d *demand, sink Sink) {
	var estimate *api.LoadEstimate
	for _, id := range sortedNodes(d.reports) {
		r := d.reports[id]
		if r.demand.Waiting == 0 || now.Sub(r.at) >= o.config.Timing.DemandExpiry {
			continue
		}
		if estimate == nil {
			made := o.estimate(now, model)
			estimate = &made
		}
		if r.estimated == nil || differs(*r.estimated, *estimate) {
			r.estimated = estimate
			sink.Estimate(r.node, *estimate)
		}
	}
}

// differs reports whether the change between two estimates is worth sending.
func differs(a, b api.LoadEstimate) bool {
	if a.Accepted != b.Accepted || a.Reason != b.Reason {
		return true
	}
	return a.ReadyBy.Sub(b.ReadyBy).Abs() > estimateTolerance
}

// sortedNodes returns the sorted IDs of the nodes in reports.
func sortedNodes(reports map[api.NodeID]*report) []api.NodeID {
	nodes := make([]api.NodeID, 0, len(reports))
	for id := range reports {
		nodes = append(nodes, id)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i] < nodes[j] })
	return nodes
}
