package traffic

import "time"

// paceWeight is the weight of the newest sample in the moving averages.
const paceWeight = 0.1

// pace measures how fast the replicas of a model serve this node's requests.
type pace struct {
	hold       time.Duration // mean time that a request holds its place; zero: not measured
	firstToken time.Duration // mean time from the grant to the first token
	lastEnd    time.Time     // of a request, or when the first one began after a pause
	running    int
}

// begin notes that a request takes a place.
func (p *pace) begin(now time.Time) {
	if p.running == 0 {
		p.lastEnd = now
	}
	p.running++
}

// end notes that a request gave its place back after it held it for hold.
func (p *pace) end(now time.Time, hold time.Duration, outcome Outcome) {
	p.running--
	if outcome.Kind == OutcomeNotRun {
		return
	}
	p.lastEnd = now
	if outcome.Kind != OutcomeCancelled {
		p.hold = average(p.hold, hold)
	}
	if outcome.FirstToken > 0 {
		p.firstToken = average(p.firstToken, outcome.FirstToken)
	}
}

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(paceWeight*float64(sample-mean))
}

// expectedHold is the mean, or the time since anything ended if that is longer:
// replicas that are stuck finish nothing which would raise the mean.
func (p *pace) expectedHold(now time.Time) time.Duration {
	if p.hold == 0 || p.running == 0 {
		return p.hold
	}
	return max(p.hold, now.Sub(p.lastEnd))
}
