package backpressure

import (
	"sync"
	"time"
)

// Slots gives out when requests of all nodes may go to servers that name a limit, one after the other at
// the pace that each server takes. One node decides for all, in terms; a term may follow one of another
// node, whose last slots are not over yet. The zero value with a term begun is ready to use. Safe for
// concurrent use.
//
// It answers this load: an overloaded server, or all servers of a service, and every node has more for them
// than they take. Each request gets a time within MostWait, or is turned away at once.
type Slots struct {
	mu    sync.Mutex
	term  uint64
	began time.Time
	lines map[string]*line
	swept time.Time
}

// line is one server's part.
type line struct {
	next    time.Time // the first time that is not given out
	back    time.Time // up to which those that were turned away were told to come back
	refused time.Time // when one was last turned away
}

// Ask is a server that a request may go to, with the limit that it names.
type Ask struct {
	Server string // the ID of its life
	Limit  float64
}

// Interval is the time between two requests at the server's limit.
func (a Ask) Interval() time.Duration {
	return time.Duration(float64(time.Second) / min(max(a.Limit, LeastLimit), MostLimit))
}

// Slot is when a request may go to a server.
type Slot struct {
	Granted bool
	Server  string        // of one that is granted
	Wait    time.Duration // until it may go, or until there is room for one that is turned away
}

const (
	// MostWait is the longest wait for a slot. What is given out beyond it could overlap with what the
	// next term gives out.
	MostWait = time.Second
	// mostBack is the longest time that those turned away are told: the limit may be over by then.
	mostBack = 15 * time.Second
	// shortTime is for how long a server counts as short of room after it was too little for a request.
	shortTime = 3 * time.Second
	// forgetTime is after which a server that nobody asks for is forgotten.
	forgetTime = time.Minute
)

// Begin begins a term, unless it has begun.
func (s *Slots) Begin(now time.Time, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term {
		s.term, s.began, s.lines, s.swept = term, now, make(map[string]*line), now
	}
}

// Take gives out the first slot at one of the servers, if it is within a time.
func (s *Slots) Take(now time.Time, asks []Ask, within time.Duration) Slot {
	if len(asks) == 0 {
		return Slot{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	best, bestLine := 0, s.line(now, asks[0].Server)
	for i, a := range asks[1:] {
		if l := s.line(now, a.Server); l.next.Before(bestLine.next) {
			best, bestLine = i+1, l
		}
	}
	ask := asks[best]
	pause := ask.Interval()
	wait := bestLine.next.Sub(now)
	if wait <= min(within, MostWait) {
		bestLine.next = bestLine.next.Add(pause)
		return Slot{Granted: true, Server: ask.Server, Wait: wait}
	}
	for _, a := range asks {
		s.line(now, a.Server).refused = now
	}
	return Slot{Wait: bestLine.comeBack(now, pause)}
}

// line returns a server's line, which does not begin before what an earlier term may have given out is
// over.
func (s *Slots) line(now time.Time, server string) *line {
	l := s.lines[server]
	if l == nil {
		l = &line{next: s.began.Add(MostWait)}
		s.lines[server] = l
	}
	if l.next.Before(now) {
		l.next = now
	}
	return l
}

// comeBack tells a request that is turned away when there is room, each one a little later than the last.
func (l *line) comeBack(now time.Time, pause time.Duration) time.Duration {
	if l.back.Before(l.next) {
		l.back = l.next
	}
	if l.back.Sub(now) < mostBack {
		l.back = l.back.Add(pause)
	}
	return l.back.Sub(now)
}

// Short returns the servers that were too little for a request of late.
func (s *Slots) Short(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for server, l := range s.lines {
		if !l.refused.IsZero() && now.Sub(l.refused) < shortTime {
			list = append(list, server)
		}
	}
	return list
}

// sweep forgets servers that nobody asks for, now and then.
func (s *Slots) sweep(now time.Time) {
	if now.Sub(s.swept) < forgetTime {
		return
	}
	s.swept = now
	for server, l := range s.lines {
		if now.Sub(l.next) > forgetTime && now.Sub(l.back) > forgetTime {
			delete(s.lines, server)
		}
	}
}
