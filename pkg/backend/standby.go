package backend

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/clock"
)

// PrepareStandby opens a connection that only messages marked as Standby use, unless there is one: a busy server may reset further
// connections just when such a message has to reach it. Without a connection these messages go like others.
func (c *Condition) PrepareStandby(ctx context.Context, logger hclog.Logger) {
	p := c.pool
	if p.hasStandby() {
		return
	}
	nc, err := p.connect(ctx, true, false)
	if err != nil {
		logger.Debug("no standby connection", "server", c.id, "error", err)
		return
	}
	if spare := p.keepStandby(nc); spare != nil {
		p.put(spare)
	}
}

// hasStandby reports whether there is a usable standby connection.
func (p *pool) hasStandby() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.standby != nil && p.standby.usable()
}

// keepStandby keeps a new connection as the standby connection. It returns the one that is not needed, if any.
func (p *pool) keepStandby(nc *conn) *conn {
	now, suspended := p.time.Now(), clock.Slept()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.standby != nil && p.standby.usable() {
		return nc
	}
	nc.idleAt, nc.suspended = now, suspended
	p.standby = nc
	return nil
}

// takeStandby removes and returns the standby connection; nil: there is none that is usable.
func (p *pool) takeStandby() *conn {
	p.mu.Lock()
	nc := p.standby
	p.standby = nil
	p.mu.Unlock()
	if nc == nil || nc.usable() && nc.suspended == clock.Slept() {
		return nc
	}
	nc.fail(errIdleClosed)
	return nil
}

// usable reports whether the connection is neither closed nor about to end.
func (c *conn) usable() bool {
	c.mu.Lock()
	closed := c.closed != nil
	c.mu.Unlock()
	return !closed && !c.ending()
}
