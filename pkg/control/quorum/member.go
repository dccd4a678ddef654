package quorum

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// receivePrepare promises to follow the candidate unless this member follows a
// higher term or has heard a live leader lately. The epoch must be that of the
// state, if there is one: a later epoch begins by a write in the table service
// only. A member that was never reached has no state, and may say so: as it is
// one life of a process, it has not forgotten any.
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
		if !m.Handover && g.leaderLives(now) {
			return
		}
		g.follow(now, m.Term, from)
	}
	g.send(from, Promise{Cell: m.Cell, Term: m.Term, Granted: true, Promised: g.promised, State: g.accepted})
}

// leaderLives tells whether a candidate should wait because the leader is heard.
func (g *Group) leaderLives(now time.Time) bool {
	if g.role == roleLeader {
		return g.hasMajority(now)
	}
	return g.role == roleFollower && now.Sub(g.leaderHeard) < g.config.Timing.ElectionTimeout
}

// receiveAccept takes over a leader's state.
func (g *Group) receiveAccept(now time.Time, from api.NodeRef, m Accept) {
	if !g.admits(m.State.Term, from) {
		g.send(from, Accepted{Cell: m.Cell, Term: m.State.Term, Promised: g.promised})
		return
	}
	g.follow(now, m.State.Term, from)
	g.leader, g.leaderHeard = from, now
	if m.State.newerThan(g.accepted) {
		g.accepted = m.State
	}
	if !g.accepted.Has(g.config.Self) {
		g.role = roleNone
	}
	g.acknowledge(from, m.Cell, m.State.Term)
}

// admits tells whether a leader's message in term may be followed.
func (g *Group) admits(term uint64, from api.NodeRef) bool {
	if g.config.Unsafe.NoPromise {
		return true
	}
	if Epoch(term) < g.epochFloor {
		return false
	}
	return term > g.promised || term == g.promised && MemberOf(from) == g.promisedTo
}

// receiveHeartbeat follows the leader and tells which state this member has.
func (g *Group) receiveHeartbeat(now time.Time, from api.NodeRef, m Heartbeat) {
	if g.accepted.Term == 0 {
		return // not a member: the leader sends an Accept first
	}
	if !g.admits(m.Term, from) {
		g.send(from, Accepted{Cell: m.Cell, Term: m.Term, Promised: g.promised})
		return
	}
	if Epoch(m.Term) != Epoch(g.accepted.Term) {
		return
	}
	g.follow(now, m.Term, from)
	g.leader, g.leaderHeard = from, now
	g.acknowledge(from, m.Cell, m.Term)
}

func (g *Group) acknowledge(to api.NodeRef, cell api.CellName, term uint64) {
	version := uint64(0)
	if g.accepted.Term == term {
		version = g.accepted.Version
	}
	g.send(to, Accepted{Cell: cell, Term: term, Version: version, Granted: true, Promised: g.promised})
}

// granted tells whether a request was granted, and otherwise takes notice of the
// term for which it was refused.
func (g *Group) granted(now time.Time, granted bool, promised uint64) bool {
	if !granted {
		g.NoticeTerm(now, promised)
	}
	return granted
}

// NoticeTerm tells that somebody, such as a member that refused or an engine,
// follows term. A leader or candidate of a lower one steps down.
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

// promise records the highest term that this member follows.
func (g *Group) promise(term uint64, to api.NodeRef) {
	g.promised, g.promisedTo = term, MemberOf(to)
}

// follow makes this member a follower in term.
func (g *Group) follow(now time.Time, term uint64, leader api.NodeRef) {
	g.promise(term, leader)
	g.role = roleFollower
	g.scheduleStand(now)
}

// scheduleStand sets the time at which this member stands if it does not hear
// from a leader: later for each place in the succession.
func (g *Group) scheduleStand(now time.Time) {
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
	g.standAt = now.Add(timing.ElectionTimeout + time.Duration(rank)*timing.ElectionStep + jitter)
}
