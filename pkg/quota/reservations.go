package quota

import (
	"encoding/binary"
	"slices"
	"time"
)

// Times and bounds of reservations.
const (
	// earlyTolerance is how early a request with a reservation may come back: callers round the
	// announced time to milliseconds.
	earlyTolerance = 2 * time.Millisecond
	// lateTolerance is how long capacity stays reserved after the due time. It allows for the way
	// to the caller and back, and for a busy node.
	lateTolerance = 150 * time.Millisecond
	// minWait is the shortest wait that is announced to a caller, so that it does not come back before a
	// holder can have capacity.
	minWait = 20 * time.Millisecond
	// noReturnMargin is how far the wait announced to a caller that should not come back exceeds
	// the longest wait after which it would. maxReturnWait bounds the latter.
	noReturnMargin = 50 * time.Millisecond
	maxReturnWait  = time.Minute
	// maxReservations and maxTurnedAway bound the requests that are remembered of one route.
	// maxMarks bounds all that one pool remembers: 5 MB at some 150 bytes each.
	maxReservations = 256
	maxTurnedAway   = 1024
	maxMarks        = 32768
)

// reservation is capacity that is set aside for a request until shortly after the time at which it
// is due back.
type reservation struct {
	mark   Mark
	amount float64
	due    time.Time
}

// reservations are the reservations of a route, in order of their due times. Each request has at
// most one, so that a caller gains nothing by repeating early.
type reservations struct {
	marks  map[Mark]*reservation
	queue  []*reservation // includes removed ones; see marks
	sum    float64        // sum of the amounts
	limit  int            // largest number of reservations
	budget *int           // reservations that may still be made for all routes of all tenants
}

// add makes a reservation. It returns false if there are too many or the request has no mark.
func (p *reservations) add(now time.Time, wait time.Duration, m Mark, amount float64) bool {
	if m == (Mark{}) || len(p.marks) >= p.limit || *p.budget <= 0 {
		return false
	}
	if p.marks == nil {
		p.marks = make(map[Mark]*reservation)
	}
	res := &reservation{mark: m, amount: amount, due: now.Add(wait)}
	p.marks[m] = res
	if len(p.queue) >= 2*p.limit {
		p.queue = slices.DeleteFunc(p.queue, func(q *reservation) bool { return p.marks[q.mark] != q })
	}
	p.queue = append(p.queue, res)
	p.sum += amount
	*p.budget--
	return true
}

// find returns the reservation of a request, nil if there is none. If anyMark is set, it returns
// the first one that is due, whichever request made it.
func (p *reservations) find(now time.Time, m Mark, anyMark bool) *reservation {
	if !anyMark {
		return p.marks[m]
	}
	for _, res := range p.queue {
		if p.marks[res.mark] == res && !now.Before(res.due.Add(-earlyTolerance)) {
			return res
		}
	}
	return nil
}

// last returns the reservation that is due last, nil if there is none.
func (p *reservations) last() *reservation {
	for n := len(p.queue) - 1; n >= 0; n-- {
		if res := p.queue[n]; p.marks[res.mark] == res {
			return res
		}
		p.queue = p.queue[:n]
	}
	return nil
}

// remove removes a reservation. It does nothing if res is nil.
func (p *reservations) remove(res *reservation) {
	if res == nil || p.marks[res.mark] != res {
		return
	}
	delete(p.marks, res.mark)
	p.sum -= res.amount
	*p.budget++
	if len(p.marks) == 0 {
		p.queue, p.sum = p.queue[:0], 0 // sums of floats drift
	}
}

// expire removes the reservations whose requests did not come back in time.
func (p *reservations) expire(now time.Time) {
	for len(p.queue) > 0 {
		first := p.queue[0]
		if p.marks[first.mark] == first && !now.After(first.due.Add(lateTolerance)) {
			return
		}
		p.remove(first)
		if len(p.queue) > 0 {
			p.queue = p.queue[1:]
		}
	}
}

// Sieve selects, by mark, the part of a route's requests that nodes ask the holder about. While a
// route gets only a small part of its demand, the holder could only refuse most
// requests. The requests that pass do so again at any node when they come back. So a node that
// refuses the others without asking refuses none that has a reservation.
type Sieve struct {
	Part float64 // part of the requests that pass; 1 for all
	Salt uint64  // differs each time that the tenant becomes scarce
}

// passes reports whether to ask about a request. Requests without a mark always pass.
func (s Sieve) passes(m Mark) bool {
	if s.Part >= 1 || m == (Mark{}) {
		return true
	}
	x := binary.LittleEndian.Uint64(m[:8]) ^ s.Salt*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // finalizer of splitmix64
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	const digits = 53 // mantissa bits of a float64
	return float64(x>>(64-digits))/(1<<digits) < s.Part
}
