package quorum

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// receivePrepare promises to follow the candidate unless this member follows a
// higher term or has recently heard from the leader. The term must be in the
// epoch of the accepted state, because a later epoch begins only by a write in
// the table service. A member without any state may promise too: it is a single
// incarnation of a process and cannot have forgotten one.
func (g *Group) receivePrepare(now time.Time, from api.NodeRef, m Prepare) {
	fresh := g.accepted.Term == 0
	if Epoch(m.Term) < g.epochFloor || !fresh && Epoch(m.Term) > Epoch(g.accepted.Term) {
		return
	}
	repeated := m.Term == g.promised && MemberOf(from) == g.promisedTo
	if !repeated {
		if m.Term <= g.promised {
			g.send(from, Promise{Cell: m.Cell, Term: m.Term, Promised: g.promised})
			return
		}
		if !m.Handover && g.leaderIsAlive(now) {
			return
		}
		g.becomeFollower(now, m.Term, from)
	}
	g.send(from, Promise{Cell: m.Cell, Term: m.Term, Granted: true, Promised: g.promised, State: g.accepted})
}

// leaderIsAlive reports whether a candidate must wait because the leader is
// alive.
func (g *Group) leaderIsAlive(now time.Time) bool {
	if g.role == roleLeader {
		return g.hasMajority(now)
	}
	return g.role == roleFollower && now.Sub(g.leaderHeardAt) < g.config.Timing.ElectionTimeout
}

// receiveAccept accepts a leader's state if it is newer.
func (g *Group) receiveAccept(now time.Time, from api.NodeRef, m Accept) {
	if !g.acceptsLeader(m.State.Term, from) {
		g.send(from, Accepted{Cell: m.Cell, Term: m.State.Term, Promised: g.promised})
		return
	}
	g.becomeFollower(now, m.State.Term, from)
	g.leader, g.leaderHeardAt = from, now
	if m.State.newerThan(g.accepted) {
		g.accepted = m.State
	}
	if !g.accepted.Has(g.config.Self) {
		g.role = roleNone
	}
	g.acknowledge(from, m.Cell, m.State.Term)
}

// acceptsLeader reports whether this member may follow a leader's message in
// term.
func (g *Group) acceptsLeader(term uint64, from api.NodeRef) bool {
	if g.config.Unsafe.NoPromise {
		return true
	}
	if Epoch(term) < g.epochFloor {
		return false
	}
	return term > g.promised || term == g.promised && MemberOf(from) == g.promisedTo
}

// receiveHeartbeat follows the leader and reports which version this member has.
func (g *Group) receiveHeartbeat(now time.Time, from api.NodeRef, m Heartbeat) {
	if g.accepted.Term == 0 {
		return // not a member until the leader's first Accept arrives
	}
	if !g.acceptsLeader(m.Term, from) {
		g.send(from, Accepted{Cell: m.Cell, Term: m.Term, Promised: g.promised})
		return
	}
	if Epoch(m.Term) != Epoch(g.accepted.Term) {
		return
	}
	g.becomeFollower(now, m.Term, from)
	g.leader, g.leaderHeardAt = from, now
	g.acknowledge(from, m.Cell, m.Term)
}

// acknowledge reports the version accepted in term.
func (g *Group) acknowledge(to api.NodeRef, cell api.CellName, term uint64) {
	version := uint64(0)
	if g.accepted.Term == term {
		version = g.accepted.Version
	}
	g.send(to, Accepted{Cell: cell, Term: term, Version: version, Granted: true, Promised: g.promised})
}

// checkAnswer returns whether a request was granted. If it was refused, the
// higher term that the member follows is noted.
func (g *Group) checkAnswer(now time.Time, granted bool, promised uint64) bool {
	if !granted {
		g.NoticeTerm(now, promised)
	}
	return granted
}

// NoticeTerm records that some member or engine follows term. A leader or
// candidate of a lower term steps down.
func (g *Group) NoticeTerm(now time.Time, term uint64) {
	if term <= g.promised || g.role == roleNone {
		return
	}
	g.seenTerm = max(g.seenTerm, term)
	g.Supersede(Epoch(term))
	if g.role == roleLeader || g.role == roleCandidate {
		g.stepDown(now)
	}
}

// recordPromise records the term that this member has promised to follow, and its
// candidate.
func (g *Group) recordPromise(term uint64, to api.NodeRef) {
	g.promised, g.promisedTo = term, MemberOf(to)
}

// becomeFollower makes this member a follower in term.
func (g *Group) becomeFollower(now time.Time, term uint64, leader api.NodeRef) {
	g.recordPromise(term, leader)
	g.role = roleFollower
	g.scheduleElection(now)
}

// scheduleElection sets the time at which this member starts an election unless
// it hears from a leader. The delay grows with the member's position, so that
// members do not compete.
func (g *Group) scheduleElection(now time.Time) {
	rank := 0
	for _, node := range g.accepted.All() {
		if MemberOf(node) == MemberOf(g.config.Self) {
			break
		}
		if MemberOf(node) != MemberOf(g.leader) {
			rank++
		}
	}
	timing := g.config.Timing
	jitter := time.Duration(g.config.Random.Int64N(int64(timing.ElectionStep)/4 + 1))
	g.electionAt = now.Add(timing.ElectionTimeout + time.Duration(rank)*timing.ElectionStep + jitter)
}
