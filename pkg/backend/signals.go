package backend

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// signalState is what the backpressure signals of one incarnation of a server amount to. The zero value
// means no signal.
type signalState struct {
	active       atomic.Bool               // state.Active(), readable without mu: most servers send no signals, and every server selection checks
	leavingSince atomic.Pointer[time.Time] // when the node learned that the server leaves; nil: not leaving

	mu    sync.Mutex
	state backpressure.State
}

// SignalUpdate is a change of a server's signal state, with the state after it.
type SignalUpdate struct {
	Server  string // ID of the incarnation
	Change  backpressure.Change
	Shared  backpressure.SharedState
	BackOff time.Duration // remaining back-off of this node
	Brittle float64       // requests that the server can reject in a second; zero: it is not brittle
}

// observeResponse applies the signals of a response. sent is when the node began to send the request, or
// zero if the response belongs to another request.
func (c *Condition) observeResponse(sent time.Time, r *http.Response) {
	if c.readSignals == nil {
		return
	}
	signals := c.readSignals(r.StatusCode, r.Header)
	now := c.pool.time.Now()
	update := c.updateSignals(now, func(s *backpressure.State) backpressure.Change { return s.Observe(sent, now, signals) })
	update.Change |= c.brittle.Observe(sent, now, signals.Brittle)
	update.Brittle = signals.Brittle
	if update.Change != 0 && c.onSignalChange != nil {
		c.onSignalChange(update)
	}
}

// updateSignals calls apply on the signal state and returns the change. It wakes those that wait for a
// change of the servers if the server now leaves.
func (c *Condition) updateSignals(now time.Time, apply func(*backpressure.State) backpressure.Change) SignalUpdate {
	update := c.signalState.apply(now, c.id, apply)
	if update.Change&backpressure.LeavingSet != 0 {
		c.notifyChanged()
	}
	return update
}

// apply calls the given function on the state and returns the change.
func (s *signalState) apply(now time.Time, server string, apply func(*backpressure.State) backpressure.Change) SignalUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := SignalUpdate{Server: server, Change: apply(&s.state), Shared: s.state.Shared(), BackOff: s.state.BackOff(now)}
	s.active.Store(s.state.Active())
	if update.Change&backpressure.LeavingSet != 0 {
		s.leavingSince.CompareAndSwap(nil, &now)
	}
	return update
}

// MergeSignals merges the signal state that another node reported for a server and returns the change. For
// a server that is not listed yet, the state is kept and takes effect when the server is listed.
func (d *Directory) MergeSignals(server string, shared backpressure.SharedState) SignalUpdate {
	m := d.Snapshot().Member(server)
	if m == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.departed.merge(d.Time.Now(), server, shared)
	}
	return m.updateSignals(d.Time.Now(), func(s *backpressure.State) backpressure.Change { return s.Merge(shared) })
}

// SharedSignals returns the part of the signal state that applies to all nodes.
func (c *Condition) SharedSignals() backpressure.SharedState {
	c.signalState.mu.Lock()
	defer c.signalState.mu.Unlock()
	return c.signalState.state.Shared()
}

// BackOff returns how much longer this node must not send requests to the server; zero: it may send.
func (c *Condition) BackOff(now time.Time) time.Duration {
	if !c.signalState.active.Load() {
		return 0
	}
	c.signalState.mu.Lock()
	defer c.signalState.mu.Unlock()
	return c.signalState.state.BackOff(now)
}

// AdmitAfterBackOff reports whether the back-offs that the server asked for allow a request now, and
// records the request if so. After a back-off, a single request probes the server first.
func (c *Condition) AdmitAfterBackOff(now time.Time) bool {
	if !c.signalState.active.Load() {
		return true
	}
	c.signalState.mu.Lock()
	defer c.signalState.mu.Unlock()
	return c.signalState.state.Admit(now)
}

// Limit returns the limit of the server in requests per second from all nodes together, or false if it has
// none: it set one, or it is brittle.
func (c *Condition) Limit() (float64, bool) {
	limit, limited := c.brittle.Limit(c.pool.time.Now(), c.slots)
	if !c.signalState.active.Load() {
		return limit, limited
	}
	c.signalState.mu.Lock()
	defer c.signalState.mu.Unlock()
	announced, isAnnounced := c.signalState.state.Limit()
	if isAnnounced && (!limited || announced < limit) {
		return announced, true
	}
	return limit, limited
}

// LendablePlaces returns how many of a brittle server's places may be lent to requests, and how long one takes; zero if it
// is not brittle.
func (c *Condition) LendablePlaces() (int, time.Duration) {
	return c.brittle.Places(c.pool.time.Now(), c.slots)
}

// AnnouncesLimit reports whether the server itself set a limit.
func (c *Condition) AnnouncesLimit() bool {
	if !c.signalState.active.Load() {
		return false
	}
	c.signalState.mu.Lock()
	defer c.signalState.mu.Unlock()
	_, announced := c.signalState.state.Limit()
	return announced
}

// IsBrittle reports whether the server falls over when it rejects too many requests.
func (c *Condition) IsBrittle() bool { return c.brittle.Bound() > 0 }

// Ran records how long the server took for a request.
func (c *Condition) Ran(d time.Duration) { c.brittle.Ran(d) }

// Rejected records that the server had no room for a request.
func (c *Condition) Rejected(now time.Time) { c.brittle.Rejected(now) }

// Limited reports whether the server has a limit.
func (c *Condition) Limited() bool {
	_, limited := c.Limit()
	return limited
}

// ExpectedReturn says when a server in back-off is expected to accept requests again.
type ExpectedReturn struct {
	Server string        // ID of the incarnation
	In     time.Duration // until the back-off ends
	Likely bool          // the server is expected to accept requests then
}

// ExpectedReturn returns when the server is expected to accept requests again. It returns false unless the
// back-off is the only reason why the server can't get a request that needs n.
func (m *Member) ExpectedReturn(now time.Time, n Need) (ExpectedReturn, bool) {
	if !m.signalState.active.Load() {
		return ExpectedReturn{}, false
	}
	m.signalState.mu.Lock()
	in, likely := m.signalState.state.ExpectedReturn(now)
	m.signalState.mu.Unlock()
	return ExpectedReturn{m.ID, in, likely}, in > 0 && !m.Cold(now) && m.serves(now, n)
}
