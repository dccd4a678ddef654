package traffic

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic/fairqueue"
)

// attempts is the history of a request that is retried.
type attempts struct {
	tried      []api.ServerID
	mayHaveRun bool // an attempt ended with an unknown outcome
}

// after returns the history with one more attempt.
func (a attempts) after(server api.ServerID, outcome Outcome) attempts {
	tried := make([]api.ServerID, 0, len(a.tried)+1)
	tried = append(tried, a.tried...)
	return attempts{
		tried:      append(tried, server),
		mayHaveRun: a.mayHaveRun || outcome.Kind != OutcomeNotRun,
	}
}

// refuse completes a refusal with whether the request may have run.
func (a attempts) refuse(refusal *Refusal) *Refusal {
	refusal.NotRun = !a.mayHaveRun
	return refusal
}

// waiter is a request that waits for a place. Its pool's lock guards it.
type waiter struct {
	request Request
	earlier attempts
	state   *modelState
	item    fairqueue.Item[*waiter] // in the queue, unless the request is retried
	settled bool
	result  chan settlement // gets exactly one
}

// settlement is the end of waiting: one of its fields is set.
type settlement struct {
	grant   *grant
	refusal *Refusal
}

// isRetry tells whether the waiter stands among the retries instead of in the
// queue.
func (w *waiter) isRetry() bool { return len(w.earlier.tried) > 0 }

// settle ends the waiting. The channel has room, so that it doesn't block.
func (w *waiter) settle(end settlement) {
	w.settled = true
	w.result <- end
}

// tokensOf is what a request counts for on a replica and in a queue.
func tokensOf(request *Request) int {
	return max(1, request.PromptTokens+request.MaxTokens)
}
