package coordinator

import "time"

// rate is a smoothed number of arrivals a second.
type rate struct {
	perSecond float64
	asOf      time.Time
}

// rateHalfLife is the age at which arrivals count half.
const rateHalfLife = 5 * time.Second

// decayPerHalfLife makes the sum of decaying arrivals a rate: ln 2.
const decayPerHalfLife = 0.693

// leastRate is the rate under which nothing is said to arrive.
const leastRate = 0.001

// add takes in arrivals.
func (r *rate) add(now time.Time, n float64) {
	r.join(now, n/rateHalfLife.Seconds()*decayPerHalfLife)
}

// join takes in the rate of others.
func (r *rate) join(now time.Time, perSecond float64) {
	r.perSecond = r.at(now) + perSecond
	r.asOf = now
}

// at returns the rate as it has decayed until now.
func (r *rate) at(now time.Time) float64 {
	left := r.perSecond
	for age := now.Sub(r.asOf); age > 0 && left > leastRate; age -= rateHalfLife {
		if age < rateHalfLife {
			return left * (1 - 0.5*age.Seconds()/rateHalfLife.Seconds())
		}
		left /= 2
	}
	return left
}

// rates are the arrivals of a model, by number and by the weight of their urgency.
type rates struct {
	count, weight rate
}

// add takes in arrivals.
func (r *rates) add(now time.Time, a arrivals) {
	r.count.add(now, float64(a.count))
	r.weight.add(now, a.weight)
}
