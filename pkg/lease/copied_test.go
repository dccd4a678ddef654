package lease

import (
	"context"
	"sync"
	"testing"
	"time"

	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/revision"
)

// comeBack has the store hold what it did when a copy was made, in the next epoch.
func (m *memory) comeBack(copied Stored) {
	m.set(func() {
		copied.Version, _ = revision.New(m.stored.Version.Epoch()+1, copied.Version.Number())
		m.stored = copied
	})
}

// copied returns what the store holds.
func (m *memory) copied() Stored {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stored
}

// termsOf notes which lives held which terms.
type termsOf struct {
	mu    sync.Mutex
	lives map[uint64]map[string]bool
}

// watch notes the terms of a lease until the test ends.
func (o *termsOf) watch(ctx context.Context, l *Lease) {
	for ctx.Err() == nil {
		if term, is := l.Held(); is {
			o.mu.Lock()
			if o.lives == nil {
				o.lives = make(map[uint64]map[string]bool)
			}
			if o.lives[term] == nil {
				o.lives[term] = make(map[string]bool)
			}
			o.lives[term][l.Self] = true
			o.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestONENoTermIsGivenTwiceByACopiedStore: the copy has the record of the term before, which was released or whose
// holder is dead, and the holder of the last term goes on or is cut off.
func TestONENoTermIsGivenTwiceByACopiedStore(t *testing.T) {
	for name, renewed := range map[string]bool{"a released record": false, "a record of a dead holder": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *memory) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var terms termsOf
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
				m.comeBack(first)
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
				time.Sleep(time.Second) // for those that note to end
				terms.mu.Lock()
				defer terms.mu.Unlock()
				for term, lives := range terms.lives {
					if len(lives) > 1 {
						t.Errorf("ONE: term %d was held by %v", term, lives)
					}
				}
			})
		})
	}
}

// cutStore is a node's way to the store, which may be cut.
type cutStore struct {
	*memory
	mu  sync.Mutex
	cut bool
}

func (c *cutStore) away() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *cutStore) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cutStore) Read(ctx context.Context) (Stored, error) {
	if c.away() {
		return Stored{}, errAway
	}
	return c.memory.Read(ctx)
}

func (c *cutStore) Write(ctx context.Context, r Record, over Stored) (Stored, error) {
	if c.away() {
		return Stored{}, errAway
	}
	return c.memory.Write(ctx, r, over)
}

// TestONENobodyTakesTheTermOfACopyWhileItsHolderMayHold: the record of a copy looks long expired, or released, though its
// holder renewed the lease a moment before the store went.
func TestONENobodyTakesTheTermOfACopyWhileItsHolderMayHold(t *testing.T) {
	for name, change := range map[string]func(r *Record){
		"expired":         func(r *Record) { r.Renewed -= 10 * Expiry.Milliseconds() },
		"released":        func(r *Record) { r.Holder, r.Address = "", "" },
		"of an own life":  func(r *Record) { r.Holder = "c/before" },
		"the term before": func(r *Record) { r.Holder, r.Term = "dead", r.Term-1 },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *memory) {
				way := &cutStore{memory: m}
				a, stopA := runLease(t, &Lease{Store: way, Self: "a", Address: "a"})
				defer stopA()
				time.Sleep(time.Second)
				c, stopC := runLease(t, &Lease{Store: m, Self: "c/now", Lives: "c/", Address: "c"})
				defer stopC()
				time.Sleep(5 * time.Second)
				if !held(a) || held(c) {
					t.Fatalf("a holds the lease: %t, c: %t", held(a), held(c))
				}
				copied := m.stored
				change(&copied.Record)
				way.setCut(true)
				m.comeBack(copied)
				both, took := false, time.Duration(0)
				for began := time.Now(); time.Since(began) < 10*time.Second && !held(c); took = time.Since(began) {
					c.Suspect()
					time.Sleep(10 * time.Millisecond)
					both = both || held(a) && held(c)
				}
				if both {
					t.Error("ONE: both held the lease at a time")
				}
				if took > 2*Expiry {
					t.Errorf("nobody held the lease for %v", took)
				}
			})
		})
	}
}

// TestTheHolderGoesOnInANewTermOfANewEpoch, with what it was about to do before.
func TestTheHolderGoesOnInANewTermOfANewEpoch(t *testing.T) {
	for name, clockBack := range map[string]time.Duration{"the clock goes on": 0, "the clock goes back": time.Hour} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *memory) {
				m.started = m.started.Add(-2 * time.Hour)
				a, stop := run(t, m, "a")
				defer stop()
				time.Sleep(time.Second)
				copied := m.stored
				time.Sleep(2 * time.Second)
				if _, err := a.Commit(t.Context(), []Intent{{Server: "s", Need: "lost"}}); err != nil {
					t.Fatal(err)
				}
				m.comeBack(copied)
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

// TestAHolderThatWaitedForAnEpochHoldsFromThenOn: its hold was over as the store came back, and its record is not one
// that looks expired as it is written.
func TestAHolderThatWaitedForAnEpochHoldsFromThenOn(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		a, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", GoOn: func() bool { return true }})
		defer stop()
		time.Sleep(2 * time.Second)
		copied := m.stored
		m.set(func() { m.down = true })
		time.Sleep(Hold + time.Second)
		m.set(func() { m.down = false })
		m.comeBack(copied)
		for began := time.Now(); time.Since(began) < 2*Expiry; time.Sleep(10 * time.Millisecond) {
			record, _ := a.Current()
			if record.Epoch == 0 {
				continue
			}
			if waited := time.Since(began); waited < Expiry {
				t.Errorf("it took the lease after %v, though another one may have held it", waited)
			}
			if age := m.now() - record.Renewed; age > Renewal.Milliseconds() {
				t.Errorf("the record of its new term is %d ms old", age)
			}
			return
		}
		t.Error("it does not hold the lease")
	})
}

