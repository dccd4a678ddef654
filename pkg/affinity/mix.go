package affinity

import (
	"math"
	"sync"
	"time"
)

// Mix tracks the recent mix of long and short requests that a node sees. Lanes help only where
// there are both: without long prompts, they would just overload some servers. The zero value is
// ready to use. It is safe for concurrent use.
type Mix struct {
	mu      sync.Mutex
	updated time.Time
	long    float64 // reading time of long requests, in seconds, decayed
	prefill float64 // reading time of all requests, in seconds, decayed
	short   float64 // number of short requests, decayed
	all     float64 // number of all requests, decayed
}

// mixHalfLife is the time after which a request counts half. A node of a hundred sees a few
// requests per second, and some dozens are needed to know their mix.
const mixHalfLife = 30 * time.Second

// The mix from which on lanes count. The short requests of a model gather on few of its replicas,
// which is safe only if they are a small part of the work.
const (
	longStart = 0.5  // part of the reading time for long requests at which lanes begin to count
	longFull  = 0.8  // part of the reading time for long requests at which lanes count fully
	shortFull = 0.25 // part of short requests at which lanes count fully
)

// Note adds a request.
func (m *Mix) Note(now time.Time, r *Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.all++
	m.prefill += r.prefill.Seconds()
	switch r.lane {
	case LongLane:
		m.long += r.prefill.Seconds()
	case ShortLane:
		m.short++
	}
}

// Lanes returns the weight of lanes, from 0 to 1.
func (m *Mix) Lanes() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.prefill <= 0 || m.all <= 0 {
		return 0
	}
	long := (m.long/m.prefill - longStart) / (longFull - longStart)
	return max(min(long, m.short/m.all/shortFull, 1), 0)
}

// decay ages the sums. A clock that goes back has no effect.
func (m *Mix) decay(now time.Time) {
	if age := now.Sub(m.updated); age > 0 {
		keep := math.Exp2(-age.Seconds() / mixHalfLife.Seconds())
		m.long, m.prefill, m.short, m.all = m.long*keep, m.prefill*keep, m.short*keep, m.all*keep
		m.updated = now
	}
}
