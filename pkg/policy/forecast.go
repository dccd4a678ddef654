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

// holdValue returns what holding the model from now on is worth at the best:
// the cold starts that it saves, less the time that it idles, which is weighed
// by cost per second. It is below zero if unloading at once is better.
func (f *forecast) holdValue(coldStart, cost float64) float64 {
	best := math.Inf(-1)
	held, last, quiet := 0.0, 0.0, 1.0
	for i, horizon := range horizons {
		until := horizon.Seconds()
		held += (quiet + f[i]) / 2 * (until - last)
		last, quiet = until, f[i]
		best = max(best, (1-quiet)*coldStart-held*cost)
	}
	return best
}
