package gateway

import (
	"context"
	"sync"

	"martenwheel.dev/pkg/traffic"
)

// fakeDispatcher grants its first target, and the next one at each retry, and
// records the outcomes.
type fakeDispatcher struct {
	targets []traffic.Target
	retries int                                                      // retries allowed per request
	acquire func(ctx context.Context, request traffic.Request) error // if set, called first; its error refuses the request

	mutex    sync.Mutex
	requests []traffic.Request
	outcomes []traffic.Outcome
}

func (d *fakeDispatcher) Acquire(ctx context.Context, request traffic.Request) (traffic.Grant, error) {
	if d.acquire != nil {
		if err := d.acquire(ctx, request); err != nil {
			return nil, err
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.requests = append(d.requests, request)
	return &fakeGrant{dispatcher: d, request: request}, nil
}

func (d *fakeDispatcher) record(outcome traffic.Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.outcomes = append(d.outcomes, outcome)
}

// kinds returns the kinds of the outcomes so far.
func (d *fakeDispatcher) kinds() []traffic.OutcomeKind {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	kinds := make([]traffic.OutcomeKind, len(d.outcomes))
	for i, outcome := range d.outcomes {
		kinds[i] = outcome.Kind
	}
	return kinds
}

type fakeGrant struct {
	dispatcher *fakeDispatcher
	request    traffic.Request
	attempt    int
}

func (g *fakeGrant) Target() traffic.Target {
	return g.dispatcher.targets[g.attempt%len(g.dispatcher.targets)]
}

func (g *fakeGrant) Done(outcome traffic.Outcome) { g.dispatcher.record(outcome) }

func (g *fakeGrant) Retry(ctx context.Context, outcome traffic.Outcome) (traffic.Grant, error) {
	g.dispatcher.record(outcome)
	if ctx.Err() != nil {
		return nil, &traffic.Refusal{Reason: traffic.ReasonCallerLeft, Message: "left", NotRun: true}
	}
	notRun := outcome.Kind == traffic.OutcomeNotRun
	if g.attempt >= g.dispatcher.retries || g.request.Unsafe && !notRun {
		reason := traffic.ReasonOutcomeUnknown
		if notRun {
			reason = traffic.ReasonEngineFailed
		}
		return nil, &traffic.Refusal{Reason: reason, Message: "no retry", NotRun: notRun}
	}
	return &fakeGrant{dispatcher: g.dispatcher, request: g.request, attempt: g.attempt + 1}, nil
}
