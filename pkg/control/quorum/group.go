package quorum

import (
	"math/rand/v2"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/internal/switches"
)

// Config configures a Group.
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
	roleFollower              // follows a leader or waits for one
	roleCandidate             // has asked the members for promises
	roleLeader                // proposes states
)

// Group is this node's member of the quorum group of one cell. Use NewGroup to
// create one. It is owned by one goroutine.
type Group struct {
	config Config
	role   role

	// Acceptor state: it must not be lost while the process runs.
	promised   uint64 // highest term that this member has promised to follow
	promisedTo Member // candidate or leader of the promised term
	accepted   State  // newest accepted state

	seenTerm   uint64 // highest term that any member or engine is known to follow
	epochFloor uint64 // members ignore messages of earlier epochs

	leader        api.NodeRef // leader of the promised term, if known
	leaderHeardAt time.Time
	electionAt    time.Time // when this member starts an election unless it hears from the leader
	resendAt      time.Time // when unanswered messages are sent again

	// Candidate state.
	promises         map[Member]State // states reported by the members that have promised
	handover         bool             // the leader asked this member to take over
	electionDeadline time.Time        // when the election is abandoned

	// Leader state.
	acknowledged   map[Member]uint64    // newest version that each member has accepted in this term
	heardFrom      map[Member]time.Time // when each member last answered
	committed      State
	established    bool // the first state of this term is committed
	heartbeatAt    time.Time
	pendingData    *Data         // data to propose next, if any
	pendingMembers []api.NodeRef // members to propose next, if any
	departed       []api.NodeRef // replaced members that must still be notified

	packets []Packet // messages to send, returned by the next flush
}

// NewGroup returns this node's part in the group of a cell. It is not a member
// until a state names it.
func NewGroup(config Config) *Group {
	return &Group{config: config}
}

// Found makes this node the leader of a new epoch with the given members. The
// caller must have won the epoch by a conditional write in the table service.
func (g *Group) Found(now time.Time, epoch uint64, members []api.NodeRef, data Data) []Packet {
	term := MakeTerm(epoch, 1)
	if term <= g.promised {
		return nil
	}
	g.recordPromise(term, g.config.Self)
	g.becomeLeader(now, State{Term: term, Members: members, Configuration: 1, Data: data})
	return g.flush()
}

// Member reports whether this node is a member of the newest state that it knows.
func (g *Group) Member() bool {
	return g.role != roleNone && g.accepted.Has(g.config.Self)
}

// Leading returns the term that this node leads, and true once a majority has
// accepted the first state of that term.
func (g *Group) Leading() (uint64, bool) {
	return g.promised, g.role == roleLeader && g.established
}

// Leader returns the leader that this member follows, and whether it heard from
// that leader within LeaderTimeout.
func (g *Group) Leader(now time.Time) (api.NodeRef, bool) {
	if g.role == roleLeader {
		return g.config.Self, true
	}
	heard := g.role == roleFollower && now.Sub(g.leaderHeardAt) < g.config.Timing.LeaderTimeout
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

// EpochFloor returns the highest epoch that this node knows of.
func (g *Group) EpochFloor() uint64 {
	return max(g.epochFloor, Epoch(g.promised))
}

// Supersede records that a group of the given epoch exists. A member of an
// earlier epoch becomes inactive: it no longer votes, starts elections or leads.
func (g *Group) Supersede(epoch uint64) {
	g.epochFloor = max(g.epochFloor, epoch)
	if g.accepted.Term != 0 && epoch > Epoch(g.accepted.Term) {
		g.role = roleNone
	}
}

// Propose asks for a new value of the register. A later call replaces a value
// that was not proposed yet; Committed shows when a value is committed. It does
// nothing unless this member leads.
func (g *Group) Propose(now time.Time, data Data) []Packet {
	if g.role != roleLeader {
		return nil
	}
	g.pendingData = &data
	g.advance(now)
	return g.flush()
}

// Reconfiguring reports whether a change of members is in progress.
func (g *Group) Reconfiguring() bool {
	return len(g.pendingMembers) > 0 || len(g.accepted.Next) > 0
}

// Reconfigure replaces the members in two steps. It does nothing unless this
// member leads and no other change is in progress.
func (g *Group) Reconfigure(now time.Time, next []api.NodeRef) []Packet {
	if g.role != roleLeader || !g.established || g.Reconfiguring() || len(next) == 0 {
		return nil
	}
	g.pendingMembers = next
	g.advance(now)
	return g.flush()
}

// Resign makes a leader step down and hand over to the first other member.
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

// Tick performs the role's time-driven actions.
func (g *Group) Tick(now time.Time) []Packet {
	switch g.role {
	case roleFollower:
		if g.accepted.Has(g.config.Self) && !now.Before(g.electionAt) {
			g.startElection(now, false)
		}
	case roleCandidate:
		g.tickCandidate(now)
	case roleLeader:
		g.tickLeader(now)
	}
	return g.flush()
}

// Receive handles a message from another member.
func (g *Group) Receive(now time.Time, from api.NodeRef, message any) []Packet {
	switch m := message.(type) {
	case Prepare:
		g.receivePrepare(now, from, m)
	case Promise:
		if g.checkAnswer(now, m.Granted, m.Promised) {
			g.receivePromise(now, from, m)
		}
	case Accept:
		g.receiveAccept(now, from, m)
	case Heartbeat:
		g.receiveHeartbeat(now, from, m)
	case Accepted:
		if g.checkAnswer(now, m.Granted, m.Promised) {
			g.receiveAccepted(now, from, m)
		}
	case TakeOver:
		if g.role == roleFollower && m.Term == g.promised && g.accepted.Has(g.config.Self) {
			g.startElection(now, true)
		}
	}
	return g.flush()
}

// send queues a message unless it is addressed to this node.
func (g *Group) send(to api.NodeRef, message any) {
	if MemberOf(to) == MemberOf(g.config.Self) {
		return
	}
	g.packets = append(g.packets, Packet{To: to, Message: message})
}

// flush returns and clears the queued messages.
func (g *Group) flush() []Packet {
	packets := g.packets
	g.packets = nil
	return packets
}
