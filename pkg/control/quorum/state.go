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
	return Contains(s.Members, node) || Contains(s.Next, node)
}

// All returns the members of both configurations, each once.
func (s State) All() []api.NodeRef {
	all := append([]api.NodeRef(nil), s.Members...)
	for _, node := range s.Next {
		if !Contains(all, node) {
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
