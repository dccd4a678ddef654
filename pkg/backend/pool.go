package backend

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/memory"
)

// ErrTooManyConnections means that the node has reached its limit of connections to the server. Nothing was
// sent.
var ErrTooManyConnections = errors.New("backend: too many connections to the server")

// Limits of idle connections.
const (
	maxIdle = time.Minute
	// idleMargin is how long before the server closes an idle connection the node stops using it.
	idleMargin = 500 * time.Millisecond
	// maxIndirectIdle is short since direct connections take over once they work again.
	maxIndirectIdle = 2 * time.Second
)

// pool holds the connections to one incarnation of a server. Safe for concurrent use.
type pool struct {
	dial       Dialer
	dialDirect Dialer // for messages that must not lead through other nodes
	reach      Reach  // may be nil
	time       clock.Clock
	address    string
	control    *memory.Budget
	limit      atomic.Int64 // maximum number of connections; zero: unlimited
	created    time.Time
	heardAfter atomic.Int64 // time from created to the last sign of the server, in nanoseconds
	identity   identity

	mu        sync.Mutex
	idle      []*conn // most recently used last
	standby   *conn   // see Condition.PrepareStandby; nil: none
	open      int
	ended     bool
	goneUntil time.Time // end of the time for which a refused connection marks the server as gone
	lastProbe *endProbe // the latest probe
	onRefused func()    // called when a connection was refused
	// onResponse is called with the header of each response and the time at which the node began to send
	// its request, which is zero for a response that belongs to another request.
	onResponse func(sent time.Time, r *http.Response)
}

func newPool(d *Directory, address string) *pool {
	p := &pool{dial: d.Dialer, dialDirect: d.DirectDialer, reach: d.Reach, time: d.Time, created: d.Time.Now(), address: address, control: d.controlBudget()}
	if p.dialDirect == nil {
		p.dialDirect = d.Dialer
	}
	return p
}

// take returns a usable idle connection, or nil if there is none.
func (p *pool) take(now time.Time, direct bool) *conn {
	for {
		c := p.pop(direct)
		if c == nil {
			return nil
		}
		bound := maxIdle
		if c.indirect {
			bound = maxIndirectIdle
		}
		if c.idleFor > 0 {
			bound = min(bound, max(c.idleFor-idleMargin, c.idleFor/2))
		}
		if now.Sub(c.idleAt) < bound && c.suspended == clock.Slept() && !c.ending() {
			return c
		}
		c.fail(errIdleClosed)
	}
}

// takeFor returns a usable connection for a message, or nil if there is none.
func (p *pool) takeFor(m *Message) *conn {
	if m.Standby {
		if nc := p.takeStandby(); nc != nil {
			return nc
		}
	}
	return p.take(p.time.Now(), m.Direct)
}

