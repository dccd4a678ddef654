package coordinator

import "time"

// rate is a smoothed number of arrivals a second.
type rate struct {
	perSecond float64
	asOf      time.Time
}

// rateHalfLife is the age at which arrivals count half.
const rateHalfLife = 5 * time.Second

// decayPerHalfLife converts the sum of decaying arrivals into a rate: ln 2.
const decayPerHalfLife = 0.693

// minRate is the rate below which nothing counts as arriving.
const minRate = 0.001

// add adds arrivals.
func (r *rate) add(now time.Time, n float64) {
	r.addRate(now, n/rateHalfLife.Seconds()*decayPerHalfLife)
}

// addRate adds a rate.
func (r *rate) addRate(now time.Time, perSecond float64) {
	r.perSecond = r.at(now) + perSecond
	r.asOf = now
}

// at returns the rate as decayed until now.
func (r *rate) at(now time.Time) float64 {
	left := r.perSecond
	for age := now.Sub(r.asOf); age > 0 && left > minRate; age -= rateHalfLife {
		if age < rateHalfLife {
			return left * (1 - 0.5*age.Seconds()/rateHalfLife.Seconds())
		}
		left /= 2
	}
	return left
}

// rates are the arrivals of a model, by count and by urgency weight.
type rates struct {
	count, weight rate
}

// add adds arrivals.
func (r *rates) add(now time.Time, a arrivals) {
	r.count.add(now, float64(a.count))
	r.weight.add(now, a.weight)
}
