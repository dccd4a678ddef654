package policy

import (
	"math"
	"time"
)

// Resolution of a History. Bucket i holds the gaps from gapUnit*2^(i/4) to
// gapUnit*2^((i+1)/4); the last one also holds all longer gaps.
const (
	gapUnit          = time.Second
	bucketsPerOctave = 4
	gapBuckets       = 72 // reaches 2^18 s, about three days
)

// gapDecay is what each new gap leaves of the weight of the older ones, so
// that about the last 50 gaps count.
const gapDecay = 0.98

// History is what is remembered of a model's arrivals: a histogram of the gaps
// between them with logarithmic buckets, in which old gaps fade. Its size is
// constant (about 300 bytes), it can be encoded with gob and merged. The zero
// value is an empty history.
type History struct {
	Last time.Time // the last arrival; zero if there was none
	Gaps [gapBuckets]float32
}

// Observe records arrivals at the time at. Times may repeat and go back a
// little, as reports of several nodes do; gaps below one second, those within
// a burst, are not recorded.
func (h *History) Observe(at time.Time) {
	if h.Last.IsZero() {
		h.Last = at
		return
	}
	gap := at.Sub(h.Last)
	if gap <= 0 {
		return
	}
	h.Last = at
	if gap < gapUnit {
		return
	}
	for i := range h.Gaps {
		h.Gaps[i] *= gapDecay
	}
	h.Gaps[bucketOf(gap)]++
}

// Merge adds what other remembers. Other is not changed.
func (h *History) Merge(other *History) {
	for i, weight := range other.Gaps {
		h.Gaps[i] += weight
	}
	if other.Last.After(h.Last) {
		h.Last = other.Last
	}
}

// Weight returns the number of gaps remembered, the faded ones counting less.
func (h *History) Weight() float64 {
	sum := 0.0
	for _, weight := range h.Gaps {
		sum += float64(weight)
	}
	return sum
}

// bucketOf returns the bucket of a gap of at least gapUnit.
func bucketOf(gap time.Duration) int {
	bucket := int(math.Log2(float64(gap)/float64(gapUnit)) * bucketsPerOctave)
	return min(max(bucket, 0), gapBuckets-1)
}

// bucketStart returns the shortest gap of a bucket.
func bucketStart(bucket int) time.Duration {
	return time.Duration(float64(gapUnit) * math.Exp2(float64(bucket)/bucketsPerOctave))
}
