package site

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/revision"
	"martenwheel.dev/pkg/storeclock"
	"martenwheel.dev/pkg/tenant"
	"martenwheel.dev/pkg/watch"
)

// suspended is a machine's clocks in virtual time, and its suspensions.
type suspended struct {
	mu    sync.Mutex
	slept time.Duration
}

// steady stands still during suspensions.
func (s *suspended) steady() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Add(-s.slept)
}

// suspend lets the time pass without the steady clock.
func (s *suspended) suspend(d time.Duration) {
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slept += d
}

// away is a store that answers until it is cut off.
type away struct {
	mu     sync.Mutex
	cut    bool
	stored lease.Stored
}

// cutOff ends its answers.
func (a *away) cutOff() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cut = true
}

func (a *away) Read(context.Context) (lease.Stored, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cut {
		return lease.Stored{}, context.DeadlineExceeded
	}
	return a.stored, nil
}

func (a *away) Write(_ context.Context, r lease.Record, over lease.Stored) (lease.Stored, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cut || over.Version != a.stored.Version {
		return a.stored, lease.ErrConflict
	}
	a.stored = lease.Stored{Record: r, Version: over.Version + 1}
	return a.stored, nil
}

// TestNoBeliefOutlivesASuspension has a node believe something, suspends its machine for longer
// than the belief may last, and asks whether the node still believes it as it wakes. With a
// clock that stands still meanwhile each belief is seen to outlive it.
func TestNoBeliefOutlivesASuspension(t *testing.T) {
	const sleep = 20 * time.Second
	now := func(c clock.Clock) time.Time { return c.Now() }
	holder := func(t *testing.T, c clock.Clock) (*lease.Lease, *away) {
		store := &away{}
		l := &lease.Lease{Store: store, Self: "a", Address: "a", Time: c}
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(stop)
		go l.Run(ctx)
		for _, held := l.Held(); !held; _, held = l.Held() {
			time.Sleep(time.Millisecond)
		}
		return l, store
	}
	for name, believe := range map[string]func(t *testing.T, c clock.Clock) (still func() bool){
		"a lease": func(t *testing.T, c clock.Clock) func() bool {
			l, store := holder(t, c)
			store.cutOff() // so that it does not renew within the suspension
			return func() bool { _, held := l.Held(); return held }
		},
		"a permit of an order": func(t *testing.T, c clock.Clock) func() bool {
			l, _ := holder(t, c)
			permit, err := l.Commit(t.Context(), []lease.Intent{{Server: "i-1"}})
			if err != nil {
				t.Fatal(err)
			}
			return permit.Valid
		},
		"the store's clock, by which keys age": func(_ *testing.T, c clock.Clock) func() bool {
			store := &storeclock.Clock{Time: c}
			store.Observe(now(c), time.Minute)
			return func() bool { latest, _ := store.Latest(); return latest < time.Minute+sleep }
		},
		"a table": func(_ *testing.T, c clock.Clock) func() bool {
			table := &watch.Table{Name: "t", Time: c, Bound: 2 * time.Second, Logger: hclog.NewNullLogger(),
				Apply: func(map[string]watch.Record, revision.Revision) {}}
			table.Replace(watch.Page{Version: 1}, 0)
			return func() bool { return table.Age() < sleep }
		},
		"a server that holds a model, by the holder's word": func(_ *testing.T, c clock.Clock) func() bool {
			servers := &backend.Directory{Time: c}
			servers.Replace([]*backend.Server{{ID: "i-1", Service: "s"}}, 1)
			need := backend.Need{Model: "m"}
			servers.OverrideHolding("i-1", need, true, now(c).Add(5*time.Second))
			return func() bool { return servers.Snapshot().Member("i-1").Serves(now(c), need) }
		},
		"a holder's word on quotas": func(_ *testing.T, c clock.Clock) func() bool {
			ledger := &quota.Ledger{}
			ledger.UpdateScarce(now(c), nil)
			of := &tenant.Tenant{Name: "t", Quota: tenant.Quota{PerSecond: 1000, Burst: 1000}}
			return func() bool { verdict, _ := ledger.Decide(now(c), of, 100); return verdict == quota.Admit }
		},
		"evidence against a request": func(_ *testing.T, c clock.Clock) func() bool {
			var table quarantine.Table
			f := quarantine.FingerprintOf("GET", "h", "/", nil)
			at := now(c).Add(time.Second - quarantine.Lifetime) // nearly over
			table.Merge(at, quarantine.Evidence{Request: f, Ends: []quarantine.End{{Server: "1", Round: 1}, {Server: "2", Round: 2}, {Server: "3", Round: 3}}})
			return func() bool { return table.Standing(now(c), f) != quarantine.Free }
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var machine suspended
				still := believe(t, machine.steady)
				machine.suspend(sleep)
				if !still() {
					t.Error("a clock that stands still during a suspension shows nothing here")
				}
			})
			synctest.Test(t, func(t *testing.T) {
				still := believe(t, time.Now)
				if !still() {
					t.Error("it was not believed before the suspension")
				}
				time.Sleep(sleep)
				if still() {
					t.Error("it outlived the suspension")
				}
			})
		})
	}
}
