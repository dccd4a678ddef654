package backend

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/clock"
)

// ErrCrowded means that the node has as many connections to the server as it
// may have. Nothing was sent.
var ErrCrowded = errors.New("backend: too many connections to the server")

// Limits of idle connections.
const (
	maxIdle = time.Minute
	// idleMargin is how long before the server closes an idle connection it is
	// not used any more.
	idleMargin = 500 * time.Millisecond
)

// pool holds the connections to one life of a server. Safe for concurrent use.
type pool struct {
	dial    Dialer
	time    clock.Clock
	address string
	limit   atomic.Int64 // connections; zero: none

	mu        sync.Mutex
	idle      []*conn // the last used at the end
	open      int
	ended     bool
	goneUntil time.Time // it refused a connection
	look      *endLook  // the last one
	refused   func()    // told when a connection was refused
	// hear is told of each head of an answer that came, with when its request began to be sent: zero
	// for an answer that is another request's.
	hear func(sent time.Time, r *http.Response)
}

func newPool(dial Dialer, t clock.Clock, address string) *pool {
	return &pool{dial: dial, time: t, address: address}
}

// take returns an idle connection, nil if there is none.
func (p *pool) take(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		bound := maxIdle
		if c.idleFor > 0 {
			bound = min(bound, max(c.idleFor-idleMargin, c.idleFor/2))
		}
		if now.Sub(c.idleAt) < bound && c.slept == clock.Slept() {
			return c
		}
		c.fail(errIdleClosed)
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put gives a connection back.
func (p *pool) put(c *conn) {
	c.idleAt, c.slept = p.time.Now(), clock.Slept()
	p.mu.Lock()
	ended := p.ended
	if !ended {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if ended {
		c.fail(errIdleClosed)
	}
}

// drop forgets a connection that has ended.
func (p *pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// closeIdle closes the unused connections, and the others once they are unused.
func (p *pool) closeIdle() {
	p.mu.Lock()
	p.ended = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.fail(errIdleClosed)
	}
}

// connect opens a connection; control tells that the bound does not hold for it.
func (p *pool) connect(ctx context.Context, control bool) (*conn, error) {
	p.mu.Lock()
	if limit := int(p.limit.Load()); limit > 0 && p.open >= limit && !control {
		p.mu.Unlock()
		return nil, ErrCrowded
	}
	p.open++
	p.mu.Unlock()
	nc, err := p.dial(ctx, p.address)
	if err != nil {
		p.failed(err)
		return nil, err
	}
	p.mu.Lock()
	p.goneUntil = time.Time{}
	p.mu.Unlock()
	return newConn(p, nc), nil
}

// failed notes that no connection came up.
func (p *pool) failed(err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	p.mu.Lock()
	p.open--
	if refused {
		p.goneUntil = p.time.Now().Add(GoneTime)
	}
	p.mu.Unlock()
	if refused {
		p.refused()
	}
}

// GoneTime is how long a server that refused a connection counts as gone before it is
// tried again: about as long as its entry stays in the list.
const GoneTime = 2 * time.Second

// Gone tells whether nobody listened any more, a moment ago, where the server did.
func (c *Condition) Gone(now time.Time) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return now.Before(c.pool.goneUntil)
}

// Idle returns the number of unused connections to the server.
func (c *Condition) Idle() int {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return len(c.pool.idle)
}

// SetConnectionLimit bounds the connections to the server; zero: no bound.
func (c *Condition) SetConnectionLimit(n int) { c.pool.limit.Store(int64(n)) }

// notSent tells that err kept a request from being sent.
func notSent(err error) error {
	if errors.Is(err, ErrCrowded) {
		return err
	}
	return fmt.Errorf("%w: %w", err, ErrNotSent) // both are looked for
}

// Send writes a request to the server once and waits for the head of its
// answer. check is asked right before the first byte goes out; its error keeps
// the request from being sent.
func (c *Condition) Send(ctx context.Context, m *Message, check func() error) (*Answer, error) {
	for {
		nc := c.pool.take(c.pool.time.Now())
		fresh := nc == nil
		if fresh {
			var err error
			if nc, err = c.pool.connect(ctx, m.Control); err != nil {
				return nil, notSent(err)
			}
		}
		if err := check(); err != nil {
			c.pool.put(nc)
			return nil, notSent(err)
		}
		a, err := nc.send(ctx, m)
		if err != nil && !fresh && errors.Is(err, ErrNotSent) && ctx.Err() == nil {
			continue // it had closed while idle
		}
		return a, err
	}
}
