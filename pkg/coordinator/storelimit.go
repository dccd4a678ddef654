package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters by which the number of concurrent loads is learned.
const (
	initialStoreLimit = 4                      // maximum before anything is known
	initialStoreTime  = 28 * time.Second       // total time of the first loads if the store serves one at a time, see initialLimit
	storeGrowth       = 1.5                    // factor by which the number is raised while all loads run at full speed
	minProbePause     = 12 * time.Second       // pause after a slow load until a higher number is tried
	maxProbePause     = time.Minute            // the pause doubles up to this with each try that fails
	slowSamples       = 3                      // number of slow loads of which the median is used
	slowRatio         = 1.12                   // a load that takes longer than this multiple of its nominal time is slow
	kneeRounding      = 0.3                    // added before rounding down; below 0.5: one load too few costs less than one too many
	slowSlack         = 450 * time.Millisecond // how late the end of a load is seen: report lag and pause
)

// storeLimit learns how many concurrent loads from the weight store run at full speed. The store does not report it;
// additional loads only take longer and keep their servers from other loads. The number starts low and grows while
// loads take their nominal time. A slow load shows the knee, since beyond it the time of a load grows in proportion to
// their number; from then on slightly higher numbers are tried from time to time.
type storeLimit struct {
	loads       int       // number known to run at full speed at once; zero: not known
	saturated   bool      // a higher number was slow
	saturatedAt time.Time // when the last slow load was seen; loads that began earlier may have run beside more
	slowKnees   []float64 // knees computed from the last slow loads
	fastLoads   int       // highest recent number at full speed
	fastAt      time.Time // when fastLoads was seen
	probeExtra  int       // loads that the next try adds
	nextProbe   time.Time // when a higher number is tried
	probePause  time.Duration

	term    uint64        // term of the holder that learned loads; zero: this one
	nominal time.Duration // longest nominal time of a load; zero: not known
}

// initialLimit returns how many loads start at once before anything is known: as many as would take initialStoreTime
// one after the other. If only one runs at full speed, that shows only when all are done; until then each of them
// keeps a server, and the copies on its disk, from all other loads. With loads of 13 to 20 s, of which one runs at full
// speed, and 140 servers, starting with four leaves 3 of 4 unfinished after half a minute; starting with one raises
// the value of the simulated days from 0.710 to 0.737 (five days, two seeds, strict accounting). Loads of 7 s and less
// start at initialStoreLimit.
func (l *storeLimit) initialLimit() int {
	if l.nominal <= 0 {
		return initialStoreLimit
	}
	return min(max(int(initialStoreTime/l.nominal), 1), initialStoreLimit)
}

// StoreLimit is what a holder learned, kept by the nodes for the next holder.
type StoreLimit struct {
	Loads int  // concurrent loads at full speed; zero: not known
	Bound bool // a higher number was slow
	Term  uint64
}

// limit returns how many loads may run at once.
func (l *storeLimit) limit(now time.Time) int {
	known := cmp.Or(l.loads, l.initialLimit())
	if l.saturated && !now.Before(l.nextProbe) {
		return known + l.probeExtra
	}
	return known
}

// adopt takes over what an earlier holder learned. The latest term counts, but what this holder learned itself has
// priority.
func (l *storeLimit) adopt(now time.Time, learned StoreLimit) {
	if learned.Loads <= 0 || learned.Term <= l.term || l.loads > 0 && l.term == 0 {
		return
	}
	l.loads, l.saturated, l.term = learned.Loads, learned.Bound, learned.Term
	l.probeExtra, l.probePause, l.nextProbe = 1, minProbePause, now.Add(minProbePause)
}

// export returns what is known, for the next holder.
func (l *storeLimit) export(term uint64) StoreLimit {
	if l.loads == 0 {
		return StoreLimit{}
	}
	return StoreLimit{Loads: l.loads, Bound: l.saturated, Term: cmp.Or(l.term, term)}
}

