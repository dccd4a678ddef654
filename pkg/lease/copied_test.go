package lease

import (
	"context"
	"sync"
	"testing"
	"time"
)

// comeBack has the store hold what it did when a copy was made.
func (m *memory) comeBack(copied Stored) { m.set(func() { m.stored = copied }) }

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
				m.comeBack(first)
				b, stopB := run(t, m, "b")
				defer stopB()
				go terms.watch(ctx, b)
				time.Sleep(4 * time.Second)
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
