package lab

import (
	"math/rand/v2"
	"time"
)

// Behaviour of engines that break their answers.
const (
	minBrokenTime = 2 * time.Second
	maxBrokenTime = 15 * time.Second
	partTime      = 2 * time.Millisecond // until the part of an answer is sent and its connection is reset
)

// breakAnswers makes a random engine answer requests for a while before it has read them, with a part of an answer without
// length, and reset their connections.
func (sim *simulation) breakAnswers(random *rand.Rand) {
	e := sim.pickLive(random)
	if e == nil {
		return
	}
	sim.countFault(FaultsBroken)
	e.brokenUntil = sim.clock.elapsed + minBrokenTime + time.Duration(random.Int64N(int64(maxBrokenTime-minBrokenTime)))
}

// breaksAnswers reports whether the engine breaks its answers now.
func (e *emulatedEngine) breaksAnswers() bool { return e.sim.clock.elapsed < e.brokenUntil }

// breakAnswer answers a request with a part, and ends its run.
func (e *emulatedEngine) breakAnswer(r *run) {
	e.sim.brokenAnswers++
	r.timer = e.sim.clock.after(partTime, func() {
		r.timer = nil
		e.stop(r)
		e.sim.reply(e, r, answerPart)
	})
}

// read returns what a node takes an answer for.
func (n *node) read(kind answerKind) answerKind {
	switch {
	case kind != answerPart:
		return kind
	case n.sim.trustsEnds:
		return answerPart
	}
	return answerUnknown
}
