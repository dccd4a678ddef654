package admission

import (
	"math"
	"time"
)

// How fast a server reads prompts, in tokens per millisecond.
const (
	// defaultSpeed is assumed of an unknown server. It is about that of the slowest servers of long
	// prompts. A faster server shows its speed with its first answers. A server that is taken for
	// faster than it is would get more than it can read in time.
	defaultSpeed = 16.0
	// minSpeed and maxSpeed are far beyond the speed of any engine. Samples beyond them are errors.
	minSpeed = 0.5
	maxSpeed = 1000.0
	// speedMemory is how long past speed predicts future speed. A server becomes slow or fast again
	// within some seconds (noisy neighbours), but also differs permanently from others.
	speedMemory = 30 * time.Second
	speedWeight = 0.15 // weight of the newest sample, once there are more than a few
)

// What delays reading, as the tokens that could be read in the same time.
const (
	// stepWork is the cost of a batch step in addition to the prompts that it reads.
	stepWork = 170.0
	// chunkTokens is about how many prompt tokens engines read between two tokens of a stream
	// (chunked prefill).
	chunkTokens = 1024.0
)

// speed is what is known of a server's reading speed.
type speed struct {
	mean, deviation float64 // tokens per millisecond
	samples         int
	updated         time.Time // time of the newest sample
}

// add adds a sample: the server did the work in the given time.
func (s *speed) add(now time.Time, work float64, took time.Duration) {
	sample := work / (float64(took) / float64(time.Millisecond))
	if sample < minSpeed || sample > maxSpeed || math.IsNaN(sample) {
		return
	}
	s.samples++
	s.updated = now
	weight := max(speedWeight, 1/float64(s.samples))
	off := sample - s.mean
	if s.samples > 1 {
		s.deviation += weight * (math.Abs(off) - s.deviation)
	}
	s.mean += weight * off
}

// estimate returns the speed to count on. It is lower for servers whose speed varies, and
// approaches defaultSpeed as samples get old.
func (s *speed) estimate(now time.Time) float64 {
	if s.samples == 0 {
		return defaultSpeed
	}
	trust := math.Exp(-float64(now.Sub(s.updated)) / float64(speedMemory))
	return defaultSpeed + trust*(max(s.mean-s.deviation/2, minSpeed)-defaultSpeed)
}

// duration returns how long work takes at a speed.
func duration(work, speed float64) time.Duration {
	return time.Duration(work / speed * float64(time.Millisecond))
}

// tokens returns what is read within a time at a speed.
func tokens(d time.Duration, speed float64) float64 {
	return float64(d) / float64(time.Millisecond) * speed
}
