package backend

import "sync/atomic"

// identity is what the connections of a pool show about the process that they lead to. A server may be replaced under
// its name and address before its record tells so, and the connections to the earlier process then break. A connection
// leads to one process for as long as it lives.
type identity struct {
	breaks   atomic.Int64 // connections that broke, or could not be opened
	accepted atomic.Int64 // of those, how many preceded the opening of a connection on which a probe was accepted
}

// noteBreak records that a connection broke or could not be opened, after which another process may be there.
func (i *identity) noteBreak() { i.breaks.Add(1) }

// accept records that a probe was accepted on a connection before whose opening the given number of breaks was seen: none
// of them was the end of the process.
func (i *identity) accept(breaks int64) {
	for {
		before := i.accepted.Load()
		if breaks <= before || i.accepted.CompareAndSwap(before, breaks) {
			return
		}
	}
}

// inDoubt reports whether a connection broke, and nothing has shown since that the process is the same.
func (i *identity) inDoubt() bool { return i.breaks.Load() > i.accepted.Load() }

// needsProbe reports whether a probe, which may be nil, has to be exchanged on the connection.
func (c *conn) needsProbe(p *Probe) bool {
	return p != nil && !c.identified.Load() && (!p.IfInDoubt || c.pool.identity.inDoubt())
}

// noteBreak records that the connection broke, unless this node has closed it.
func (c *conn) noteBreak() {
	c.mu.Lock()
	open := c.closed == nil
	c.mu.Unlock()
	if open {
		c.pool.identity.noteBreak()
	}
}

// noteIdleEnd is noteBreak for a connection without a request. The server may close one that has been idle for as long as it
// announced.
func (c *conn) noteIdleEnd() {
	c.pool.mu.Lock()
	idle := c.pool.time.Since(c.idleAt)
	c.pool.mu.Unlock()
	if (c.idleFor == 0 || idle < c.idleFor-idleMargin) && !c.ending() {
		c.noteBreak()
	}
}
