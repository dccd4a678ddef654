package lab

import (
	"time"

	"martenwheel.dev/pkg/quarantine"
)

// request is the state of a caller's request.
type request struct {
	arrival
	number       int
	model        *model
	priority     int
	deadline     time.Duration
	sends        int                      // times that the caller sent it
	attempts     int                      // times that a node sent it to an engine
	ranPerSend   []bool                   // for each send, whether an engine ran it
	maybeRan     bool                     // an attempt since the last send ended with its outcome unknown
	startedAt    time.Duration            // when it first ran; -1 before
	firstTokenAt time.Duration            // when its first token reached the caller; -1 before
	software     int                      // version of the engine that its first token came from; 0 before
	answered     bool                     // the caller got the final answer
	claimed      bool                     // an unsafe request that may have reached an engine
	badPart      string                   // part of its prompt that crashes engines; empty: none
	parts        []string                 // of its prompt, that other requests share
	subjects     []quarantine.Fingerprint // what may be to blame if engines crash: the request, and parts of its prompt
}

// answerKind describes how an attempt, or the whole request, ended.
type answerKind uint8

// Kinds of answers.
const (
	answerServed  answerKind = iota + 1
	answerNotRun             // refused; no engine ran it
	answerUnknown            // refused; an engine may have run it
	answerPart               // a part of an answer without length, reset under its upload
)

// answerGrace is how long after the deadline a caller waits for a final answer. A request without an
// answer by then is lost.
const answerGrace = 2 * time.Minute

// maxSends is how often a caller sends a request if its node dies.
const maxSends = 3

// resendDelay is how long a caller waits before it sends a request again.
const resendDelay = 200 * time.Millisecond

// arrive sends a request of the trace.
func (sim *simulation) arrive(number int) {
	a := sim.trace.arrivals[number]
	m := sim.models[a.model]
	req := &request{
		arrival: a, number: number, model: m, priority: m.settings.Priority,
		deadline: a.at + m.settings.Deadline, startedAt: -1, firstTokenAt: -1,
	}
	sim.describePrompt(req)
	sim.checker.sent(req)
	sim.clock.at(req.deadline+answerGrace, func() { sim.checker.timeOut(req) })
	sim.send(req, sim.nodes[a.node])
}

// send sends a request to a node, or to the next live node.
func (sim *simulation) send(req *request, n *node) {
	req.sends++
	req.ranPerSend = append(req.ranPerSend, false)
	req.maybeRan = false
	for i := range sim.nodes {
		candidate := sim.nodes[(n.index+i)%len(sim.nodes)]
		if candidate.alive {
			sim.clock.after(sim.scenario.Delays.ToClients, func() { candidate.receive(req) })
			return
		}
	}
	sim.answerCaller(req, refusalOf(req, answerNotRun))
}

// connectionLost handles the loss of a caller's connection to a node that died: the caller sends
// the request again, up to maxSends times in total.
func (sim *simulation) connectionLost(req *request, n *node) {
	if req.answered {
		return
	}
	if req.sends >= maxSends {
		sim.answerCaller(req, refusalOf(req, answerUnknown))
		return
	}
	sim.clock.after(resendDelay, func() { sim.send(req, sim.nodes[(n.index+1)%len(sim.nodes)]) })
}

// answer is the final answer to a caller. A served answer carries the number of the request that
// the engine ran.
type answer struct {
	kind   answerKind
	number int
}

// refusalOf returns a refusal of a request.
func refusalOf(req *request, kind answerKind) answer { return answer{kind, req.number} }

// answerCaller delivers a final answer to the caller.
func (sim *simulation) answerCaller(req *request, final answer) {
	sim.clock.after(sim.scenario.Delays.ToClients, func() { sim.checker.answered(req, final) })
}

// firstToken records when the first token of a run reaches the caller.
func (sim *simulation) firstToken(e *emulatedEngine, r *run) {
	switch r.request.software {
	case 0:
		r.request.software = e.software
	case e.software:
	default:
		sim.checker.violations.Versions++
	}
	delay := sim.network.delay(e.zone, sim.nodes[r.request.node].zone) + sim.scenario.Delays.ToClients
	if r.request.firstTokenAt < 0 {
		r.request.firstTokenAt = sim.clock.elapsed + delay
	}
}

// connectionLossTimeout is how long a node takes to notice that its connection to an engine is dead
// because the zones are cut off from each other.
const connectionLossTimeout = 5 * time.Second

// reply delivers the end of an attempt to the node that made it.
func (sim *simulation) reply(e *emulatedEngine, r *run, kind answerKind) {
	n := r.node
	if !sim.network.reaches(e.zone, n.zone) {
		sim.clock.after(connectionLossTimeout, func() { n.attemptEnded(r, answerUnknown) })
		return
	}
	sim.clock.after(sim.network.delay(e.zone, n.zone), func() { n.attemptEnded(r, kind) })
}
