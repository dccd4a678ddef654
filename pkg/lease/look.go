package lease

import (
	"math/rand/v2"
	"strings"
	"time"
)

// patience returns how long a free lease is left to better nodes.
func (l *Lease) patience() time.Duration {
	if l.Patience == nil {
		return 0
	}
	return l.Patience()
}

// setWaited notes whether a free lease was left to better nodes, and returns whether it
// was before.
func (l *Lease) setWaited(waited bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.waited
	l.waited = waited
	return before
}

// ownLife tells whether an earlier life of this node holds the record. It is dead, since
// this one runs: nobody has to wait until its lease expires.
func (l *Lease) ownLife(s Stored) bool {
	return l.Lives != "" && s.Record.Holder != l.Self && strings.HasPrefix(s.Record.Holder, l.Lives)
}

// looked notes a look. It returns how often the pause after one that failed is doubled.
func (l *Lease) looked(err error) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.failed, l.looks = 0, l.Time.Now()
		if l.asked {
			l.vain++
			l.asked = false
		}
		return 0
	}
	l.failed++
	return min(l.failed-1, mostDoublings)
}

// rest returns when to look again, if nobody suspects the holder, at a record that
// another node holds.
func (l *Lease) rest(s Stored) time.Duration {
	switch {
	case s.copied():
		return max(l.epochWait(s), 0) + jitter(lookPause)
	case s.free():
		return jitter(lookPause)
	}
	return jitter(lookRest)
}

// freeIn returns when to look at the record if its holder does not answer, false if the
// look that is due anyway is waited for. A holder may have released the record since it
// was last seen; if it has not, the record is not free before it expires.
func (l *Lease) freeIn() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || l.failed > 0 || l.asked || l.waited {
		return 0, false
	}
	if l.Time.Since(l.looks) > episode {
		l.vain = 0
	}
	l.asked = true
	age := time.Duration(l.storeNow()-l.seen.Record.Renewed) * time.Millisecond
	if l.seen.free() || age >= Expiry || l.vain < promptLooks {
		return jitter(lookPause / 4), true
	}
	l.waited = true
	return Expiry - age + l.patience() + rand.N(lookPause), true
}
