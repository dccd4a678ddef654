package relay

import (
	"context"
	"sync"
	"time"
)

// lentShare is the part of the retry budget's slack that the coordinator lends to nodes that spent
// their own. The nodes share the rest. With many nodes, each share is less than one retry, while
// only few nodes need any.
const lentShare = 0.5

// slackAccount holds retries beyond those that requests cover. It holds at most slackBurst of the
// retries per window and gains the rest over a window. It begins empty, as a predecessor may have
// spent all.
type slackAccount struct {
	retries  float64
	filledAt time.Time
}

// slackBurst is the part of a window's retries that an account can hold. The rest flows in during
// the window.
const slackBurst = 2.0 / 3

// fill updates the account, which gains perWindow retries per window in total.
func (a *slackAccount) fill(now time.Time, window time.Duration, perWindow float64) {
	flow := (1 - slackBurst) * perWindow * now.Sub(a.filledAt).Seconds() / window.Seconds()
	a.retries = min(a.retries+flow, slackBurst*perWindow)
	a.filledAt = now
}

// FillTime is how long a slack account takes to fill.
func (cfg BudgetConfig) FillTime() time.Duration {
	return time.Duration(slackBurst / (1 - slackBurst) * float64(cfg.Window))
}

// SlackPool holds the retries that the coordinator lends. A new coordinator begins with an empty
// pool, as its predecessor may just have lent all. The zero value with a Budget is ready to use. It
// is not safe for concurrent use.
type SlackPool struct {
	Budget BudgetConfig

	accounts map[string]*slackAccount // by service
	began    time.Time
}

// Begin empties the pool.
func (p *SlackPool) Begin(now time.Time) {
	p.accounts, p.began = make(map[string]*slackAccount), now
}

// Lend takes a retry out of the pool. It returns false if there is none.
func (p *SlackPool) Lend(now time.Time, service string) bool {
	if p.Budget.Window <= 0 || p.accounts == nil {
		return false
	}
	a := p.accounts[service]
	if a == nil {
		a = &slackAccount{filledAt: p.began}
		p.accounts[service] = a
	}
	a.fill(now, p.Budget.Window, budgetSafetyFactor*lentShare*p.Budget.Slack)
	if a.retries < 1 {
		return false
	}
	a.retries--
	return true
}

// Lender lends retries, as the coordinator does.
type Lender interface {
	BorrowRetry(ctx context.Context, service string) (bool, error)
}

// Times of borrowing. A retry that has to wait longer is of little use to the caller. An empty pool
// gains a retry every 60 ms with a slack of 430 in 10 s.
const (
	borrowTimeout = 100 * time.Millisecond
	borrowPause   = 100 * time.Millisecond
)

// borrowing keeps a node from asking a coordinator that just had nothing to lend. It is safe for
// concurrent use.
type borrowing struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// isPaused reports whether borrowing for a service is paused.
func (b *borrowing) isPaused(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until[service])
}

// refused records that nothing was lent.
func (b *borrowing) refused(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = make(map[string]time.Time)
	}
	b.until[service] = now.Add(borrowPause)
}

// reserveRetry takes a retry in advance, so that it is certain before it is needed. It returns false if there is none now;
// then one may be borrowed, which next notices.
func (c *call) reserveRetry(ctx context.Context) bool {
	r := c.relay
	if !c.retryReserved {
		c.retryReserved = r.budgets.takeRetry(r.Budget, r.Time.Now(), c.service, c.nodes())
	}
	if !c.retryReserved && c.lent == nil {
		lent := make(chan bool, 1)
		c.lent = lent
		go func() { lent <- c.borrowRetry(ctx) }()
	}
	return c.retryReserved
}

// noteLent records whether a retry was lent.
func (c *call) noteLent(lent bool) {
	c.lent = nil
	switch {
	case lent && c.retryReserved: // one of this node's own became free meanwhile
		c.relay.budgets.returnRetry(c.relay.Budget, c.relay.Time.Now(), c.service)
	case lent:
		c.retryReserved = true
	}
}

// takeReserved uses the reserved retry, if there is one.
func (c *call) takeReserved() bool {
	reserved := c.retryReserved
	c.retryReserved = false
	return reserved
}

// returnReserved returns a reserved retry that was not used.
func (c *call) returnReserved() {
	if c.takeReserved() {
		c.relay.budgets.returnRetry(c.relay.Budget, c.relay.Time.Now(), c.service)
	}
}

// mayRetry takes a retry from this node's budget or borrows one.
func (c *call) mayRetry(ctx context.Context) bool {
	r := c.relay
	now := r.Time.Now()
	return r.budgets.takeRetry(r.Budget, now, c.service, c.nodes()) || c.borrowRetry(ctx)
}

// borrowRetry borrows a retry. It may be called beside the other methods of the call.
func (c *call) borrowRetry(ctx context.Context) bool {
	r := c.relay
	now := r.Time.Now()
	if r.Lender == nil || r.borrowing.isPaused(now, c.service) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	lent, err := r.Lender.BorrowRetry(ctx, c.service)
	if err != nil || !lent {
		r.borrowing.refused(r.Time.Now(), c.service)
		r.Logger.Info("no retry lent", "request_id", c.id, "service", c.service, "error", err)
		return false
	}
	r.budgets.borrowed(r.Budget, r.Time.Now(), c.service)
	return true
}
