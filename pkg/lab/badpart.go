package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"martenwheel.dev/pkg/quarantine"
)

// Behaviour of a part of prompts that crashes engines, and the users' bounds on it.
const (
	badPartCrashTime  = 120 * time.Millisecond // from the start of a run to the crash
	freePartCrashes   = 5                      // before its requests count
	maxLatePartRuns   = 3                      // of its requests, later than partContactTime after those crashes
	partContactTime   = 3 * time.Second
	evidenceDelay     = 15 * time.Millisecond // until all nodes know of a crash
	partsOfAllPrompts = "system prompt"
)

// badParts is the state of a fault with a part that crashes engines.
type badParts struct {
	random  *rand.Rand
	part    string // in some requests now; empty: none
	number  int
	crashes []time.Duration  // under the part
	late    int              // runs of its requests beyond the crashes that count
	table   quarantine.Table // what all nodes were told, which the store keeps
	trials  quarantine.Trials
}

// sendBadPart makes a share of the requests have a part that crashes engines, for a while.
func (sim *simulation) sendBadPart(random *rand.Rand) {
	b := &sim.badParts
	if b.part != "" {
		return
	}
	sim.countFault(FaultsBadPart)
	b.number++
	b.random, b.part, b.crashes, b.late = random, fmt.Sprintf("bad-%d", b.number), nil, 0
	sim.clock.after(sim.scaledDuration(badPartDuration), func() { b.part = "" })
}

// describePrompt sets the parts of a request's prompt: one of all requests, one of its model, and the bad one in
// some requests.
func (sim *simulation) describePrompt(req *request) {
	parts := []string{partsOfAllPrompts, string(req.model.name)}
	if b := &sim.badParts; b.part != "" && b.random.Float64() < badPartShare {
		req.badPart = b.part
		parts = append(parts, b.part)
	}
	req.subjects = append(req.subjects, quarantine.FingerprintOf("", "", fmt.Sprint(req.number), nil))
	for _, id := range parts {
		req.subjects = append(req.subjects, quarantine.FingerprintOfPart(id))
	}
	req.parts = parts
}

// crashByPart crashes the engine a moment after it began to run a request with a bad part.
func (e *emulatedEngine) crashByPart(r *run) {
	sim := e.sim
	sim.noteBadRun()
	r.timer = sim.clock.after(badPartCrashTime, func() {
		r.timer = nil
		sim.badParts.crashes = append(sim.badParts.crashes, sim.clock.elapsed)
		sim.restartEngine(e, restartTime, false)
	})
}

// noteBadRun counts a run of a request with the bad part by the users' rule.
func (sim *simulation) noteBadRun() {
	b := &sim.badParts
	if len(b.crashes) < freePartCrashes || sim.clock.elapsed <= b.crashes[freePartCrashes-1]+partContactTime {
		return
	}
	b.late++
	if b.late > maxLatePartRuns {
		sim.checker.violations.BadParts++
	}
}

// knownEvidence returns the table of a node that starts.
func (sim *simulation) knownEvidence() *quarantine.Table {
	table, now := new(quarantine.Table), sim.clock.now()
	for _, e := range sim.badParts.table.Restricted(now) {
		table.Merge(now, e)
	}
	return table
}

// startTrial asks for a trial of a suspected request.
func (sim *simulation) startTrial(req *request, target *emulatedEngine) bool {
	now := sim.clock.now()
	suspected := slices.DeleteFunc(slices.Clone(req.subjects), func(f quarantine.Fingerprint) bool {
		return sim.badParts.table.Standing(now, f) == quarantine.Free
	})
	return sim.badParts.trials.Start(now, string(target.id), append(suspected, req.subjects[0])...)
}

// postpone queues a request again once it may ask for a trial again.
func (n *node) postpone(req *request) {
	queue := n.queue(req.model.index)
	queue.postponed = append(queue.postponed, req)
	n.sim.clock.after(quarantine.TrialRetryAfter, func() {
		n.handle(func() {
			if queue := n.queue(req.model.index); removeRequest(&queue.postponed, req) {
				queue.waiting = append(queue.waiting, req)
				n.dispatch(req.model.index)
			}
		})
	})
}

// beginRound sets the rounds of a run that begins.
func (n *node) beginRound(r *run) {
	now := n.sim.clock.now()
	r.instance = r.server.instance
	for i, f := range r.request.subjects {
		one := quarantine.Run{Request: f, Server: r.instance, Round: n.quarantine.NextRound(now, f)}
		if i > 0 {
			one.Part = r.request.parts[i-1]
		}
		r.subjects = append(r.subjects, one)
	}
}

// recordEvidence records how a run ended, and tells the other nodes.
func (n *node) recordEvidence(r *run, kind answerKind) {
	now := n.sim.clock.now()
	n.sim.badParts.trials.End(string(r.server.id), r.request.subjects...)
	crashed := kind == answerUnknown && r.request.startedAt >= 0 && (!r.server.alive || r.server.instance != r.instance)
	switch {
	case kind == answerServed:
		n.tellIfNew(n.quarantine.Completed(now, r.request.subjects[0]))
		for i, id := range r.request.parts {
			n.tellIfNew(n.quarantine.PartAnswered(now, id, r.request.subjects[i+1]))
		}
	case crashed:
		for _, one := range r.subjects {
			if one.Part == "" || !n.quarantine.Cleared(now, one.Request) {
				n.tellIfNew(n.quarantine.Merge(now, one.CrashEvidence()))
			}
		}
	}
}

// tellIfNew tells the other nodes of new evidence.
func (n *node) tellIfNew(c quarantine.Change) {
	if !c.New {
		return
	}
	sim := n.sim
	sim.clock.after(evidenceDelay, func() {
		now := sim.clock.now()
		sim.badParts.table.Merge(now, c.Evidence)
		for _, other := range sim.nodes {
			if other != n {
				other.handle(func() { other.learn(c.Evidence) })
			}
		}
	})
}

// learn merges evidence of another node. A node that knows better says so.
func (n *node) learn(e quarantine.Evidence) {
	c := n.quarantine.Merge(n.sim.clock.now(), e)
	if e.ClearedFor == 0 && c.Accused != quarantine.Free && c.Evidence.Standing() == quarantine.Free {
		n.tellIfNew(c)
	}
}
