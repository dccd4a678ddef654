package lab

import "time"

// request is one request of a caller on its way through the system.
type request struct {
	arrival
	number    int
	model     *model
	priority  int
	deadline  time.Duration
	sends     int           // times that the caller sent it
	attempts  int           // times that a node gave it to an engine
	ran       []bool        // for each send, whether an engine ran it
	maybeRan  bool          // as far as the node knows, since the last send
	startedAt time.Duration // of its first run; -1 before
	firstAt   time.Duration // its first token reached the caller; -1 before
	answered  bool          // the caller got its final answer
	claimed   bool          // an unsafe request that may have been given to an engine
}

// answerKind is how an attempt, or the whole request, ended.
type answerKind uint8

// The kinds of answers.
const (
	answerServed  answerKind = iota + 1
	answerNotRun             // refused; no engine ran it
	answerUnknown            // refused; an engine may have run it
)

// patience is how long after the deadline a caller still waits for a final
// answer. A request without one by then is lost.
const patience = 2 * time.Minute

// sendsAtMost is how often a caller sends a request whose node broke off.
const sendsAtMost = 3

// resendAfter is how long a caller waits before it sends a request again.
const resendAfter = 200 * time.Millisecond

// arrive lets a caller send a request of the trace.
func (w *world) arrive(number int) {
	a := w.trace.arrivals[number]
	m := w.models[a.model]
	req := &request{
		arrival: a, number: number, model: m, priority: m.settings.Priority,
		deadline: a.at + m.settings.Deadline, startedAt: -1, firstAt: -1,
	}
	w.judge.sent(req)
	w.clock.at(req.deadline+patience, func() { w.judge.giveUp(req) })
	w.send(req, w.nodes[a.node])
}

// send sends a request to a node, or to the next one that lives.
func (w *world) send(req *request, n *node) {
	req.sends++
	req.ran = append(req.ran, false)
	req.maybeRan = false
	for i := range w.nodes {
		candidate := w.nodes[(n.index+i)%len(w.nodes)]
		if candidate.alive {
			w.clock.after(w.scenario.Delays.ToClients, func() { candidate.receive(req) })
			return
		}
	}
	w.callerGets(req, refusalOf(req, answerNotRun))
}

// brokeOff tells the caller that its node died; it sends the request again.
func (w *world) brokeOff(req *request, n *node) {
	if req.answered {
		return
	}
	if req.sends >= sendsAtMost {
		w.callerGets(req, refusalOf(req, answerUnknown))
		return
	}
	w.clock.after(resendAfter, func() { w.send(req, w.nodes[(n.index+1)%len(w.nodes)]) })
}

// answer is what a caller gets in the end. A served answer carries the number
// of the request that the engine ran.
type answer struct {
	kind   answerKind
	number int
}

// refusalOf returns the answer to a request that is given up.
func refusalOf(req *request, kind answerKind) answer { return answer{kind, req.number} }

// callerGets brings a final answer to the caller.
func (w *world) callerGets(req *request, final answer) {
	w.clock.after(w.scenario.Delays.ToClients, func() { w.judge.answered(req, final) })
}

// firstToken brings the first token of a run to the caller.
func (w *world) firstToken(e *emulatedEngine, r *run) {
	delay := w.network.delay(e.zone, w.nodes[r.request.node].zone) + w.scenario.Delays.ToClients
	if r.request.firstAt < 0 {
		r.request.firstAt = w.clock.elapsed + delay
	}
}

// brokenConnection is how long a node takes to notice that an answer will not
// come because the zones are cut from each other.
const brokenConnection = 5 * time.Second

// reply brings the end of an attempt to the node that made it.
func (w *world) reply(e *emulatedEngine, r *run, kind answerKind) {
	n := r.node
	if !w.network.reaches(e.zone, n.zone) {
		w.clock.after(brokenConnection, func() { n.ended(r, answerUnknown) })
		return
	}
	w.clock.after(w.network.delay(e.zone, n.zone), func() { n.ended(r, kind) })
}
