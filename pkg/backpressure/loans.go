package backpressure

import "time"

// A brittle server falls over when it rejects too many requests, and it rejects what finds no place. So the
// holder lends its places: a request goes there only with the loan of a place, which is returned when the
// request has ended. However long requests take, no more of them are there than the server has places.

const (
	// placeRetry is how long a request waits before it asks for a place again.
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

// lend lends a place at the server of asks that has most free ones.
func (s *Slots) lend(now time.Time, asks []Ask) Slot {
	var best *serverSchedule
	var ask Ask
	most := 0
	for _, a := range asks {
		sched := s.schedule(now, a.Server)
		if now.Before(s.began.Add(min(max(MaxWait, loansOfLastTerm*a.Run), maxLearnTime))) {
			continue // requests with loans of an earlier term may still be there
		}
		if a.Announced && sched.nextSlot.After(now) {
			continue
		}
		if free := a.Places - sched.lent(now); free > most {
			best, ask, most = sched, a, free
		}
	}
	if best == nil {
		return Slot{Wait: placeRetry}
	}
	if ask.Announced {
		best.nextSlot = best.nextSlot.Add(ask.Interval())
	}
	s.lastLoan++
	if best.loans == nil {
		best.loans = make(map[uint64]time.Time)
	}
	best.loans[s.lastLoan] = now.Add(min(ask.Left+loanMargin, maxLoan))
	return Slot{Granted: true, Server: ask.Server, Loan: s.lastLoan}
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
func (s *Slots) Return(term uint64, server string, loan uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sched := s.schedules[server]; sched != nil && term == s.term {
		delete(sched.loans, loan)
	}
}
