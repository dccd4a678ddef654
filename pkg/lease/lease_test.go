package lease

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/quota"
)

// fakeStore is an in-memory Store with faults that tests can inject.
type fakeStore struct {
	mu             sync.Mutex
	stored         Stored
	down           bool          // all calls fail
	failedAnswers  int           // number of coming writes that are done but return an error
	missingAnswers int           // number of coming writes that are done but never answered
	lateWrites     int           // number of coming writes that are done after lateWriteDelay and never answered
	writes         int           // number of calls of Write
	extraWriteTime time.Duration // added to the time of each write
	writeTime      time.Duration // of each write; writes are done one after the other
	queueEnd       time.Time     // when the last queued write is done
	started        time.Time     // zero of the store's clock
	reads          int           // number of calls of Read
	rowLimit       int           // of a record's JSON in base64, in bytes; zero: none
}

var (
	errUnavailable = errors.New("the store is unavailable")
	errTooLarge    = errors.New("the row is too large")
)

// recordSize returns the size of a record's JSON, in bytes.
func recordSize(r Record) int {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return len(text)
}

func (m *fakeStore) now() int64 { return time.Since(m.started).Milliseconds() }

func (m *fakeStore) Read(context.Context) (Stored, error) {
	time.Sleep(4 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.down {
		return Stored{}, errUnavailable
	}
	s := m.stored
	s.Now = m.now()
	return s, nil
}

// lateWriteDelay is the delay of late writes.
const lateWriteDelay = 2 * time.Second

func (m *fakeStore) Write(ctx context.Context, r Record, over Stored) (Stored, error) {
	m.mu.Lock()
	m.queueEnd = time.Now().Add(max(time.Until(m.queueEnd), 0) + m.writeTime)
	wait := time.Until(m.queueEnd)
	m.mu.Unlock()
	time.Sleep(4*time.Millisecond + m.extraWriteTime + wait)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.down {
		return Stored{}, errUnavailable
	}
	if m.lateWrites > 0 {
		m.lateWrites--
		time.AfterFunc(lateWriteDelay, func() { _, _ = m.Write(context.Background(), r, over) })
		m.mu.Unlock()
		<-ctx.Done()
		m.mu.Lock()
		return Stored{}, ctx.Err()
	}
	if m.rowLimit > 0 && base64.StdEncoding.EncodedLen(recordSize(r)) > m.rowLimit {
		return Stored{}, errTooLarge
	}
	if over.Version.Number() != m.stored.Version.Number() || over.Record.Mark != m.stored.Record.Mark {
		s := m.stored
		s.Now = m.now()
		return s, ErrConflict
	}
	m.stored = Stored{Record: r, Version: m.stored.Version + 1, Now: m.now()}
	if m.failedAnswers > 0 {
		m.failedAnswers--
		return Stored{}, errUnavailable
	}
	if m.missingAnswers > 0 {
		m.missingAnswers--
		m.mu.Unlock()
		<-ctx.Done()
		m.mu.Lock()
		return Stored{}, ctx.Err()
	}
	return m.stored, nil
}

func (m *fakeStore) readCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

func (m *fakeStore) writeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

func (m *fakeStore) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// run starts a lease with default fields and returns a function that stops it.
func run(t *testing.T, m *fakeStore, name string) (*Lease, context.CancelFunc) {
	return runLease(t, &Lease{Store: m, Self: name, Address: name})
}

// runLease starts a lease and returns a function that stops it.
func runLease(t *testing.T, l *Lease) (*Lease, context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	return l, func() {
		cancel()
		<-done
	}
}

func held(l *Lease) bool {
	_, ok := l.Held()
	return ok
}

// bubble runs a test with a fake store and virtual time.
func bubble(t *testing.T, f func(t *testing.T, m *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, &fakeStore{started: time.Now()}) })
}

func TestOneOfManyHolds(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		var leases []*Lease
		for _, name := range []string{"a", "b", "c"} {
			l, stop := run(t, m, name)
			defer stop()
			leases = append(leases, l)
		}
		time.Sleep(time.Second)
		holders := 0
		for _, l := range leases {
			if held(l) {
				holders++
			}
		}
		if holders != 1 {
			t.Errorf("%d nodes hold the lease", holders)
		}
	})
}

