package lease

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// nodeCount is the number of nodes in the tests that count calls of the store.
const nodeCount = 100

// runNodes starts nodeCount nodes at the same time and returns a function that stops them.
func runNodes(t *testing.T, m *fakeStore, names string, first bool) ([]*Lease, func()) {
	var leases []*Lease
	var stops []func()
	for i := range nodeCount {
		l, stop := runLease(t, &Lease{Store: m, Self: fmt.Sprintf("%s-%d", names, i), Address: "x", FirstStart: first})
		leases = append(leases, l)
		stops = append(stops, stop)
	}
	return leases, func() {
		for _, stop := range stops {
			go stop()
		}
		time.Sleep(5 * time.Second) // virtual; lets calls in progress end
	}
}

// suspectAll has all nodes suspect the holder, as they do when nobody answers their heartbeats, until one of
// them holds the lease or limit is over.
func suspectAll(leases []*Lease, limit time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		for _, l := range leases {
			if held(l) {
				return time.Since(began)
			}
			l.Suspect()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return limit
}

// callCount returns the number of calls of the store.
func (m *fakeStore) callCount() int { return m.readCount() + m.writeCount() }

// TestNodesThatStartTogetherCallTheStoreOnce guards against a burst of calls when many nodes find a free
// lease at the same time: most of them may call the store only once.
func TestNodesThatStartTogetherCallTheStoreOnce(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		leases, stop := runNodes(t, m, "a", true)
		defer stop()
		if took := suspectAll(leases, time.Minute); took > time.Second {
			t.Errorf("nobody held the lease for %v", took)
		}
		time.Sleep(2 * pollInterval)
		if n := m.callCount(); n > nodeCount+nodeCount/4 {
			t.Errorf("%d calls of the store by %d nodes", n, nodeCount)
		}
	})
}

// TestNodesWaitForADeadHolderWithoutAsking checks that nodes that restart after a power loss, in which the
// holder died, wait until its lease has expired instead of polling the store.
func TestNodesWaitForADeadHolderWithoutAsking(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		m.stored = Stored{Record: Record{Term: 4, Holder: "dead", Address: "dead", Renewed: m.now()}, Version: 9}
		leases, stop := runNodes(t, m, "b", false)
		defer stop()
		if took := suspectAll(leases, time.Minute); took > Expiry+pollInterval {
			t.Errorf("nobody held the lease for %v", took)
		}
		time.Sleep(2 * pollInterval)
		if n := m.callCount(); n > 3*nodeCount+nodeCount/10 {
			t.Errorf("%d calls of the store by %d nodes", n, nodeCount)
		}
	})
}

// TestNodesSpareAStoreThatIsDown checks that nodes ask a store that is down at growing intervals, and that
// one of them holds the lease soon after the store answers again.
func TestNodesSpareAStoreThatIsDown(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		m.down = true
		leases, stop := runNodes(t, m, "c", false)
		defer stop()
		const outage = 10 * time.Second
		suspectAll(leases, outage)
		if n := m.callCount(); n > 11*nodeCount {
			t.Errorf("%d calls of the store by %d nodes in %v", n, nodeCount, outage)
		}
		m.set(func() { m.down = false })
		if took := suspectAll(leases, time.Minute); took > time.Second {
			t.Errorf("nobody held the lease for %v after the store answered again", took)
		}
	})
}

// TestEagerNodesTakeTheLeaseSoon checks that an eager node does not ask a store that is down at growing
// intervals.
func TestEagerNodesTakeTheLeaseSoon(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		m.down = true
		l := &Lease{Store: m, Self: "a", Address: "a", Eager: func() bool { return true }}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go l.Run(ctx)
		time.Sleep(10 * time.Second)
		m.set(func() { m.down = false })
		if took := suspectAll([]*Lease{l}, time.Minute); took > 2*pollInterval {
			t.Errorf("the lease was not held for %v after the store answered again", took)
		}
		cancel()
		time.Sleep(time.Second) // virtual; lets calls in progress end
	})
}
