package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/backpressure"
)

// Requests to brittle servers need the loan of a place. Those of a node that wait for one ask in turn, so that a
// flood of requests asks the coordinator for one place at a time.

// placeQueues holds the queue of each brittle service. The zero value is ready to use. It is safe for concurrent
// use.
type placeQueues struct {
	mu       sync.Mutex
	services map[string]*placeQueue
}

func (q *placeQueues) of(service string) *placeQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.services == nil {
		q.services = make(map[string]*placeQueue)
	}
	if q.services[service] == nil {
		q.services[service] = &placeQueue{turn: make(chan struct{}, 1)}
	}
	return q.services[service]
}

// placeQueue is the requests of this node that wait for a place at a service's servers.
type placeQueue struct {
	turn chan struct{} // holds a value while a request asks

	mu       sync.Mutex
	waiting  int
	lastLoan time.Time
	interval time.Duration // mean time between two loans while requests wait; zero: unknown
}

// join adds a request, unless it would have to wait longer than its patience. Then it returns the time after which to
// come back.
func (q *placeQueue) join(patience time.Duration) (comeBack time.Duration, joined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if wait := time.Duration(q.waiting) * q.interval; wait > patience || patience <= 0 {
		return wait, false
	}
	q.waiting++
	return 0, true
}

// leave removes a request.
func (q *placeQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting--
}

// intervalWeight is the weight of one interval between loans in their mean.
const intervalWeight = 0.2

// lent records that a request that waits got a place.
func (q *placeQueue) lent(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting > 1 && !q.lastLoan.IsZero() { // otherwise the time without requests would count
		q.interval += time.Duration(intervalWeight * float64(now.Sub(q.lastLoan)-q.interval))
	}
	q.lastLoan = now
}

// borrowPlace waits for a place at brittle server m, or at another such server. Its results are those of takeSlot.
func (c *call) borrowPlace(ctx context.Context, m *backend.Member) (*backend.Member, permission) {
	began := c.relay.Time.Now()
	defer func() { c.record.slot.waited += c.relay.Time.Since(began) }()
	queue := c.relay.placeQueues.of(c.service)
	comeBack, joined := queue.join(c.slotPatience(began))
	if !joined {
		c.refuse(c.notServed(reasonLimited, max(comeBack, defaultRetryAfter)))
		return nil, wasRefused
	}
	defer queue.leave()
	ctx, cancel := context.WithTimeoutCause(ctx, c.slotPatience(began), errNoPlace)
	defer cancel()
	select {
	case queue.turn <- struct{}{}:
		defer func() { <-queue.turn }()
	case <-ctx.Done():
		return c.refuseWithoutPlace(ctx)
	}
	for {
		now := c.relay.Time.Now()
		if !m.Serves(now, c.need) || !m.IsBrittle() {
			return nil, chooseAgain
		}
		servers := c.limitedServers(now, m)
		s := c.requestSlot(ctx, servers, 0)
		c.loan = s
		if s.Granted {
			queue.lent(now)
			return c.usePlace(ctx, servers, s)
		}
		c.sleep(ctx, s.Wait)
		if ctx.Err() != nil {
			return c.refuseWithoutPlace(ctx)
		}
	}
}

// usePlace returns the server at which a place was lent.
func (c *call) usePlace(ctx context.Context, servers []*backend.Member, s backpressure.Slot) (*backend.Member, permission) {
	c.sleep(ctx, s.Wait) // coordinators of earlier builds grant times
	now := c.relay.Time.Now()
	c.slot = slot{server: s.Server, at: now}
	i := slices.IndexFunc(servers, func(m *backend.Member) bool { return m.ID == s.Server })
	if i < 0 || !servers[i].Serves(now, c.need) {
		c.returnPlace()
		return nil, chooseAgain
	}
	return servers[i], mayRunNow
}

// refuseWithoutPlace ends a request that got no place in time.
func (c *call) refuseWithoutPlace(ctx context.Context) (*backend.Member, permission) {
	if context.Cause(ctx) == errNoPlace {
		c.refuse(c.notServed(reasonLimited, defaultRetryAfter))
	} else {
		c.giveUp(ctx, context.Cause(ctx))
	}
	return nil, wasRefused
}

// endLoan ends the loan of the request's place after an attempt. If the request may still run, as its server did not
// answer or the answer was cut off, the place stays lent until the loan is over.
func (c *call) endLoan(v attemptResult) {
	if v == aborted || v == mayHaveRun {
		c.loan = backpressure.Slot{}
	}
	c.returnPlace()
}

// returnPlace ends the loan of the request's place, if it has one.
func (c *call) returnPlace() {
	if c.loan.Loan != 0 {
		c.relay.Slots.ReturnPlace(c.loan)
	}
	c.loan = backpressure.Slot{}
}