// TestSuspicionsDoNotPostponeTheRead guards against a read of the record that is rescheduled by every suspicion
// and so never happens when suspicions come often.
func TestSuspicionsDoNotPostponeTheRead(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		m.down = true
		l, stop := run(t, m, "a")
		defer stop()
		time.Sleep(100 * time.Millisecond)
		m.set(func() { m.down = false })
		for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
			l.Suspect()
		}
		if !held(l) {
			t.Error("a free lease was not taken in 2s of suspicions")
		}
	})
}

// TestTakeoverAfterADeath checks that another node takes over soon after Expiry when the holder dies, and
// that the two never hold the lease at the same time.
func TestTakeoverAfterADeath(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		dead, kill := run(t, m, "a")
		time.Sleep(time.Second)
		next, stop := run(t, m, "b")
		defer stop()
		m.set(func() { m.down = true }) // so that the dead holder can't release the lease
		kill()
		died := time.Now()
		time.Sleep(100 * time.Millisecond)
		m.set(func() { m.down = false })
		for !held(next) && time.Since(died) < time.Minute {
			next.Suspect()
			time.Sleep(50 * time.Millisecond)
			if held(dead) && held(next) {
				t.Error("both hold the lease")
			}
		}
		if took := time.Since(died); took > Expiry+time.Second {
			t.Errorf("the takeover took %v", took)
		}
	})
}

// TestPlannedStopHandsOverAtOnce checks that a planned stop hands the lease over at once, also after a write
// whose answer was lost.
func TestPlannedStopHandsOverAtOnce(t *testing.T) {
	for name, lost := range map[string]int{"calm": 0, "answer lost": 1} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *fakeStore) {
				first, stopFirst := run(t, m, "a")
				time.Sleep(time.Second)
				next, stop := run(t, m, "b")
				defer stop()
				time.Sleep(100 * time.Millisecond)
				if lost > 0 {
					m.set(func() { m.failedAnswers = lost })
					go func() { _, _ = first.Commit(t.Context(), []Intent{{Server: "s"}}) }()
					time.Sleep(6 * time.Millisecond)
				}
				stopped := time.Now()
				stopFirst()
				for !held(next) && time.Since(stopped) < time.Minute {
					next.Suspect()
					time.Sleep(20 * time.Millisecond)
				}
				if took := time.Since(stopped); took > time.Second {
					t.Errorf("the handover took %v", took)
				}
			})
		})
	}
}

// TestACommitWithoutAnswerReturnsAPermit checks that Commit returns a valid permit if the write was done but its
// answer was lost.
func TestACommitWithoutAnswerReturnsAPermit(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		l, stop := run(t, m, "a")
		defer stop()
		time.Sleep(time.Second)
		m.set(func() { m.failedAnswers = 1 })
		permit, err := l.Commit(t.Context(), []Intent{{Server: "s", Need: "m"}})
		if err != nil || !permit.Valid() {
			t.Errorf("Commit returned permit %+v, error %v", permit, err)
		}
		intents := 0
		for _, i := range m.stored.Record.Intents {
			if i.Server == "s" {
				intents++
			}
		}
		if intents != 1 {
			t.Errorf("the record has the intent %d times, want once", intents)
		}
	})
}

// TestADeposedHolderGetsNoPermit checks that a holder gets no permit if another node took over while it was
// paused.
func TestADeposedHolderGetsNoPermit(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		l, stop := run(t, m, "a")
		defer stop()
		time.Sleep(time.Second)
		m.set(func() {
			m.stored.Record = Record{Term: 9, Holder: "b", Address: "b", Renewed: m.now()}
			m.stored.Version++
		})
		if permit, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err == nil {
			t.Errorf("a replaced holder got the permit %+v", permit)
		}
		if held(l) {
			t.Error("a replaced holder still holds the lease")
		}
	})
}

// TestAHolderWithoutTheStoreStops checks that a holder that can't reach the store stops before another node
// may take over.
func TestAHolderWithoutTheStoreStops(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		l, stop := run(t, m, "a")
		defer stop()
		time.Sleep(time.Second)
		m.set(func() { m.down = true })
		time.Sleep(Hold)
		if held(l) {
			t.Errorf("the lease is still held %v after the store became unavailable", Hold)
		}
	})
}

