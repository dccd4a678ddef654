package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Bounds of what is learned of the weight store.
const (
	firstStoreLimit = 4                      // loads at once before anything is known
	storeGrowth     = 1.5                    // how many more are tried after all went at full speed
	storeMemory     = 12                     // loads that are remembered
	storeForgets    = 45 * time.Second       // after which a load tells nothing any more
	storeProbe      = 12 * time.Second       // after the last slow load one more is tried
	slowRatio       = 1.12                   // of the time told, beyond which a load was slow
	slowSlack       = 450 * time.Millisecond // by which the end of a load is seen late: report lag and pause
)

// storeLoad is a load from the weight store that was seen to its end.
type storeLoad struct {
	at     time.Time // of its end
	beside int       // loads under way when it began, itself among them
	ratio  float64   // of the time it took to the time told; 1 if it was at full speed
}

// capacity returns at how many loads at once the store works at full speed, by a load
// that was slow: the time of each grows in proportion beyond that.
func (l storeLoad) capacity() float64 { return float64(l.beside) / l.ratio }

// storeLimit learns how many loads from the weight store go at full speed at once.
// The store does not tell; loads beyond that only take longer and keep their servers
// from other loads. It starts careful, grows while loads are as fast as told, and goes
// back to what slow loads show.
type storeLimit struct {
	loads []storeLoad
	told  StoreLimit // by an earlier holder; counts until a load is seen
}

// StoreLimit is what a holder learned, as nodes keep it for the next one.
type StoreLimit struct {
	Loads int // at once; zero: nothing is known
	Term  uint64
}

// slow tells whether a load that took so long, or has run for so long, is slow.
func slow(took, told time.Duration) bool {
	return took-slowSlack > time.Duration(slowRatio*float64(told))
}

// observe takes in a load that ended.
func (l *storeLimit) observe(now time.Time, beside int, took, told time.Duration) {
	if told <= 0 || beside <= 0 {
		return
	}
	seen := storeLoad{at: now, beside: beside, ratio: 1}
	if slow(took, told) {
		seen.ratio = (took - slowSlack/2).Seconds() / told.Seconds()
	}
	l.loads = append(l.loads, seen)
	if len(l.loads) > storeMemory {
		l.loads = l.loads[1:]
	}
}

// limit returns how many loads may be under way at once.
func (l *storeLimit) limit(now time.Time) int {
	l.loads = slices.DeleteFunc(l.loads, func(s storeLoad) bool { return now.Sub(s.at) > storeForgets })
	if len(l.loads) == 0 {
		return cmp.Or(l.told.Loads, firstStoreLimit)
	}
	capacity, lastSlow := l.slowest()
	// Loads at full speed after the slow ones show that the store has become faster.
	fast := 0
	for _, s := range l.loads {
		if s.ratio == 1 && s.at.After(lastSlow) {
			fast = max(fast, s.beside)
		}
	}
	if lastSlow.IsZero() {
		return max(firstStoreLimit, l.told.Loads, int(math.Ceil(storeGrowth*float64(fast))))
	}
	known := max(int(capacity+0.3), 1)
	if now.Sub(lastSlow) > storeProbe {
		known = max(known, fast) + 1
	}
	return known
}

// slowest returns the capacity that the slow loads show, their median, and when the
// last of them ended. A single slow load beside faster ones of the same number is the
// load's own: an order that was carried out late, a busy server.
func (l *storeLimit) slowest() (capacity float64, last time.Time) {
	var shown []float64
	for _, s := range l.loads {
		if s.ratio > 1 && !l.contradicted(s) {
			shown = append(shown, s.capacity())
			last = s.at
		}
	}
	if len(shown) == 0 {
		return 0, time.Time{}
	}
	slices.Sort(shown)
	return shown[len(shown)/2], last
}

// contradicted tells whether as many loads or more went at full speed about then.
func (l *storeLimit) contradicted(slow storeLoad) bool {
	for _, s := range l.loads {
		if s.ratio == 1 && s.beside >= slow.beside && s.at.Sub(slow.at).Abs() < storeProbe {
			return true
		}
	}
	return false
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
