package keeper

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// ClaimRequest asks a keeper to grant a claim. A claim that is tried again
// after its grants were released has a higher round, so that a late release of
// the earlier round does not take the new grants away.
type ClaimRequest struct {
	Claim   Claim
	Round   uint32
	Version uint64 // of the configuration that the sender goes by
}

// Outcome is a keeper's answer to a claim.
type Outcome uint8

// The outcomes of a claim at one keeper.
const (
	OutcomeGranted      Outcome = iota + 1 // recorded for this attempt
	OutcomeAnswered                        // ran before
	OutcomeHeld                            // recorded for another attempt
	OutcomeMismatch                        // recorded with another digest
	OutcomeAbstained                       // the keeper may have forgotten, or not learned, earlier claims
	OutcomeWrongVersion                    // the keeper goes by another configuration
	OutcomeFull                            // no room for another record
	OutcomeInvalid                         // a field is empty or over its limit
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Outcome Outcome
	Version uint64        // that the keeper goes by
	Round   uint32        // of the request
	Holder  string        // attempt of OutcomeHeld and OutcomeMismatch
	Age     time.Duration // of the record, for OutcomeHeld and OutcomeMismatch
	Answer  *Answer       // for OutcomeAnswered
}

// ofAnother tells whether another attempt has the key at this keeper.
func (r ClaimReply) ofAnother() bool {
	return r.Outcome == OutcomeHeld || r.Outcome == OutcomeMismatch
}

// contending tells whether that attempt may be claiming right now.
func (r ClaimReply) contending() bool {
	return r.ofAnother() && r.Age < contendedAge
}

// CompleteRequest records the answer of a claim that was run.
type CompleteRequest struct {
	Claim  Claim
	Answer Answer
}

// ReleaseRequest gives a claim's grants up to a round back. The sender does
// not run the request with a grant of these rounds.
type ReleaseRequest struct {
	Key     Key
	Attempt string
	Round   uint32
}

// Acknowledged answers a CompleteRequest and a ReleaseRequest.
type Acknowledged struct {
	Done bool // false if the keeper has no such record and cannot take one
}

// CopyRequest asks a keeper for its records, page by page.
type CopyRequest struct {
	Cell    api.CellName
	Version uint64 // of the sender's configuration
	After   uint64 // the last Next received; 0 for the first page
}

// Record is what a keeper knows about a key.
type Record struct {
	Claim     Claim
	Round     uint32
	Answer    *Answer // nil until the request was answered
	Age       time.Duration
	Remaining time.Duration // until it is forgotten
}

// CopyReply is one page of a keeper's records.
type CopyReply struct {
	Version  uint64 // that the keeper goes by
	Complete bool   // the keeper took part fully in Version-1 or does so now
	Records  []Record
	Next     uint64
	Done     bool // no further pages
}

// Messages returns one value of each message type, for registration with the
// transport.
func Messages() []any {
	return []any{
		ClaimRequest{}, ClaimReply{},
		CompleteRequest{}, ReleaseRequest{}, Acknowledged{},
		CopyRequest{}, CopyReply{},
	}
}
