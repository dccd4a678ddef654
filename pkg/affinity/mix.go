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
	reads float64 // of all
	short float64 // number of short requests, decayed
	all   float64 // number of all
}

// mixHalfLife is the time in which what was seen counts half. A node of a hundred sees a few
// requests a second.
const mixHalfLife = 30 * time.Second

// From which mix on lanes count. The short requests of a model gather at few of its replicas,
// which is safe only where they are a small part of the work.
const (
	leastLong = 0.5  // part of the reading that is long, at which lanes begin to count
	mostLong  = 0.8  // at which they count wholly
	presence  = 0.25 // part of the requests that is short, at which lanes count wholly
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
	long := (m.long/m.reads - leastLong) / (mostLong - leastLong)
	return max(min(long, m.short/m.all/presence, 1), 0)
}

// decay ages what was seen. Times that go back age nothing.
func (m *Mix) decay(now time.Time) {
	if age := now.Sub(m.at); age > 0 {
		keep := math.Exp2(-age.Seconds() / mixHalfLife.Seconds())
		m.long, m.reads, m.short, m.all = m.long*keep, m.reads*keep, m.short*keep, m.all*keep
		m.at = now
	}
}
