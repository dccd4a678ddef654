package lab

import (
	"math/rand/v2"
	"slices"
	"time"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/migration"
)

// Behaviour of engines that lose answers.
const (
	minFullTime       = 100 * time.Millisecond // in which such an engine resets new connections
	maxFullTime       = 4 * time.Second
	copyTime          = 5 * time.Second // that a copy of a stream lasts
	firstStopPause    = 25 * time.Millisecond
	maxStopPause      = 400 * time.Millisecond
	stopAnswerTimeout = time.Second
)

// lostAnswers counts what engines that lose answers have shown.
type lostAnswers struct {
	lost      int // answers
	resets    int // stop calls that met a full engine
	stopped   int // runs that were stopped at their engine before they went on elsewhere
	continued int // streams that went on from their copies
}

// loseAnswers makes a random engine lose the answers of all streams that have begun, which it works on, and reset new
// connections for a while. The streams have copies, from which they may go on at other engines once they are stopped.
func (sim *simulation) loseAnswers(random *rand.Rand) {
	busy := make([]*emulatedEngine, 0, len(sim.engines))
	for _, e := range sim.engines {
		if e.alive && !e.frozen && len(e.begunRuns()) > 0 {
			busy = append(busy, e)
		}
	}
	if len(busy) == 0 {
		return
	}
	e := busy[random.IntN(len(busy))]
	e.fullUntil = sim.clock.elapsed + minFullTime + time.Duration(random.Int64N(int64(maxFullTime-minFullTime)))
	sim.countFault(FaultsLostAnswers)
	for _, r := range e.begunRuns() {
		e.loseAnswer(r)
	}
}

// begunRuns returns the runs whose output has begun, and whose answers are not lost.
func (e *emulatedEngine) begunRuns() []*run {
	var begun []*run
	for _, it := range e.items {
		if it == nil {
			continue
		}
		for _, r := range it.running {
			if r.job != nil && !r.lost {
				begun = append(begun, r)
			}
		}
	}
	return begun
}

// full reports whether the engine resets new connections.
func (e *emulatedEngine) full() bool { return e.sim.clock.elapsed < e.fullUntil }

// loseAnswer closes the connection of a run, which the engine works on.
func (e *emulatedEngine) loseAnswer(r *run) {
	sim := e.sim
	r.lost = true
	r.item.batch.advance()
	r.left = max(r.job.finish-r.item.batch.progress, 0)
	sim.lostAnswers.lost++
	wait := connectionLossTimeout
	if sim.network.reaches(e.zone, r.node.zone) {
		wait = sim.network.delay(e.zone, r.node.zone)
	}
	sim.clock.after(wait, func() { r.node.answerLost(r) })
}

// stopLost stops a run whose answer was lost, if the engine still works on it.
func (e *emulatedEngine) stopLost(r *run) migration.Outcome {
	if !slices.Contains(r.item.running, r) {
		return migration.NoRun
	}
	r.item.batch.remove(r.job)
	e.stop(r)
	e.sim.lostAnswers.stopped++
	return migration.Done
}

// worksOn reports whether the engine still works on a run.
func (e *emulatedEngine) worksOn(r *run) bool {
	return e.alive && e.instance == r.instance && slices.Contains(r.item.running, r)
}

// lostStream is a stream that a node continues from its copy after its answer was lost.
type lostStream struct {
	migration.Handover
	run   *run
	until time.Duration // when the copy ends, or the request may not be served any more
	pause time.Duration // before the next call that stops the run
}

// answerLost handles the loss of the answer of a run.
func (n *node) answerLost(r *run) {
	n.whileRunning(r, func() {
		n.continueElsewhere(&lostStream{
			Handover: migration.Handover{Copied: true, MayRunAgain: !r.request.model.unsafe},
			run:      r, until: min(n.sim.clock.elapsed+copyTime, r.request.deadline), pause: firstStopPause,
		})
	})
}

