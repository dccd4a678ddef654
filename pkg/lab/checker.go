package lab

import "time"

// checker counts violations of what must never happen. It looks at the emulator's actual state, not
// at the control plane's view of it.
type checker struct {
	sim        *simulation
	requests   Requests
	violations Violations
	held       []int // by model index: engines that hold it, in any state
	wakes      []wakeSample
	firstToken []time.Duration
	loads      int
	mostHeld   int     // bytes of answers that a node has held at once
	fullest    float64 // largest share of an engine's memory that was taken at once
}

// wakeSample collects the waiting times of the first requests of a wake.
type wakeSample struct {
	requests int
	slowest  time.Duration
	refused  []time.Duration // arrival times of the requests that were not served
}

// newChecker returns a checker with all counts at zero.
func newChecker(sim *simulation) *checker {
	return &checker{sim: sim, held: make([]int, len(sim.models)), wakes: make([]wakeSample, len(sim.trace.wakes))}
}

// loadBegan counts a load and checks the number of replicas.
func (j *checker) loadBegan(e *emulatedEngine, m *model) {
	j.loads++
	j.fullest = max(j.fullest, float64(e.used)/float64(e.capacity))
	j.held[m.index]++
	if j.held[m.index] > m.settings.MaxReplicas {
		j.violations.Replicas++
	}
}

// removed records that an engine no longer holds a model.
func (j *checker) removed(m *model) { j.held[m.index]-- }

// ready records a waiting time until now for each first request that was refused before the model
// became ready.
func (j *checker) ready(m *model) {
	for _, index := range j.sim.wakesWithRefusals[m.index] {
		j.settleRefused(index)
	}
	j.sim.wakesWithRefusals[m.index] = nil
}

// settleRefused records a waiting time until now for each refused request of a wake.
func (j *checker) settleRefused(index int) {
	sample := &j.wakes[index]
	for _, at := range sample.refused {
		sample.slowest = max(sample.slowest, j.sim.clock.elapsed-at)
	}
	sample.refused = nil
}

// sent counts a request sent by a caller.
func (j *checker) sent(req *request) {
	j.requests.Sent++
	if req.wake >= 0 {
		j.wakes[req.wake].requests++
	}
}

// started records that an engine runs a request, and checks that an unsafe one has not run before.
func (j *checker) started(r *run) {
	req := r.request
	before := 0
	for _, ran := range req.ranPerSend {
		if ran {
			before++
		}
	}
	req.ranPerSend[r.sendNumber-1] = true
	if req.model.unsafe && (before > 0 || req.startedAt >= 0) {
		j.violations.AtMostOnce++
	}
	if req.startedAt >= 0 {
		return
	}
	req.startedAt = j.sim.clock.elapsed
	if req.wake >= 0 {
		sample := &j.wakes[req.wake]
		sample.slowest = max(sample.slowest, req.startedAt-req.at)
	}
}

// answered records the final answer to a caller and checks it.
func (j *checker) answered(req *request, final answer) {
	if req.answered {
		j.requests.Duplicated++
		return
	}
	req.answered = true
	if final.kind == answerServed || final.kind == answerPart {
		j.requests.Served++
		if final.kind == answerPart {
			j.violations.Parts++
		}
		if final.number != req.number {
			j.requests.Mixed++
		}
		j.firstToken = append(j.firstToken, req.firstTokenAt-req.at)
		return
	}
	j.requests.Refused++
	if final.kind == answerNotRun && req.ranPerSend[len(req.ranPerSend)-1] {
		j.violations.NotRun++
	}
	if req.wake >= 0 && req.startedAt < 0 {
		sample := &j.wakes[req.wake]
		sample.slowest = max(sample.slowest, j.sim.clock.elapsed-req.at)
		sample.refused = append(sample.refused, req.at)
		j.sim.wakesWithRefusals[req.model.index] = append(j.sim.wakesWithRefusals[req.model.index], req.wake)
	}
}

// timeOut counts a request as lost if it has neither a final answer nor a first token long after its
// deadline.
func (j *checker) timeOut(req *request) {
	if !req.answered && req.firstTokenAt < 0 {
		j.requests.Lost++
		req.answered = true
	}
}

// finish completes the counts at the end of the run: a request without a final answer is lost.
func (j *checker) finish() {
	j.requests.Lost = j.requests.Sent - j.requests.Served - j.requests.Refused
	for i := range j.wakes {
		j.settleRefused(i)
	}
}
