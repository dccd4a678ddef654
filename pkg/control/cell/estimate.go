package cell

import (
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// Constants of the load estimates.
const (
	defaultLoadTime     = 10 * time.Second // when the settings give no load time
	settleTime          = time.Second      // expected time for an unload or a takeover to finish
	capacityRetry       = 10 * time.Second // suggested retry delay if models in use take the memory
	measurementWeight   = 0.3              // weight of a new measurement in the average load time
	minCredibleProgress = 0.1              // progress from which the end of a load is extrapolated
)

// waitCause is the reason why a requested load has not started. The causes are
// ordered: placement reports the lowest cause among the servers.
type waitCause uint8

const (
	waitsForSlot          waitCause = iota + 1 // a load slot of the weight store
	waitsForPendingUnload                      // memory that a pending unload will free
	waitsForBase                               // the base model of the adapter
	waitsForOwnUnload                          // the unload of a replica of the model itself
	waitsForServers                            // servers to be fenced, or the newest settings, after a takeover
	waitsForBackoff                            // the back-off after a failed load
	waitsForRecord                             // the table service to record the servers
	waitsForMemory                             // memory, which is in use
)

// queuedLoad is a requested load that cannot start yet.
type queuedLoad struct {
	model  api.ModelName
	urgent bool
	cause  waitCause
	until  time.Time // end of the back-off
}

// loadTime returns the expected duration of a load: measured, else from the
// settings, else the default.
func (o *Owner) loadTime(model tree.Model) time.Duration {
	if measured, known := o.loadTimes[model.Name]; known {
		return measured
	}
	if model.Settings.LoadTime > 0 {
		return model.Settings.LoadTime
	}
	return defaultLoadTime
}

// measureLoad updates the moving average of a model's load time.
func (o *Owner) measureLoad(model api.ModelName, took time.Duration) {
	known, measured := o.loadTimes[model]
	if !measured {
		o.loadTimes[model] = took
		return
	}
	o.loadTimes[model] = known + time.Duration(measurementWeight*float64(took-known))
}

// estimateReady extrapolates the end of a load from its progress.
func (o *Owner) estimateReady(now time.Time, r *replica, progress float64) {
	if progress < minCredibleProgress || r.orderedAt.IsZero() {
		if r.readyBy.Before(now) {
			r.readyBy = now.Add(settleTime)
		}
		return
	}
	elapsed := now.Sub(r.orderedAt)
	estimate := r.orderedAt.Add(time.Duration(float64(elapsed) / progress))
	if estimate.Sub(r.readyBy).Abs() > estimateTolerance {
		r.readyBy = estimate
		o.viewChanged = true
	}
}

// estimate returns when a model that is not ready will be, or why it will not be.
func (o *Owner) estimate(now time.Time, name api.ModelName) api.LoadEstimate {
	estimate := api.LoadEstimate{Model: name, Accepted: true}
	for _, r := range o.replicasOf(name) {
		if r.loading() && (estimate.ReadyBy.IsZero() || r.readyBy.Before(estimate.ReadyBy)) {
			estimate.ReadyBy = r.readyBy
		}
	}
	if !estimate.ReadyBy.IsZero() {
		return estimate
	}
	if base := o.models[name].Base; base != "" && !o.hasReady(base) {
		return o.estimateAdapter(now, name, base)
	}
	for index, queued := range o.queue {
		if queued.model == name {
			return o.estimateQueued(now, index)
		}
	}
	if o.models[name].Settings.MaxReplicas == 0 {
		return refusal(name, capacityRetry, "the settings allow no replica of the model")
	}
	return refusal(name, capacityRetry, "no server of the cell has room for the model")
}

// estimateAdapter adds the adapter's own load time to the estimate for its base.
func (o *Owner) estimateAdapter(now time.Time, name, base api.ModelName) api.LoadEstimate {
	estimate := o.estimate(now, base)
	estimate.Model = name
	if estimate.Accepted {
		estimate.ReadyBy = estimate.ReadyBy.Add(o.loadTime(o.models[name]))
	}
	return estimate
}

// refusal returns an estimate that rejects the wait and suggests when to retry.
func refusal(model api.ModelName, retry time.Duration, reason string) api.LoadEstimate {
	return api.LoadEstimate{Model: model, RetryAfter: retry, Reason: reason}
}

// estimateQueued returns the estimate for the queued load at index.
func (o *Owner) estimateQueued(now time.Time, index int) api.LoadEstimate {
	queued := o.queue[index]
	model := o.models[queued.model]
	load := o.loadTime(model)
	switch queued.cause {
	case waitsForSlot:
		return accept(queued.model, now.Add(o.slotDelay(now, index)+load))
	case waitsForPendingUnload, waitsForOwnUnload, waitsForServers:
		return accept(queued.model, now.Add(o.config.Timing.DrainGrace+settleTime+load))
	case waitsForBase:
		base := o.models[model.Base]
		return accept(queued.model, now.Add(o.loadTime(base)+load))
	case waitsForBackoff:
		return refusal(queued.model, max(settleTime, queued.until.Sub(now)), "the last load of the model failed")
	case waitsForRecord:
		return refusal(queued.model, settleTime, "no server of the cell may be used before the table service has confirmed it")
	default:
		return refusal(queued.model, capacityRetry, "the accelerators' memory is taken by models in use")
	}
}

// accept returns an estimate with the expected time of readiness.
func accept(model api.ModelName, readyBy time.Time) api.LoadEstimate {
	return api.LoadEstimate{Model: model, Accepted: true, ReadyBy: readyBy}
}

// slotDelay estimates how long the queued load at index waits for a slot: until
// enough current loads have ended, and at least as long as the rate of load
// starts requires.
func (o *Owner) slotDelay(now time.Time, index int) time.Duration {
	ahead := 0
	for _, queued := range o.queue[:index] {
		if queued.cause == waitsForSlot {
			ahead++
		}
	}
	var ends []time.Time
	for _, r := range o.transitioning {
		if r.loading() {
			ends = append(ends, r.readyBy)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	delay := time.Duration(0)
	if free := max(1, o.allocation.Slots) - len(ends); ahead >= free && len(ends) > 0 {
		ended := min(ahead-free, len(ends)-1)
		rounds := 1 + (ahead-free)/len(ends)
		delay = time.Duration(rounds) * max(settleTime, ends[max(0, ended)].Sub(now))
	}
	if o.allocation.Rate > 0 {
		delay = max(delay, time.Duration(float64(ahead+1)/o.allocation.Rate*float64(time.Second)))
	}
	return delay
}
