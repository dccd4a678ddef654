package lease

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"
)

// takeoverDelay returns how long this node leaves a free lease to better suited nodes.
func (l *Lease) takeoverDelay() time.Duration {
	if l.TakeoverDelay == nil {
		return 0
	}
	return l.TakeoverDelay()
}

// unfitPause returns how long this node still leaves a free lease to others because it can't do a holder's
// work; zero: it may take it.
func (l *Lease) unfitPause(ctx context.Context) time.Duration {
	now := l.Time.Now()
	switch {
	case l.Fit == nil:
		return 0
	case l.unfitUntil.IsZero():
		if l.Fit(ctx) {
			return 0
		}
		l.unfitUntil = l.Time.Now().Add(UnfitDelay)
		l.log("free lease left to others", "ms", UnfitDelay.Milliseconds())
		return UnfitDelay
	case now.Before(l.unfitUntil):
		return l.unfitUntil.Sub(now)
	}
	l.unfitUntil = time.Time{}
	return 0
}

// setDeferred sets whether a free lease was left to better suited nodes, and returns the previous value.
func (l *Lease) setDeferred(deferred bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.deferred
	l.deferred = deferred
	return before
}

// heldByEarlierIncarnation reports whether the record names an earlier incarnation of this node as the
// holder. That process has ended, as this one runs, so nobody has to wait until its lease expires.
func (l *Lease) heldByEarlierIncarnation(s Stored) bool {
	return l.IncarnationPrefix != "" && s.Record.Holder != l.Self && strings.HasPrefix(s.Record.Holder, l.IncarnationPrefix)
}

// notePoll updates the state after a read of the record. It returns how often the interval after a failed
// read is doubled.
func (l *Lease) notePoll(err error) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.failedPolls, l.lastPoll = 0, l.Time.Now()
		if l.pollForSuspicion {
			l.suspicionPolls++
			l.pollForSuspicion = false
		}
		return 0
	}
	l.failedPolls++
	return min(l.failedPolls-1, maxDoublings)
}

// nextPoll returns when to read the record again if nobody suspects the holder.
func (l *Lease) nextPoll(s Stored) time.Duration {
	switch {
	case s.fromEarlierEpoch():
		return max(l.epochWaitLeft(s), 0) + jitter(pollInterval)
	case s.free():
		return jitter(pollInterval)
	}
	return jitter(heldPollInterval)
}

// pollAfterSuspicion returns when to read the record after a report that its holder does not answer, and
// false if the poll that is already scheduled is enough. The holder may have released the record since the
// last read; if it has not, the record is not free before it expires.
func (l *Lease) pollAfterSuspicion() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || l.failedPolls > 0 || l.pollForSuspicion || l.deferred {
		return 0, false
	}
	if l.Time.Since(l.lastPoll) > suspicionWindow {
		l.suspicionPolls = 0
	}
	l.pollForSuspicion = true
	age := time.Duration(l.storeNow()-l.seen.Record.Renewed) * time.Millisecond
	if l.seen.free() || age >= Expiry || l.suspicionPolls < promptPolls {
		return jitter(pollInterval / 4), true
	}
	l.deferred = true
	return Expiry - age + l.takeoverDelay() + rand.N(pollInterval), true
}
