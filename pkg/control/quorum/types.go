// Package quorum keeps the small state of one cell on a group of nodes, so
// that it survives the loss of a minority of them with no help of the
// platform: a replicated register with a leader (Paxos over the whole state,
// without a log).
//
// A member is one life of a process: a restarted process has another
// incarnation and is not a member, so that a member never forgets a promise.
// Members are replaced in two steps over a joint configuration, in which a
// majority of the old and one of the new members must agree.
//
// A Group holds no clock, socket or goroutine. Leases and time-outs decide only
// when a member tries to lead; that two leaders do not both change the state
// follows from the majorities alone.
package quorum

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// Size is the number of members of a group when there are enough nodes.
const Size = 3

// roundBits is the width of the round in a term; the epoch is above it.
const roundBits = 20

// MakeTerm returns the term of round in epoch. An epoch begins when a group is
// formed by a write in the table service, a round when a member stands as
// leader. Both start at 1.
func MakeTerm(epoch, round uint64) uint64 {
	return epoch<<roundBits | round
}

// Epoch returns the epoch of a term.
func Epoch(term uint64) uint64 {
	return term >> roundBits
}

// Server is a server that the cell may load models on. A server is in the
// record of the table service before it is in the group's state, so that the
// founder of the next epoch knows of it.
type Server struct {
	ID          api.ServerID `json:"id"`
	Address     string       `json:"address"`
	Zone        string       `json:"zone"`
	MemoryBytes uint64       `json:"memory_bytes"`
	ListVersion uint64       `json:"list_version"` // of the machine list that showed it

	// Unknown means that the server was used in an earlier epoch and may hold
	// any model until the owner of this epoch has fenced it.
	Unknown bool `json:"-"`

	// Instance is the life of the engine that may be loaded on. After the
	// owner first saw it, a read of the cell's record still showed the
	// owner's epoch.
	Instance string `json:"-"`
}

// Intent is a model or adapter that a server holds or may hold. It is
// committed before its load is ordered and removed after the server's
// inventory shows that the model is gone.
type Intent struct {
	OrderID  string
	Server   api.ServerID
	Model    api.ModelName
	Base     api.ModelName
	Bytes    uint64
	Version  string    // of the checkpoint
	Instance string    // of the engine that it was ordered from
	SeenAt   time.Time // when that instance last answered before
	Urgent   bool
}

// Data is what the owner of the cell keeps in the register. Its slices are
// never changed once proposed.
type Data struct {
	FormedAt time.Time // when the epoch's record was surely written
	Revision uint64    // of the tree that the owner decided by
	Servers  []Server  // sorted by ID
	Intents  []Intent  // sorted by server and model
}

// State is the value of the register with its place in the order of values.
type State struct {
	Term    uint64
	Version uint64
	Members []api.NodeRef
	Next    []api.NodeRef // the new members of a joint configuration, else empty

	// Configuration counts the sets of members of the epoch, from 1. Previous
	// are the members of the set before, empty in the first one.
	Configuration uint64
	Previous      []api.NodeRef

	Data Data
}

// ConfigVersion returns the version of the set of members.
func (s State) ConfigVersion() uint64 {
	return api.MakeConfigVersion(Epoch(s.Term), s.Configuration)
}

// newerThan orders the states of one register.
func (s State) newerThan(other State) bool {
	if s.Term != other.Term {
		return s.Term > other.Term
	}
	return s.Version > other.Version
}

// Has tells whether node is a member in the state.
func (s State) Has(node api.NodeRef) bool {
	return contains(s.Members, node) || contains(s.Next, node)
}

// All returns the members of both configurations, each once.
func (s State) All() []api.NodeRef {
	all := append([]api.NodeRef(nil), s.Members...)
	for _, node := range s.Next {
		if !contains(all, node) {
			all = append(all, node)
		}
	}
	return all
}

// agreed tells whether the nodes for which has is true are a majority of each
// configuration of the state.
func (s State) agreed(has func(Member) bool) bool {
	return majority(s.Members, has) && (len(s.Next) == 0 || majority(s.Next, has))
}

// Member identifies one life of a node.
type Member struct {
	ID          api.NodeID
	Incarnation uint64
}

// MemberOf returns the identity of a node's life.
func MemberOf(node api.NodeRef) Member {
	return Member{ID: node.ID, Incarnation: node.Incarnation}
}

func majority(members []api.NodeRef, has func(Member) bool) bool {
	count := 0
	for _, node := range members {
		if has(MemberOf(node)) {
			count++
		}
	}
	return 2*count > len(members)
}

func contains(nodes []api.NodeRef, node api.NodeRef) bool {
	for _, other := range nodes {
		if MemberOf(other) == MemberOf(node) {
			return true
		}
	}
	return false
}

// Prepare asks a member to follow no term below Term and to tell its state.
type Prepare struct {
	Cell     api.CellName
	Term     uint64
	Handover bool // the leader itself asked the sender to take over
}

// Promise answers a Prepare. Promised is the highest term that the member
// follows; it is above Prepare.Term when the request was refused.
type Promise struct {
	Cell     api.CellName
	Term     uint64 // of the Prepare
	Granted  bool
	Promised uint64
	State    State
}

// Accept asks a member to take over a state of the leader of State.Term.
type Accept struct {
	Cell  api.CellName
	State State
}

// Heartbeat tells that the leader of Term lives and is at Version.
type Heartbeat struct {
	Cell    api.CellName
	Term    uint64
	Version uint64
}

// Accepted answers an Accept or a Heartbeat.
type Accepted struct {
	Cell     api.CellName
	Term     uint64 // of the request
	Version  uint64 // accepted in Term
	Granted  bool
	Promised uint64
}

// TakeOver asks a member to stand at once: the leader of Term is about to stop.
type TakeOver struct {
	Cell api.CellName
	Term uint64
}

// Leaving asks the leader to replace the sender, which is about to stop.
type Leaving struct {
	Cell api.CellName
}

// Messages returns a value of each message type, for registration with the
// transport.
func Messages() []any {
	return []any{Prepare{}, Promise{}, Accept{}, Heartbeat{}, Accepted{}, TakeOver{}, Leaving{}}
}

// Packet is a message for another node.
type Packet struct {
	To      api.NodeRef
	Message any
}

// Timing holds the time constants of a group. None matters for safety.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats of the leader
	ResendInterval    time.Duration // until an unanswered message is repeated
	ElectionTimeout   time.Duration // silence of the leader until the first member stands
	ElectionStep      time.Duration // longer for each further member in the succession
	LeaderTimeout     time.Duration // silence of the majority until the leader steps down
}

// DefaultTiming returns the time constants for nodes a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 500 * time.Millisecond,
		ResendInterval:    300 * time.Millisecond,
		ElectionTimeout:   1500 * time.Millisecond,
		ElectionStep:      500 * time.Millisecond,
		LeaderTimeout:     3 * time.Second,
	}
}

// without returns the nodes that are not among others.
func without(nodes, others []api.NodeRef) []api.NodeRef {
	var left []api.NodeRef
	for _, node := range nodes {
		if !contains(others, node) {
			left = append(left, node)
		}
	}
	return left
}