// TestWhatACopyLacksIsWrittenBackWhileNobodyHoldsTheLease: evidence that the holder has outlives all nodes again within a
// moment, and nobody holds the lease by it.
func TestWhatACopyLacksIsWrittenBackWhileNobodyHoldsTheLease(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		known := []quarantine.Aged{{Evidence: quarantine.Evidence{Request: quarantine.FingerprintOf("POST", "h", "/", nil)}}}
		a, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", GoOn: func() bool { return true },
			Quarantine: func([]quarantine.Aged) []quarantine.Aged { return known }})
		defer stop()
		copied := m.copied()
		time.Sleep(2 * time.Second)
		m.set(func() { m.down = true })
		time.Sleep(Hold + time.Second)
		m.comeBack(copied)
		m.set(func() { m.down = false })
		time.Sleep(Renewal + 2*lookPause)
		back := m.copied()
		if len(back.Record.Quarantine) != 1 || back.Record.Term != 1 || back.Record.Holder != "a" {
			t.Errorf("the store has %+v", back.Record)
		}
		if !back.copied() {
			t.Error("somebody holds the lease by what was written back")
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

// TestAWriteOverACopyIsNoHold: the copy has just the record that a write expects, whose holder was cut off for longer than its
// hold; others may have held the lease in what the store lost.
func TestAWriteOverACopyIsNoHold(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		way := &cutStore{memory: m}
		a, stop := runLease(t, &Lease{Store: way, Self: "a", Address: "a"})
		defer stop()
		time.Sleep(2 * time.Second)
		way.setCut(true)
		time.Sleep(Hold + time.Second)
		m.comeBack(m.copied())
		way.setCut(false)
		for began := time.Now(); time.Since(began) < Expiry; time.Sleep(10 * time.Millisecond) {
			if held(a) {
				t.Fatalf("it holds the lease %v after the store came back", time.Since(began))
			}
		}
		time.Sleep(2 * Renewal)
		if term, is := a.Held(); !is || term <= epochTerms {
			t.Errorf("later it holds the lease: %t, in term %d", is, term)
		}
	})
}

// TestONEAFirstStartEndsWithTheFirstHolder: a copy from before the first record is waited out like any other by nodes that
// started with the site and have seen a holder since, or were told of one.
func TestONEAFirstStartEndsWithTheFirstHolder(t *testing.T) {
	for name, told := range map[string]bool{"it saw the record": false, "the holder told it": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *memory) {
				way := &cutStore{memory: m}
				a, stopA := runLease(t, &Lease{Store: way, Self: "a", Address: "a", First: true})
				defer stopA()
				time.Sleep(2 * time.Second)
				c := &Lease{Store: m, Self: "c", Address: "c", First: true}
				if told {
					c.Announced(m.copied().Record)
					way.setCut(true)
					m.comeBack(Stored{})
				}
				c, stopC := runLease(t, c)
				defer stopC()
				time.Sleep(time.Second)
				if !told {
					way.setCut(true)
					m.comeBack(Stored{})
				}
				for began := time.Now(); time.Since(began) < Hold; time.Sleep(10 * time.Millisecond) {
					c.Suspect()
					if held(a) && held(c) {
						t.Fatal("ONE: both hold the lease")
					}
				}
			})
		})
	}
}

// TestATakerKnowsMoreThanTheCopy: what it saw of the record before the store went counts, also its intents.
func TestATakerKnowsMoreThanTheCopy(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		older := Stored{Record: Record{Term: 1, Holder: "dead", Address: "dead"}, Version: 3}
		m.set(func() {
			m.stored = Stored{Record: Record{Term: 2, Holder: "last", Address: "last", Renewed: m.now(),
				Intents: []Intent{{Server: "s", Need: "lost", At: m.now()}}}, Version: 9}
		})
		c, stop := run(t, m, "c")
		defer stop()
		time.Sleep(100 * time.Millisecond)
		m.comeBack(older)
		for began := time.Now(); time.Since(began) < 3*Expiry && !held(c); time.Sleep(10 * time.Millisecond) {
			c.Suspect()
		}
		if before := c.Before(); !held(c) || before.Holder != "last" || before.Term != 2 || len(before.Intents) != 1 {
			t.Errorf("it holds the lease: %t, after %+v", held(c), before)
		}
	})
}

// TestTermsRiseOverEpochs also where a copy is older than the last one.
func TestTermsRiseOverEpochs(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
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
			m.comeBack(first)
			time.Sleep(2 * Renewal)
		}
	})
}