// TestOtherNodesDoNotReadWhileTheHolderRenews guards against nodes that poll the store while there is a
// working holder.
func TestOtherNodesDoNotReadWhileTheHolderRenews(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		_, stopFirst := run(t, m, "a")
		defer stopFirst()
		time.Sleep(time.Second)
		_, stop := run(t, m, "b")
		defer stop()
		time.Sleep(time.Second)
		before := m.readCount()
		time.Sleep(10 * time.Second)
		if more := m.readCount() - before; more > 1 {
			t.Errorf("%d reads in 10s", more)
		}
	})
}

// TestALostAnswerDoesNotHoldUpOrders checks that orders wait only a moment, not for the whole call timeout,
// if the answer of a write never comes.
func TestALostAnswerDoesNotHoldUpOrders(t *testing.T) {
	cases := []struct {
		name         string
		silent, late int
	}{
		{"the write is done", 1, 0},
		{"twice", 2, 0},
		{"the write is done later", 0, 1},
		{"both", 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *fakeStore) {
				l, stop := run(t, m, "a")
				defer stop()
				for !held(l) {
					time.Sleep(time.Millisecond)
				}
				m.set(func() { m.missingAnswers, m.lateWrites = c.silent, c.late })
				began := time.Now()
				if _, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err != nil {
					t.Fatalf("the intent was not written: %v", err)
				}
				if took := time.Since(began); took > 200*time.Millisecond {
					t.Errorf("the intent was written after %v", took)
				}
				time.Sleep(2 * lateWriteDelay)
				if !held(l) {
					t.Error("the lease was lost")
				}
				if record, _ := l.Current(); len(record.Intents) != 1 {
					t.Errorf("the record has %d intents, want 1", len(record.Intents))
				}
			})
		})
	}
}

// TestManyNodesStartWithFewCalls starts all nodes of a large site at once with a store that does one write
// after the other. Each node may read the record once and try once to take the lease.
func TestManyNodesStartWithFewCalls(t *testing.T) {
	const nodes = 60
	bubble(t, func(t *testing.T, m *fakeStore) {
		m.writeTime = 5 * time.Millisecond
		for i := range nodes {
			_, stop := run(t, m, fmt.Sprint(i))
			defer stop()
		}
		time.Sleep(3 * time.Second)
		if asked := m.writeCount(); asked > nodes+10 {
			t.Errorf("%d writes by %d nodes", asked, nodes)
		}
		if reads := m.readCount(); reads > nodes+10 {
			t.Errorf("%d reads by %d nodes", reads, nodes)
		}
	})
}

// TestASlowStoreIsNotAskedInALoop checks that writes are not repeated while the store answers as slowly as it
// lately did.
func TestASlowStoreIsNotAskedInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeStore{started: time.Now(), extraWriteTime: 200 * time.Millisecond}
		l, stop := run(t, m, "a")
		defer stop()
		time.Sleep(5 * time.Second)
		before := m.writeCount()
		time.Sleep(20 * time.Second)
		if asked := m.writeCount() - before; asked > 25 {
			t.Errorf("%d writes in 20s, with a renewal every 0.7s", asked)
		}
		if !held(l) {
			t.Error("the lease is not held")
		}
	})
}

// TestTheNextIncarnationTakesOverAtOnce checks that a holder that is killed and restarted before its lease has
// expired takes it again at once, while other nodes wait for the expiry.
func TestTheNextIncarnationTakesOverAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		own  bool
	}{{"node-1/b", true}, {"node-12/b", false}, {"node-2/b", false}} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *fakeStore) {
				m.stored = Stored{Record: Record{Term: 4, Holder: "node-1/a", Renewed: m.now()}, Version: 9}
				node, _, _ := strings.Cut(c.name, "/")
				l := &Lease{Store: m, Self: c.name, IncarnationPrefix: node + "/", Address: "x"}
				ctx, cancel := context.WithCancel(t.Context())
				go l.Run(ctx)
				took := suspectAll([]*Lease{l}, time.Minute)
				if c.own && took > 2*pollInterval || !c.own && took < Expiry-pollInterval {
					t.Errorf("the node held the lease after %v", took)
				}
				cancel()
				time.Sleep(time.Second) // virtual; lets calls in progress end
			})
		})
	}
}

