package quorum

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// Size is the number of members of a group if there are enough nodes.
const Size = 3

// roundBits is the width of the round in a term. The epoch is in the bits above
// it.
const roundBits = 20

// MakeTerm returns the term of a round in an epoch. A new epoch begins when a
// group is formed by a write in the table service, a new round when a member
// starts an election. Both start at 1.
func MakeTerm(epoch, round uint64) uint64 {
	return epoch<<roundBits | round
}

// Epoch returns the epoch of a term.
func Epoch(term uint64) uint64 {
	return term >> roundBits
}

// Server is a server that the cell may load models on. It is added to the record
// in the table service before it is added to the group's state, so that the
// founder of the next epoch knows about it.
type Server struct {
	ID          api.ServerID `json:"id"`
	Address     string       `json:"address"`
	Zone        string       `json:"zone"`
	MemoryBytes uint64       `json:"memory_bytes"`
	ListVersion uint64       `json:"list_version"` // version of the machine list that first showed it

	// Unknown means that the server may have been used in an earlier epoch and
	// may hold any model until the owner of this epoch has fenced it.
	Unknown bool `json:"-"`

	// Instance is the engine instance that may be loaded on. It is set once a
	// read of the cell's record that began after the owner first saw the instance
	// still shows the owner's epoch.
	Instance string `json:"-"`
}

// Intent records a model or adapter that a server holds or may hold. It is
// committed before the load is ordered and removed after the server's inventory
// shows that the model is gone.
type Intent struct {
	// OrderID is the ID of the load order. Base is the base model of an adapter,
	// Bytes the reserved memory.
	OrderID  string
	Server   api.ServerID
	Model    api.ModelName
	Base     api.ModelName
	Bytes    uint64
	Version  string    // version of the checkpoint
	Instance string    // engine instance that the load was ordered from
	SeenAt   time.Time // when that instance last answered before the order
	// Urgent means that callers wait for the load.
	Urgent bool
}

// Data is the replicated state of the cell's owner. Its slices must not be
// modified once it is proposed.
type Data struct {
	FormedAt time.Time // a time at which the epoch's record had certainly been written
	Revision uint64    // revision of the settings tree that the owner used
	Servers  []Server  // servers in use, sorted by ID
	Intents  []Intent  // loaded or possibly loaded models, sorted by server and model
}

// State is the value of the register with its configuration and its position in
// the order of values.
type State struct {
	Term    uint64
	Version uint64
	Members []api.NodeRef
	Next    []api.NodeRef // new members during a joint configuration, else empty

	// Configuration counts the epoch's sets of members, from 1. Previous holds
	// the members of the preceding set; it is empty in the first one.
	Configuration uint64
	Previous      []api.NodeRef

	Data Data
}

// ConfigVersion returns the version of the set of members.
func (s State) ConfigVersion() uint64 {
	return api.MakeConfigVersion(Epoch(s.Term), s.Configuration)
}

// newerThan reports whether s comes after other in the order of values.
func (s State) newerThan(other State) bool {
	if s.Term != other.Term {
		return s.Term > other.Term
	}
	return s.Version > other.Version
}

// Has reports whether node is a member in the state.
func (s State) Has(node api.NodeRef) bool {
	return Contains(s.Members, node) || Contains(s.Next, node)
}

// All returns the members of both configurations without duplicates.
func (s State) All() []api.NodeRef {
	all := append([]api.NodeRef(nil), s.Members...)
	for _, node := range s.Next {
		if !Contains(all, node) {
			all = append(all, node)
		}
	}
	return all
}

// hasQuorum reports whether the members for which has is true are a majority of
// each configuration of the state.
func (s State) hasQuorum(has func(Member) bool) bool {
	return majority(s.Members, has) && (len(s.Next) == 0 || majority(s.Next, has))
}
