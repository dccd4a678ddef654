package backpressure

import (
	"context"
	"slices"
	"time"
)

// A brittle server falls over when it rejects too many requests, and it rejects what finds no place. So the
// holder lends its places: a request goes there only with the loan of a place, which is returned when the
// request has ended. However long requests take, no more of them are there than the server has places. A request
// that finds no place waits for one that is returned, so that none stays unused while requests wait.

const (
	// placeRetry is how long a request waits before it asks again for places that none will return.
	placeRetry = 15 * time.Millisecond
	// maxLoan is when a loan that was not returned ends: its node may have died.
	maxLoan = 30 * time.Second
	// loanMargin is how much longer than its request may take a loan lasts.
	loanMargin = 500 * time.Millisecond
	// loansOfLastTerm is how many times the mean run time the places of an earlier term may be in use.
	loansOfLastTerm = 3
	// maxLearnTime limits how long a new term lends no places.
	maxLearnTime = 10 * time.Second
)

// borrower is a request that waits for a place at any of some servers.
type borrower struct {
	asks []Ask
	loan chan Slot // has room for the loan
}

// Borrow lends a place at one of some brittle servers. If all are lent, it waits until one is returned, and grants none
// if ctx ends first. Those that wait get the places in the order of their calls.
func (s *Slots) Borrow(ctx context.Context, now time.Time, asks []Ask) Slot {
	if len(asks) == 0 {
		return Slot{}
	}
	b, loan := s.lendOrQueue(now, asks)
	if b == nil {
		return loan
	}
	select {
	case loan = <-b.loan:
		return loan
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeBorrower(b)
	select {
	case loan = <-b.loan: // lent as ctx ended
	default:
	}
	return loan
}

// lendOrQueue lends a place, or queues the request if it has to wait for one that is returned. Then it returns a
// borrower.
func (s *Slots) lendOrQueue(now time.Time, asks []Ask) (*borrower, Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	slot, allLent := s.lend(now, asks)
	if slot.Granted || !allLent {
		return nil, slot
	}
	b := &borrower{asks: asks, loan: make(chan Slot, 1)}
	for _, a := range asks {
		sched := s.schedule(now, a.Server)
		sched.borrowers = append(sched.borrowers, b)
	}
	return b, Slot{}
}

func (s *Slots) removeBorrower(b *borrower) {
	for _, a := range b.asks {
		if sched := s.schedules[a.Server]; sched != nil {
			sched.borrowers = slices.DeleteFunc(sched.borrowers, func(other *borrower) bool { return other == b })
		}
	}
}

// lendReturned lends the place that was returned at a server to the first request that waits for it.
func (s *Slots) lendReturned(now time.Time, sched *serverSchedule) {
	for _, b := range sched.borrowers {
		if loan, _ := s.lend(now, b.asks); loan.Granted {
			b.loan <- loan
			s.removeBorrower(b)
			return
		}
	}
}

// lend lends a place at the server of asks that has most free ones. If it lends none, it reports whether all places are
// lent, otherwise the time after which to ask again.
func (s *Slots) lend(now time.Time, asks []Ask) (loan Slot, allLent bool) {
	var best *serverSchedule
	var ask Ask
	most := 0
	allLent = true
	for _, a := range asks {
		sched := s.schedule(now, a.Server)
		if now.Before(s.began.Add(min(max(MaxWait, loansOfLastTerm*a.Run), maxLearnTime))) {
			allLent = false // requests with loans of an earlier term may still be there
			continue
		}
		if a.Announced && sched.nextSlot.After(now) {
			allLent = false
			continue
		}
		if free := a.Places - sched.lent(now); free > most {
			best, ask, most = sched, a, free
		}
	}
	if best == nil {
		return Slot{Wait: placeRetry}, allLent
	}
	if ask.Announced {
		best.nextSlot = best.nextSlot.Add(ask.Interval())
	}
	s.lastLoan++
	if best.loans == nil {
		best.loans = make(map[uint64]time.Time)
	}
	best.loans[s.lastLoan] = now.Add(min(ask.Left+loanMargin, maxLoan))
	return Slot{Granted: true, Server: ask.Server, Loan: s.lastLoan}, false
}

// lent returns the number of lent places, without the loans that are over.
func (sched *serverSchedule) lent(now time.Time) int {
	for id, until := range sched.loans {
		if !now.Before(until) {
			delete(sched.loans, id)
		}
	}
	return len(sched.loans)
}

// Return ends a loan of a term.
func (s *Slots) Return(now time.Time, term uint64, server string, loan uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sched := s.schedules[server]
	if sched == nil || term != s.term {
		return
	}
	delete(sched.loans, loan)
	s.lendReturned(now, sched)
}