// whileRunning calls do if the node still has the run.
func (n *node) whileRunning(r *run, do func()) {
	n.handle(func() {
		if n.incarnation == r.incarnation && slices.Contains(n.runs, r) {
			do()
		}
	})
}

// continueElsewhere takes the next step of a stream whose answer was lost.
func (n *node) continueElsewhere(s *lostStream) {
	s.MayStop = n.sim.clock.elapsed < s.until
	switch s.Next() {
	case migration.Stop:
		n.stopAtSource(s)
	case migration.ResumeAtTarget:
		n.resumeAtTarget(s)
	default:
		n.attemptEnded(s.run, answerUnknown)
	}
}

// stopAtSource asks the engine to stop the run, and takes the next step.
func (n *node) stopAtSource(s *lostStream) {
	sim, e, r := n.sim, s.run.server, s.run
	ended := func(o migration.Outcome, after time.Duration) {
		sim.clock.after(after, func() { n.whileRunning(r, func() { n.stopEnded(s, o) }) })
	}
	if !sim.network.reaches(n.zone, e.zone) {
		ended(migration.NoAnswer, connectionLossTimeout)
		return
	}
	delay := sim.network.delay(n.zone, e.zone)
	sim.clock.after(delay, func() {
		switch {
		case !e.alive || e.instance != r.instance:
			ended(migration.Ended, delay)
		case e.full():
			sim.lostAnswers.resets++
			ended(migration.NotSent, delay)
		case e.frozen:
			e.handle(func() { e.stopLost(r) })
			ended(migration.NoAnswer, stopAnswerTimeout)
		default:
			ended(e.stopLost(r), delay)
		}
	})
}

// stopEnded records the outcome of a call that stops a run.
func (n *node) stopEnded(s *lostStream, o migration.Outcome) {
	if o == migration.NotSent && n.sim.trustsResets {
		o = migration.Ended
	}
	s.RecordOutcome(migration.Stop, o)
	if o != migration.NotSent && o != migration.NoAnswer {
		n.continueElsewhere(s)
		return
	}
	n.sim.clock.after(s.pause, func() { n.whileRunning(s.run, func() { n.continueElsewhere(s) }) })
	s.pause = min(2*s.pause, maxStopPause)
}

// resumeAtTarget continues a stream from its copy at another engine of the same version of its software.
func (n *node) resumeAtTarget(s *lostStream) {
	old := s.run
	n.avoid(old.request.model.index, old.server)
	target := n.pick(old.request)
	if target == nil || target == old.server || !n.sim.network.reaches(n.zone, target.zone) {
		n.attemptEnded(old, answerUnknown)
		return
	}
	r := &run{request: old.request, sendNumber: old.sendNumber, node: n, incarnation: n.incarnation, server: target, continues: old, left: old.left}
	n.beginRound(r)
	r.request.attempts++
	n.runs[slices.Index(n.runs, old)] = r
	n.sim.clock.after(n.sim.network.delay(n.zone, target.zone), func() {
		if !target.alive || target.full() {
			n.sim.reply(target, r, answerUnknown)
			return
		}
		target.handle(func() { target.resumeRun(r) })
	})
}

// resumeRun continues a stream from its copy, or refuses it.
func (e *emulatedEngine) resumeRun(r *run) {
	it := e.items[r.request.model.index]
	if it == nil || it.batch == nil || it.state != engine.ItemReady || len(it.running) >= r.request.model.settings.MaxConcurrency {
		e.sim.reply(e, r, answerUnknown)
		return
	}
	r.item, r.outputOf = it, r.request.number
	e.setActive(it, 1)
	it.running = append(it.running, r)
	e.sim.lostAnswers.continued++
	e.sim.checker.continued(r)
	e.whenSound(func() {
		e.sim.firstToken(e, r)
		r.job = it.batch.add(r.left, func() { e.finish(r) })
	})
}

// continued counts a violation if a stream goes on at one engine while another one works on it.
func (j *checker) continued(r *run) {
	if r.continues.server.worksOn(r.continues) {
		j.violations.Twice++
	}
}