// TestBetterNodesGoFirst checks that of all nodes that find a free lease, the one with the shortest
// TakeoverDelay takes it: on a first start, after a restart and when the holder died.
func TestBetterNodesGoFirst(t *testing.T) {
	const weak = 2 * pollInterval
	for name, stored := range map[string]Stored{
		"first start":  {},
		"released":     {Record: Record{Term: 3}, Version: 7},
		"holder died":  {Record: Record{Term: 3, Holder: "dead", Renewed: 1}, Version: 7},
		"long expired": {Record: Record{Term: 3, Holder: "dead", Renewed: -time.Hour.Milliseconds()}, Version: 7},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *fakeStore) {
				m.stored = stored
				var leases []*Lease
				for i := range 12 {
					l := &Lease{Store: m, Self: fmt.Sprint("n", i), Address: "x", FirstStart: stored.Version == 0}
					if i > 0 {
						l.TakeoverDelay = func() time.Duration { return weak }
					}
					_, stop := runLease(t, l)
					defer stop()
					leases = append(leases, l)
				}
				took := suspectAll(leases, time.Minute)
				if !held(leases[0]) {
					t.Errorf("another node held the lease after %v", took)
				}
			})
		})
	}
}

// TestQuotasOutliveTheHolder checks that the record keeps the quota balances of scarce tenants that a holder
// reported until the next holder reports them.
func TestQuotasOutliveTheHolder(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		left, known := []quota.Balance{{Tenant: "a", Amount: -7}}, true
		_, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", Quotas: func(uint64) ([]quota.Balance, bool) { return left, known }})
		time.Sleep(2 * Renewal)
		stop()
		next, stop := runLease(t, &Lease{Store: m, Self: "b", Address: "b", Quotas: func(uint64) ([]quota.Balance, bool) { return nil, false }})
		defer stop()
		for !held(next) {
			next.Suspect()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * Renewal)
		record, _ := next.Current()
		inherited := record.Inherited(m.now())
		if len(inherited) != 1 || inherited[0].Balance != left[0] {
			t.Fatalf("the record has the balances %+v, want %+v", inherited, left)
		}
		if age := inherited[0].Age; age < 2*Renewal || age > 2*Renewal+Expiry {
			t.Errorf("the balance is %v old, though the new holder reported none for %v", age, 2*Renewal)
		}
	})
}

// TestUnfitNodeTakesAFreeLease guards against holders that can give no orders while another node could.
func TestUnfitNodeTakesAFreeLease(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		unfit, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", Fit: func(context.Context) bool { return false }})
		defer stop()
		for range 20 { // suspicions make it ask again, not take it
			unfit.Suspect()
			time.Sleep(100 * time.Millisecond)
		}
		if held(unfit) {
			t.Error("a node that is not fit took the lease at once")
		}
		time.Sleep(UnfitDelay)
		if !held(unfit) {
			t.Error("nobody holds the lease although no other node takes it")
		}
	})
}

// TestHandedOverLeaseStaysAtItsHolder guards against a holder that takes back what it handed over.
func TestHandedOverLeaseStaysAtItsHolder(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		var cut atomic.Bool
		first, stopFirst := runLease(t, &Lease{Store: m, Self: "a", Address: "a", Fit: func(context.Context) bool { return !cut.Load() }})
		defer stopFirst()
		time.Sleep(time.Second)
		next, stop := run(t, m, "b")
		defer stop()
		time.Sleep(time.Second)
		cut.Store(true)
		first.HandOver()
		handed := time.Now()
		for !held(next) && time.Since(handed) < UnfitDelay {
			next.Suspect()
			time.Sleep(20 * time.Millisecond)
		}
		if took := time.Since(handed); held(first) || took > time.Second {
			t.Errorf("after %v the first holder holds it: %v", took, held(first))
		}
	})
}

// TestLeaseIsHandedOverWithoutTheStore guards against a lease that nobody else can take.
func TestLeaseIsHandedOverWithoutTheStore(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		l, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", AllowOffline: func() bool { return true }})
		defer stop()
		time.Sleep(time.Second)
		m.set(func() { m.down = true })
		time.Sleep(2 * Renewal)
		l.HandOver()
		time.Sleep(time.Second)
		if !held(l) {
			t.Error("the lease was given up while no other node can take it")
		}
	})
}
