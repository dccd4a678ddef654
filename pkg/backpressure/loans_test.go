package backpressure

import (
	"testing"
	"time"
)

func TestMorePlacesAreLentThanAServerHas(t *testing.T) {
	var s Slots
	now := time.Unix(1000, 0)
	s.Begin(now, 1)
	asks := []Ask{{Server: "a", Limit: 1, Places: 2, Run: time.Second, Left: 5 * time.Second}, {Server: "b", Limit: 1, Places: 1, Run: time.Second, Left: 5 * time.Second}}
	if slot := s.Take(now.Add(2*time.Second), asks, MaxWait); slot.Granted {
		t.Error("lent while requests of an earlier term may run")
	}
	now = now.Add(loansOfLastTerm * time.Second)
	var loans []Slot
	lent := map[string]int{}
	for range 5 {
		if slot := s.Take(now, asks, MaxWait); slot.Granted {
			loans = append(loans, slot)
			lent[slot.Server]++
		}
	}
	if lent["a"] != 2 || lent["b"] != 1 {
		t.Fatalf("lent %v", lent)
	}
	s.Return(2, loans[0].Server, loans[0].Loan) // of another term
	s.Return(1, loans[0].Server, 1<<40)
	if s.Take(now, asks, MaxWait).Granted {
		t.Error("a place is lent twice")
	}
	s.Return(1, loans[0].Server, loans[0].Loan)
	s.Return(1, loans[0].Server, loans[0].Loan)
	if !s.Take(now, asks, MaxWait).Granted || s.Take(now, asks, MaxWait).Granted {
		t.Error("not one place is lent again after one was returned twice")
	}
	if later := now.Add(5*time.Second + loanMargin); !s.Take(later, asks, MaxWait).Granted {
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
		if s.Take(now.Add(at), []Ask{ask}, MaxWait).Granted {
			granted++
		}
	}
	if granted > 9 {
		t.Errorf("%d loans in 4 s at a limit of 2 a second", granted)
	}
}
