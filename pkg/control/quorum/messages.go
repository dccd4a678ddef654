package quorum

import (
	"martenwheel.dev/pkg/api"
)

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

// Leaving asks the members of a group to replace the sender, which is about to stop.
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
