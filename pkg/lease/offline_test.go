package lease

import (
	"testing"
	"time"
)

// intentsFor returns the number of intents of a record for a server.
func intentsFor(r Record, server string) int {
	n := 0
	for _, i := range r.Intents {
		if i.Server == server {
			n++
		}
	}
	return n
}

// runOfflineHolder starts a lease whose holder, a, may continue offline.
func runOfflineHolder(t *testing.T, m *fakeStore) (*Lease, func()) {
	l, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", AllowOffline: func() bool { return true }})
	return l, stop
}

// TestAHolderGoesOnWithoutTheStore checks that a term continues without a gap while the store is down, that
// orders are permitted at once, and that their intents are in the record once the store answers again.
func TestAHolderGoesOnWithoutTheStore(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		l, stop := runOfflineHolder(t, m)
		defer stop()
		time.Sleep(time.Second)
		term, _ := l.Held()
		m.set(func() { m.down = true })
		for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
			if now, ok := l.Held(); !ok || now != term {
				t.Fatalf("the lease is not held %v after the store became unavailable", time.Since(began))
			}
		}
		began := time.Now()
		permit, err := l.Commit(t.Context(), []Intent{{Server: "s", Need: "m"}})
		if err != nil || !permit.Offline || !permit.Valid() || permit.Term != term || time.Since(began) > 0 {
			t.Errorf("Commit returned after %v: permit %+v, error %v", time.Since(began), permit, err)
		}
		m.set(func() { m.down = false })
		time.Sleep(2 * time.Second)
		if n := intentsFor(m.stored.Record, "s"); n != 1 {
			t.Errorf("the record has the intent %d times, want once", n)
		}
		if now, ok := l.Held(); !ok || now != term || m.stored.Record.Term != term {
			t.Errorf("the node has term %d, held %t, and the record has term %d; want term %d", now, ok, m.stored.Record.Term, term)
		}
		permit, err = l.Commit(t.Context(), []Intent{{Server: "s", Need: "m"}})
		if err != nil || permit.Offline {
			t.Errorf("Commit with the store available returned permit %+v, error %v", permit, err)
		}
		if n := intentsFor(m.stored.Record, "s"); n != 2 {
			t.Errorf("the record has %d intents, want 2", n)
		}
	})
}

// TestAMomentOfThrottlingIsWaitedFor checks that no order is permitted before its intent is written while the
// store has failed for less than offlineAfter.
func TestAMomentOfThrottlingIsWaitedFor(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		l, stop := runOfflineHolder(t, m)
		defer stop()
		time.Sleep(time.Second)
		m.set(func() { m.down = true })
		for began := time.Now(); time.Since(began) < offlineAfter; time.Sleep(50 * time.Millisecond) {
			if permit, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err == nil {
				t.Fatalf("%v after the store became unavailable Commit returned permit %+v", time.Since(began), permit)
			}
		}
	})
}

// TestAHolderThatMayNotGoOnStops checks that a holder that continues offline stops once AllowOffline returns
// false.
func TestAHolderThatMayNotGoOnStops(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		may := true
		l, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", AllowOffline: func() bool { return may }})
		defer stop()
		time.Sleep(time.Second)
		m.set(func() { m.down = true })
		time.Sleep(5 * time.Second)
		may = false
		if held(l) {
			t.Error("the lease is still held though AllowOffline returns false")
		}
		if permit, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err == nil {
			t.Errorf("Commit returned permit %+v without an error", permit)
		}
	})
}

// TestALaterTermEndsAHolderWithoutTheStore checks that a holder that continues offline stops as soon as it
// learns of a later term, by an announcement or by Yield, and hands over the intents that are not in the
// record.
func TestALaterTermEndsAHolderWithoutTheStore(t *testing.T) {
	for name, tell := range map[string]func(l *Lease, r Record){
		"announced": func(l *Lease, r Record) { l.Announced(r) },
		"asked":     func(l *Lease, r Record) { l.Yield(r) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *fakeStore) {
				l, stop := runOfflineHolder(t, m)
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
					t.Error("the lease is still held though there is a later term")
				}
				if permit, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err == nil {
					t.Errorf("Commit returned permit %+v without an error", permit)
				}
				h := l.Yield(next)
				if h.Holder != "a" || h.Term != term || len(h.Intents) != 1 || h.Intents[0].Server != "s" {
					t.Errorf("handover is %+v", h)
				}
			})
		})
	}
}

// TestReleaseWritesUnwrittenIntents checks that the record of a release has the intents of orders given
// offline, as the next holder does not ask for them then.
func TestReleaseWritesUnwrittenIntents(t *testing.T) {
	bubble(t, func(t *testing.T, m *fakeStore) {
		l, stop := runOfflineHolder(t, m)
		time.Sleep(time.Second)
		m.set(func() { m.down = true })
		time.Sleep(5 * time.Second)
		if _, err := l.Commit(t.Context(), []Intent{{Server: "s"}}); err != nil {
			t.Fatal(err)
		}
		m.set(func() { m.down = false })
		stop()
		if m.stored.Record.Holder != "" || intentsFor(m.stored.Record, "s") != 1 {
			t.Errorf("the released record is %+v", m.stored.Record)
		}
	})
}
