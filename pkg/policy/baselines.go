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

// leastRecentlyUsed loads nothing ahead, and values a replica by how lately it
// was used.
type leastRecentlyUsed struct{}

func (leastRecentlyUsed) prewarm(*plan, *Model) (prewarmWish, bool) { return prewarmWish{}, false }

// worth implements retention, in accelerator seconds.
func (leastRecentlyUsed) worth(model *Model) float64 { return coldStartWorth(model) }

// value is the negative age; with the offset it is above zero, so that an
// eviction always costs something.
func (leastRecentlyUsed) value(p *plan, _ *Model, _ *Replica, lastUse time.Time) float64 {
	return valueOfFresh - p.now.Sub(lastUse).Seconds()
}

// valueOfFresh is the value of a replica that is in use right now.
const valueOfFresh = 1e9
