package backend

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// Condition is what this node knows about one incarnation of a server beyond its record. Safe for
// concurrent use.
type Condition struct {
	id             string // ID of the incarnation
	readSignals    func(status int, h http.Header) backpressure.Signals
	onSignalChange func(SignalUpdate)
	notifyChanged  func()               // wakes those that wait for a change of the servers
	listAge        func() time.Duration // see Directory.Age
	pool           *pool
	inFlight       atomic.Int64
	draining       atomic.Bool
	leavingSince   atomic.Pointer[time.Time] // when its record first announced that it drains, or was removed; nil: neither
	listedReady    atomic.Bool               // its record was read before it announced that it drains
	signalState    *signalState
	brittle        *backpressure.Brittle // of its service
	slots          int                   // requests that it runs at once
	delisted       atomic.Bool
	released       atomic.Bool // this node stops using the server, which continues to run
	evacuated      atomic.Bool

	mu               sync.Mutex
	holdingOverrides map[Need]holdingOverride
	running          map[string]int           // number of this node's requests by model
	eventTimes       map[string]time.Duration // time per event by model
	slowness         float64                  // time per event relative to the fastest server; zero: unknown
	recent           float64                  // requests sent recently, decayed
	recentAt         time.Time
	endWatches       []endWatch // callbacks for the end of the server
	vanishedAt       time.Time  // when its record was removed without an announcement that it leaves; zero: not removed so
	next             *Condition // incarnation that was listed in its place at vanishedAt; nil: none
	refusedAt        time.Time  // when it last refused a connection of this node; zero: never
	failures         int        // consecutive
	avoidUntil       time.Time  // end of the time for which the server is avoided

	coldUntil time.Time
}

// holdingOverride says whether a server holds a model or adapter, regardless of its record.
type holdingOverride struct {
	holds bool
	until time.Time
}

func newCondition(d *Directory, s *Server) *Condition {
	c := &Condition{
		id: s.ID, readSignals: d.Signals, onSignalChange: d.OnSignalChange, notifyChanged: d.notifyChanged, listAge: d.Age,
		signalState: d.departed.take(d.Time.Now(), s), brittle: d.brittleService(s.Service), slots: s.Slots, pool: newPool(d, s.Address),
	}
	c.pool.onRefused, c.pool.onResponse = c.noteRefused, c.observeResponse
	return c
}

// Delisted reports whether the server's record has been removed.
func (c *Condition) Delisted() bool { return c.delisted.Load() }

// Leaving reports whether the server accepts no new requests.
func (c *Condition) Leaving() bool { return c.delisted.Load() || c.AnnouncedLeaving() }

// AnnouncedLeaving reports whether the server announced that it leaves, by its record or in a response. Its
// end is then no crash.
func (c *Condition) AnnouncedLeaving() bool {
	return c.draining.Load() || c.signalState.leavingSince.Load() != nil
}

// LeavingFor returns how long it has been known that the server leaves; zero: it does not leave.
func (c *Condition) LeavingFor(now time.Time) time.Duration {
	known := time.Duration(0)
	for _, since := range []*time.Time{c.leavingSince.Load(), c.signalState.leavingSince.Load()} {
		if since != nil {
			known = max(known, now.Sub(*since), 1)
		}
	}
	return known
}

// setDraining records whether the server's record declares that it drains. A record that does not declare
// it may be older than a response in which the server announced that it leaves.
func (c *Condition) setDraining(now time.Time, draining bool) {
	c.draining.Store(draining)
	if draining {
		c.leavingSince.CompareAndSwap(nil, &now)
	} else {
		c.leavingSince.Store(nil)
		c.listedReady.Store(true)
	}
}

// LeaveSeen reports whether this node listed the server before it began to leave. Otherwise LeavingFor may be
// much too short.
func (c *Condition) LeaveSeen() bool { return c.listedReady.Load() }

