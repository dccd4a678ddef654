package policy

import (
	"math"
	"time"
)

// horizons are the times ahead for which a forecast is made. Each is the square
// root of two times the one before.
var horizons = func() [24]time.Duration {
	var times [24]time.Duration
	for i := range times {
		times[i] = time.Duration(float64(5*time.Second) * math.Exp2(float64(i)/2))
	}
	return times
}()

// forecast is, for each of the horizons, the probability that a model gets no
// request until then.
type forecast [len(horizons)]float64

// forecast returns the forecast of a model. Requests for an adapter count as
// requests for its base, too.
func (p *plan) forecast(model *Model) forecast {
	var quiet forecast
	for i := range quiet {
		quiet[i] = 1
	}
	quiet.add(p.now, model.History)
	if model.Base == "" {
		for adapter := range p.adapters(model) {
			quiet.add(p.now, adapter.History)
		}
	}
	return quiet
}

// add includes an independent stream of requests in the forecast.
func (f *forecast) add(now time.Time, history *History) {
	if history.Last.IsZero() {
		return
	}
	age := max(now.Sub(history.Last), 0)
	survival := history.survival()
	present := survival(age)
	for i := range f {
		f[i] *= survival(age+horizons[i]) / present
	}
}

// expectedBenefit is the highest expected benefit of keeping a model loaded, in accelerator
// seconds: the cold starts that it saves minus the time that the model idles.
type expectedBenefit struct {
	hold     float64 // benefit of keeping a loaded model; below zero if unloading it now is better
	loadNow  float64 // benefit of starting to load a model now
	loadLate float64 // benefit of starting to load a model later
}

// expectedBenefit returns the expected benefit of keeping a model loaded whose load takes the
// time load, whose cold start costs coldStart and whose idling costs cost per second.
func (f *forecast) expectedBenefit(load time.Duration, coldStart, cost float64) expectedBenefit {
	best := expectedBenefit{hold: math.Inf(-1), loadNow: math.Inf(-1), loadLate: math.Inf(-1)}
	quietWhenReady := f.quietFor(load)
	bestStart := math.Inf(-1) // highest benefit of a later start of the load, before the idle time
	held, last, quiet := 0.0, 0.0, 1.0
	for i, horizon := range horizons {
		until := horizon.Seconds()
		held += (quiet + f[i]) / 2 * (until - last)
		last, quiet = until, f[i]
		missed := quiet*coldStart + held*cost
		best.hold = max(best.hold, coldStart-missed)
		if horizon > load {
			best.loadNow = max(best.loadNow, quietWhenReady*coldStart-missed)
		}
		best.loadLate = max(best.loadLate, bestStart-missed)
		bestStart = max(bestStart, f.quietFor(horizon+load)*coldStart+held*cost)
	}
	return best
}

// quietFor returns the probability that no request comes within the time ahead,
// interpolated between the horizons.
func (f *forecast) quietFor(ahead time.Duration) float64 {
	last, quiet := time.Duration(0), 1.0
	for i, horizon := range horizons {
		if ahead <= horizon {
			part := float64(ahead-last) / float64(horizon-last)
			return quiet + (f[i]-quiet)*part
		}
		last, quiet = horizon, f[i]
	}
	return quiet
}
