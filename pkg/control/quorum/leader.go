package quorum

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// tickLeader steps down without a majority, else resends unaccepted states and
// sends heartbeats.
func (g *Group) tickLeader(now time.Time) {
	if !g.hasMajority(now) {
		g.stepDown(now)
		return
	}
	if !now.Before(g.resendAt) {
		g.resendAt = now.Add(g.config.Timing.ResendInterval)
		g.sendAccepts()
	}
	if !now.Before(g.heartbeatAt) {
		g.heartbeatAt = now.Add(g.config.Timing.HeartbeatInterval)
		g.sendHeartbeats()
	}
}

// hasMajority reports whether a majority has answered the leader within
// LeaderTimeout.
func (g *Group) hasMajority(now time.Time) bool {
	return g.accepted.hasQuorum(func(member Member) bool {
		if member == MemberOf(g.config.Self) {
			return true
		}
		return now.Sub(g.heardFrom[member]) < g.config.Timing.LeaderTimeout
	})
}

// receiveAccepted records which version a member has accepted.
func (g *Group) receiveAccepted(now time.Time, from api.NodeRef, m Accepted) {
	if g.role != roleLeader || m.Term != g.promised {
		return
	}
	member := MemberOf(from)
	g.heardFrom[member] = now
	if m.Version > g.acknowledged[member] {
		g.acknowledged[member] = m.Version
	}
	g.advance(now)
}

// stepDown turns a leader or candidate into a follower without a leader, or into
// a non-member.
func (g *Group) stepDown(now time.Time) {
	g.role = roleFollower
	g.leader = api.NodeRef{}
	g.leaderHeardAt = time.Time{}
	g.established = false
	if !g.accepted.Has(g.config.Self) {
		g.role = roleNone
	}
	g.scheduleElection(now)
}

// becomeLeader makes this member the leader and proposes state as the first one
// of the promised term.
func (g *Group) becomeLeader(now time.Time, state State) {
	g.role = roleLeader
	g.leader = g.config.Self
	g.established = false
	g.committed = State{}
	g.acknowledged = make(map[Member]uint64)
	g.heardFrom = make(map[Member]time.Time)
	for _, node := range state.All() {
		g.heardFrom[MemberOf(node)] = now // every member has a full timeout to answer
	}
	g.pendingData = nil
	g.pendingMembers = nil
	g.departed = nil
	g.heartbeatAt = now.Add(g.config.Timing.HeartbeatInterval)
	g.proposeState(now, state)
}

// proposeState accepts the state locally and sends it to the other members.
func (g *Group) proposeState(now time.Time, state State) {
	state.Term = g.promised
	state.Version++
	g.accepted = state
	g.acknowledged[MemberOf(g.config.Self)] = state.Version
	for _, node := range state.Next {
		if _, known := g.heardFrom[MemberOf(node)]; !known {
			g.heardFrom[MemberOf(node)] = now
		}
	}
	g.resendAt = now.Add(g.config.Timing.ResendInterval)
	g.sendAccepts()
	g.advance(now)
}

// advance commits the newest state once enough members have accepted it, and then
// proposes the next one.
func (g *Group) advance(now time.Time) {
	if g.role != roleLeader {
		return
	}
	if g.committed.Term != g.accepted.Term || g.committed.Version != g.accepted.Version {
		if !g.accepted.hasQuorum(g.hasNewest) && !g.config.Unsafe.NoMajority {
			return
		}
		g.committed = g.accepted
		g.established = true
		g.notifyDeparted()
	}
	if !g.accepted.Has(g.config.Self) {
		g.handOver(now)
		return
	}
	g.proposeNext(now)
}

// hasNewest reports whether the member has accepted the leader's newest state.
func (g *Group) hasNewest(member Member) bool {
	return g.acknowledged[member] >= g.accepted.Version
}

// proposeNext proposes the pending data and the next step of a change of members,
// if any.
func (g *Group) proposeNext(now time.Time) {
	next := g.accepted
	switch {
	case len(next.Next) > 0:
		g.departed = Without(next.Members, next.Next)
		next.Previous = next.Members
		next.Members, next.Next = next.Next, nil
		next.Configuration++
	case len(g.pendingMembers) > 0:
		next.Next = g.pendingMembers
		g.pendingMembers = nil
	case g.pendingData == nil:
		return
	}
	if g.pendingData != nil {
		next.Data = *g.pendingData
		g.pendingData = nil
	}
	g.proposeState(now, next)
}

// notifyDeparted sends the committed state to the replaced members, once.
func (g *Group) notifyDeparted() {
	if len(g.accepted.Next) > 0 {
		return
	}
	for _, node := range g.departed {
		g.send(node, Accept{Cell: g.config.Cell, State: g.accepted})
	}
	g.departed = nil
}

// handOver asks the first member to take over from a leader that is no longer a
// member.
func (g *Group) handOver(now time.Time) {
	if len(g.accepted.Members) > 0 {
		g.send(g.accepted.Members[0], TakeOver{Cell: g.config.Cell, Term: g.promised})
	}
	g.stepDown(now)
}

// sendAccepts sends the newest state to the members that have not accepted it.
func (g *Group) sendAccepts() {
	for _, node := range g.accepted.All() {
		if !g.hasNewest(MemberOf(node)) {
			g.send(node, Accept{Cell: g.config.Cell, State: g.accepted})
		}
	}
}

func (g *Group) sendHeartbeats() {
	for _, node := range g.accepted.All() {
		g.send(node, Heartbeat{Cell: g.config.Cell, Term: g.promised, Version: g.accepted.Version})
	}
}
