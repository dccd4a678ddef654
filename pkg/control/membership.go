package control

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// Membership tells which nodes are alive and carries a small digest of each to
// its neighbours.
type Membership interface {
	Tick(now time.Time) []Packet
	Receive(now time.Time, from api.NodeRef, message any) []Packet
	Leave(now time.Time) []Packet
	Members() []Member
	SetDigest(digest Digest)
	Digest(id api.NodeID) (Digest, bool)
}

// Packet is a message for another node, which may be known by address only.
type Packet struct {
	To      api.NodeRef
	Message any
}

// State is the state of a node.
type State uint8

// The states of a node.
const (
	StateAlive State = iota
	StateSuspect
	StateDead
	StateLeft
)

// Member is a node as seen by this node.
type Member struct {
	Ref   api.NodeRef
	State State
	Since time.Time
}

// CellVersion is what a node has of a cell.
type CellVersion struct {
	Cell         api.CellName
	Term         uint64
	Version      uint64
	LoadsVersion uint64
	ActiveLoads  int
	WantedLoads  int
	UrgentLoads  int
}

// Digest is what a node tells its neighbours about itself.
type Digest struct {
	TreeRevision uint64
	Cells        []CellVersion
}

// alone is the membership of a node without others.
type alone struct {
	self api.NodeRef
}

func (a alone) Tick(time.Time) []Packet                      { return nil }
func (a alone) Receive(time.Time, api.NodeRef, any) []Packet { return nil }
func (a alone) Leave(time.Time) []Packet                     { return nil }
func (a alone) Members() []Member                            { return []Member{{Ref: a.self}} }
func (a alone) SetDigest(Digest)                             {}
func (a alone) Digest(api.NodeID) (Digest, bool)             { return Digest{}, false }

func newMembership(config Config) Membership {
	return alone{self: config.Self}
}