// pop removes and returns the idle connection that was used last, or nil.
func (p *pool) pop(direct bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !direct || !c.indirect {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// put returns a connection to the pool.
func (p *pool) put(c *conn) {
	now, suspended := p.time.Now(), clock.Slept()
	p.mu.Lock()
	c.idleAt, c.suspended = now, suspended
	ended := p.ended
	if !ended {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if ended {
		c.fail(errIdleClosed)
	}
}

// drop removes a closed connection from the pool.
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

// closeIdle closes the idle connections now, and each of the others when it is returned.
func (p *pool) closeIdle() {
	p.mu.Lock()
	p.ended = true
	idle, standby := p.idle, p.standby
	p.idle, p.standby = nil, nil
	p.mu.Unlock()
	if standby != nil {
		idle = append(idle, standby)
	}
	for _, c := range idle {
		c.fail(errIdleClosed)
	}
}

// dropIdle closes the idle connections that are indirect or not.
func (p *pool) dropIdle(indirect bool) {
	p.mu.Lock()
	var dropped []*conn
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.indirect != indirect {
			return false
		}
		dropped = append(dropped, c)
		return true
	})
	p.mu.Unlock()
	for _, c := range dropped {
		c.fail(errIdleClosed)
	}
}

// connect opens a connection. The limit does not apply to control connections.
func (p *pool) connect(ctx context.Context, control, direct bool) (*conn, error) {
	dial := p.dial
	if direct {
		dial = p.dialDirect
	}
	p.mu.Lock()
	if limit := int(p.limit.Load()); limit > 0 && p.open >= limit && !control {
		p.mu.Unlock()
		return nil, ErrTooManyConnections
	}
	p.open++
	p.mu.Unlock()
	nc, err := dial(ctx, p.address)
	if err != nil {
		p.failed(err)
		return nil, err
	}
	p.noteHeard()
	p.mu.Lock()
	p.goneUntil = time.Time{}
	p.mu.Unlock()
	return newConn(p, nc), nil
}

// noteHeard records that a connection came up or something arrived on one.
func (p *pool) noteHeard() { p.heardAfter.Store(int64(p.time.Since(p.created))) }

// HeardSince reports whether the server gave this node a sign after a time, on any connection, also through other nodes.
func (c *Condition) HeardSince(t time.Time) bool {
	return c.pool.created.Add(time.Duration(c.pool.heardAfter.Load())).After(t)
}

// failed records that a connection attempt failed.
func (p *pool) failed(err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !errors.Is(err, context.Canceled) {
		p.identity.noteBreak()
	}
	p.mu.Lock()
	p.open--
	if refused {
		p.goneUntil = p.time.Now().Add(GoneTime)
	}
	p.mu.Unlock()
	if refused {
		p.onRefused()
	}
}

// GoneTime is how long a server that refused a connection is considered gone before it is tried again:
// about as long as its entry stays in the list.
const GoneTime = 2 * time.Second

// Gone reports whether a connection to the server was refused within the last GoneTime and none succeeded
// after that.
func (c *Condition) Gone(now time.Time) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return now.Before(c.pool.goneUntil)
}

// Idle returns the number of idle connections to the server.
func (c *Condition) Idle() int {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return len(c.pool.idle)
}

// SetConnectionLimit sets the maximum number of connections to the server; zero: unlimited.
func (c *Condition) SetConnectionLimit(n int) { c.pool.limit.Store(int64(n)) }

// notSent marks err as the reason why a request was not sent.
func notSent(err error) error {
	if errors.Is(err, ErrTooManyConnections) {
		return err
	}
	return fmt.Errorf("%w: %w", err, ErrNotSent) // callers test for either error
}

// notConnected marks err as the reason why there is no connection for a request.
func notConnected(err error) error {
	switch {
	case errors.Is(err, ErrTooManyConnections), errors.Is(err, syscall.ECONNRESET):
	case errors.Is(err, syscall.ECONNREFUSED):
		err = fmt.Errorf("%w: %w", ErrRefused, err)
	default:
		err = fmt.Errorf("%w: %w", ErrNoConnection, err)
	}
	return notSent(err)
}

// isConnectionError reports whether a probe failed by its connection alone.
func isConnectionError(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrBroken) || errors.Is(err, errNotReusable)
}

// Send writes a request to the server once and waits for the header of its response. It calls check right
// before the first byte is sent; if check returns an error, the request is not sent.
func (c *Condition) Send(ctx context.Context, m *Message, check func() error) (*Answer, error) {
	for {
		nc := c.pool.takeFor(m)
		fresh := nc == nil
		if fresh {
			var err error
			if nc, err = c.pool.connect(ctx, m.Control, m.Direct); err != nil {
				return nil, notConnected(err)
			}
		}
		if nc.needsProbe(m.Probe) {
			err := nc.probe(ctx, m.Probe)
			if err != nil && !fresh && isConnectionError(err) && ctx.Err() == nil {
				continue // the idle connection was closed: use another
			}
			if err != nil {
				return nil, notSent(err)
			}
		}
		if err := check(); err != nil {
			c.pool.put(nc)
			return nil, notSent(err)
		}
		a, err := nc.send(ctx, m)
		if err != nil && !fresh && errors.Is(err, ErrNotSent) && ctx.Err() == nil {
			continue // the idle connection was closed: use another
		}
		return a, err
	}
}
