package lineage

import (
	"time"

	"martenwheel.dev/pkg/peer"
)

// Began tells a keeper where streams began.
type Began struct {
	Groups []Group
}

// Group are streams that began at the same service and software version.
type Group struct {
	Origin  Origin
	Streams []Stream
	// Store makes the receiver write the streams to the store.
	Store bool
}

// Stream is a stream whose caller may take it up.
type Stream struct {
	Key  Key
	Left time.Duration // how long it may be taken up
}

// Find asks where a stream began.
type Find struct {
	Key Key
	// Ask makes the receiver ask the keepers if it does not know, for a node that does not know any.
	Ask bool
	// Stored makes the receiver read the store if it does not know.
	Stored bool
}

// FindAnswer answers Find.
type FindAnswer struct {
	Origin      Origin
	Known       bool
	Conflicting bool // different origins were told
	Age         time.Duration
}

func init() { peer.RegisterRecent(Began{}, Find{}, FindAnswer{}) }
