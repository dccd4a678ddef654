package policy

import (
	"math"
	"time"
)

// Resolution of a History. Bucket i holds the gaps from gapUnit*2^(i/8) to
// gapUnit*2^((i+1)/8); the last one also holds all longer gaps.
const (
	gapUnit          = 10 * time.Second
	bucketsPerOctave = 8
	gapBuckets       = 128 // reaches about a week
)

// gapDecay is the factor by which each new gap reduces the weight of the older
// ones, so that about the last 100 gaps count.
const gapDecay = 0.99

// History is a histogram of the gaps between a model's arrivals, with logarithmic
// buckets, in which the weight of old gaps decays. Its size is constant (about 500
// bytes), and it can be encoded with gob and merged. The zero value is an empty
// history.
type History struct {
	Last time.Time // the last arrival; zero if there was none
	Gaps [gapBuckets]float32

	tails      [gapBuckets]float32 // tails[i] is the sum of Gaps[i:] including the prior
	tailsValid bool                // whether tails is up to date
}

// Observe records arrivals at the time at. Times may repeat or go back a little,
// because several nodes report them. Gaps shorter than gapUnit are within a burst
// and not recorded.
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
	h.updateTails()
}

// Merge adds the gaps of other to h. It does not change other.
func (h *History) Merge(other *History) {
	for i, weight := range other.Gaps {
		h.Gaps[i] += weight
	}
	if other.Last.After(h.Last) {
		h.Last = other.Last
	}
	h.updateTails()
}

// priorWeight is the weight of the prior distribution, in which each bucket, and so
// each order of magnitude of a gap, is equally likely.
const priorWeight = 1.0

// updateTails brings tails up to date.
func (h *History) updateTails() {
	h.tails, h.tailsValid = h.tailSums(), true
}

// tailSums returns for each bucket the weight of the gaps in it and in all later ones.
func (h *History) tailSums() [gapBuckets]float32 {
	var tails [gapBuckets]float32
	sum := float32(0)
	for i := gapBuckets - 1; i >= 0; i-- {
		sum += h.Gaps[i] + priorWeight/gapBuckets
		tails[i] = sum
	}
	return tails
}

// survival returns the survival function: the probability that a gap is at least as
// long as its argument, up to a constant factor. It does not change h.
func (h *History) survival() func(gap time.Duration) float64 {
	tails := &h.tails
	if !h.tailsValid {
		fresh := h.tailSums()
		tails = &fresh
	}
	return func(gap time.Duration) float64 {
		position := math.Log2(float64(gap)/float64(gapUnit)) * bucketsPerOctave
		if position <= 0 {
			return float64(tails[0])
		}
		bucket := int(position)
		if bucket >= gapBuckets-1 {
			return float64(tails[gapBuckets-1])
		}
		part := position - float64(bucket)
		return float64(tails[bucket])*(1-part) + float64(tails[bucket+1])*part
	}
}

// Weight returns the number of recorded gaps, each counted by its decayed weight.
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
