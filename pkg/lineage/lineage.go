// Package lineage lets any node of a site find out at which software version of which service a stream
// began, also after the node that passed its first event on is gone. A stream may continue only there.
//
//   - lineage.go: what is known of a stream
//   - table.go: the streams that a node knows
//   - keepers.go: which nodes are told of a node's streams
//   - register.go: what a node knows, and asking other nodes
//   - tell.go: telling other nodes
//   - archive.go: rows in a store that outlives all nodes
//   - stored.go: which streams are stored, and who looks for them there
//   - messages.go: the messages between nodes
package lineage

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Origin is where a stream began.
type Origin struct {
	Service  string
	Software string // version of the software of the server that brought its first event
}

// Key identifies a stream by its caller's attempt that brought the first event.
type Key uint64

// keySeparator separates the parts of a key. It is in no tenant's name.
const keySeparator = "\x00"

// KeyOf returns the key of a stream that began with an attempt of a tenant's caller. Callers choose the IDs
// of their attempts, so an ID counts for its own tenant only.
func KeyOf(tenant, attempt string) Key {
	return Key(xxhash.Sum64String(tenant + keySeparator + attempt))
}

// Found is the result of a search for the origin of a stream.
type Found struct {
	Origin
	Known       bool
	Conflicting bool          // different origins were told for one attempt, so that none counts
	Age         time.Duration // time since the node in From learned it
	From        string        // name of the node that knew it; empty: none did
	Asked       int           // other nodes that were asked
	Answered    int           // those that answered, up to the first that knew it
}
