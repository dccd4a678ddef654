package admission

import (
	"math"
	"time"
)

// How fast a server reads, in tokens of prompts a millisecond.
const (
	// cautiousSpeed is believed of a server of which nothing is known: about that of the slowest
	// servers of long prompts. A faster one shows it with its first answers; one taken for faster
	// than it is would get what it can't read in time.
	cautiousSpeed = 16.0
	// leastSpeed and mostSpeed are far beyond what any engine shows; samples beyond are faults.
	leastSpeed = 0.5
	mostSpeed  = 1000.0
	// speedMemory is how long what a server did tells of what it will do: it turns slow or fast
	// again within some seconds (noisy neighbours), and differs from others for good.
	speedMemory = 30 * time.Second
	speedWeight = 0.15 // of the newest sample, once there are more than a few
)

// What reading is delayed by, in tokens that could be read meanwhile.
const (
	// stepWork is what a step of the batch costs beside the prompts that it reads.
	stepWork = 170.0
	// pieceTokens is about what engines read of prompts between two tokens of a stream.
	pieceTokens = 1024.0
)

// speed is what is known of a server's reading.
type speed struct {
	mean, deviation float64 // tokens a millisecond
	samples         int
	at              time.Time // of the newest
}

// add takes in that the server did so much work in a time.
func (s *speed) add(now time.Time, work float64, took time.Duration) {
	sample := work / (float64(took) / float64(time.Millisecond))
	if sample < leastSpeed || sample > mostSpeed || math.IsNaN(sample) {
		return
	}
	s.samples++
	s.at = now
	weight := max(speedWeight, 1/float64(s.samples))
	off := sample - s.mean
	if s.samples > 1 {
		s.deviation += weight * (math.Abs(off) - s.deviation)
	}
	s.mean += weight * off
}

// careful returns the speed to count on. What varies counts less, and what is old is forgotten.
func (s *speed) careful(now time.Time) float64 {
	if s.samples == 0 {
		return cautiousSpeed
	}
	trust := math.Exp(-float64(now.Sub(s.at)) / float64(speedMemory))
	return cautiousSpeed + trust*(max(s.mean-s.deviation/2, leastSpeed)-cautiousSpeed)
}

// duration returns how long work takes at a speed.
func duration(work, speed float64) time.Duration {
	return time.Duration(work / speed * float64(time.Millisecond))
}

// tokens returns what is read within a time.
func tokens(d time.Duration, speed float64) float64 {
	return float64(d) / float64(time.Millisecond) * speed
}
