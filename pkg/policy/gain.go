package policy

import (
	"cmp"
	"math"
	"time"
)

// urgencyStep is the ratio of the weights of two successive priorities. Sites only
// configure an order of priorities, so that their weights have to be assumed.
const urgencyStep = 3.0

// UrgencyWeight returns the weight of a request of a priority. The most urgent
// priority is 0 and has the weight 1.
func UrgencyWeight(priority int) float64 {
	return math.Pow(urgencyStep, -float64(max(priority, 0)))
}

// priorWeightedRate is the assumed weighted rate of a model without known arrivals:
// priorRate arrivals per second of a middle priority, 1.
const priorWeightedRate = priorRate / urgencyStep

// spareShare is the value of a replica beyond the demand, as a share of the one that
// serves it: about the probability that a server is lost while the demand lasts.
const spareShare = 0.03

// gain returns the value of one more replica of a model that already has present
// replicas. The value is the number of weighted requests that it would serve, waiting or
// expected within demandHorizon.
func gain(model *Model, present int) float64 {
	demand := &model.Demand
	expected := (demand.WeightedRate + priorWeightedRate) * demandHorizon.Seconds()
	if present == 0 {
		return demand.WaitingWeight + expected
	}
	requests := demand.Waiting + demand.InFlight
	capacity := present * max(model.Settings.MaxConcurrency, 1)
	if requests > capacity {
		return expected * float64(requests-capacity) / float64(requests)
	}
	return expected * spareShare
}

// GainRate returns the gain per second of a load of the model that takes the time
// load, if no server holds the model.
func GainRate(model *Model, load time.Duration) float64 {
	return gain(model, 0) / (load.Seconds() + evictionSeconds)
}

// loadOrder compares two missing loads; the one that is to start first is the lesser.
type loadOrder func(a, b wantedLoad) int

// byGain orders loads by their gain per second, highest first, so that loads for
// single requests do not delay many requests for one model.
func byGain(a, b wantedLoad) int {
	return cmp.Or(cmp.Compare(b.gainRate, a.gainRate), compareUrgency(a, b))
}

// worthMore reports whether the victims of a placement are worth more than the
// replica for which they would be evicted.
func (p *plan) worthMore(victims []victim, incoming *Model) bool {
	lost := 0.0
	for i := range victims {
		left := p.remainingReplicas(victims[i].model) - 1
		if victims[i].replica.Sole {
			left = 0
		}
		lost += gain(victims[i].model, left)
	}
	return lost > gain(incoming, p.present[p.indexOf(incoming.Name)])
}
