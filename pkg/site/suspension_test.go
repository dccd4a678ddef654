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

// suspendableClock simulates the clocks of a machine with suspensions, in virtual time.
type suspendableClock struct {
	mu           sync.Mutex
	suspendedFor time.Duration
}

// steady is a monotonic clock that stops during suspensions.
func (s *suspendableClock) steady() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Add(-s.suspendedFor)
}

// suspend lets time pass while the steady clock is stopped.
func (s *suspendableClock) suspend(d time.Duration) {
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspendedFor += d
}

// fakeStore is a lease store that can be disconnected.
type fakeStore struct {
	mu           sync.Mutex
	disconnected bool
	stored       lease.Stored
}

// disconnect disconnects the store.
func (a *fakeStore) disconnect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.disconnected = true
}

func (a *fakeStore) Read(context.Context) (lease.Stored, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.disconnected {
		return lease.Stored{}, context.DeadlineExceeded
	}
	return a.stored, nil
}

func (a *fakeStore) Write(_ context.Context, r lease.Record, over lease.Stored) (lease.Stored, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.disconnected || over.Version != a.stored.Version {
		return a.stored, lease.ErrConflict
	}
	a.stored = lease.Stored{Record: r, Version: over.Version + 1}
	return a.stored, nil
}

// TestNoBeliefOutlivesASuspension checks for each kind of information that expires that it has expired when a
// machine wakes from a suspension longer than its lifetime. With a clock that stops during the suspension each
// one is still valid; the test checks that as well.
func TestNoBeliefOutlivesASuspension(t *testing.T) {
	const sleep = 20 * time.Second
	now := func(c clock.Clock) time.Time { return c.Now() }
	holder := func(t *testing.T, c clock.Clock) (*lease.Lease, *fakeStore) {
		store := &fakeStore{}
		l := &lease.Lease{Store: store, Self: "a", Address: "a", Time: c}
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(stop)
		go l.Run(ctx)
		for _, held := l.Held(); !held; _, held = l.Held() {
			time.Sleep(time.Millisecond)
		}
		return l, store
	}
	for name, setUp := range map[string]func(t *testing.T, c clock.Clock) (isValid func() bool){
		"a lease": func(t *testing.T, c clock.Clock) func() bool {
			l, store := holder(t, c)
			store.disconnect() // so that the lease is not renewed during the suspension
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
		"a server that holds a model, as the holder reports": func(_ *testing.T, c clock.Clock) func() bool {
			servers := &backend.Directory{Time: c}
			servers.Replace([]*backend.Server{{ID: "i-1", Service: "s"}}, 1)
			need := backend.Need{Model: "m"}
			servers.OverrideHolding("i-1", need, true, now(c).Add(5*time.Second))
			return func() bool { return servers.Snapshot().Member("i-1").Serves(now(c), need) }
		},
		"a holder's report on quotas": func(_ *testing.T, c clock.Clock) func() bool {
			ledger := &quota.Ledger{}
			ledger.UpdateScarce(now(c), nil)
			of := &tenant.Tenant{Name: "t", Quota: tenant.Quota{PerSecond: 1000, Burst: 1000}}
			return func() bool { verdict, _ := ledger.Decide(now(c), of, 100); return verdict == quota.Admit }
		},
		"evidence against a request": func(_ *testing.T, c clock.Clock) func() bool {
			var table quarantine.Table
			f := quarantine.FingerprintOf("GET", "h", "/", nil)
			at := now(c).Add(time.Second - quarantine.Lifetime) // shortly before it expires
			table.Merge(at, quarantine.Evidence{Request: f, Ends: []quarantine.End{{Server: "1", Round: 1}, {Server: "2", Round: 2}, {Server: "3", Round: 3}}})
			return func() bool { return table.Standing(now(c), f) != quarantine.Free }
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var machine suspendableClock
				isValid := setUp(t, machine.steady)
				machine.suspend(sleep)
				if !isValid() {
					t.Error("it expired with a clock that stops during a suspension, so that the check proves nothing")
				}
			})
			synctest.Test(t, func(t *testing.T) {
				isValid := setUp(t, time.Now)
				if !isValid() {
					t.Error("it was not valid before the suspension")
				}
				time.Sleep(sleep)
				if isValid() {
					t.Error("it is still valid after the suspension")
				}
			})
		})
	}
}
