package lease

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/quota"
)

// memory is a store with faults.
type memory struct {
	mu      sync.Mutex
	stored  Stored
	down    bool
	lost    int           // answers of writes that are lost, as the caller sees at once
	silent  int           // answers of writes that never come
	late    int           // writes that are done only after writeLate, without an answer
	writes  int           // that were asked for
	slow    time.Duration // further time of a write
	inTurn  time.Duration // that each write takes, one after the other
	free    time.Time     // when the writes that wait are done
	started time.Time
	reads   int
}

var errAway = errors.New("the store is away")

func (m *memory) now() int64 { return time.Since(m.started).Milliseconds() }

func (m *memory) Read(context.Context) (Stored, error) {
	time.Sleep(4 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.down {
		return Stored{}, errAway
	}
	s := m.stored
	s.Now = m.now()
	return s, nil
}

// writeLate is how late a late write is done.
const writeLate = 2 * time.Second

func (m *memory) Write(ctx context.Context, r Record, over Stored) (Stored, error) {
	m.mu.Lock()
	m.free = time.Now().Add(max(time.Until(m.free), 0) + m.inTurn)
	wait := time.Until(m.free)
	m.mu.Unlock()
	time.Sleep(4*time.Millisecond + m.slow + wait)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.down {
		return Stored{}, errAway
	}
	if m.late > 0 {
		m.late--
		time.AfterFunc(writeLate, func() { _, _ = m.Write(context.Background(), r, over) })
		m.mu.Unlock()
		<-ctx.Done()
		m.mu.Lock()
		return Stored{}, ctx.Err()
	}
	if over.Version.Number() != m.stored.Version.Number() || over.Record.Mark != m.stored.Record.Mark {
		s := m.stored
		s.Now = m.now()
		return s, ErrConflict
	}
	m.stored = Stored{Record: r, Version: m.stored.Version + 1, Now: m.now()}
	if m.lost > 0 {
		m.lost--
		return Stored{}, errAway
	}
	if m.silent > 0 {
		m.silent--
		m.mu.Unlock()
		<-ctx.Done()
		m.mu.Lock()
		return Stored{}, ctx.Err()
	}
	return m.stored, nil
}

func (m *memory) looks() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

func (m *memory) asked() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

func (m *memory) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// run starts a lease and returns how to stop it.
func run(t *testing.T, m *memory, name string) (*Lease, context.CancelFunc) {
	return runLease(t, &Lease{Store: m, Self: name, Address: name})
}

// runLease is run for a lease with fields of its own.
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

func bubble(t *testing.T, f func(t *testing.T, m *memory)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, &memory{started: time.Now()}) })
}

func TestOneOfManyHolds(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
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

// TestSuspicionsDoNotPutOffTheLook: however often a holder is missed, the record
// is looked at.
func TestSuspicionsDoNotPutOffTheLook(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
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

// TestTakeoverAfterADeath: another node takes over after Expiry, and the dead
// one's term is over before.
func TestTakeoverAfterADeath(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		dead, kill := run(t, m, "a")
		time.Sleep(time.Second)
		next, stop := run(t, m, "b")
		defer stop()
		m.set(func() { m.down = true }) // so that the dead one can't give it back
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

// TestPlannedStopHandsOverAtOnce also after a write whose answer was lost.
func TestPlannedStopHandsOverAtOnce(t *testing.T) {
	for name, lost := range map[string]int{"calm": 0, "answer lost": 1} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *memory) {
				first, stopFirst := run(t, m, "a")
				time.Sleep(time.Second)
				next, stop := run(t, m, "b")
				defer stop()
				time.Sleep(100 * time.Millisecond)
				if lost > 0 {
					m.set(func() { m.lost = lost })
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

// TestACommitWithoutAnswerIsFoundOut: the write was done, so the permit is good.
func TestACommitWithoutAnswerIsFoundOut(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		l, stop := run(t, m, "a")
		defer stop()
		time.Sleep(time.Second)
		m.set(func() { m.lost = 1 })
		permit, err := l.Commit(t.Context(), []Intent{{Server: "s", Need: "m"}})
		if err != nil || !permit.Valid() {
			t.Errorf("permit %+v, %v", permit, err)
		}
		intents := 0
		for _, i := range m.stored.Record.Intents {
			if i.Server == "s" {
				intents++
			}
		}
		if intents != 1 {
			t.Errorf("the intent stands %d times in the record", intents)
		}
	})
}

// TestADeposedHolderGetsNoPermit: it was paused while another took over.
func TestADeposedHolderGetsNoPermit(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		l, stop := run(t, m, "a")
		defer stop()
		time.Sleep(time.Second)
		m.set(func() {
			m.stored.Record = Record{Term: 9, Holder: "b", Address: "b", Renewed: m.now()}
			m.stored.Version++
		})
		if permit, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err == nil {
			t.Errorf("a deposed holder got the permit %+v", permit)
		}
		if held(l) {
			t.Error("a deposed holder still holds")
		}
	})
}

// TestAHolderWithoutTheStoreStops before another may take over.
func TestAHolderWithoutTheStoreStops(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		l, stop := run(t, m, "a")
		defer stop()
		time.Sleep(time.Second)
		m.set(func() { m.down = true })
		time.Sleep(Hold)
		if held(l) {
			t.Errorf("still held %v after the store went away", Hold)
		}
	})
}

