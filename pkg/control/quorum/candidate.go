package quorum

import (
	"time"

	"martenwheel.dev/pkg/api"
)

func (g *Group) tickCandidate(now time.Time) {
	if !now.Before(g.giveUpAt) {
		g.role = roleFollower
		g.scheduleStand(now)
		return
	}
	if !now.Before(g.resendAt) {
		g.resendAt = now.Add(g.config.Timing.ResendInterval)
		g.sendPrepares()
	}
}

// receivePromise counts promises until they are a majority of each
// configuration of the newest state among them.
func (g *Group) receivePromise(now time.Time, from api.NodeRef, m Promise) {
	if g.role != roleCandidate || m.Term != g.promised {
		return
	}
	g.promises[MemberOf(from)] = m.State
	newest := g.newestPromised()
	if newest.newerThan(g.accepted) {
		g.accepted = newest // it tells whom else to ask; own promises stand
		g.sendPrepares()
	}
	g.tryLead(now)
}

func (g *Group) newestPromised() State {
	newest := g.accepted
	for _, state := range g.promises {
		if state.newerThan(newest) {
			newest = state
		}
	}
	return newest
}

// tryLead begins to lead when enough promises are in.
func (g *Group) tryLead(now time.Time) {
	state := g.newestPromised()
	enough := state.agreed(func(member Member) bool {
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
	g.lead(now, state)
}

// stand asks the members for promises in a new term of the same epoch.
func (g *Group) stand(now time.Time, handover bool) {
	term := max(g.promised, g.seenTerm) + 1
	if Epoch(term) != Epoch(g.accepted.Term) {
		g.role = roleNone // superseded, or out of rounds
		return
	}
	g.promise(term, g.config.Self)
	g.role = roleCandidate
	g.handover = handover
	g.promises = map[Member]State{MemberOf(g.config.Self): g.accepted}
	g.giveUpAt = now.Add(g.config.Timing.ElectionTimeout)
	g.resendAt = now.Add(g.config.Timing.ResendInterval)
	g.sendPrepares()
	g.tryLead(now)
}

func (g *Group) sendPrepares() {
	for _, node := range g.accepted.All() {
		if _, promised := g.promises[MemberOf(node)]; !promised {
			g.send(node, Prepare{Cell: g.config.Cell, Term: g.promised, Handover: g.handover})
		}
	}
}
