package keeper

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenwheel.dev/pkg/api"
)

// Times of a claim.
const (
	// RunningAge is how long a claim without an answer counts as under way;
	// an older one is in doubt.
	RunningAge = time.Minute

	maxRounds       = 6
	contendedAge    = 5 * time.Second // a younger holder may still be claiming
	retryNoQuorum   = time.Second
	retryRunning    = 2 * time.Second
	lastRound       = math.MaxUint32 - 1 // releases every round
	firstRoundPause = 5 * time.Millisecond
)

// attempt is one claim at all members of one configuration, as a pure state
// machine. The first round asks all members at once. If attempts split the
// members so that none has a majority, each releases its grants and asks again
// one member after the other, all in the same order: of those that reach the
// same first member, one keeps it and goes on until the others gave up.
type attempt struct {
	configuration Configuration
	claim         Claim
	startedAt     time.Time
	round         uint32
	order         []int // of members in ordered rounds
	asked         []bool
	replies       []ClaimReply // zero until answered
	failed        []bool       // unreachable, or its outcome unknown
	ablation      ablation
}

func newAttempt(now time.Time, configuration Configuration, claim Claim) *attempt {
	a := &attempt{configuration: configuration, claim: claim, startedAt: now}
	a.order = claimOrder(configuration.Members, claim.Key)
	a.nextRound()
	return a
}

// claimOrder spreads the first member over the keys.
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

// next returns the members to ask now.
func (a *attempt) next() []int {
	var ask []int
	for _, i := range a.order {
		if a.asked[i] {
			if a.round > 1 && !a.passed(i) {
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

// passed tells whether an ordered round goes on behind a member.
func (a *attempt) passed(i int) bool {
	return a.failed[i] || a.replies[i].Outcome != 0
}

// take records a member's reply; a reply of an earlier round is ignored.
func (a *attempt) take(i int, reply ClaimReply) {
	if reply.Round == a.round {
		a.replies[i] = reply
	}
}

// fail records that a member did not answer in a round.
func (a *attempt) fail(i int, round uint32) {
	if round == a.round {
		a.failed[i] = true
	}
}

// progress is how far an attempt got.
type progress uint8

const (
	progressWaiting progress = iota
	progressDecided          // the decision is final
	progressSplit            // release unless keepsGrants, pause, begin the next round
)

// result returns the attempt's progress and, once decided, its decision.
func (a *attempt) result() (progress, Decision) {
	if decision, known := a.knownOutcome(); known {
		return progressDecided, decision
	}
	if a.othersWon() || a.lostFirst() {
		return progressDecided, a.undecided()
	}
	if a.reachable() > a.answered() {
		return progressWaiting, Decision{}
	}
	if a.contended() && a.round < maxRounds {
		return progressSplit, Decision{}
	}
	return progressDecided, a.undecided()
}

// knownOutcome is the decision that no further reply changes.
func (a *attempt) knownOutcome() (Decision, bool) {
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

// undecided is the decision when no majority can be had.
func (a *attempt) undecided() Decision {
	switch {
	case a.count(OutcomeMismatch) > 0:
		return Decision{Verdict: VerdictMismatch}
	case a.count(OutcomeHeld) > 0:
		return a.heldDecision()
	default:
		return Decision{Verdict: VerdictNoQuorum, RetryAfter: retryNoQuorum}
	}
}

// heldDecision is the decision when another attempt holds the key.
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

// othersWon tells whether another attempt surely has a majority.
func (a *attempt) othersWon() bool {
	held := map[string]int{}
	for _, reply := range a.replies {
		if reply.ofAnother() {
			held[reply.Holder]++
		}
		if held[reply.Holder] >= a.configuration.majority() {
			return true
		}
	}
	return false
}

// contended tells whether another attempt may be claiming now.
func (a *attempt) contended() bool {
	return slices.ContainsFunc(a.replies, ClaimReply.contending)
}

// lostFirst tells whether an ordered round met a contender at the first member
// that answered.
func (a *attempt) lostFirst() bool {
	return a.round > 1 && a.first().contending()
}

// keepsGrants tells whether a split round's grants are kept for the next one.
func (a *attempt) keepsGrants() bool {
	return a.round > 1 && a.first().Outcome == OutcomeGranted
}

// first is the reply of the first member in the order that did not fail.
func (a *attempt) first() ClaimReply {
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

// reachable is the number of members that answered or may still do so.
func (a *attempt) reachable() int {
	count := 0
	for i, failed := range a.failed {
		if !failed || a.replies[i].Outcome != 0 {
			count++
		}
	}
	return count
}
