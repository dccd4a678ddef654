package backpressure

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// done is the context of a question that does not wait.
var done = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

func TestMorePlacesAreLentThanAServerHas(t *testing.T) {
	var s Slots
	now := time.Unix(1000, 0)
	s.Begin(now, 1)
	asks := []Ask{{Server: "a", Limit: 1, Places: 2, Run: time.Second, Left: 5 * time.Second}, {Server: "b", Limit: 1, Places: 1, Run: time.Second, Left: 5 * time.Second}}
	if slot := s.Borrow(done, now.Add(2*time.Second), asks); slot.Granted {
		t.Error("lent while requests of an earlier term may run")
	}
	now = now.Add(loansOfLastTerm * time.Second)
	var loans []Slot
	lent := map[string]int{}
	for range 5 {
		if slot := s.Borrow(done, now, asks); slot.Granted {
			loans = append(loans, slot)
			lent[slot.Server]++
		}
	}
	if lent["a"] != 2 || lent["b"] != 1 {
		t.Fatalf("lent %v", lent)
	}
	s.Return(now, 2, loans[0].Server, loans[0].Loan) // of another term
	s.Return(now, 1, loans[0].Server, 1<<40)
	if s.Borrow(done, now, asks).Granted {
		t.Error("a place is lent twice")
	}
	s.Return(now, 1, loans[0].Server, loans[0].Loan)
	s.Return(now, 1, loans[0].Server, loans[0].Loan)
	if !s.Borrow(done, now, asks).Granted || s.Borrow(done, now, asks).Granted {
		t.Error("not one place is lent again after one was returned twice")
	}
	if later := now.Add(5*time.Second + loanMargin); !s.Borrow(done, later, asks).Granted {
		t.Error("loans that were not returned never end")
	}
}

func TestLoansExceedAnAnnouncedLimit(t *testing.T) {
	var s Slots
	now := time.Unix(1000, 0)
	s.Begin(now, 1)
	ask := Ask{Server: "a", Limit: 2, Announced: true, Places: 50, Left: time.Second}
	granted := 0
	for at := 2 * time.Second; at < 6*time.Second; at += 10 * time.Millisecond {
		if s.Borrow(done, now.Add(at), []Ask{ask}).Granted {
			granted++
		}
	}
	if granted > 9 {
		t.Errorf("%d loans in 4 s at a limit of 2 a second", granted)
	}
}

func TestPlacesStayUnusedWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Slots
		s.Begin(time.Now(), 1)
		time.Sleep(2 * time.Second)
		asks := []Ask{{Server: "a", Places: 1, Left: time.Second}, {Server: "b", Places: 1, Left: time.Second}}
		first, second := s.Borrow(t.Context(), time.Now(), asks), s.Borrow(t.Context(), time.Now(), asks)
		lent := make(chan Slot)
		patient, leave := context.WithCancel(t.Context())
		for _, ctx := range []context.Context{patient, t.Context(), t.Context()} {
			go func() { lent <- s.Borrow(ctx, time.Now(), asks) }()
			synctest.Wait()
		}
		leave()
		if slot := <-lent; slot.Granted {
			t.Error("a request that left got a place")
		}
		began := time.Now()
		for _, returned := range []Slot{second, first} {
			s.Return(time.Now(), 1, returned.Server, returned.Loan)
			if slot := <-lent; slot.Server != returned.Server {
				t.Errorf("%q was returned, %q is lent", returned.Server, slot.Server)
			}
		}
		if waited := time.Since(began); waited > 0 {
			t.Errorf("places that were returned stayed unused for %v", waited)
		}
		if slot := s.Borrow(done, time.Now(), asks); slot.Granted {
			t.Error("a place is lent twice")
		}
	})
}
