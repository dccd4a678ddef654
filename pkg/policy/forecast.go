package policy

import (
	"math"
	"time"
)

// horizons are the times ahead for which a forecast is made; they grow by half
// octaves.
var horizons = func() [24]time.Duration {
	var times [24]time.Duration
	for i := range times {
		times[i] = time.Duration(float64(5*time.Second) * math.Exp2(float64(i)/2))
	}
	return times
}()

// forecast tells for each of the horizons how probable it is that a model gets
// no request until then.
type forecast [len(horizons)]float64

// forecast returns the forecast of a model. A base is wanted when one of its
// adapters is.
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

// add multiplies the forecast by that of an independent stream of requests.
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

// outlook is what holding a model is worth at the best, in accelerator seconds:
// the cold starts that it saves less the time that it idles.
type outlook struct {
	hold     float64 // from now on; below zero if unloading at once is better
	loadNow  float64 // if it is not loaded: a load that starts now
	loadLate float64 // or a load that starts later
}

// outlook works out the worth of a model whose cold start would take load and
// be worth coldStart, and whose idling costs cost per second.
func (f *forecast) outlook(load time.Duration, coldStart, cost float64) outlook {
	best := outlook{hold: math.Inf(-1), loadNow: math.Inf(-1), loadLate: math.Inf(-1)}
	quietWhenReady := f.at(load)
	bestStart := math.Inf(-1) // of what a later load saves by its start
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
		bestStart = max(bestStart, f.at(horizon+load)*coldStart+held*cost)
	}
	return best
}

// at returns how probable it is that no request comes until a time ahead.
func (f *forecast) at(ahead time.Duration) float64 {
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
