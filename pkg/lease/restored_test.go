package lease

import (
	"context"
	"sync"
	"testing"
	"time"

	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/revision"
)

// restore replaces the store's state by that of a backup, in a new epoch.
func (m *fakeStore) restore(backup Stored) {
	m.set(func() {
		backup.Version, _ = revision.New(m.stored.Version.Epoch()+1, backup.Version.Number())
		m.stored = backup
	})
}

// snapshot returns what the store holds.
func (m *fakeStore) snapshot() Stored {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stored
}

// termHolders collects which incarnations held which terms.
type termHolders struct {
	mu           sync.Mutex
	incarnations map[uint64]map[string]bool
}

// watch collects the terms that a lease holds until ctx ends.
func (o *termHolders) watch(ctx context.Context, l *Lease) {
	for ctx.Err() == nil {
		if term, is := l.Held(); is {
			o.mu.Lock()
			if o.incarnations == nil {
				o.incarnations = make(map[uint64]map[string]bool)
			}
			if o.incarnations[term] == nil {
				o.incarnations[term] = make(map[string]bool)
			}
			o.incarnations[term][l.Self] = true
			o.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestONENoTermIsGivenTwiceByARestoredStore guards against one term held by two incarnations: the store is
// restored from a backup with the record of the term before, which was released or whose holder died, while
// the holder of the last term continues or is cut off.
func TestONENoTermIsGivenTwiceByARestoredStore(t *testing.T) {
	for name, renewed := range map[string]bool{"a released record": false, "a record of a dead holder": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *fakeStore) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var terms termHolders
				first := Stored{Record: Record{Term: 1}, Version: 5}
				if renewed {
					first.Record.Holder, first.Record.Address, first.Record.Renewed = "dead", "dead", m.now()
				}
				m.set(func() { m.stored = first })
				b, stopB := run(t, m, "b")
				defer stopB()
				go terms.watch(ctx, b)
				for range 40 {
					b.Suspect()
					time.Sleep(100 * time.Millisecond)
				}
				if !held(b) {
					t.Fatal("b does not hold the lease")
				}
				m.set(func() { m.down = true })
				time.Sleep(500 * time.Millisecond)
				m.restore(first)
				m.set(func() { m.down = false })
				c, stopC := run(t, m, "c")
				defer stopC()
				go terms.watch(ctx, c)
				for range 100 {
					c.Suspect()
					time.Sleep(100 * time.Millisecond)
				}
				if held(b) == held(c) {
					t.Errorf("b holds the lease: %t, c: %t", held(b), held(c))
				}
				cancel()
				time.Sleep(time.Second) // lets the calls of termHolders.watch end
				terms.mu.Lock()
				defer terms.mu.Unlock()
				for term, incarnations := range terms.incarnations {
					if len(incarnations) > 1 {
						t.Errorf("ONE: term %d was held by %v", term, incarnations)
					}
				}
			})
		})
	}
}

// partitionedStore is one node's connection to the store, which can be cut.
type partitionedStore struct {
	*fakeStore
	mu  sync.Mutex
	cut bool
}

func (c *partitionedStore) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *partitionedStore) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *partitionedStore) Read(ctx context.Context) (Stored, error) {
	if c.isCut() {
		return Stored{}, errUnavailable
	}
	return c.fakeStore.Read(ctx)
}

func (c *partitionedStore) Write(ctx context.Context, r Record, over Stored) (Stored, error) {
	if c.isCut() {
		return Stored{}, errUnavailable
	}
	return c.fakeStore.Write(ctx, r, over)
}

// TestONENobodyTakesARestoredRecordWhileItsHolderMayHold guards against a takeover of a record in a restored
// store that looks expired or released, although its holder renewed the lease a moment before the restore.
func TestONENobodyTakesARestoredRecordWhileItsHolderMayHold(t *testing.T) {
	for name, change := range map[string]func(r *Record){
		"expired":                        func(r *Record) { r.Renewed -= 10 * Expiry.Milliseconds() },
		"released":                       func(r *Record) { r.Holder, r.Address = "", "" },
		"of an earlier incarnation of c": func(r *Record) { r.Holder = "c/before" },
		"the term before":                func(r *Record) { r.Holder, r.Term = "dead", r.Term-1 },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *fakeStore) {
				link := &partitionedStore{fakeStore: m}
				a, stopA := runLease(t, &Lease{Store: link, Self: "a", Address: "a"})
				defer stopA()
				time.Sleep(time.Second)
				c, stopC := runLease(t, &Lease{Store: m, Self: "c/now", IncarnationPrefix: "c/", Address: "c"})
				defer stopC()
				time.Sleep(5 * time.Second)
				if !held(a) || held(c) {
					t.Fatalf("a holds the lease: %t, c: %t", held(a), held(c))
				}
				backup := m.stored
				change(&backup.Record)
				link.setCut(true)
				m.restore(backup)
				both, took := false, time.Duration(0)
				for began := time.Now(); time.Since(began) < 10*time.Second && !held(c); took = time.Since(began) {
					c.Suspect()
					time.Sleep(10 * time.Millisecond)
					both = both || held(a) && held(c)
				}
				if both {
					t.Error("ONE: both nodes held the lease at the same time")
				}
				if took > 2*Expiry {
					t.Errorf("nobody held the lease for %v", took)
				}
			})
		})
	}
}

