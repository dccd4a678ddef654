package backend

import (
	"context"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Times of the probes that find out whether a server has ended.
const (
	probeTimeout = 100 * time.Millisecond // time for a connection to succeed or be refused
	// probeSharedTime is how long the result of a probe is reused: when a server ends, all its requests
	// fail within a few milliseconds.
	probeSharedTime = 100 * time.Millisecond
)

// ProbeResult is what a probe shows of a server.
type ProbeResult int32

const (
	ProbeUnclear ProbeResult = iota
	// ProbeEnded means that nothing listens at the server's port any more.
	ProbeEnded
	// ProbeLinkBroken means that the server is there, and only this node's way to it is broken.
	ProbeLinkBroken
)

// endProbe is a check whether a server has ended, made by connecting to it.
type endProbe struct {
	began  time.Time
	done   chan struct{} // closed when result is set
	result atomic.Int32  // ProbeResult
}

// Ended reports whether the server's port certainly has no listener any more.
func (c *Condition) Ended(ctx context.Context) bool { return c.Probe(ctx) == ProbeEnded }

// Probe connects to the server to find out why a connection to it broke. A refused connection shows that
// the server has ended. A connection that succeeds is kept for requests. Calls at about the same time share
// one probe.
func (c *Condition) Probe(ctx context.Context) ProbeResult {
	p := c.pool
	now := p.time.Now()
	p.mu.Lock()
	probe := p.lastProbe
	fresh := probe == nil || now.Sub(probe.began) > probeSharedTime
	if fresh {
		probe = &endProbe{began: now, done: make(chan struct{})}
		p.lastProbe = probe
	}
	p.mu.Unlock()
	if fresh {
		go func() {
			defer close(probe.done)
			probe.result.Store(int32(p.probe(context.WithoutCancel(ctx))))
		}()
	}
	select {
	case <-probe.done:
		return ProbeResult(probe.result.Load())
	case <-ctx.Done():
		return ProbeUnclear
	}
}

// endWatch is a callback to run if the server ends before a given time.
type endWatch struct {
	until time.Time
	f     func(server string)
	later bool // the end of the next incarnation is meant if there is one, see OnLaterEnd
}

// OnEnd calls f in a new goroutine if the server is found to have ended within the given time: it refuses a
// connection of this node, or its record is removed although it had not announced that it leaves. Either may also
// have happened before the call, while the request that began at the given time was running. OnEnd itself opens no
// connection.
func (c *Condition) OnEnd(began time.Time, within time.Duration, f func()) {
	c.watchEnd(began, within, endWatch{f: func(string) { f() }})
}

// OnLaterEnd is OnEnd for a request that was sent after an earlier one had broken, under which the server may have
// ended: this one broke at the same incarnation, or at the next one. The removal of a record shows the end of one
// incarnation, so that f is called with the ID of the next one, once its end shows as well. If this node's list of
// servers was out of date as the request broke, it may not show each incarnation, and f is called with this server's ID,
// as it is when the server refuses a connection.
func (c *Condition) OnLaterEnd(began time.Time, within time.Duration, f func(server string)) {
	c.watchEnd(began, within, endWatch{f: f, later: c.listAge == nil || c.listAge() < maxListAge})
}

// maxListAge is the age from which on the list of servers may lack incarnations. Without changes it is confirmed at
// least that often.
const maxListAge = 2 * time.Second

// watchEnd runs the watch if the server is found to have ended.
func (c *Condition) watchEnd(began time.Time, within time.Duration, w endWatch) {
	now := c.pool.time.Now()
	w.until = now.Add(within)
	c.mu.Lock()
	defer c.mu.Unlock()
	vanished := c.vanishedAt.After(now.Add(-within))
	switch {
	case c.refusedAt.After(began), vanished && !w.later:
		go w.f(c.id)
	case vanished:
		w.follow(now, c.next)
	default:
		c.endWatches = slices.DeleteFunc(c.endWatches, func(w endWatch) bool { return now.After(w.until) })
		c.endWatches = append(c.endWatches, w)
	}
}

// follow watches the next incarnation, if there is one.
func (w endWatch) follow(now time.Time, next *Condition) {
	if next != nil {
		next.watchEnd(now, w.until.Sub(now), endWatch{f: w.f})
	}
}

// noteRefused records that the server refused a connection, which shows that it has ended.
func (c *Condition) noteRefused() {
	c.mu.Lock()
	c.refusedAt = c.pool.time.Now()
	c.mu.Unlock()
	for _, w := range c.takeEndWatches() {
		go w.f(c.id)
	}
}

// noteVanished records that the server's record was removed, which shows that it has ended, and which incarnation is
// listed in its place.
func (c *Condition) noteVanished(next *Condition) {
	now := c.pool.time.Now()
	c.mu.Lock()
	c.vanishedAt, c.next = now, next
	c.mu.Unlock()
	for _, w := range c.takeEndWatches() {
		if w.later {
			w.follow(now, next)
		} else {
			go w.f(c.id)
		}
	}
}

// takeEndWatches removes the callbacks that wait for the end of the server and returns those that are not over.
func (c *Condition) takeEndWatches() []endWatch {
	now := c.pool.time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	watches := c.endWatches
	c.endWatches = nil
	return slices.DeleteFunc(watches, func(w endWatch) bool { return now.After(w.until) })
}

// probe makes a new connection to the server.
func (p *pool) probe(ctx context.Context) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nc, err := p.connect(ctx, false, false)
	if err == nil {
		p.put(nc)
		if nc.indirect {
			return ProbeLinkBroken
		}
		return ProbeUnclear
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ProbeEnded
	}
	return ProbeUnclear
}
