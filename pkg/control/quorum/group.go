package quorum

import (
	"math/rand/v2"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/internal/switches"
)

// Config sets up a Group.
type Config struct {
	Self   api.NodeRef
	Cell   api.CellName
	Timing Timing
	Random *rand.Rand
	Unsafe switches.Set // tests only
}

// role is what this node currently does in the group.
type role uint8

const (
	roleNone      role = iota // not a member, or superseded by a later epoch
	roleFollower              // answers the leader
	roleCandidate             // has asked for promises
	roleLeader                // proposes states
)

// Group is this node's part in the group of one cell. The zero value is not
// usable; see NewGroup. It is owned by one goroutine.
type Group struct {
	config Config
	role   role

	// The member's memory: it must not be lost while the process lives.
	promised   uint64
	promisedTo Member
	accepted   State

	seenTerm   uint64 // highest term that anybody is known to follow
	epochFloor uint64 // members of earlier epochs are silent

	leader      api.NodeRef // of the promised term, if known
	leaderHeard time.Time
	standAt     time.Time // when this member stands, unless the leader is heard
	resendAt    time.Time

	// Of a candidate.
	promises map[Member]State
	handover bool
	giveUpAt time.Time

	// Of a leader.
	acknowledged map[Member]uint64 // version accepted in this term
	heardFrom    map[Member]time.Time
	committed    State
	established  bool // the first state of this term is committed
	heartbeatAt  time.Time
	wantData     *Data
	wantNext     []api.NodeRef
	departed     []api.NodeRef // replaced members that have not been told yet

	packets []Packet
}

// NewGroup returns this node's part in the group of a cell, as no member yet.
func NewGroup(config Config) *Group {
	return &Group{config: config}
}

// Found makes this node the leader of a new epoch with the given first members.
// The caller has won the epoch by a conditional write in the table service.
func (g *Group) Found(now time.Time, epoch uint64, members []api.NodeRef, data Data) []Packet {
	term := MakeTerm(epoch, 1)
	if term <= g.promised {
		return nil
	}
	g.promise(term, g.config.Self)
	g.lead(now, State{Term: term, Members: members, Configuration: 1, Data: data})
	return g.flush()
}

// Member tells whether this node is a member of the newest state it knows.
func (g *Group) Member() bool {
	return g.role != roleNone && g.accepted.Has(g.config.Self)
}

// Leading returns the term in which this node leads and true, once a majority
// has followed it.
func (g *Group) Leading() (uint64, bool) {
	return g.promised, g.role == roleLeader && g.established
}

// Leader returns the leader that this member follows, if it has heard it
// lately.
func (g *Group) Leader(now time.Time) (api.NodeRef, bool) {
	if g.role == roleLeader {
		return g.config.Self, true
	}
	heard := g.role == roleFollower && now.Sub(g.leaderHeard) < g.config.Timing.LeaderTimeout
	return g.leader, heard
}

// Committed returns the newest state that this leader knows to be committed.
func (g *Group) Committed() State {
	return g.committed
}

// Accepted returns the newest state that this member has accepted.
func (g *Group) Accepted() State {
	return g.accepted
}

// Floor returns the highest epoch that this node knows of.
func (g *Group) Floor() uint64 {
	return max(g.epochFloor, Epoch(g.promised))
}

// Promised returns the highest term that this node follows.
func (g *Group) Promised() uint64 {
	return g.promised
}

// Supersede tells that a group of a later epoch exists. A member of an earlier
// one falls silent: it neither stands nor leads any more.
func (g *Group) Supersede(epoch uint64) {
	g.epochFloor = max(g.epochFloor, epoch)
	if g.accepted.Term != 0 && epoch > Epoch(g.accepted.Term) {
		g.role = roleNone
	}
}

// Propose asks for a new value of the register. Only the newest wish counts;
// Committed tells when it was reached. It is for the leader only.
func (g *Group) Propose(now time.Time, data Data) []Packet {
	if g.role != roleLeader {
		return nil
	}
	g.wantData = &data
	g.advance(now)
	return g.flush()
}

// Reconfiguring tells whether a change of members is under way.
func (g *Group) Reconfiguring() bool {
	return len(g.wantNext) > 0 || len(g.accepted.Next) > 0
}

// Reconfigure replaces the members, in two steps. It is for the leader only and
// does nothing while a change is under way.
func (g *Group) Reconfigure(now time.Time, next []api.NodeRef) []Packet {
	if g.role != roleLeader || !g.established || g.Reconfiguring() || len(next) == 0 {
		return nil
	}
	g.wantNext = next
	g.advance(now)
	return g.flush()
}

// Resign makes a leader hand over to the first other member.
func (g *Group) Resign(now time.Time) []Packet {
	if g.role != roleLeader {
		return nil
	}
	for _, node := range g.committed.Members {
		if MemberOf(node) != MemberOf(g.config.Self) {
			g.send(node, TakeOver{Cell: g.config.Cell, Term: g.promised})
			break
		}
	}
	g.stepDown(now)
	return g.flush()
}

// NoticeTerm tells that somebody, such as an engine, has seen term. A leader of
// a lower one steps down.
func (g *Group) NoticeTerm(now time.Time, term uint64) {
	g.noticeTerm(now, term)
}

