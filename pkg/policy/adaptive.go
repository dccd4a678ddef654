package policy

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// exchangeRate is how many accelerator seconds of idling one second of a cold
// start is worth at a ColdStartWeight of 0.5.
const exchangeRate = 15.0

// maxColdStartWeight bounds the weight of cold starts, so that their cost stays finite.
const maxColdStartWeight = 0.99

// adaptive weighs, for each model, the cold start that keeping it loaded may save
// against the time that it would idle. Both are forecast from the histogram of the
// gaps between its arrivals.
type adaptive struct{}

// unload implements retention. A replica is unloaded when keeping it costs more than
// it saves, or when it is better to reload it shortly before the next request.
func (a adaptive) unload(p *plan, model *Model, replica *Replica, lastUse time.Time) bool {
	idle := p.now.Sub(lastUse)
	if idle < minIdleTime {
		return false
	}
	if idle >= model.Settings.KeepAlive {
		return true
	}
	reload := p.reload(model, replica.Server)
	benefit := p.expectedBenefit(model, reload)
	reloadCost := reload.Seconds() * accelerators(model)
	return benefit.hold < 0 || model.Settings.Prewarm && benefit.hold+reloadCost < benefit.loadLate
}

// minIdleTime is the minimum idle time before an unload, so that requests whose
// demand is not reported yet do not find the replica unloading.
const minIdleTime = 3 * time.Second

// waitCost implements retention, in accelerator seconds.
func (adaptive) waitCost(model *Model) float64 { return coldStartCost(model) }

// value implements retention.
func (adaptive) value(p *plan, model *Model, replica *Replica, _ time.Time) float64 {
	return p.expectedBenefit(model, p.reload(model, replica.Server)).hold
}

// prewarm implements retention.
func (adaptive) prewarm(p *plan, model *Model) (prewarmLoad, bool) {
	if !p.prewarmDue(model) {
		return prewarmLoad{}, false
	}
	if p.worthCaching(model) {
		return prewarmLoad{"to cache its checkpoint", leastCached{}}, true
	}
	if !p.prewarmable(model) {
		return prewarmLoad{}, false
	}
	benefit := p.expectedBenefit(model, p.fastestLoad(model))
	soon := benefit.loadNow > 0 && benefit.loadNow >= benefit.loadLate
	return prewarmLoad{"expected soon", lowestCost{}}, soon
}

// prewarmCycle is the number of decisions, one second apart, over which the models
// that are not loaded are examined for prewarming, an equal share in each.
const prewarmCycle = 5

// prewarmDue reports whether the model is to be examined for prewarming in this decision.
func (p *plan) prewarmDue(model *Model) bool {
	return (int(p.now.Unix())+p.indexOf(model.Name))%prewarmCycle == 0
}

// prewarmable reports whether the model has a history and, if it is an adapter,
// a base to be loaded on.
func (p *plan) prewarmable(model *Model) bool {
	return !model.History.Last.IsZero() && (model.Base == "" || p.hasUsableBase(model))
}

// reload returns the expected time to reload a model on the server that holds it.
func (p *plan) reload(model *Model, server api.ServerID) time.Duration {
	return model.loadTime(p.tier(model, server))
}

// expectedBenefit returns the expected benefit of keeping a model loaded whose load
// takes the time load.
func (p *plan) expectedBenefit(model *Model, load time.Duration) expectedBenefit {
	quiet := p.forecast(model)
	wait := load.Seconds() + loadOverhead
	penalty := wait * wait / referenceLoad
	return quiet.expectedBenefit(load, penalty*coldStartCost(model), accelerators(model))
}

// loadOverhead is the duration of a cold start apart from its load, in seconds: the
// decision, its commit, the order and the report of the replica. It also prevents
// small models and adapters from being reloaded for each request.
const loadOverhead = 0.5

// referenceLoad is the duration of a cold start, in seconds, whose cost equals its
// duration. The cost of a cold start grows with the square of its duration, because
// the objective is the tail latency.
const referenceLoad = 3.0

// coldStartCost returns the cost of one second of a cold start of the model, in
// accelerator seconds.
func coldStartCost(model *Model) float64 {
	weight := min(max(model.Settings.ColdStartWeight, 0), maxColdStartWeight)
	return exchangeRate * weight / (1 - weight)
}

// acceleratorBytes is the memory that counts as one accelerator.
const acceleratorBytes = 80e9

// accelerators returns the number of accelerators that a replica takes; it may be a
// fraction.
func accelerators(model *Model) float64 {
	return float64(ReplicaBytes(model)) / acceleratorBytes
}
