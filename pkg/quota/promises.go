package quota

import (
	"encoding/binary"
	"slices"
	"time"
)

// Times of promises.
const (
	// earliness is how much before its time one who keeps an appointment is let in: callers
	// round the time they are told to milliseconds.
	earliness = 2 * time.Millisecond
	// lateness is how long room stays set aside after its time: for the way to the caller and
	// back, and a node that is busy.
	lateness = 150 * time.Millisecond
	// leastWait keeps callers from coming back before a holder can have room.
	leastWait = 20 * time.Millisecond
	// beyond is by how much a time is told too late for a caller that is not to come back, and
	// mostBeyond bounds what such a caller is believed to wait.
	beyond     = 50 * time.Millisecond
	mostBeyond = time.Minute
	// maxPromises and maxTurnedAway bound the requests that are remembered of one route, maxMarks
	// all that one pool remembers, at some 150 bytes each: 5 MB.
	maxPromises   = 256
	maxTurnedAway = 1024
	maxMarks      = 32768
)

// promise is an appointment: room that is set aside for a request until shortly after its
// time.
type promise struct {
	mark   Mark
	amount float64
	due    time.Time
}

// promises are those of a route, in the order of their times. Each request has one at most,
// so that who repeats early gains nothing.
type promises struct {
	marks  map[Mark]*promise
	queue  []*promise // some are removed; see marks
	sum    float64    // of their amounts
	most   int        // that are kept
	budget *int       // how many more may be kept of all routes of all tenants
}

// add makes a promise, unless there are too many, or the request can't be recognized.
func (p *promises) add(now time.Time, wait time.Duration, m Mark, amount float64) bool {
	if m == (Mark{}) || len(p.marks) >= p.most || *p.budget <= 0 {
		return false
	}
	if p.marks == nil {
		p.marks = make(map[Mark]*promise)
	}
	one := &promise{mark: m, amount: amount, due: now.Add(wait)}
	p.marks[m] = one
	if len(p.queue) >= 2*p.most {
		p.queue = slices.DeleteFunc(p.queue, func(q *promise) bool { return p.marks[q.mark] != q })
	}
	p.queue = append(p.queue, one)
	p.sum += amount
	*p.budget--
	return true
}

// find returns the promise that was made to a request, nil if there is none. If anybody is set, it
// returns the first that is due instead, whoever it was made to.
func (p *promises) find(now time.Time, m Mark, anybody bool) *promise {
	if !anybody {
		return p.marks[m]
	}
	for _, one := range p.queue {
		if p.marks[one.mark] == one && !now.Before(one.due.Add(-earliness)) {
			return one
		}
	}
	return nil
}

// last returns the promise that is due last, nil if there is none.
func (p *promises) last() *promise {
	for n := len(p.queue) - 1; n >= 0; n-- {
		if one := p.queue[n]; p.marks[one.mark] == one {
			return one
		}
		p.queue = p.queue[:n]
	}
	return nil
}

// remove ends a promise; nil: there is none.
func (p *promises) remove(one *promise) {
	if one == nil || p.marks[one.mark] != one {
		return
	}
	delete(p.marks, one.mark)
	p.sum -= one.amount
	*p.budget++
	if len(p.marks) == 0 {
		p.queue, p.sum = p.queue[:0], 0 // sums of floats drift
	}
}

// expire ends the promises that nobody came for.
func (p *promises) expire(now time.Time) {
	for len(p.queue) > 0 {
		first := p.queue[0]
		if p.marks[first.mark] == first && !now.After(first.due.Add(lateness)) {
			return
		}
		p.remove(first)
		if len(p.queue) > 0 {
			p.queue = p.queue[1:]
		}
	}
}

// Sieve tells nodes which requests of a route to ask the holder about: a part of them, by
// their marks. While a route is given a small part of what it asks, most could only be told
// that there is no room; those that pass do so again at any node when they come back, so that
// a node that refuses the others unasked refuses nobody who has an appointment.
type Sieve struct {
	Part float64 // of the requests; 1: all
	Salt uint64  // another one for each time that the tenant becomes scarce
}

// passes tells whether a request is one to ask about. A request that can't be recognized is.
func (s Sieve) passes(m Mark) bool {
	if s.Part >= 1 || m == (Mark{}) {
		return true
	}
	x := binary.LittleEndian.Uint64(m[:8]) ^ s.Salt*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // the finalizer of splitmix64
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	const digits = 53 // of a float64
	return float64(x>>(64-digits))/(1<<digits) < s.Part
}
