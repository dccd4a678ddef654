package traffic

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// reportInterval is the time between two reports of a model's demand.
const reportInterval = time.Second

// demand counts the requests for a model between two reports.
type demand struct {
	arrivals    uint32 // since the last report
	lastArrival time.Time
	wokenAt     time.Time // when the immediate report for a model without a replica was sent; zero: none
	reported    bool      // whether the last report had requests waiting or in flight
}

// countArrival counts a new request.
func (d *demand) countArrival(now time.Time) {
	d.arrivals++
	d.lastArrival = now
}

// takeReport returns the demand of a model and resets the count of arrivals.
func (p *pool) takeReport(state *modelState) api.ModelDemand {
	report := api.ModelDemand{
		Model:       state.name,
		Arrivals:    state.demand.arrivals,
		InFlight:    uint32(state.throughput.running),
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

// wake returns the immediate report that asks the owner for a replica. It is due for
// the first request that waits for a model without a replica; for all others wake
// returns false.
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

// dueReports returns the reports of the pool's models that have any demand or had
// some at their last report.
func (p *pool) dueReports() []api.ModelDemand {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var due []api.ModelDemand
	for _, state := range p.models {
		waiting := p.waitingCount(state)
		if waiting == 0 {
			state.answer.accepted = false
		}
		active := state.demand.arrivals > 0 || waiting > 0 || state.throughput.running > 0
		if active || state.demand.reported {
			due = append(due, p.takeReport(state))
		}
	}
	return due
}