// TestTheHolderGoesOnInANewTermOfANewEpoch checks that a holder takes a new term after the store was
// restored, and keeps the intents that the backup lacks.
func TestTheHolderGoesOnInANewTermOfANewEpoch(t *testing.T) {
	for name, clockBack := range map[string]time.Duration{"the clock goes on": 0, "the clock goes back": time.Hour} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *fakeStore) {
				m.started = m.started.Add(-2 * time.Hour)
				a, stop := run(t, m, "a")
				defer stop()
				time.Sleep(time.Second)
				backup := m.stored
				time.Sleep(2 * time.Second)
				if _, err := a.Commit(t.Context(), []Intent{{Server: "s", Need: "lost"}}); err != nil {
					t.Fatal(err)
				}
				m.restore(backup)
				m.set(func() { m.started = m.started.Add(clockBack) })
				time.Sleep(2 * Renewal)
				term, is := a.Held()
				if !is || term <= epochTerms {
					t.Errorf("a holds the lease: %t, in term %d", is, term)
				}
				record, _ := a.Current()
				if record.Epoch != 1 || len(record.Intents) != 1 || record.Intents[0].Need != "lost" {
					t.Errorf("the record is %+v", record)
				}
				b, stopB := run(t, m, "b")
				defer stopB()
				for range 50 {
					b.Suspect()
					time.Sleep(100 * time.Millisecond)
				}
				if !held(a) || held(b) {
					t.Errorf("a holds the lease: %t, b: %t", held(a), held(b))
				}
				stop()
				for range 50 {
					b.Suspect()
					time.Sleep(100 * time.Millisecond)
				}
				if !held(b) {
					t.Error("b does not hold the lease after a has stopped")
				}
			})
		})
	}
}

// TestAHolderThatWaitedForAnEpochHoldsFromThenOn has a holder whose hold time is over when the store is
// restored. It must wait for Expiry before it takes a new term, and must write a record that does not look
// expired.
func TestAHolderThatWaitedForAnEpochHoldsFromThenOn(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		a, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", AllowOffline: func() bool { return true }})
		defer stop()
		time.Sleep(2 * time.Second)
		backup := m.stored
		m.set(func() { m.down = true })
		time.Sleep(Hold + time.Second)
		m.set(func() { m.down = false })
		m.restore(backup)
		for began := time.Now(); time.Since(began) < 2*Expiry; time.Sleep(10 * time.Millisecond) {
			record, _ := a.Current()
			if record.Epoch == 0 {
				continue
			}
			if waited := time.Since(began); waited < Expiry {
				t.Errorf("the node took the lease after %v, though another node may still hold it", waited)
			}
			if age := m.now() - record.Renewed; age > Renewal.Milliseconds() {
				t.Errorf("the record of its new term is %d ms old", age)
			}
			return
		}
		t.Error("the node does not hold the lease")
	})
}

// TestStateThatABackupLacksIsWrittenBack checks that the holder soon writes evidence that the backup lacks to
// the restored store, so that it outlives all nodes again, and that nobody holds the lease by this write.
func TestStateThatABackupLacksIsWrittenBack(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		known := []quarantine.Aged{{Evidence: quarantine.Evidence{Request: quarantine.FingerprintOf("POST", "h", "/", nil)}}}
		a, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", AllowOffline: func() bool { return true },
			Quarantine: func([]quarantine.Aged) []quarantine.Aged { return known }})
		defer stop()
		backup := m.snapshot()
		time.Sleep(2 * time.Second)
		m.set(func() { m.down = true })
		time.Sleep(Hold + time.Second)
		m.restore(backup)
		m.set(func() { m.down = false })
		time.Sleep(Renewal + 2*pollInterval)
		back := m.snapshot()
		if len(back.Record.Quarantine) != 1 || back.Record.Term != 1 || back.Record.Holder != "a" {
			t.Errorf("the stored record is %+v", back.Record)
		}
		if !back.fromEarlierEpoch() {
			t.Error("the written record is of the new epoch, so that it grants the lease")
		}
		c, stopC := run(t, m, "c")
		defer stopC()
		for began := time.Now(); time.Since(began) < 3*Expiry; time.Sleep(50 * time.Millisecond) {
			c.Suspect()
		}
		if term, is := a.Held(); !is || term <= epochTerms || held(c) {
			t.Errorf("a holds the lease: %t, in term %d; c: %t", is, term, held(c))
		}
	})
}

