package traffic

import "time"

// sampleWeight is the weight of the newest sample in the exponential moving averages.
const sampleWeight = 0.1

// throughput measures how fast the replicas of a model serve this node's requests.
type throughput struct {
	holdTime   time.Duration // mean time that a request holds its slot; zero: not measured
	firstToken time.Duration // mean time from the grant to the first token
	lastEnd    time.Time     // last end of a request, or the first start after a time without requests
	running    int
}

// begin records that a request takes a slot.
func (p *throughput) begin(now time.Time) {
	if p.running == 0 {
		p.lastEnd = now
	}
	p.running++
}

// end records that a request released its slot after it held it for hold.
func (p *throughput) end(now time.Time, hold time.Duration, outcome Outcome) {
	p.running--
	if outcome.Kind == OutcomeNotRun {
		return
	}
	p.lastEnd = now
	if outcome.Kind != OutcomeCancelled {
		p.holdTime = average(p.holdTime, hold)
	}
	if outcome.FirstToken > 0 {
		p.firstToken = average(p.firstToken, outcome.FirstToken)
	}
}

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// expectedHoldTime returns the mean hold time, or the time since the last end of a request if
// that is longer: replicas that are stuck end no requests that would raise the mean.
func (p *throughput) expectedHoldTime(now time.Time) time.Duration {
	if p.holdTime == 0 || p.running == 0 {
		return p.holdTime
	}
	return max(p.holdTime, now.Sub(p.lastEnd))
}
