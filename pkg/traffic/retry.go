package traffic

import (
	"math/rand/v2"
	"time"
)

// Retries wait between 0 and retryBase, which doubles up to retryMax.
const (
	retryBase = 10 * time.Millisecond
	retryMax  = 500 * time.Millisecond
)

// The bounds of a retry budget: what a model starts with, so that one failure
// after a start may be retried, and what it saves up at most.
const (
	initialRetries = 3
	maxSavedRetry  = 20
)

// retryBudget allows a number of retries in proportion to first attempts.
type retryBudget struct {
	started bool
	saved   float64
}

// earn credits a first attempt.
func (b *retryBudget) earn(ratio float64) {
	if !b.started && ratio > 0 {
		b.saved = initialRetries
	}
	b.started = true
	b.saved = min(b.saved+ratio, maxSavedRetry)
}

// spend takes a retry out of the budget, and returns false if none is left.
func (b *retryBudget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// backOff returns the wait before the retry that follows count failed attempts.
func backOff(random *rand.Rand, count int) time.Duration {
	limit := min(retryMax, retryBase<<min(count-1, 10))
	return time.Duration(random.Int64N(int64(limit)))
}

// checkRepeat returns the refusal of a request that must not be sent again
// after outcome, or nil.
func checkRepeat(request *Request, outcome Outcome) *Refusal {
	streamed := outcome.FirstToken > 0 || outcome.Tokens > 0
	switch {
	case outcome.Kind == OutcomeNotRun:
		return nil
	case outcome.Kind == OutcomeCancelled:
		return &Refusal{Reason: ReasonCallerLeft, Message: "the caller left"}
	case outcome.Kind == OutcomeServed:
		return &Refusal{Reason: ReasonEngineFailed, Message: "the request was served already"}
	case request.Unsafe:
		return &Refusal{Reason: ReasonOutcomeUnknown,
			Message: "the engine may have run the request, which is unsafe to repeat"}
	case streamed:
		return &Refusal{Reason: ReasonOutcomeUnknown,
			Message: "the engine failed after a part of the answer was sent"}
	}
	return nil
}
