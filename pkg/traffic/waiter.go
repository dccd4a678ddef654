package traffic

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic/fairqueue"
)

// attempts records the earlier attempts of a request.
type attempts struct {
	tried      []api.ServerID
	mayHaveRun bool // whether an attempt ended with any outcome but OutcomeNotRun
}

// after returns the attempts with one more.
func (a attempts) after(server api.ServerID, outcome Outcome) attempts {
	tried := make([]api.ServerID, 0, len(a.tried)+1)
	tried = append(tried, a.tried...)
	return attempts{
		tried:      append(tried, server),
		mayHaveRun: a.mayHaveRun || outcome.Kind != OutcomeNotRun,
	}
}

// refuse sets NotRun of a refusal according to the attempts.
func (a attempts) refuse(refusal *Refusal) *Refusal {
	refusal.NotRun = !a.mayHaveRun
	return refusal
}

// waiter is a request that waits for a slot. Its pool's lock guards it.
type waiter struct {
	request Request
	earlier attempts
	state   *modelState
	item    fairqueue.Item[*waiter] // entry in the queue; unused for a retried request
	settled bool                    // whether result was sent
	result  chan settlement         // receives exactly one settlement
}

// settlement is the result of waiting. Exactly one field is set.
type settlement struct {
	grant   *grant
	refusal *Refusal
}

// isRetry reports whether the waiter is in the list of retries instead of the queue.
func (w *waiter) isRetry() bool { return len(w.earlier.tried) > 0 }

// settle ends the waiting. It does not block, because the channel is buffered.
func (w *waiter) settle(end settlement) {
	w.settled = true
	w.result <- end
}

// tokensOf returns the number of tokens that a request counts as, on a replica and in a
// queue.
func tokensOf(request *Request) int {
	return max(1, request.PromptTokens+request.MaxTokens)
}
