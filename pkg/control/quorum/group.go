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

// Receive handles a message of another member.
func (g *Group) Receive(now time.Time, from api.NodeRef, message any) []Packet {
	switch m := message.(type) {
	case Prepare:
		g.receivePrepare(now, from, m)
	case Promise:
		if g.granted(now, m.Granted, m.Promised) {
			g.receivePromise(now, from, m)
		}
	case Accept:
		g.receiveAccept(now, from, m)
	case Heartbeat:
		g.receiveHeartbeat(now, from, m)
	case Accepted:
		if g.granted(now, m.Granted, m.Promised) {
			g.receiveAccepted(now, from, m)
		}
	case TakeOver:
		if g.role == roleFollower && m.Term == g.promised && g.accepted.Has(g.config.Self) {
			g.stand(now, true)
		}
	}
	return g.flush()
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
