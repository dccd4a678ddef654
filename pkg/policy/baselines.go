package policy

import "time"

// fixedKeepAliveTime is how long the decider fixed-keepalive keeps an idle
// model, unless the setting keepAlive is shorter.
const fixedKeepAliveTime = 10 * time.Minute

// fixedKeepAlive unloads a model that was idle for a fixed time.
type fixedKeepAlive struct{ leastRecentlyUsed }

func (fixedKeepAlive) unload(p *plan, model *Model, _ *Replica, lastUse time.Time) bool {
	return p.now.Sub(lastUse) >= min(model.Settings.KeepAlive, fixedKeepAliveTime)
}

// neverUnload unloads a model only when its memory is needed.
type neverUnload struct{ leastRecentlyUsed }

func (neverUnload) unload(*plan, *Model, *Replica, time.Time) bool { return false }

// unloadAtOnce unloads a model as soon as it is idle.
type unloadAtOnce struct{ leastRecentlyUsed }

func (unloadAtOnce) unload(*plan, *Model, *Replica, time.Time) bool { return true }

// leastRecentlyUsed never prewarms and values a replica by its last use; the least
// recently used one has the lowest value.
type leastRecentlyUsed struct{}

func (leastRecentlyUsed) prewarm(*plan, *Model) (prewarmLoad, bool) { return prewarmLoad{}, false }

// waitCost implements retention, in accelerator seconds.
func (leastRecentlyUsed) waitCost(model *Model) float64 { return coldStartCost(model) }

// value implements retention. It decreases with the time since the last use and is
// above zero, so that an eviction always has a cost.
func (leastRecentlyUsed) value(p *plan, _ *Model, _ *Replica, lastUse time.Time) float64 {
	return justUsedValue - p.now.Sub(lastUse).Seconds()
}

// justUsedValue is the value of a replica that was used just now.
const justUsedValue = 1e9
