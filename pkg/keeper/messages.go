package keeper

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// ClaimRequest asks a keeper to grant a claim. A claim that is retried after its
// grants were released has a higher round, so that a delayed release of the
// earlier round does not revoke the new grants.
type ClaimRequest struct {
	Claim   Claim
	Round   uint32
	Version uint64 // configuration version that the sender uses
}

// Outcome is one keeper's answer to a claim.
type Outcome uint8

// Outcomes of a claim at one keeper.
const (
	OutcomeGranted      Outcome = iota + 1 // recorded for this attempt
	OutcomeAnswered                        // the request ran before
	OutcomeHeld                            // recorded for another attempt
	OutcomeMismatch                        // recorded with a different digest
	OutcomeAbstained                       // the keeper may not know all earlier claims
	OutcomeWrongVersion                    // the keeper uses another configuration
	OutcomeFull                            // no capacity for another record
	OutcomeInvalid                         // a field of the claim is empty or exceeds its limit
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Outcome Outcome
	Version uint64        // configuration version that the keeper uses
	Round   uint32        // round of the request
	Holder  string        // attempt that holds the key, for OutcomeHeld and OutcomeMismatch
	Age     time.Duration // age of the record, for OutcomeHeld and OutcomeMismatch
	Answer  *Answer       // set for OutcomeAnswered
}

// heldByOther reports whether another attempt holds the key at this keeper.
func (r ClaimReply) heldByOther() bool {
	return r.Outcome == OutcomeHeld || r.Outcome == OutcomeMismatch
}

// contending reports whether another attempt holds the key at this keeper and
// may still be claiming.
func (r ClaimReply) contending() bool {
	return r.heldByOther() && r.Age < contendedAge
}

// CompleteRequest records the answer of a request that ran.
type CompleteRequest struct {
	Claim  Claim
	Answer Answer
}

// ReleaseRequest gives back a claim's grants of all rounds up to Round. The
// sender does not run the request on a grant of these rounds.
type ReleaseRequest struct {
	Key     Key
	Attempt string
	Round   uint32
}

// Acknowledged answers a CompleteRequest and a ReleaseRequest.
type Acknowledged struct {
	Done bool // false if the keeper did not apply the request
}

// CopyRequest asks a keeper for its records, page by page.
type CopyRequest struct {
	Cell    api.CellName
	Version uint64 // configuration version that the sender uses
	After   uint64 // Next of the previous page; 0 for the first page
}

// Record is what a keeper knows about a key.
type Record struct {
	Claim     Claim
	Round     uint32
	Answer    *Answer // nil until the request was answered
	Age       time.Duration
	Remaining time.Duration // time until the record expires
}

// CopyReply is one page of a keeper's records.
type CopyReply struct {
	Version  uint64 // configuration version that the keeper uses
	Complete bool   // the keeper granted claims in Version-1 or does so now, so it has all of its records
	Granting bool   // the keeper grants claims now; earlier builds don't send it
	Records  []Record
	Next     uint64 // After of the request for the next page
	Done     bool   // no further pages
}

// Messages returns one value of each message type, for registration with the
// peer transport.
func Messages() []any {
	return []any{
		ClaimRequest{}, ClaimReply{},
		CompleteRequest{}, ReleaseRequest{}, Acknowledged{},
		CopyRequest{}, CopyReply{},
	}
}
