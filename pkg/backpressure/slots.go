package backpressure

import (
	"sync"
	"time"
)

// Slots grants times at which requests of any node may go to servers with a limit, spaced at the rate that
// each server allows. One node grants slots for all, for the length of its term. A term may follow that of
// another node whose last slots still lie in the future. The zero value is ready to use after Begin. Safe
// for concurrent use.
//
// It is designed for the case that a server, or all servers of a service, are overloaded and every node has
// more requests for them than they accept. Each request gets a slot within MaxWait or is rejected at once.
type Slots struct {
	mu        sync.Mutex
	term      uint64
	began     time.Time
	schedules map[string]*serverSchedule
	sweptAt   time.Time
	lastLoan  uint64
}

// serverSchedule holds the granted slots of one server.
type serverSchedule struct {
	nextSlot   time.Time            // first time that is not granted yet
	retryAt    time.Time            // latest time at which a rejected request was told to retry
	rejectedAt time.Time            // when a request was last rejected
	loans      map[uint64]time.Time // places that are lent, and when each loan ends at last
	borrowers  []*borrower          // requests that wait for a place, in order
}

// Ask is a server to which a request may go, with the limit that the server set.
type Ask struct {
	Server string // ID of the incarnation
	Limit  float64
	// Announced tells that the server itself set the limit, if Places is set.
	Announced bool
	// Places is how many of the server's places may be lent; zero: the server is not brittle.
	Places int
	Run    time.Duration // mean time that a request takes, if Places is set
	Left   time.Duration // how long the request may take, if Places is set
}

// Interval returns the time between two requests at the server's limit.
func (ask Ask) Interval() time.Duration {
	return time.Duration(float64(time.Second) / min(max(ask.Limit, MinLimit), MaxLimit))
}

// Slot says when a request may go to a server, or that it was rejected.
type Slot struct {
	Granted bool
	Server  string        // ID of the server's incarnation, if granted
	Wait    time.Duration // until the request may go, or until a rejected one should retry
	Loan    uint64        // identifies the place that is lent; zero: none
	Term    uint64        // of the node that lent the place
}

const (
	// MaxWait is the longest wait for a slot. Slots further in the future could overlap with those of the
	// next term.
	MaxWait = time.Second
	// maxRetryAfter limits the retry time of rejected requests, since the server's limit may have ended by
	// then.
	maxRetryAfter = 15 * time.Second
	// overloadedTime is how long a server counts as overloaded after it had no slot for a request.
	overloadedTime = 3 * time.Second
	// forgetTime is how long after its last slot or retry time a server is removed.
	forgetTime = time.Minute
)

// Begin starts a term. It does nothing if the term is already the current one.
func (s *Slots) Begin(now time.Time, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term {
		s.term, s.began, s.schedules, s.sweptAt = term, now, make(map[string]*serverSchedule), now
	}
}

// Take grants the earliest slot at any of the servers if it lies within the given time. Places at brittle servers are
// lent by Borrow.
func (s *Slots) Take(now time.Time, asks []Ask, within time.Duration) Slot {
	if len(asks) == 0 {
		return Slot{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	best, bestSchedule := 0, s.schedule(now, asks[0].Server)
	for i, a := range asks[1:] {
		if sched := s.schedule(now, a.Server); sched.nextSlot.Before(bestSchedule.nextSlot) {
			best, bestSchedule = i+1, sched
		}
	}
	ask := asks[best]
	pause := ask.Interval()
	wait := bestSchedule.nextSlot.Sub(now)
	if wait <= min(within, MaxWait) {
		bestSchedule.nextSlot = bestSchedule.nextSlot.Add(pause)
		return Slot{Granted: true, Server: ask.Server, Wait: wait}
	}
	for _, a := range asks {
		s.schedule(now, a.Server).rejectedAt = now
	}
	return Slot{Wait: bestSchedule.retryAfter(now, pause)}
}

// schedule returns a server's schedule. It starts after all slots that an earlier term may have granted.
func (s *Slots) schedule(now time.Time, server string) *serverSchedule {
	sched := s.schedules[server]
	if sched == nil {
		sched = &serverSchedule{nextSlot: s.began.Add(MaxWait)}
		s.schedules[server] = sched
	}
	if sched.nextSlot.Before(now) {
		sched.nextSlot = now
	}
	return sched
}

// retryAfter returns when a rejected request should retry, each one a little later than the one before.
func (sched *serverSchedule) retryAfter(now time.Time, pause time.Duration) time.Duration {
	if sched.retryAt.Before(sched.nextSlot) {
		sched.retryAt = sched.nextSlot
	}
	if sched.retryAt.Sub(now) < maxRetryAfter {
		sched.retryAt = sched.retryAt.Add(pause)
	}
	return sched.retryAt.Sub(now)
}

// Overloaded returns the servers that recently had no slot for a request.
func (s *Slots) Overloaded(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for server, sched := range s.schedules {
		if !sched.rejectedAt.IsZero() && now.Sub(sched.rejectedAt) < overloadedTime {
			list = append(list, server)
		}
	}
	return list
}

// sweep removes servers that are no longer in use, at most once per forgetTime.
func (s *Slots) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < forgetTime {
		return
	}
	s.sweptAt = now
	for server, sched := range s.schedules {
		if now.Sub(sched.nextSlot) > forgetTime && now.Sub(sched.retryAt) > forgetTime && sched.lent(now) == 0 {
			delete(s.schedules, server)
		}
	}
}