// isSlow tells whether a load that took, or has run for, the given time is slow.
func isSlow(took, nominal time.Duration) bool {
	return took-slowSlack > time.Duration(slowRatio*float64(nominal))
}

// observe records a load that ended; concurrent is how many were under way when it began, including itself.
func (l *storeLimit) observe(now time.Time, concurrent int, took, nominal time.Duration) {
	if nominal <= 0 || concurrent <= 0 {
		return
	}
	if isSlow(took, nominal) {
		l.observeSlow(now, concurrent, (took-slowSlack/2).Seconds()/nominal.Seconds())
		return
	}
	if began := now.Add(-took); !l.saturated || !began.Before(l.saturatedAt) {
		l.observeFast(now, concurrent, nominal)
	}
}

// observeFast records a load at full speed.
func (l *storeLimit) observeFast(now time.Time, concurrent int, nominal time.Duration) {
	if concurrent >= l.fastLoads || now.Sub(l.fastAt) > minProbePause {
		l.fastLoads, l.fastAt = concurrent, now
	}
	known := cmp.Or(l.loads, l.initialLimit())
	switch {
	case concurrent < known, l.saturated && concurrent == known:
	case l.saturated: // more than assumed run at full speed: the knee has moved
		l.loads, l.term = concurrent, 0
		if !now.Before(l.nextProbe) {
			l.probeExtra = min(2*l.probeExtra, max(concurrent/4, 1))
		}
		l.slowKnees, l.probePause = nil, minProbePause
		l.nextProbe = now.Add(nominal + slowSlack) // by then, loads that ran beside that many have been seen
	default:
		l.loads, l.term = int(math.Ceil(storeGrowth*float64(concurrent))), 0
	}
}

// observeSlow records a load that took ratio times its nominal time. It is ignored if as many loads recently ran at full
// speed: the cause is then specific to this load, such as an order that was carried out late or a busy server.
func (l *storeLimit) observeSlow(now time.Time, concurrent int, ratio float64) {
	if l.fastLoads >= concurrent && now.Sub(l.fastAt) < minProbePause {
		return
	}
	l.slowKnees = append(l.slowKnees, float64(concurrent)/ratio)
	if len(l.slowKnees) > slowSamples {
		l.slowKnees = l.slowKnees[1:]
	}
	knees := slices.Sorted(slices.Values(l.slowKnees))
	l.loads, l.term = max(int(knees[len(knees)/2]+kneeRounding), 1), 0
	if l.probePause == 0 {
		l.probePause = minProbePause
	}
	if l.saturated && !now.Before(l.nextProbe) {
		l.probePause = min(2*l.probePause, maxProbePause)
	}
	l.saturated, l.saturatedAt, l.probeExtra, l.nextProbe = true, now, 1, now.Add(l.probePause)
}

// observeStoreLoad records a load from the weight store that was observed to its end.
func (h *Holder) observeStoreLoad(now time.Time, op *operation) {
	before := h.store.limit(now)
	h.store.observe(now, op.concurrentFetches, now.Sub(op.since), op.nominal)
	if after := h.store.limit(now); after != before {
		h.Logger.Info("limit of loads from the weight store changed", "at_once", after, "before", before, "beside", op.concurrentFetches,
			"ms", now.Sub(op.since).Milliseconds(), "told_ms", op.nominal.Milliseconds())
	}
}

// activeFetches returns how many loads from the weight store are under way, and whether one of them is overdue: until it
// ends, it indicates that the number is too high.
func (h *Holder) activeFetches(now time.Time) (count int, overdue bool) {
	for _, s := range h.servers {
		op := s.busy
		if op == nil || !op.load || !op.fetch {
			continue
		}
		count++
		overdue = overdue || op.concurrentFetches > 0 && s.unresolved == nil && isSlow(now.Sub(op.since), op.nominal)
	}
	return count, overdue
}

// storeSlots returns how many loads from the weight store may be under way.
func (h *Holder) storeSlots(now time.Time) int {
	limit := h.store.limit(now)
	if count, overdue := h.activeFetches(now); overdue {
		return min(limit, count)
	}
	return limit
}
