package relay

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errStopping ends a request that the stopping node can't complete.
var errStopping = errors.New("relay: the node stops")

// activeRequests ends the requests in progress before a planned stop closes their connections. A
// caller whose connection just closes can't tell whether a server ran its request, and a silent
// server would hold a request until then. It is safe for concurrent use.
type activeRequests struct {
	mu      sync.Mutex
	cancels map[*call]context.CancelCauseFunc // of the requests in progress
	stopped bool                              // new requests are ended at once
}

// add registers a request.
func (e *activeRequests) add(c *call, cancel context.CancelCauseFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		cancel(errStopping)
		return
	}
	if e.cancels == nil {
		e.cancels = make(map[*call]context.CancelCauseFunc)
	}
	e.cancels[c] = cancel
}

// remove unregisters a request that has ended.
func (e *activeRequests) remove(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, c)
}

// CancelAll ends all requests. Those whose answer has not begun get one that tells whether a server
// may have run them. New requests are ended at once.
func (r *Relay) CancelAll() {
	r.Bodies.YieldAll()
	r.active.mu.Lock()
	defer r.active.mu.Unlock()
	r.active.stopped = true
	for _, cancel := range r.active.cancels {
		cancel(errStopping)
	}
}
