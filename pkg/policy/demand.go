package policy

import (
	"math"
	"time"
)

// demandFirst holds whatever fits and lets go what is cheapest to miss: replicas
// beyond the demand, then models by the chance of a request and the time to load
// them again on the same server. It suits sites on which idle memory costs
// nothing.
type demandFirst struct{}

// demandHorizon is the time ahead for which a replica's use is estimated, and
// priorRate the arrivals a second of a model that nothing is known of.
const (
	demandHorizon = 10 * time.Second
	priorRate     = 0.03
	surplusValue  = 0.05 // of a replica beyond the demand, of what it is worth else
	spareValue    = 0.2  // of one that the demand does not need but that is kept for the loss of a server
)

func (demandFirst) unload(*plan, *Model, *Replica, time.Time) bool { return false }

func (demandFirst) prewarm(*plan, *Model) (prewarmWish, bool) { return prewarmWish{}, false }

// value implements retention: the weighted requests that would wait for the model to be
// loaded again, times the seconds that they would wait.
func (demandFirst) value(p *plan, model *Model, replica *Replica, _ time.Time) float64 {
	demand := &model.Demand
	chance := 1 - math.Exp(-(demand.Rate+priorRate)*demandHorizon.Seconds())
	reload := p.reload(model, replica.Server).Seconds() + loadOverhead
	value := reload * (chance*meanWeight(demand) + demand.WeightedRate*reload)
	if p.staying(model) > max(wantedReplicas(model), 1) {
		return value * surplusValue
	}
	if p.staying(model) > max(neededReplicas(model), 1) {
		return value * spareValue
	}
	return value
}

// worth implements retention: the weighted requests that a second of waiting hits.
func (demandFirst) worth(model *Model) float64 {
	return model.Demand.WaitingWeight + model.Demand.WeightedRate + priorWeightedRate
}

// meanWeight is what a request for a model counts for.
func meanWeight(demand *Demand) float64 {
	return (demand.WeightedRate + priorWeightedRate) / (demand.Rate + priorRate)
}