// TestFollowersAreQuiet: while the holder renews, nobody else reads the record.
func TestFollowersAreQuiet(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		_, stopFirst := run(t, m, "a")
		defer stopFirst()
		time.Sleep(time.Second)
		_, stop := run(t, m, "b")
		defer stop()
		time.Sleep(time.Second)
		before := m.looks()
		time.Sleep(10 * time.Second)
		if more := m.looks() - before; more > 1 {
			t.Errorf("%d reads in 10s", more)
		}
	})
}

// TestALostAnswerDoesNotHoldUpOrders: the answer of a write that never comes costs
// orders a moment, not the whole time of a call.
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
			bubble(t, func(t *testing.T, m *memory) {
				l, stop := run(t, m, "a")
				defer stop()
				for !held(l) {
					time.Sleep(time.Millisecond)
				}
				m.set(func() { m.silent, m.late = c.silent, c.late })
				began := time.Now()
				if _, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err != nil {
					t.Fatalf("the intent was not written: %v", err)
				}
				if took := time.Since(began); took > 200*time.Millisecond {
					t.Errorf("the intent was written after %v", took)
				}
				time.Sleep(2 * writeLate)
				if !held(l) {
					t.Error("the lease was lost")
				}
				if record, _ := l.Current(); len(record.Intents) != 1 {
					t.Errorf("the record has %d intents in place of one", len(record.Intents))
				}
			})
		})
	}
}

// TestManyNodesStartWithFewCalls: the store writes one record after the other, and
// all nodes of a large site start at once. Each asks once whether the lease is free
// and tries once to take it.
func TestManyNodesStartWithFewCalls(t *testing.T) {
	const nodes = 60
	bubble(t, func(t *testing.T, m *memory) {
		m.inTurn = 5 * time.Millisecond
		for i := range nodes {
			_, stop := run(t, m, fmt.Sprint(i))
			defer stop()
		}
		time.Sleep(3 * time.Second)
		if asked := m.asked(); asked > nodes+10 {
			t.Errorf("%d writes by %d nodes", asked, nodes)
		}
		if reads := m.looks(); reads > nodes+10 {
			t.Errorf("%d reads by %d nodes", reads, nodes)
		}
	})
}

// TestASlowStoreIsNotAskedInALoop: writes are not repeated while the store answers
// as slowly as it did of late.
func TestASlowStoreIsNotAskedInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{started: time.Now(), slow: 200 * time.Millisecond}
		l, stop := run(t, m, "a")
		defer stop()
		time.Sleep(5 * time.Second)
		before := m.asked()
		time.Sleep(20 * time.Second)
		if asked := m.asked() - before; asked > 25 {
			t.Errorf("%d writes in 20s, of a renewal each 0.7s", asked)
		}
		if !held(l) {
			t.Error("the lease is not held")
		}
	})
}

// TestTheNextLifeTakesOverAtOnce: the holder is killed and comes back before its lease
// has expired; other nodes still wait for that.
func TestTheNextLifeTakesOverAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		own  bool
	}{{"node-1/b", true}, {"node-12/b", false}, {"node-2/b", false}} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *memory) {
				m.stored = Stored{Record: Record{Term: 4, Holder: "node-1/a", Renewed: m.now()}, Version: 9}
				node, _, _ := strings.Cut(c.name, "/")
				l := &Lease{Store: m, Self: c.name, Lives: node + "/", Address: "x"}
				ctx, cancel := context.WithCancel(t.Context())
				go l.Run(ctx)
				took := suspectAll([]*Lease{l}, time.Minute)
				if c.own && took > 2*lookPause || !c.own && took < Expiry-lookPause {
					t.Errorf("it held the lease after %v", took)
				}
				cancel()
				time.Sleep(time.Second) // virtual; for what is under way to end
			})
		})
	}
}

// TestBetterNodesGoFirst: of nodes that find a free lease the one with the least patience
// takes it, on a first start, after a restart and when a holder died.
func TestBetterNodesGoFirst(t *testing.T) {
	const weak = 2 * lookPause
	for name, stored := range map[string]Stored{
		"first start":  {},
		"released":     {Record: Record{Term: 3}, Version: 7},
		"holder died":  {Record: Record{Term: 3, Holder: "dead", Renewed: 1}, Version: 7},
		"long expired": {Record: Record{Term: 3, Holder: "dead", Renewed: -time.Hour.Milliseconds()}, Version: 7},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *memory) {
				m.stored = stored
				var leases []*Lease
				for i := range 12 {
					l := &Lease{Store: m, Self: fmt.Sprint("n", i), Address: "x", First: stored.Version == 0}
					if i > 0 {
						l.Patience = func() time.Duration { return weak }
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

// TestQuotasOutliveTheHolder: the record keeps what a holder told of scarce tenants' quotas until the
// next one tells.
func TestQuotasOutliveTheHolder(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
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
			t.Fatalf("the record tells %+v, want %+v", inherited, left)
		}
		if age := inherited[0].Age; age < 2*Renewal || age > 2*Renewal+Expiry {
			t.Errorf("what is left is %v old: the new holder did not tell anything in %v", age, 2*Renewal)
		}
	})
}
