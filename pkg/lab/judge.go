package lab

import "time"

// judge watches the truth of the emulator for what must never happen. It knows
// nothing of the control plane's beliefs.
type judge struct {
	world      *world
	requests   Requests
	violations Violations
	held       []int // engines that hold each model, whatever the item's state
	wakes      []wakeSample
	firstToken []time.Duration
	loads      int
}

// wakeSample collects the first requests of a wake.
type wakeSample struct {
	requests int
	slowest  time.Duration
	refused  []time.Duration // arrivals of those that were not served
}

// newJudge returns a judge that has seen nothing.
func newJudge(w *world) *judge {
	return &judge{world: w, held: make([]int, len(w.models)), wakes: make([]wakeSample, len(w.trace.wakes))}
}

// loadBegan counts a load and checks the number of replicas.
func (j *judge) loadBegan(m *model) {
	j.loads++
	j.held[m.index]++
	if j.held[m.index] > m.settings.MaxReplicas {
		j.violations.Replicas++
	}
}

// removed notes that an engine holds a model no more.
func (j *judge) removed(m *model) { j.held[m.index]-- }

// ready settles the first requests that were refused before the model was
// ready: each counts as having waited until now.
func (j *judge) ready(m *model) {
	for _, index := range j.world.openWakes[m.index] {
		j.settleRefused(index)
	}
	j.world.openWakes[m.index] = nil
}

// settleRefused counts a wake's refused requests with the time until now.
func (j *judge) settleRefused(index int) {
	sample := &j.wakes[index]
	for _, at := range sample.refused {
		sample.slowest = max(sample.slowest, j.world.clock.elapsed-at)
	}
	sample.refused = nil
}

// sent counts a caller's request.
func (j *judge) sent(req *request) {
	j.requests.Sent++
	if req.wake >= 0 {
		j.wakes[req.wake].requests++
	}
}

// started notes that an engine runs a request.
func (j *judge) started(r *run) {
	req := r.request
	before := 0
	for _, ran := range req.ran {
		if ran {
			before++
		}
	}
	req.ran[r.send-1] = true
	if req.model.unsafe && (before > 0 || req.startedAt >= 0) {
		j.violations.AtMostOnce++
	}
	if req.startedAt >= 0 {
		return
	}
	req.startedAt = j.world.clock.elapsed
	if req.wake >= 0 {
		sample := &j.wakes[req.wake]
		sample.slowest = max(sample.slowest, req.startedAt-req.at)
	}
}

// answered takes the final answer that a caller got.
func (j *judge) answered(req *request, final answer) {
	if req.answered {
		j.requests.Duplicated++
		return
	}
	req.answered = true
	if final.kind == answerServed {
		j.requests.Served++
		if final.number != req.number {
			j.requests.Mixed++
		}
		j.firstToken = append(j.firstToken, req.firstAt-req.at)
		return
	}
	j.requests.Refused++
	if final.kind == answerNotRun && req.ran[len(req.ran)-1] {
		j.violations.NotRun++
	}
	if req.wake >= 0 && req.startedAt < 0 {
		sample := &j.wakes[req.wake]
		sample.slowest = max(sample.slowest, j.world.clock.elapsed-req.at)
		sample.refused = append(sample.refused, req.at)
		j.world.openWakes[req.model.index] = append(j.world.openWakes[req.model.index], req.wake)
	}
}

// giveUp counts a request as lost that has no final answer long after its
// deadline.
func (j *judge) giveUp(req *request) {
	if !req.answered && req.firstAt < 0 {
		j.requests.Lost++
		req.answered = true
	}
}

// finish settles what is still open at the end of the run: a request that has
// no final answer by now is lost.
func (j *judge) finish() {
	j.requests.Lost = j.requests.Sent - j.requests.Served - j.requests.Refused
	for i := range j.wakes {
		j.settleRefused(i)
	}
}
