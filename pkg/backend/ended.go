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
	f     func()
}

// OnEnd calls f in a new goroutine if the server is found to have ended within the given time: it refuses a
// connection of this node, or its record is removed although it had not announced that it leaves. Either may also
// have happened before the call, while the request that began at the given time was running. OnEnd itself opens no
// connection.
func (c *Condition) OnEnd(began time.Time, within time.Duration, f func()) {
	now := c.pool.time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vanishedAt.After(now.Add(-within)) || c.refusedAt.After(began) {
		go f()
		return
	}
	c.endWatches = slices.DeleteFunc(c.endWatches, func(w endWatch) bool { return now.After(w.until) })
	c.endWatches = append(c.endWatches, endWatch{now.Add(within), f})
}

// noteRefused records that the server refused a connection, which shows that it has ended.
func (c *Condition) noteRefused() {
	c.mu.Lock()
	c.refusedAt = c.pool.time.Now()
	c.mu.Unlock()
	c.notifyEnd()
}

// notifyEnd runs the callbacks that wait for the end of the server.
func (c *Condition) notifyEnd() {
	now := c.pool.time.Now()
	c.mu.Lock()
	watches := c.endWatches
	c.endWatches = nil
	c.mu.Unlock()
	for _, w := range watches {
		if !now.After(w.until) {
			go w.f()
		}
	}
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
