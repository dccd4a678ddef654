package policy

import (
	"cmp"
	"math"
	"time"
)

// What a request counts for, by its urgency. Sites tell ranks, not worths: a rank is
// taken to be worth urgencyStep times the next one.
const urgencyStep = 3.0

// UrgencyWeight returns what a request of a priority counts for; 0 is the most urgent
// priority and counts 1.
func UrgencyWeight(priority int) float64 {
	return math.Pow(urgencyStep, -float64(max(priority, 0)))
}

// priorWeightedRate is the pressure of a model that nothing is known of: priorRate
// arrivals a second of a middle priority.
const priorWeightedRate = priorRate / urgencyStep

// spareShare is what a replica beyond the demand is worth of the one that carries it:
// about the chance that a server is lost while the demand lasts.
const spareShare = 0.03

// gain returns what one more replica of a model is worth besides present ones, in
// weighted requests: those that wait and those expected within demandHorizon that
// it would serve.
func gain(model *Model, present int) float64 {
	demand := &model.Demand
	expected := (demand.WeightedRate + priorWeightedRate) * demandHorizon.Seconds()
	if present == 0 {
		return demand.WaitingWeight + expected
	}
	requests := demand.Waiting + demand.InFlight
	room := present * max(model.Settings.MaxConcurrency, 1)
	if requests > room {
		return expected * float64(requests-room) / float64(requests)
	}
	return expected * spareShare
}

// GainRate returns what a load of the model that takes so long is worth for each
// second of it, if no server holds the model.
func GainRate(model *Model, load time.Duration) float64 {
	return gain(model, 0) / (load.Seconds() + evictionSeconds)
}

// loadOrder ranks the loads that are missing.
type loadOrder func(a, b wantedLoad) int

// byGain puts first what is worth most for each second of its load, so that many
// requests for one model are not kept waiting by loads for single ones.
func byGain(a, b wantedLoad) int {
	return cmp.Or(cmp.Compare(b.gainRate, a.gainRate), compareUrgency(a, b))
}

// worthMore tells whether the victims of a placement are worth more than the replica
// that they would make way for.
func (p *plan) worthMore(victims []victim, incoming *Model) bool {
	lost := 0.0
	for i := range victims {
		lost += gain(victims[i].model, p.staying(victims[i].model)-1)
	}
	return lost > gain(incoming, p.present[p.indexOf(incoming.Name)])
}
