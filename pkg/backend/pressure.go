package backend

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// pressure is what is believed of one life of a server by its signals. The zero value believes nothing.
type pressure struct {
	asking       atomic.Bool               // state asks for something: most servers ask for nothing, and each choice looks at all
	leavingSince atomic.Pointer[time.Time] // when it was heard that it leaves; nil: it was not

	mu    sync.Mutex
	state backpressure.State
}

// Heard is a change of what is believed of a server by its signals, and what is believed then.
type Heard struct {
	Server string // the ID of its life
	Change backpressure.Change
	Belief backpressure.Belief
	Rest   time.Duration // that is left for this node
}

// hear takes in what an answer of the server tells of it; sent is when its request began to be sent, zero
// if the answer is another request's.
func (c *Condition) hear(sent time.Time, r *http.Response) {
	if c.signals == nil {
		return
	}
	w := c.signals(r.StatusCode, r.Header)
	now := c.pool.time.Now()
	h := c.believeSignals(now, func(s *backpressure.State) backpressure.Change { return s.Hear(sent, now, w) })
	if h.Change != 0 && c.heard != nil {
		c.heard(h)
	}
}

// believeSignals has signals change what is believed, and returns the change.
func (c *Condition) believeSignals(now time.Time, take func(*backpressure.State) backpressure.Change) Heard {
	h := c.pressure.take(now, c.id, take)
	if h.Change&backpressure.Left != 0 {
		c.moved()
	}
	return h
}

// take has signals of a server change what is believed, and returns the change.
func (p *pressure) take(now time.Time, server string, take func(*backpressure.State) backpressure.Change) Heard {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := Heard{Server: server, Change: take(&p.state), Belief: p.state.Belief(), Rest: p.state.Rest(now)}
	p.asking.Store(p.state.Asks())
	if h.Change&backpressure.Left != 0 {
		p.leavingSince.CompareAndSwap(nil, &now)
	}
	return h
}

// Tell takes in what another node believes of a server by its signals, and returns what it changed. It counts for a
// server that is not listed yet as soon as it is.
func (d *Directory) Tell(server string, b backpressure.Belief) Heard {
	m := d.Snapshot().Member(server)
	if m == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.departed.tell(d.Time.Now(), server, b)
	}
	return m.believeSignals(d.Time.Now(), func(s *backpressure.State) backpressure.Change { return s.Tell(b) })
}

// Belief returns what is believed of the server by its signals, for all nodes.
func (c *Condition) Belief() backpressure.Belief {
	c.pressure.mu.Lock()
	defer c.pressure.mu.Unlock()
	return c.pressure.state.Belief()
}

// Rest returns for how much longer the server wants nothing from this node; zero: it takes requests.
func (c *Condition) Rest(now time.Time) time.Duration {
	if !c.pressure.asking.Load() {
		return 0
	}
	c.pressure.mu.Lock()
	defer c.pressure.mu.Unlock()
	return c.pressure.state.Rest(now)
}

// TakeAfterRest tells whether a request may go to the server now by the rests that it asked for, and counts it:
// after a rest one goes first.
func (c *Condition) TakeAfterRest(now time.Time) bool {
	if !c.pressure.asking.Load() {
		return true
	}
	c.pressure.mu.Lock()
	defer c.pressure.mu.Unlock()
	return c.pressure.state.Take(now)
}

// Limit returns how many requests a second the server takes from all nodes together, false if it names
// no limit.
func (c *Condition) Limit() (float64, bool) {
	if !c.pressure.asking.Load() {
		return 0, false
	}
	c.pressure.mu.Lock()
	defer c.pressure.mu.Unlock()
	return c.pressure.state.Limit()
}

// Limited tells whether the server names a limit.
func (c *Condition) Limited() bool {
	_, limited := c.Limit()
	return limited
}

// Return is when a server at rest is expected to take requests.
type Return struct {
	Server  string        // the ID of its life
	In      time.Duration // until its rest is over
	Hopeful bool          // it is expected to take requests then
}

// Returns returns when the server is expected to take requests, if it could get one that needs n but for its
// rest; false if it is not so.
func (m *Member) Returns(now time.Time, n Need) (Return, bool) {
	if !m.pressure.asking.Load() {
		return Return{}, false
	}
	m.pressure.mu.Lock()
	in, hopeful := m.pressure.state.Returns(now)
	m.pressure.mu.Unlock()
	return Return{m.ID, in, hopeful}, in > 0 && !m.Cold(now) && m.serves(now, n)
}
