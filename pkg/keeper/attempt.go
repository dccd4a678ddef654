package keeper

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenwheel.dev/pkg/api"
)

// Times and rounds of a claim.
const (
	// RunningAge is how long a claim without an answer counts as running.
	// After that it is unknown whether its request ran.
	RunningAge = time.Minute

	maxRounds       = 6                    // maximum number of rounds of one claim
	contendedAge    = 5 * time.Second      // a record younger than this may belong to an attempt that is still claiming
	retryNoQuorum   = time.Second          // RetryAfter of VerdictNoQuorum
	retryRunning    = 2 * time.Second      // RetryAfter of VerdictRunning
	lastRound       = math.MaxUint32 - 1   // in a ReleaseRequest: releases the grants of every round
	firstRoundPause = 5 * time.Millisecond // shortest pause between rounds
)

// attempt is one claim at all members of one configuration, as a pure state
// machine. The first round asks all members at once. If competing attempts split
// the members so that none has a majority, each releases its grants and then asks
// one member after the other, all in the same order. Of the attempts that reach the
// same first member, one gets it and continues until the others have given up.
type attempt struct {
	configuration Configuration
	claim         Claim
	startedAt     time.Time
	round         uint32
	order         []int // indices of the members, in the order in which rounds after the first ask them
	asked         []bool
	replies       []ClaimReply // by member; zero until it answered
	failed        []bool       // by member; unreachable, or the outcome of the call is unknown
	ablation      ablation
}

func newAttempt(now time.Time, configuration Configuration, claim Claim) *attempt {
	a := &attempt{configuration: configuration, claim: claim, startedAt: now}
	a.order = claimOrder(configuration.Members, claim.Key)
	a.nextRound()
	return a
}

// claimOrder returns the order in which members are asked for a key. It depends
// on the key, to spread the load of being asked first.
func claimOrder(members []api.NodeRef, key Key) []int {
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	weight := func(i int) uint64 {
		return xxhash.Sum64String(key.Caller + "\x00" + key.Value + "\x00" + string(members[i].ID))
	}
	slices.SortFunc(order, func(i, j int) int {
		if weight(i) < weight(j) {
			return -1
		}
		return 1
	})
	return order
}

func (a *attempt) nextRound() {
	a.round++
	members := len(a.configuration.Members)
	a.asked = make([]bool, members)
	a.replies = make([]ClaimReply, members)
	a.failed = make([]bool, members)
}

func (a *attempt) request() ClaimRequest {
	return ClaimRequest{Claim: a.claim, Round: a.round, Version: a.configuration.Version}
}

func (a *attempt) releaseRequest() ReleaseRequest {
	return ReleaseRequest{Key: a.claim.Key, Attempt: a.claim.Attempt, Round: a.round}
}

// nextMembers returns the members to ask now.
func (a *attempt) nextMembers() []int {
	var ask []int
	for _, i := range a.order {
		if a.asked[i] {
			if a.round > 1 && !a.hasRepliedOrFailed(i) {
				break
			}
			continue
		}
		a.asked[i] = true
		ask = append(ask, i)
		if a.round > 1 {
			break
		}
	}
	return ask
}

// hasRepliedOrFailed reports whether the member replied or failed, so that an ordered
// round may continue after it.
func (a *attempt) hasRepliedOrFailed(i int) bool {
	return a.failed[i] || a.replies[i].Outcome != 0
}

// recordReply records a member's reply. A reply of an earlier round is ignored.
func (a *attempt) recordReply(i int, reply ClaimReply) {
	if reply.Round == a.round {
		a.replies[i] = reply
	}
}

// recordFailure records that a member did not answer in a round.
func (a *attempt) recordFailure(i int, round uint32) {
	if round == a.round {
		a.failed[i] = true
	}
}

// progress is the state of an attempt's current round.
type progress uint8

const (
	progressWaiting progress = iota
	progressDecided          // the decision is final
	progressSplit            // no majority: release unless keepsGrants, pause, begin the next round
)

