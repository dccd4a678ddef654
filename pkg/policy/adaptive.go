package policy

import "time"

// exchangeRate is how many accelerator seconds of idling a second of a cold
// start is worth if both measures weigh the same.
const exchangeRate = 60.0

// largestWeight bounds the weight of cold starts, so that the worth of a cold
// start stays finite.
const largestWeight = 0.99

// adaptive weighs for each model the cold start that holding it may save
// against the time that it would idle, as the histograms of idle times forecast
// them.
type adaptive struct{}

// unload implements retention.
func (adaptive) unload(p *plan, model *Model, replica *Replica, lastUse time.Time) bool {
	idle := p.now.Sub(lastUse)
	if idle < shortestIdle {
		return false
	}
	return idle >= model.Settings.KeepAlive || adaptive{}.value(p, model, replica, lastUse) < 0
}

// shortestIdle is how long a replica stays at least, so that demand that was
// not reported yet does not meet an unloading one.
const shortestIdle = 3 * time.Second

// prewarm implements retention.
func (adaptive) prewarm(p *plan, model *Model) string {
	if p.worthCaching(model) {
		return "to cache its checkpoint"
	}
	return ""
}

// value implements retention.
func (adaptive) value(p *plan, model *Model, replica *Replica, _ time.Time) float64 {
	quiet := p.forecast(model)
	reload := model.Settings.LoadTime.Seconds() * p.tier(model, replica.Server).loadShare()
	return quiet.holdValue(reload*coldStartWorth(model), accelerators(model))
}

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