// Tick lets time pass.
func (g *Group) Tick(now time.Time) []Packet {
	switch g.role {
	case roleFollower:
		if g.accepted.Has(g.config.Self) && !now.Before(g.standAt) {
			g.stand(now, false)
		}
	case roleCandidate:
		g.tickCandidate(now)
	case roleLeader:
		g.tickLeader(now)
	}
	return g.flush()
}

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

// hasMajority tells whether a majority has answered the leader lately.
func (g *Group) hasMajority(now time.Time) bool {
	return g.accepted.agreed(func(member Member) bool {
		if member == MemberOf(g.config.Self) {
			return true
		}
		return now.Sub(g.heardFrom[member]) < g.config.Timing.LeaderTimeout
	})
}

// Receive handles a message of another member.
func (g *Group) Receive(now time.Time, from api.NodeRef, message any) []Packet {
	switch m := message.(type) {
	case Prepare:
		g.receivePrepare(now, from, m)
	case Promise:
		g.receivePromise(now, from, m)
	case Accept:
		g.receiveAccept(now, from, m)
	case Heartbeat:
		g.receiveHeartbeat(now, from, m)
	case Accepted:
		g.receiveAccepted(now, from, m)
	case TakeOver:
		if g.role == roleFollower && m.Term == g.promised && g.accepted.Has(g.config.Self) {
			g.stand(now, true)
		}
	}
	return g.flush()
}

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

// receivePromise counts promises until they are a majority of each
// configuration of the newest state among them.
func (g *Group) receivePromise(now time.Time, from api.NodeRef, m Promise) {
	if !m.Granted {
		g.noticeTerm(now, m.Promised)
		return
	}
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

// receiveAccepted counts the members that have the leader's newest state.
func (g *Group) receiveAccepted(now time.Time, from api.NodeRef, m Accepted) {
	if !m.Granted {
		g.noticeTerm(now, m.Promised)
		return
	}
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

// noticeTerm reacts to a refusal: somebody follows a higher term.
func (g *Group) noticeTerm(now time.Time, term uint64) {
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

func (g *Group) stepDown(now time.Time) {
	g.role = roleFollower
	g.leader = api.NodeRef{}
	g.leaderHeard = time.Time{}
	g.established = false
	if !g.accepted.Has(g.config.Self) {
		g.role = roleNone
	}
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

// lead proposes state as the first one of the promised term.
func (g *Group) lead(now time.Time, state State) {
	g.role = roleLeader
	g.leader = g.config.Self
	g.established = false
	g.committed = State{}
	g.acknowledged = make(map[Member]uint64)
	g.heardFrom = make(map[Member]time.Time)
	for _, node := range state.All() {
		g.heardFrom[MemberOf(node)] = now // a full time-out to answer
	}
	g.wantData = nil
	g.wantNext = nil
	g.departed = nil
	g.heartbeatAt = now.Add(g.config.Timing.HeartbeatInterval)
	g.proposeState(now, state)
}

// proposeState accepts the state itself and sends it to the other members.
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

// advance commits the newest state when enough members have it, and then
// proposes the next one.
func (g *Group) advance(now time.Time) {
	if g.role != roleLeader {
		return
	}
	if g.committed.Term != g.accepted.Term || g.committed.Version != g.accepted.Version {
		if !g.accepted.agreed(g.hasNewest) && !g.config.Unsafe.NoMajority {
			return
		}
		g.committed = g.accepted
		g.established = true
		g.dismiss()
	}
	if !g.accepted.Has(g.config.Self) {
		g.handOver(now)
		return
	}
	g.proposeNext(now)
}

func (g *Group) hasNewest(member Member) bool {
	return g.acknowledged[member] >= g.accepted.Version
}

// proposeNext proposes what has been asked for since the last proposal.
func (g *Group) proposeNext(now time.Time) {
	next := g.accepted
	switch {
	case len(next.Next) > 0:
		g.departed = without(next.Members, next.Next)
		next.Previous = next.Members
		next.Members, next.Next = next.Next, nil
		next.Configuration++
	case len(g.wantNext) > 0:
		next.Next = g.wantNext
		g.wantNext = nil
	case g.wantData == nil:
		return
	}
	if g.wantData != nil {
		next.Data = *g.wantData
		g.wantData = nil
	}
	g.proposeState(now, next)
}

// dismiss tells the members that were replaced about it, once.
func (g *Group) dismiss() {
	if len(g.accepted.Next) > 0 {
		return
	}
	for _, node := range g.departed {
		g.send(node, Accept{Cell: g.config.Cell, State: g.accepted})
	}
	g.departed = nil
}

// handOver lets the first member take over from a leader that is none any more.
func (g *Group) handOver(now time.Time) {
	if len(g.accepted.Members) > 0 {
		g.send(g.accepted.Members[0], TakeOver{Cell: g.config.Cell, Term: g.promised})
	}
	g.stepDown(now)
}

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

func (g *Group) send(to api.NodeRef, message any) {
	if MemberOf(to) == MemberOf(g.config.Self) {
		return
	}
	g.packets = append(g.packets, Packet{To: to, Message: message})
}

func (g *Group) flush() []Packet {
	packets := g.packets
	g.packets = nil
	return packets
}
