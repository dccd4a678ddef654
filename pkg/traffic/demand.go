package traffic

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// reportInterval is the time between two reports of a model's demand.
const reportInterval = time.Second

// demand is what a node has seen of a model since its last report.
type demand struct {
	arrivals    uint32
	lastArrival time.Time
	wokenAt     time.Time // when a report for a model without a replica went out; zero: none
	reported    bool      // the last report had something waiting or in flight
}

// arrive counts a request.
func (d *demand) arrive(now time.Time) {
	d.arrivals++
	d.lastArrival = now
}

// takeReport returns the demand of a model and starts to count anew.
func (p *pool) takeReport(state *modelState) api.ModelDemand {
	report := api.ModelDemand{
		Model:       state.name,
		Arrivals:    state.demand.arrivals,
		InFlight:    uint32(state.pace.running),
		LastArrival: state.demand.lastArrival,
	}
	for _, waiting := range p.waitingOf(state) {
		request := &waiting.request
		if report.Waiting == 0 {
			report.RequestID = request.ID
		}
		if report.Waiting == 0 || request.Priority > report.HighestPriority {
			report.HighestPriority = request.Priority
		}
		if report.Waiting == 0 || request.Deadline.Before(report.EarliestDeadline) {
			report.EarliestDeadline = request.Deadline
		}
		report.Waiting++
	}
	state.demand.arrivals = 0
	state.demand.reported = report.Waiting > 0 || report.InFlight > 0
	return report
}

// wake returns the report that asks the owner for a replica, for the first
// request that waits for a model without one, and false for all others.
func (p *pool) wake(now time.Time, state *modelState) (api.ModelDemand, bool) {
	if state.anyServes(now) {
		state.demand.wokenAt = time.Time{}
		return api.ModelDemand{}, false
	}
	if !state.demand.wokenAt.IsZero() && !p.router.config.off.wakeOnce {
		return api.ModelDemand{}, false
	}
	state.demand.wokenAt = now
	return p.takeReport(state), true
}

// dueReports returns the reports of the pool's models that have any demand, or
// had some at their last report.
func (p *pool) dueReports() []api.ModelDemand {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var due []api.ModelDemand
	for _, state := range p.models {
		waiting := p.waitingCount(state)
		if waiting == 0 {
			state.answer.wanted = false
		}
		active := state.demand.arrivals > 0 || waiting > 0 || state.pace.running > 0
		if active || state.demand.reported {
			due = append(due, p.takeReport(state))
		}
	}
	return due
}
