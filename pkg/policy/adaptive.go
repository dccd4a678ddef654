package policy

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// exchangeRate is how many accelerator seconds of idling a second of a cold
// start is worth if both measures weigh the same.
const exchangeRate = 15.0

// largestWeight bounds the weight of cold starts, so that the worth of a cold
// start stays finite.
const largestWeight = 0.99

// adaptive weighs for each model the cold start that holding it may save
// against the time that it would idle, as the histograms of idle times forecast
// them.
type adaptive struct{}

// unload implements retention. A replica is let go when holding it is not worth
// it, or when it is better to load it again shortly before the next request.
func (a adaptive) unload(p *plan, model *Model, replica *Replica, lastUse time.Time) bool {
	idle := p.now.Sub(lastUse)
	if idle < shortestIdle {
		return false
	}
	if idle >= model.Settings.KeepAlive {
		return true
	}
	reload := p.reload(model, replica.Server)
	worth := p.outlook(model, reload)
	reloadCost := reload.Seconds() * accelerators(model)
	return worth.hold < 0 || model.Settings.Prewarm && worth.hold+reloadCost < worth.loadLate
}

// shortestIdle is how long a replica stays at least, so that demand that was
// not reported yet does not meet an unloading one.
const shortestIdle = 3 * time.Second

// worth implements retention, in accelerator seconds.
func (adaptive) worth(model *Model) float64 { return coldStartWorth(model) }

// value implements retention.
func (adaptive) value(p *plan, model *Model, replica *Replica, _ time.Time) float64 {
	return p.outlook(model, p.reload(model, replica.Server)).hold
}

// prewarm implements retention.
func (adaptive) prewarm(p *plan, model *Model) (prewarmWish, bool) {
	if !p.prewarmTurn(model) {
		return prewarmWish{}, false
	}
	if p.worthCaching(model) {
		return prewarmWish{"to cache its checkpoint", leastCached{}}, true
	}
	if !p.maySoonBeWanted(model) {
		return prewarmWish{}, false
	}
	worth := p.outlook(model, p.fastestLoad(model))
	soon := worth.loadNow > 0 && worth.loadNow >= worth.loadLate
	return prewarmWish{"expected soon", lowestCost{}}, soon
}

// prewarmTurns is the number of decisions, a second apart, over which the
// models that are not loaded take turns to be looked at.
const prewarmTurns = 5

// prewarmTurn tells whether it is the model's turn.
func (p *plan) prewarmTurn(model *Model) bool {
	return (int(p.now.Unix())+p.indexOf(model.Name))%prewarmTurns == 0
}

// maySoonBeWanted tells whether the model can be loaded and has a history.
func (p *plan) maySoonBeWanted(model *Model) bool {
	return !model.History.Last.IsZero() && (model.Base == "" || p.hasUsableBase(model))
}

// reload returns how long it is expected to take to load a model again on the
// server that holds it.
func (p *plan) reload(model *Model, server api.ServerID) time.Duration {
	return model.loadTime(p.tier(model, server))
}

// outlook returns what holding a model is worth whose load takes the time load.
func (p *plan) outlook(model *Model, load time.Duration) outlook {
	quiet := p.forecast(model)
	wait := load.Seconds() + loadOverhead
	harm := wait * wait / referenceLoad
	return quiet.outlook(load, harm*coldStartWorth(model), accelerators(model))
}

// loadOverhead is what a cold start takes besides its load, in seconds: the
// decision, its commit, the order and the news of the replica. It also keeps
// small models and adapters from being loaded for each request anew.
const loadOverhead = 0.5

// referenceLoad is the length of a cold start, in seconds, whose seconds count
// once. The harm of a cold start grows with the square of its length, as it is
// the tail that is measured.
const referenceLoad = 3.0

// coldStartWorth returns how many accelerator seconds a second of a cold start
// of the model is worth.
func coldStartWorth(model *Model) float64 {
	weight := min(max(model.Settings.ColdStartWeight, 0), largestWeight)
	return exchangeRate * weight / (1 - weight)
}

// acceleratorBytes is the memory that counts as one accelerator.
const acceleratorBytes = 80e9

// accelerators returns which part of an accelerator a replica takes.
func accelerators(model *Model) float64 {
	return float64(ReplicaBytes(model)) / acceleratorBytes
}