// result returns the attempt's progress and, once decided, its decision.
func (a *attempt) result() (progress, Decision) {
	if decision, known := a.finalDecision(); known {
		return progressDecided, decision
	}
	if a.otherHasMajority() || a.lostFirstMember() {
		return progressDecided, a.noMajorityDecision()
	}
	if a.reachable() > a.answered() {
		return progressWaiting, Decision{}
	}
	if a.contended() && a.round < maxRounds {
		return progressSplit, Decision{}
	}
	return progressDecided, a.noMajorityDecision()
}

// finalDecision returns the decision if the replies so far determine it: the
// request was answered before, or a majority granted the claim.
func (a *attempt) finalDecision() (Decision, bool) {
	if i := a.find(OutcomeAnswered); i >= 0 {
		return Decision{Verdict: VerdictAnswered, Answer: a.replies[i].Answer}, true
	}
	needed := a.configuration.majority()
	if a.ablation.oneGrant {
		needed = 1
	}
	if a.count(OutcomeGranted) >= needed {
		before := a.startedAt.Add(MaxGrantAge)
		return Decision{Verdict: VerdictGranted, DispatchBefore: before}, true
	}
	return Decision{}, false
}

// noMajorityDecision returns the decision when the attempt cannot get a majority.
func (a *attempt) noMajorityDecision() Decision {
	switch {
	case a.count(OutcomeMismatch) > 0:
		return Decision{Verdict: VerdictMismatch}
	case a.count(OutcomeHeld) > 0:
		return a.heldDecision()
	default:
		return Decision{Verdict: VerdictNoQuorum, RetryAfter: retryNoQuorum}
	}
}

// heldDecision returns the decision when another attempt holds the key.
func (a *attempt) heldDecision() Decision {
	oldest := time.Duration(0)
	for _, reply := range a.replies {
		oldest = max(oldest, reply.Age)
	}
	if oldest < RunningAge {
		return Decision{Verdict: VerdictRunning, RetryAfter: retryRunning}
	}
	forgottenIn := a.claim.Retention + MaxGrantAge - oldest
	return Decision{Verdict: VerdictInDoubt, RetryAfter: max(forgottenIn, retryRunning)}
}

// otherHasMajority reports whether another attempt certainly has a majority.
func (a *attempt) otherHasMajority() bool {
	held := map[string]int{}
	for _, reply := range a.replies {
		if reply.heldByOther() {
			held[reply.Holder]++
		}
		if held[reply.Holder] >= a.configuration.majority() {
			return true
		}
	}
	return false
}

// contended reports whether another attempt may be claiming the key now.
func (a *attempt) contended() bool {
	return slices.ContainsFunc(a.replies, ClaimReply.contending)
}

// lostFirstMember reports whether, in an ordered round, a competing attempt holds the
// key at the first member that did not fail.
func (a *attempt) lostFirstMember() bool {
	return a.round > 1 && a.firstReply().contending()
}

// keepsGrants reports whether the grants of a split round are kept for the next
// round.
func (a *attempt) keepsGrants() bool {
	return a.round > 1 && a.firstReply().Outcome == OutcomeGranted
}

// firstReply returns the reply of the first member in the order that did not fail.
func (a *attempt) firstReply() ClaimReply {
	for _, i := range a.order {
		if !a.failed[i] {
			return a.replies[i]
		}
	}
	return ClaimReply{}
}

func (a *attempt) count(outcome Outcome) int {
	count := 0
	for _, reply := range a.replies {
		if reply.Outcome == outcome {
			count++
		}
	}
	return count
}

func (a *attempt) find(outcome Outcome) int {
	return slices.IndexFunc(a.replies, func(reply ClaimReply) bool {
		return reply.Outcome == outcome
	})
}

func (a *attempt) answered() int {
	return len(a.replies) - a.count(0)
}

// reachable returns the number of members that answered or may still answer.
func (a *attempt) reachable() int {
	count := 0
	for i, failed := range a.failed {
		if !failed || a.replies[i].Outcome != 0 {
			count++
		}
	}
	return count
}
