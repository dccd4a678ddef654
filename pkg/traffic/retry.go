package traffic

import (
	"math/rand/v2"
	"time"
)

// The pause before a retry is random, from 0 to a limit that starts at retryBase and
// doubles with each attempt up to retryMax.
const (
	retryBase = 10 * time.Millisecond
	retryMax  = 500 * time.Millisecond
)

// Bounds of a retry budget.
const (
	initialRetries  = 3  // at the start, so that early failures can be retried
	maxSavedRetries = 20 // maximum that is saved up
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
	b.saved = min(b.saved+ratio, maxSavedRetries)
}

// spend takes a retry from the budget. It returns false if none is left.
func (b *retryBudget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// backOff returns the pause before the retry that follows count failed attempts.
func backOff(random *rand.Rand, count int) time.Duration {
	limit := min(retryMax, retryBase<<min(count-1, 10))
	return time.Duration(random.Int64N(int64(limit)))
}

// checkRetry returns a refusal if the request must not be sent again after an attempt
// with this outcome, or nil.
func checkRetry(request *Request, outcome Outcome) *Refusal {
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
