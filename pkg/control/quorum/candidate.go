package quorum

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// tickCandidate gives up a candidacy that took too long and resends unanswered
// Prepares.
func (g *Group) tickCandidate(now time.Time) {
	if !now.Before(g.electionDeadline) {
		g.role = roleFollower
		g.scheduleElection(now)
		return
	}
	if !now.Before(g.resendAt) {
		g.resendAt = now.Add(g.config.Timing.ResendInterval)
		g.sendPrepares()
	}
}

// receivePromise stores a promise and completes the election once the promises
// form a majority of each configuration of the newest state among them.
func (g *Group) receivePromise(now time.Time, from api.NodeRef, m Promise) {
	if g.role != roleCandidate || m.Term != g.promised {
		return
	}
	g.promises[MemberOf(from)] = m.State
	newest := g.newestPromised()
	if newest.newerThan(g.accepted) {
		g.accepted = newest // a newer state may name other members to ask; promises already received still count
		g.sendPrepares()
	}
	g.tryBecomeLeader(now)
}

// newestPromised returns the newest state accepted by this member or reported in
// a promise.
func (g *Group) newestPromised() State {
	newest := g.accepted
	for _, state := range g.promises {
		if state.newerThan(newest) {
			newest = state
		}
	}
	return newest
}

// tryBecomeLeader makes this candidate the leader if it has enough promises.
func (g *Group) tryBecomeLeader(now time.Time) {
	state := g.newestPromised()
	enough := state.hasQuorum(func(member Member) bool {
		_, promised := g.promises[member]
		return promised
	})
	if !enough {
		return
	}
	if g.config.Unsafe.NoMajority {
		state = g.accepted
	}
	state.Term = g.promised
	g.becomeLeader(now, state)
}

// startElection asks the members for promises in a new term of the same epoch.
// With handover set the leader asked for it, so that members need not wait for
// the leader's timeout.
func (g *Group) startElection(now time.Time, handover bool) {
	term := max(g.promised, g.seenTerm) + 1
	if Epoch(term) != Epoch(g.accepted.Term) {
		g.role = roleNone // the epoch is superseded, or has no rounds left
		return
	}
	g.recordPromise(term, g.config.Self)
	g.role = roleCandidate
	g.handover = handover
	g.promises = map[Member]State{MemberOf(g.config.Self): g.accepted}
	g.electionDeadline = now.Add(g.config.Timing.ElectionTimeout)
	g.resendAt = now.Add(g.config.Timing.ResendInterval)
	g.sendPrepares()
	g.tryBecomeLeader(now)
}

// sendPrepares asks the members that have not promised yet.
func (g *Group) sendPrepares() {
	for _, node := range g.accepted.All() {
		if _, promised := g.promises[MemberOf(node)]; !promised {
			g.send(node, Prepare{Cell: g.config.Cell, Term: g.promised, Handover: g.handover})
		}
	}
}
