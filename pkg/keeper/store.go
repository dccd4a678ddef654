package keeper

import (
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// Limits on records and answers.
const (
	// MaxKeptAnswer is the largest answer body that is stored, in bytes.
	MaxKeptAnswer = 64 << 10
	// MaxGrantAge is how long after the start of its claim a request may
	// still be forwarded. Records are kept this much longer than their
	// retention, so that two runs of a key are at least the retention apart.
	MaxGrantAge = time.Minute

	maxCallerBytes      = 256
	maxValueBytes       = 512
	maxAttemptBytes     = 256
	maxContentTypeBytes = 256

	copyPageRecords = 512     // maximum number of records in a CopyReply
	copyPageBytes   = 1 << 20 // bytes of answers after which a CopyReply ends
)

// Limits bounds the memory and the retention of a Store.
type Limits struct {
	Records          int           // maximum number of records of all callers together
	RecordsPerCaller int           // maximum number of records of one caller
	AnswerBytes      int           // maximum total size of the stored answer bodies
	MaxRetention     time.Duration // claims with a longer retention are invalid

	// ConfirmWithin is how long a keeper keeps granting claims without a
	// confirmation by the cell's owner that its configuration is in force (see
	// Confirm); 0 means forever. It makes a keeper stop that is partitioned
	// from the owner with an old configuration.
	ConfirmWithin time.Duration
}

// abstentionPeriod returns the time after which every record that a new member may
// have missed has expired. It includes ConfirmWithin because keepers with the
// previous configuration keep granting for that long.
func (l Limits) abstentionPeriod() time.Duration {
	return l.ConfirmWithin + l.MaxRetention + MaxGrantAge
}

// DefaultLimits returns limits that keep a store below about 64 MiB.
func DefaultLimits() Limits {
	return Limits{
		Records:          100_000,
		RecordsPerCaller: 25_000,
		AnswerBytes:      24 << 20,
		MaxRetention:     time.Hour,
	}
}

// Store is one keeper of one cell as a pure state machine. It is not safe for
// concurrent use.
//
// A store abstains from granting claims once it adopts a configuration in which
// it is a new member or whose majority is smaller than before. It starts granting
// when it has copied the records of a majority of the previous configuration's
// members, each after that member adopted the new configuration, or when every
// record that it may have missed has expired.
type Store struct {
	self          api.NodeRef
	limits        Limits
	records       *records
	configuration Configuration

	granting      bool // knows all earlier claims, so it may grant new ones
	complete      bool // was granting in the previous configuration
	abstainsSince time.Time
	confirmedAt   time.Time
	copies        map[member]*copyProgress
	ablation      ablation
}

// NewStore returns the store of this incarnation of a node. It refuses all
// requests until it has a configuration.
func NewStore(self api.NodeRef, limits Limits) *Store {
	return &Store{self: self, limits: limits, records: newRecords()}
}

// SetConfiguration adopts a configuration that the cell's quorum group has
// committed. A configuration that is not newer than the store's own is ignored.
func (s *Store) SetConfiguration(now time.Time, next Configuration) {
	if next.Version <= s.configuration.Version {
		return
	}
	s.tick(now)
	stays := s.configuration.Version != 0 &&
		s.configuration.Version == next.Version-1 &&
		isAmong(s.self, next.Previous)
	wasGranting := s.granting
	s.complete = stays && wasGranting
	// With a smaller majority, members that missed a key could grant it again.
	shrinks := majorityOf(len(next.Members)) < majorityOf(len(next.Previous))
	s.configuration = next
	s.granting = next.founding() || s.complete && !shrinks || s.ablation.noAbstention
	s.confirmedAt = now
	if !stays || shrinks || wasGranting {
		s.abstainsSince = now
	}
	s.copies = map[member]*copyProgress{}
}

// Confirm records that the cell's owner, at time now or later, confirmed a
// configuration version to be in force.
func (s *Store) Confirm(now time.Time, version uint64) {
	if version == s.configuration.Version {
		s.confirmedAt = now
	}
}

// confirmed reports whether the configuration was confirmed within ConfirmWithin.
func (s *Store) confirmed(now time.Time) bool {
	limit := s.limits.ConfirmWithin
	return limit == 0 || s.ablation.noConfirmation || now.Sub(s.confirmedAt) < limit
}

// mayGrant reports whether the store may grant a claim.
func (s *Store) mayGrant(now time.Time) bool {
	return s.granting && s.confirmed(now)
}

// Configuration returns the store's current configuration. Its Version is 0
// before the first one is set.
func (s *Store) Configuration() Configuration {
	return s.configuration
}

// SetMaxRetention changes the longest retention of claims.
func (s *Store) SetMaxRetention(retention time.Duration) {
	s.limits.MaxRetention = retention
}

// Len returns the number of records.
func (s *Store) Len() int {
	return len(s.records.byKey)
}

// tick removes expired records, and ends the abstention once every record that
// the store may have missed has expired.
func (s *Store) tick(now time.Time) {
	s.records.expire(now)
	if s.member() && now.Sub(s.abstainsSince) >= s.limits.abstentionPeriod() {
		s.granting = true
	}
}

// member reports whether this node is a member of the configuration.
func (s *Store) member() bool {
	return isAmong(s.self, s.configuration.Members)
}

// Handle answers a ClaimRequest, CompleteRequest, ReleaseRequest or
// CopyRequest. Any other type is an error.
func (s *Store) Handle(now time.Time, request any) (any, error) {
	s.tick(now)
	switch request := request.(type) {
	case ClaimRequest:
		reply := s.claim(now, request)
		reply.Version = s.configuration.Version
		reply.Round = request.Round
		return reply, nil
	case CompleteRequest:
		return s.completeClaim(now, request), nil
	case ReleaseRequest:
		return s.release(request), nil
	case CopyRequest:
		return s.copyPage(now, request), nil
	default:
		return nil, errors.Errorf("keeper: request of unknown type %T", request)
	}
}

func (s *Store) claim(now time.Time, request ClaimRequest) ClaimReply {
	if !s.valid(request.Claim) {
		return ClaimReply{Outcome: OutcomeInvalid}
	}
	wrongVersion := request.Version != s.configuration.Version && !s.ablation.noVersionCheck
	if wrongVersion || !s.member() {
		return ClaimReply{Outcome: OutcomeWrongVersion}
	}
	if known := s.records.byKey[request.Claim.Key]; known != nil {
		return s.claimKnownKey(now, known, request)
	}
	if !s.mayGrant(now) {
		return ClaimReply{Outcome: OutcomeAbstained}
	}
	if s.full(request.Claim.Key.Caller) {
		return ClaimReply{Outcome: OutcomeFull}
	}
	s.records.add(newRecord(now, request.Claim, request.Round))
	return ClaimReply{Outcome: OutcomeGranted}
}

func newRecord(now time.Time, claim Claim, round uint32) *record {
	return &record{
		claim:     claim,
		round:     round,
		grantedAt: now,
		expiresAt: now.Add(claim.Retention + MaxGrantAge),
	}
}

// claimKnownKey answers a claim for a key that has a record. Only the attempt that
// holds the key is granted again, which makes duplicate messages harmless.
func (s *Store) claimKnownKey(now time.Time, known *record, request ClaimRequest) ClaimReply {
	reply := ClaimReply{Holder: known.claim.Attempt, Age: now.Sub(known.grantedAt)}
	switch {
	case known.claim.Digest != request.Claim.Digest:
		reply.Outcome = OutcomeMismatch
	case known.answer != nil:
		reply.Outcome = OutcomeAnswered
		reply.Answer = known.answer
	case known.claim.Attempt != request.Claim.Attempt:
		reply.Outcome = OutcomeHeld
	case !s.mayGrant(now):
		// The record may have been copied from another keeper that granted it.
		reply.Outcome = OutcomeAbstained
	default:
		known.round = max(known.round, request.Round)
		reply.Outcome = OutcomeGranted
	}
	return reply
}

func (s *Store) valid(claim Claim) bool {
	key := claim.Key
	return key.Cell == s.configuration.Cell &&
		len(key.Caller) <= maxCallerBytes &&
		key.Value != "" && len(key.Value) <= maxValueBytes &&
		claim.Attempt != "" && len(claim.Attempt) <= maxAttemptBytes &&
		claim.Retention > 0 && claim.Retention <= s.limits.MaxRetention
}

// full reports whether a limit on records is reached.
func (s *Store) full(caller string) bool {
	return s.Len() >= s.limits.Records || s.records.perCaller[caller] >= s.limits.RecordsPerCaller
}

// completeClaim records that the claim's request ran. A record of another attempt
// is replaced: that attempt has no majority, since this one had it.
func (s *Store) completeClaim(now time.Time, request CompleteRequest) Acknowledged {
	if !s.valid(request.Claim) || !s.member() {
		return Acknowledged{}
	}
	known := s.records.byKey[request.Claim.Key]
	if known == nil {
		if s.full(request.Claim.Key.Caller) {
			return Acknowledged{}
		}
		known = newRecord(now, request.Claim, 0)
		s.records.add(known)
	}
	if known.answer != nil {
		return Acknowledged{Done: known.claim.Attempt == request.Claim.Attempt}
	}
	if known.claim.Attempt != request.Claim.Attempt {
		s.records.extend(known, now.Add(request.Claim.Retention+MaxGrantAge))
	}
	known.claim.Digest = request.Claim.Digest
	known.claim.Attempt = request.Claim.Attempt
	s.records.setAnswer(known, s.limitAnswer(request.Answer))
	return Acknowledged{Done: true}
}

// limitAnswer returns the answer without its body if the body is too large or would
// exceed the store's AnswerBytes, and without content type and body if the
// content type is too long.
func (s *Store) limitAnswer(answer Answer) *Answer {
	tooLarge := len(answer.Body) > MaxKeptAnswer
	if tooLarge || s.records.answerBytes+len(answer.Body) > s.limits.AnswerBytes {
		answer.Body = nil
	}
	if len(answer.ContentType) > maxContentTypeBytes {
		answer.ContentType = ""
		answer.Body = nil
	}
	return &answer
}

// release removes the record of an unused grant. It keeps the record if the claim
// was answered or granted again in a later round.
func (s *Store) release(request ReleaseRequest) Acknowledged {
	known := s.records.byKey[request.Key]
	if known == nil || known.claim.Attempt != request.Attempt {
		return Acknowledged{}
	}
	laterRound := known.round > request.Round && !s.ablation.noRounds
	if known.answer != nil || laterRound {
		return Acknowledged{}
	}
	s.records.remove(known)
	return Acknowledged{Done: true}
}
