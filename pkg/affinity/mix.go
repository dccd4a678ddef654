package affinity

import (
	"math"
	"sync"
	"time"
)

// Mix is what a node saw lately of long and short requests. Lanes help where there are
// both: where nothing is long to read, they would only crowd some servers. The zero value is
// ready to use. Safe for concurrent use.
type Mix struct {
	mu    sync.Mutex
	at    time.Time
	long  float64 // reading time of long requests, in seconds, decayed
	reads float64 // reading time of all requests, in seconds, decayed
	short float64 // number of short requests, decayed
	all   float64 // number of all requests, decayed
}

// mixHalfLife is the time after which what was seen counts half: one of a hundred nodes sees a few
// requests a second, and their mix is to be told by some dozens.
const mixHalfLife = 30 * time.Second

// From which mix on lanes count. The short requests of a model gather at few of its replicas,
// which is safe only where they are a small part of the work.
const (
	longFrom  = 0.5  // part of the reading that is long, at which lanes begin to count
	longFull  = 0.8  // part of the reading that is long, from which on they count wholly
	shortFull = 0.25 // part of the requests that is short, from which on they count wholly
)

// Note takes in a request.
func (m *Mix) Note(now time.Time, r *Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.all++
	m.reads += r.reads.Seconds()
	switch r.lane {
	case LongLane:
		m.long += r.reads.Seconds()
	case ShortLane:
		m.short++
	}
}

// Lanes returns how much lanes count, from 0 to 1.
func (m *Mix) Lanes() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reads <= 0 || m.all <= 0 {
		return 0
	}
	long := (m.long/m.reads - longFrom) / (longFull - longFrom)
	return max(min(long, m.short/m.all/shortFull, 1), 0)
}

// decay ages what was seen. Times that go back age nothing.
func (m *Mix) decay(now time.Time) {
	if age := now.Sub(m.at); age > 0 {
		keep := math.Exp2(-age.Seconds() / mixHalfLife.Seconds())
		m.long, m.reads, m.short, m.all = m.long*keep, m.reads*keep, m.short*keep, m.all*keep
		m.at = now
	}
}
