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
)

func (demandFirst) unload(*plan, *Model, *Replica, time.Time) bool { return false }

func (demandFirst) prewarm(*plan, *Model) (prewarmWish, bool) { return prewarmWish{}, false }

// value implements retention: the cold start that the replica is expected to
// save, in accelerator seconds.
func (demandFirst) value(p *plan, model *Model, replica *Replica, _ time.Time) float64 {
	chance := 1 - math.Exp(-(model.Demand.Rate+priorRate)*demandHorizon.Seconds())
	reload := p.reload(model, replica.Server).Seconds() + loadOverhead
	value := coldStartWorth(model) * reload * chance
	if p.staying(model) > max(wantedReplicas(model), 1) {
		value *= surplusValue
	}
	return value
}