// TestAWriteOverARestoredRecordGrantsNoLease has a backup with exactly the record that a holder's write
// expects. The holder was cut off for longer than its hold time, and others may have held the lease in terms
// that the restored store lacks.
func TestAWriteOverARestoredRecordGrantsNoLease(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		link := &partitionedStore{fakeStore: m}
		a, stop := runLease(t, &Lease{Store: link, Self: "a", Address: "a"})
		defer stop()
		time.Sleep(2 * time.Second)
		link.setCut(true)
		time.Sleep(Hold + time.Second)
		m.restore(m.snapshot())
		link.setCut(false)
		for began := time.Now(); time.Since(began) < Expiry; time.Sleep(10 * time.Millisecond) {
			if held(a) {
				t.Fatalf("the node holds the lease %v after the restore", time.Since(began))
			}
		}
		time.Sleep(2 * Renewal)
		if term, is := a.Held(); !is || term <= epochTerms {
			t.Errorf("after the wait the node holds the lease: %t, in term %d", is, term)
		}
	})
}

// TestONEAFirstStartEndsWithTheFirstHolder has a backup from before the first record. A node that started
// with the site and has seen a holder, or got its announcement, must wait after the restore as after any
// other.
func TestONEAFirstStartEndsWithTheFirstHolder(t *testing.T) {
	for name, announced := range map[string]bool{"it read the record": false, "the holder announced it": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *fakeStore) {
				link := &partitionedStore{fakeStore: m}
				a, stopA := runLease(t, &Lease{Store: link, Self: "a", Address: "a", FirstStart: true})
				defer stopA()
				time.Sleep(2 * time.Second)
				c := &Lease{Store: m, Self: "c", Address: "c", FirstStart: true}
				if announced {
					c.Announced(m.snapshot().Record)
					link.setCut(true)
					m.restore(Stored{})
				}
				c, stopC := runLease(t, c)
				defer stopC()
				time.Sleep(time.Second)
				if !announced {
					link.setCut(true)
					m.restore(Stored{})
				}
				for began := time.Now(); time.Since(began) < Hold; time.Sleep(10 * time.Millisecond) {
					c.Suspect()
					if held(a) && held(c) {
						t.Fatal("ONE: both nodes hold the lease")
					}
				}
			})
		})
	}
}

// TestATakeoverAfterARestoreKeepsKnownIntents checks that a node that takes over after a restore counts the
// record and the intents that it read before the restore, though the backup lacks them.
func TestATakeoverAfterARestoreKeepsKnownIntents(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		older := Stored{Record: Record{Term: 1, Holder: "dead", Address: "dead"}, Version: 3}
		m.set(func() {
			m.stored = Stored{Record: Record{Term: 2, Holder: "last", Address: "last", Renewed: m.now(),
				Intents: []Intent{{Server: "s", Need: "lost", At: m.now()}}}, Version: 9}
		})
		c, stop := run(t, m, "c")
		defer stop()
		time.Sleep(100 * time.Millisecond)
		m.restore(older)
		for began := time.Now(); time.Since(began) < 3*Expiry && !held(c); time.Sleep(10 * time.Millisecond) {
			c.Suspect()
		}
		if before := c.Previous(); !held(c) || before.Holder != "last" || before.Term != 2 || len(before.Intents) != 1 {
			t.Errorf("c holds the lease: %t, after the record %+v", held(c), before)
		}
	})
}

// TestTermsRiseOverEpochs checks that terms rise with every restore, also if each time the same old backup is
// restored.
func TestTermsRiseOverEpochs(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		a, stop := run(t, m, "a")
		defer stop()
		time.Sleep(time.Second)
		first := m.stored
		last := uint64(0)
		for range 5 {
			term, is := a.Held()
			if !is || term <= last {
				t.Fatalf("a holds the lease: %t, in term %d after %d", is, term, last)
			}
			last = term
			m.restore(first)
			time.Sleep(2 * Renewal)
		}
	})
}