// ServesLeaving reports whether the server leaves and could otherwise get a request that needs n.
func (m *Member) ServesLeaving(now time.Time, n Need) bool {
	if !m.Leaving() || m.Evacuated() || m.BackOff(now) > 0 || m.Gone(now) {
		return false
	}
	if holds, overridden := m.holdingOverride(now, n); overridden {
		return holds
	}
	return m.Holds(n)
}

// delist ends the use of the server for new requests. next is the incarnation that is listed in its place, nil if none.
func (c *Condition) delist(next *Condition) {
	c.delisted.Store(true)
	if c.leavingSince.Load() == nil {
		now := c.pool.time.Now()
		c.leavingSince.Store(&now)
	}
	if !c.AnnouncedLeaving() && !c.released.Load() {
		c.noteVanished(next)
	}
	c.pool.closeIdle()
}

// InUse reports whether requests of this node run at the server, or callbacks for its end are pending.
func (c *Condition) InUse() bool {
	if c.InFlight() > 0 {
		return true
	}
	now := c.pool.time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.endWatches, func(w endWatch) bool { return !now.After(w.until) })
}

// InFlight returns the number of this node's requests at the server.
func (c *Condition) InFlight() int { return int(c.inFlight.Load()) }

// recentHalfLife is the time in which the count of recent requests halves.
const recentHalfLife = 2 * time.Second

// Begin counts a request that is sent to the server.
func (c *Condition) Begin(now time.Time, model string) {
	c.inFlight.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[string]int)
	}
	c.running[model]++
	c.recent = c.decayedRecent(now) + 1
	c.recentAt = now
}

// End records that a request counted by Begin is over.
func (c *Condition) End(model string) {
	c.inFlight.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[model]--; c.running[model] <= 0 {
		delete(c.running, model)
	}
}

// Recent returns the number of requests sent recently, decayed by their age.
func (c *Condition) Recent(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decayedRecent(now)
}

// decayedRecent returns the count of recent requests, halved once per recentHalfLife with linear
// interpolation in between. The caller holds mu.
func (c *Condition) decayedRecent(now time.Time) float64 {
	age := now.Sub(c.recentAt)
	if age >= 10*recentHalfLife {
		return 0
	}
	count := c.recent
	for ; age >= recentHalfLife; age -= recentHalfLife {
		count /= 2
	}
	return count * (1 - 0.5*float64(age)/float64(recentHalfLife))
}

// How long a failing server is avoided: minAvoidTime after the first failure, doubled by each further
// consecutive one up to maxAvoidTime.
const (
	minAvoidTime = 500 * time.Millisecond
	maxAvoidTime = 4 * time.Second
)

// Failed records that the server did not serve a request. It is avoided for a while.
func (c *Condition) Failed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pause := minAvoidTime << min(c.failures, 4)
	c.failures++
	c.avoidUntil = now.Add(min(pause, maxAvoidTime))
}

// Answered records that the server served a request, which resets its count of failures.
func (c *Condition) Answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = 0
	c.avoidUntil = time.Time{}
}

// Avoid reports whether requests should avoid the server because it failed recently.
func (c *Condition) Avoid(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.avoidUntil)
}

func (c *Condition) overrideHolding(n Need, holds bool, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdingOverrides == nil {
		c.holdingOverrides = make(map[Need]holdingOverride)
	}
	c.holdingOverrides[n] = holdingOverride{holds: holds, until: until}
}

func (c *Condition) holdingOverride(now time.Time, n Need) (holds, overridden bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	override, overridden := c.holdingOverrides[n]
	if !overridden {
		return false, false
	}
	if now.After(override.until) {
		delete(c.holdingOverrides, n)
		return false, false
	}
	return override.holds, true
}

// dropConfirmed removes the overrides with which a newer record agrees.
func (c *Condition) dropConfirmed(before, after *Server) {
	if before.Version == after.Version {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, b := range c.holdingOverrides {
		if after.Holds(n) == b.holds {
			delete(c.holdingOverrides, n)
		}
	}
}

// EachRunning calls f for each model on which requests of this node run.
func (c *Condition) EachRunning(f func(model string, n int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for model, n := range c.running {
		if model != "" {
			f(model, n)
		}
	}
}
