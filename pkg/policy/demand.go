package policy

import (
	"math"
	"time"
)

// demandFirst keeps replicas loaded as long as they fit and evicts the cheapest ones
// first: replicas beyond the demand, then models by the probability of a request and
// the time to reload them on the same server. It suits sites on which idle memory
// costs nothing.
type demandFirst struct{}

// Parameters of the value of a replica.
const (
	demandHorizon = 10 * time.Second // time ahead for which the use of a replica is estimated
	priorRate     = 0.03             // assumed arrivals per second of a model without known arrivals
	surplusFactor = 0.05             // factor for the value of a replica beyond the demand and the spares
	spareFactor   = 0.2              // factor for the value of a spare, kept for the loss of a server
)

func (demandFirst) unload(*plan, *Model, *Replica, time.Time) bool { return false }

func (demandFirst) prewarm(*plan, *Model) (prewarmLoad, bool) { return prewarmLoad{}, false }

// value implements retention. It is the number of weighted requests that would wait
// for the model to be reloaded, times the seconds that they would wait.
func (demandFirst) value(p *plan, model *Model, replica *Replica, _ time.Time) float64 {
	demand := &model.Demand
	chance := 1 - math.Exp(-(demand.Rate+priorRate)*demandHorizon.Seconds())
	reload := p.reload(model, replica.Server).Seconds() + loadOverhead
	value := reload * (chance*meanWeight(demand) + demand.WeightedRate*reload)
	if replica.Sole {
		return value
	}
	if p.remainingReplicas(model) > max(wantedReplicas(model), 1) {
		return value * surplusFactor
	}
	if p.remainingReplicas(model) > max(neededReplicas(model), 1) {
		return value * spareFactor
	}
	return value
}

// waitCost implements retention. It is the number of weighted requests that a second of
// waiting affects.
func (demandFirst) waitCost(model *Model) float64 {
	return model.Demand.WaitingWeight + model.Demand.WeightedRate + priorWeightedRate
}

// meanWeight returns the mean weight of a request for a model.
func meanWeight(demand *Demand) float64 {
	return (demand.WeightedRate + priorWeightedRate) / (demand.Rate + priorRate)
}
