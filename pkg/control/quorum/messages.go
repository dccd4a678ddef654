package quorum

import (
	"martenwheel.dev/pkg/api"
)

// Prepare asks a member to promise to follow no term below Term and to report its
// state.
type Prepare struct {
	Cell     api.CellName
	Term     uint64
	Handover bool // the leader asked the sender to take over
}

// Promise answers a Prepare. State is the newest state that the member has
// accepted. Promised is the highest term that the member follows; it is at least
// Prepare.Term when the request was refused.
type Promise struct {
	Cell     api.CellName
	Term     uint64 // term of the Prepare
	Granted  bool
	Promised uint64
	State    State
}

// Accept asks a member to accept a state proposed by the leader of State.Term.
type Accept struct {
	Cell  api.CellName
	State State
}

// Heartbeat reports that the leader of Term is alive and that its newest state
// has Version.
type Heartbeat struct {
	Cell    api.CellName
	Term    uint64
	Version uint64
}

// Accepted answers an Accept or a Heartbeat. Promised is the highest term that
// the member follows.
type Accepted struct {
	Cell     api.CellName
	Term     uint64 // term of the request
	Version  uint64 // newest version accepted in Term; zero if none
	Granted  bool
	Promised uint64
}

// TakeOver asks a member to start an election at once, because the leader of Term
// steps down.
type TakeOver struct {
	Cell api.CellName
	Term uint64
}

// Leaving asks the members of a group to replace the sender, which is about to
// stop.
type Leaving struct {
	Cell api.CellName
}

// Messages returns a value of each message type, for registration with the
// transport.
func Messages() []any {
	return []any{Prepare{}, Promise{}, Accept{}, Heartbeat{}, Accepted{}, TakeOver{}, Leaving{}}
}

// Packet is a message to another node.
type Packet struct {
	To      api.NodeRef
	Message any
}
