package lab

import (
	"math/rand/v2"
	"slices"
	"time"

	"martenwheel.dev/pkg/memory"
)

// Behaviour of engines that answer without end.
const (
	minEndlessTime      = 2 * time.Second
	maxEndlessTime      = 15 * time.Second
	serviceEndlessShare = 0.25                 // of the faults, that all engines of a service have at once
	pieceBytes          = 256 << 10            // of an answer, that a node reads at once
	pieceTime           = 2 * time.Millisecond // of such a piece on a link of a gigabit per second
)

// Bounds of an emulated node.
const (
	answerBytes = 4 << 20  // of one answer
	nodeBytes   = 48 << 20 // of all answers that it holds at once
)

// answerEndlessly makes a random engine, or all of its service, answer without end for a while.
func (sim *simulation) answerEndlessly(random *rand.Rand) {
	e := sim.pickLive(random)
	if e == nil {
		return
	}
	length := minEndlessTime + time.Duration(random.Int64N(int64(maxEndlessTime-minEndlessTime)))
	faulty := []*emulatedEngine{e}
	if random.Float64() < serviceEndlessShare {
		faulty = sim.serviceEngines(e.service)
	}
	sim.countFault(FaultsEndless)
	for _, e := range faulty {
		if e.alive {
			e.endlessUntil = sim.clock.elapsed + length
			e.endlessRuns = 0
		}
	}
}

// endless reports whether the engine answers without end now.
func (e *emulatedEngine) endless() bool { return e.sim.clock.elapsed < e.endlessUntil }

// runEndlessly answers a request without end.
func (e *emulatedEngine) runEndlessly(r *run) {
	e.sim.endlessRuns++
	e.endlessRuns++
	r.hold = r.node.memory.Hold()
	e.sendPiece(r)
}

// sendPiece sends the next piece of an answer without end, until the node no longer reads it.
func (e *emulatedEngine) sendPiece(r *run) {
	r.timer = e.sim.clock.after(pieceTime, func() {
		r.timer = nil
		n := r.node
		switch {
		case n.incarnation != r.incarnation:
			e.stop(r)
		case !e.sim.network.reaches(e.zone, n.zone):
			e.stop(r)
			e.sim.reply(e, r, answerUnknown)
		case n.frozen:
			e.sendPiece(r) // it is not read before the node goes on
		case !n.readPiece(r):
			e.stop(r)
			n.attemptEnded(r, answerUnknown)
		default:
			e.sendPiece(r)
		}
	})
}

// readPiece reads a piece of an answer, and reports whether the node reads on.
func (n *node) readPiece(r *run) bool {
	if n.sim.clock.elapsed >= r.request.deadline {
		return false
	}
	if !n.sim.keepsAnswers && (r.received+pieceBytes > answerBytes || !r.hold.Resize(r.received+pieceBytes)) {
		return false
	}
	r.received += pieceBytes
	n.sim.checker.checkHeld(n)
	return true
}

// checkHeld counts a violation if a node holds more of answers than it may.
func (j *checker) checkHeld(n *node) {
	held := 0
	for _, r := range n.runs {
		held += r.received
	}
	j.mostHeld = max(j.mostHeld, held)
	if held > nodeBytes+len(n.runs)*memory.FreeBytes {
		j.violations.Held++
	}
}

// stop ends a run whose node no longer reads the answer, and starts the next one in the queue.
func (e *emulatedEngine) stop(r *run) {
	it := r.item
	e.setActive(it, -1)
	it.running = slices.DeleteFunc(it.running, func(other *run) bool { return other == r })
	e.startNext(it)
}

// noteServed counts that an engine serves again after it answered without end.
func (sim *simulation) noteServed(e *emulatedEngine) {
	if e.endlessRuns > 0 && !e.endless() {
		sim.cameBack++
		e.endlessRuns = 0
	}
}
