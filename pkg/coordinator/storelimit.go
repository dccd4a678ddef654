package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// How the number of loads at once is learned.
const (
	firstStoreLimit = 4                      // before anything is known, at most
	firstStoreTime  = 28 * time.Second       // see first
	storeGrowth     = 1.5                    // how many times more are tried while all go at full speed
	firstProbe      = 12 * time.Second       // after a slow load, until more are tried again
	longestProbe    = time.Minute            // it doubles up to this with each try that fails
	slowMemory      = 3                      // slow loads of which the median counts
	slowRatio       = 1.12                   // of the time told, beyond which a load was slow
	kneeRounding    = 0.3                    // below a half: one load too few costs less than one too many
	slowSlack       = 450 * time.Millisecond // by which the end of a load is seen late: report lag and pause
)

// storeLimit learns how many loads from the weight store go at full speed at once. The
// store does not tell; loads beyond that only take longer and keep their servers from
// other loads. It starts careful and grows while loads are as fast as told. A slow load
// shows the knee, since the time of a load grows in proportion beyond it; from then on
// a few more are tried now and then.
type storeLimit struct {
	loads   int       // at once at full speed, as far as is known; zero: nothing is
	bound   bool      // more than that were slow
	boundAt time.Time // when the last slow load was seen: loads that began before tell of more at once
	slow    []float64 // knees that the last slow loads showed
	fast    int       // most loads at once that were at full speed lately
	fastAt  time.Time // when
	more    int       // loads that the next try adds
	tryAt   time.Time // when more are tried again
	pause   time.Duration

	term uint64        // of the holder that told what is known; zero: it was seen here
	told time.Duration // that a load takes, the longest; zero: not known
}

// first returns how many loads are begun at once before anything is known: as many as would
// take firstStoreTime one after the other. If only one goes at full speed, that shows once
// all of them are done; until then each keeps a server, and the copies on its disk, from
// all other loads. With loads of 13 to 20 s, of which one goes at full speed, and 140
// servers, four at the start left 3 of 4 unfinished after half a minute; with one the worth
// of the users' days rose from 0.710 to 0.737 (five days, two seeds, strict accounting).
// Loads of 7 s and less begin as before.
func (l *storeLimit) first() int {
	if l.told <= 0 {
		return firstStoreLimit
	}
	return min(max(int(firstStoreTime/l.told), 1), firstStoreLimit)
}

// StoreLimit is what a holder learned, as nodes keep it for the next one.
type StoreLimit struct {
	Loads int  // at once; zero: nothing is known
	Bound bool // more than that were slow
	Term  uint64
}

// limit returns how many loads may be under way at once.
func (l *storeLimit) limit(now time.Time) int {
	known := cmp.Or(l.loads, l.first())
	if l.bound && !now.Before(l.tryAt) {
		return known + l.more
	}
	return known
}

// take takes in what an earlier holder learned; the latest one counts, and what was
// seen here before all.
func (l *storeLimit) take(now time.Time, told StoreLimit) {
	if told.Loads <= 0 || told.Term <= l.term || l.loads > 0 && l.term == 0 {
		return
	}
	l.loads, l.bound, l.term = told.Loads, told.Bound, told.Term
	l.more, l.pause, l.tryAt = 1, firstProbe, now.Add(firstProbe)
}

// tell returns what is known, for the next holder.
func (l *storeLimit) tell(term uint64) StoreLimit {
	if l.loads == 0 {
		return StoreLimit{}
	}
	return StoreLimit{Loads: l.loads, Bound: l.bound, Term: cmp.Or(l.term, term)}
}

// slow tells whether a load that took so long, or has run for so long, is slow.
func slow(took, told time.Duration) bool {
	return took-slowSlack > time.Duration(slowRatio*float64(told))
}

// observe takes in a load that ended; beside is how many were under way when it began,
// itself among them.
func (l *storeLimit) observe(now time.Time, beside int, took, told time.Duration) {
	if told <= 0 || beside <= 0 {
		return
	}
	if slow(took, told) {
		l.sawSlow(now, beside, (took-slowSlack/2).Seconds()/told.Seconds())
		return
	}
	if began := now.Add(-took); !l.bound || !began.Before(l.boundAt) {
		l.sawFast(now, beside, told)
	}
}

// sawFast takes in a load at full speed.
func (l *storeLimit) sawFast(now time.Time, beside int, told time.Duration) {
	if beside >= l.fast || now.Sub(l.fastAt) > firstProbe {
		l.fast, l.fastAt = beside, now
	}
	known := cmp.Or(l.loads, l.first())
	switch {
	case beside < known, l.bound && beside == known:
	case l.bound: // more than were known to be: the knee has moved
		l.loads, l.term = beside, 0
		if !now.Before(l.tryAt) {
			l.more = min(2*l.more, max(beside/4, 1))
		}
		l.slow, l.pause = nil, firstProbe
		l.tryAt = now.Add(told + slowSlack) // when loads beside that many were seen
	default:
		l.loads, l.term = int(math.Ceil(storeGrowth*float64(beside))), 0
	}
}

// sawSlow takes in a load that took ratio times as long as told. One beside others that
// were at full speed in the same number is the load's own: an order that was carried out
// late, a busy server.
func (l *storeLimit) sawSlow(now time.Time, beside int, ratio float64) {
	if l.fast >= beside && now.Sub(l.fastAt) < firstProbe {
		return
	}
	l.slow = append(l.slow, float64(beside)/ratio)
	if len(l.slow) > slowMemory {
		l.slow = l.slow[1:]
	}
	shown := slices.Sorted(slices.Values(l.slow))
	l.loads, l.term = max(int(shown[len(shown)/2]+kneeRounding), 1), 0
	if l.pause == 0 {
		l.pause = firstProbe
	}
	if l.bound && !now.Before(l.tryAt) {
		l.pause = min(2*l.pause, longestProbe)
	}
	l.bound, l.boundAt, l.more, l.tryAt = true, now, 1, now.Add(l.pause)
}

// learnStore takes in a load from the weight store that was seen to its end.
func (h *Holder) learnStore(now time.Time, op *operation) {
	before := h.store.limit(now)
	h.store.observe(now, op.beside, now.Sub(op.since), op.told)
	if after := h.store.limit(now); after != before {
		h.Logger.Info("loads from the store", "at_once", after, "before", before, "beside", op.beside,
			"ms", now.Sub(op.since).Milliseconds(), "told_ms", op.told.Milliseconds())
	}
}

// fetching returns how many loads from the weight store are under way, and whether
// one of them is overdue: until it ends, what it tells is that fewer would do.
func (h *Holder) fetching(now time.Time) (count int, overdue bool) {
	for _, s := range h.servers {
		op := s.busy
		if op == nil || !op.load || !op.fetch {
			continue
		}
		count++
		overdue = overdue || op.beside > 0 && s.doubt == nil && slow(now.Sub(op.since), op.told)
	}
	return count, overdue
}

// storeSlots returns how many loads from the weight store may be under way.
func (h *Holder) storeSlots(now time.Time) int {
	limit := h.store.limit(now)
	if count, overdue := h.fetching(now); overdue {
		return min(limit, count)
	}
	return limit
}
