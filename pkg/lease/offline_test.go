package lease

import (
	"testing"
	"time"
)

// intentsFor counts the intents of a record for a server.
func intentsFor(r Record, server string) int {
	n := 0
	for _, i := range r.Intents {
		if i.Server == server {
			n++
		}
	}
	return n
}

// goOn starts a lease whose holder, a, may go on without the store.
func goOn(t *testing.T, m *memory) (*Lease, func()) {
	l, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", GoOn: func() bool { return true }})
	return l, stop
}

// TestAHolderGoesOnWithoutTheStore: while the store is down the term goes on without a
// gap, orders are permitted at once, and their intents are in the record once it is back.
func TestAHolderGoesOnWithoutTheStore(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		l, stop := goOn(t, m)
		defer stop()
		time.Sleep(time.Second)
		term, _ := l.Held()
		m.set(func() { m.down = true })
		for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
			if now, ok := l.Held(); !ok || now != term {
				t.Fatalf("not held %v after the store went away", time.Since(began))
			}
		}
		began := time.Now()
		permit, err := l.Commit(t.Context(), []Intent{{Server: "s", Need: "m"}})
		if err != nil || !permit.Offline || !permit.Valid() || permit.Term != term || time.Since(began) > 0 {
			t.Errorf("after %v: permit %+v, %v", time.Since(began), permit, err)
		}
		m.set(func() { m.down = false })
		time.Sleep(2 * time.Second)
		if n := intentsFor(m.stored.Record, "s"); n != 1 {
			t.Errorf("the intent stands %d times in the record", n)
		}
		if now, ok := l.Held(); !ok || now != term || m.stored.Record.Term != term {
			t.Errorf("term %d, held %t, in the record %d; it was %d", now, ok, m.stored.Record.Term, term)
		}
		permit, err = l.Commit(t.Context(), []Intent{{Server: "s", Need: "m"}})
		if err != nil || permit.Offline {
			t.Errorf("with the store: permit %+v, %v", permit, err)
		}
		if n := intentsFor(m.stored.Record, "s"); n != 2 {
			t.Errorf("two intents stand %d times in the record", n)
		}
	})
}

// TestAMomentOfThrottlingIsWaitedFor: intents are written first as long as the store fails
// for less than offlineAfter.
func TestAMomentOfThrottlingIsWaitedFor(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		l, stop := goOn(t, m)
		defer stop()
		time.Sleep(time.Second)
		m.set(func() { m.down = true })
		for began := time.Now(); time.Since(began) < offlineAfter; time.Sleep(50 * time.Millisecond) {
			if permit, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err == nil {
				t.Fatalf("%v after the store went away: permit %+v", time.Since(began), permit)
			}
		}
	})
}

// TestAHolderThatMayNotGoOnStops although it did go on before.
func TestAHolderThatMayNotGoOnStops(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		may := true
		l, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", GoOn: func() bool { return may }})
		defer stop()
		time.Sleep(time.Second)
		m.set(func() { m.down = true })
		time.Sleep(5 * time.Second)
		may = false
		if held(l) {
			t.Error("still held though most nodes don't follow")
		}
		if permit, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err == nil {
			t.Errorf("permit %+v", permit)
		}
	})
}

// TestALaterTermEndsAHolderWithoutTheStore, however it hears of it, and it hands over what
// the record does not tell.
func TestALaterTermEndsAHolderWithoutTheStore(t *testing.T) {
	for name, tell := range map[string]func(l *Lease, r Record){
		"announced": func(l *Lease, r Record) { l.Announced(r) },
		"asked":     func(l *Lease, r Record) { l.Yield(r) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *memory) {
				l, stop := goOn(t, m)
				defer stop()
				time.Sleep(time.Second)
				term, _ := l.Held()
				m.set(func() { m.down = true })
				time.Sleep(5 * time.Second)
				if _, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err != nil {
					t.Fatal(err)
				}
				next := Record{Term: term + 1, Holder: "b", Address: "b"}
				tell(l, next)
				if held(l) {
					t.Error("still held beside a later term")
				}
				if permit, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err == nil {
					t.Errorf("permit %+v", permit)
				}
				h := l.Yield(next)
				if h.Holder != "a" || h.Term != term || len(h.Intents) != 1 || h.Intents[0].Server != "s" {
					t.Errorf("handed over: %+v", h)
				}
			})
		})
	}
}

// TestAReleaseTellsTheUnwrittenIntents: the next holder asks nobody.
func TestAReleaseTellsTheUnwrittenIntents(t *testing.T) {
	bubble(t, func(t *testing.T, m *memory) {
		l, stop := goOn(t, m)
		time.Sleep(time.Second)
		m.set(func() { m.down = true })
		time.Sleep(5 * time.Second)
		if _, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err != nil {
			t.Fatal(err)
		}
		m.set(func() { m.down = false })
		stop()
		if m.stored.Record.Holder != "" || intentsFor(m.stored.Record, "s") != 1 {
			t.Errorf("released: %+v", m.stored.Record)
		}
	})
}
