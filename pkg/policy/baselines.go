package policy

import "time"

// fixedKeepAliveTime is how long the decider fixed-keepalive keeps an idle
// model, unless the setting keepAlive is shorter.
const fixedKeepAliveTime = 10 * time.Minute

// fixedKeepAlive unloads a model that was idle for a fixed time.
type fixedKeepAlive struct{}

func (fixedKeepAlive) keepUntil(model *Model, lastUse time.Time) time.Time {
	return lastUse.Add(min(model.Settings.KeepAlive, fixedKeepAliveTime))
}

func (fixedKeepAlive) prewarm(time.Time, *Model) bool { return false }

func (fixedKeepAlive) value(now time.Time, _ *Model, lastUse time.Time) float64 {
	return leastRecentlyUsed(now, lastUse)
}

// neverUnload unloads a model only when its memory is needed.
type neverUnload struct{}

func (neverUnload) keepUntil(*Model, time.Time) time.Time { return time.Time{} }

func (neverUnload) prewarm(time.Time, *Model) bool { return false }

func (neverUnload) value(now time.Time, _ *Model, lastUse time.Time) float64 {
	return leastRecentlyUsed(now, lastUse)
}

// unloadAtOnce unloads a model as soon as it is idle.
type unloadAtOnce struct{}

func (unloadAtOnce) keepUntil(_ *Model, lastUse time.Time) time.Time { return lastUse }

func (unloadAtOnce) prewarm(time.Time, *Model) bool { return false }

func (unloadAtOnce) value(now time.Time, _ *Model, lastUse time.Time) float64 {
	return leastRecentlyUsed(now, lastUse)
}

// leastRecentlyUsed values a model by how lately it was used.
func leastRecentlyUsed(now, lastUse time.Time) float64 {
	return -now.Sub(lastUse).Seconds()
}
