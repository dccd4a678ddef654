package relay

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errStopping ends a request that the node can't see to its end any more.
var errStopping = errors.New("relay: the node stops")

// endings has the requests under way end before a planned stop cuts their connections off: a
// caller whose connection just closes can't tell whether a server ran its request, and a server
// that is silent would hold a request until then. Safe for concurrent use.
type endings struct {
	mu      sync.Mutex
	cancels map[*call]context.CancelCauseFunc // of the requests under way
	ended   bool                              // new ones are ended at once
}

// add notes a request under way.
func (e *endings) add(c *call, cancel context.CancelCauseFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		cancel(errStopping)
		return
	}
	if e.cancels == nil {
		e.cancels = make(map[*call]context.CancelCauseFunc)
	}
	e.cancels[c] = cancel
}

// remove forgets a request that has ended.
func (e *endings) remove(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, c)
}

// End ends all requests: those whose answer has not begun get one that tells whether a server
// may have run them. New ones are ended at once.
func (r *Relay) End() {
	r.endings.mu.Lock()
	defer r.endings.mu.Unlock()
	r.endings.ended = true
	for _, cancel := range r.endings.cancels {
		cancel(errStopping)
	}
}
