// Package outlier finds servers that fail more than their peers, takes them out
// of routing for a while that grows with each time, and lets them return
// slowly. It reads no clock.
package outlier

import (
	"cmp"
	"math"
	"sync"
	"time"
)

// Config sets the detection. The zero value of a field selects the default.
type Config struct {
	ConsecutiveFailures int           // that eject a server at once
	Interval            time.Duration // of the comparison with peers
	MinRequests         int           // of a server in an interval, to be compared
	MinPeers            int           // servers with that many requests
	Deviations          float64       // below the mean success rate
	BaseEjection        time.Duration // of the first ejection
	MaxEjection         time.Duration
	Ramp                time.Duration // of the slow return
	Off                 bool          // detects nothing; for tests
}

// The defaults of Config.
const (
	defaultConsecutiveFailures = 5
	defaultInterval            = 10 * time.Second
	defaultMinRequests         = 20
	defaultMinPeers            = 3
	defaultDeviations          = 1.9
	defaultBaseEjection        = 5 * time.Second
	defaultMaxEjection         = 5 * time.Minute
	defaultRamp                = 10 * time.Second
)

// minShare is where the slow return begins.
const minShare = 0.1

// minGap is how far a success rate must lie below the mean at least, so that
// servers which all do well are not compared by their noise.
const minGap = 0.1

// WithDefaults returns the config with every field set.
func (c Config) WithDefaults() Config {
	c.ConsecutiveFailures = cmp.Or(c.ConsecutiveFailures, defaultConsecutiveFailures)
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.MinRequests = cmp.Or(c.MinRequests, defaultMinRequests)
	c.MinPeers = cmp.Or(c.MinPeers, defaultMinPeers)
	c.Deviations = cmp.Or(c.Deviations, defaultDeviations)
	c.BaseEjection = cmp.Or(c.BaseEjection, defaultBaseEjection)
	c.MaxEjection = cmp.Or(c.MaxEjection, defaultMaxEjection)
	c.Ramp = cmp.Or(c.Ramp, defaultRamp)
	return c
}

// Tracker follows one server. Safe for concurrent use. Create it with New.
type Tracker struct {
	config Config

	mutex       sync.Mutex
	consecutive int
	successes   int // in the interval
	failures    int
	ejections   int // that lengthen the next one
	ejected     bool
	since       time.Time // start of the last ejection
	until       time.Time // end of it
}

// New returns the tracker of a server that nothing is known of.
func New(config Config) *Tracker {
	return &Tracker{config: config.WithDefaults()}
}

// Record takes in the end of a request. It returns true if that ejects the
// server.
func (t *Tracker) Record(now time.Time, success bool) bool {
	if t.config.Off {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if success {
		t.successes++
		t.consecutive = 0
		return false
	}
	t.failures++
	t.consecutive++
	if t.consecutive < t.config.ConsecutiveFailures {
		return false
	}
	return t.eject(now)
}

// eject takes the server out, unless it already is.
func (t *Tracker) eject(now time.Time) bool {
	if now.Before(t.until) {
		return false
	}
	t.forgive(now)
	length := float64(t.config.BaseEjection) * math.Pow(2, float64(t.ejections))
	length = math.Min(length, float64(t.config.MaxEjection))
	t.ejections++
	t.ejected = true
	t.since = now
	t.until = now.Add(time.Duration(length))
	t.consecutive = 0
	return true
}

// forgive counts one ejection less for each MaxEjection that the server was in.
func (t *Tracker) forgive(now time.Time) {
	if !t.ejected {
		return
	}
	healthy := int(now.Sub(t.until) / t.config.MaxEjection)
	t.ejections = max(0, t.ejections-healthy)
}

// Status is what routing needs to know of a server.
type Status struct {
	Ejected bool
	Until   time.Time // end of the ejection, if ejected
	Share   float64   // of the normal traffic, from minShare to 1
}

// Status returns the state at now.
func (t *Tracker) Status(now time.Time) Status {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.ejected {
		return Status{Share: 1}
	}
	if now.Before(t.until) {
		return Status{Ejected: true, Until: t.until, Share: minShare}
	}
	progress := float64(now.Sub(t.until)) / float64(t.config.Ramp)
	return Status{Share: math.Min(1, minShare+(1-minShare)*progress)}
}

// sample returns the success rate in the interval, and false if there were too
// few requests, and begins a new interval.
func (t *Tracker) sample() (float64, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	total := t.successes + t.failures
	if total < t.config.MinRequests {
		return 0, false
	}
	rate := float64(t.successes) / float64(total)
	t.successes, t.failures = 0, 0
	return rate, true
}

// Compare ejects the trackers whose success rate lies far below that of their
// peers, and returns how many. It is called once an interval.
func Compare(now time.Time, config Config, trackers []*Tracker) int {
	config = config.WithDefaults()
	if config.Off {
		return 0
	}
	compared := make([]*Tracker, 0, len(trackers))
	rates := make([]float64, 0, len(trackers))
	for _, tracker := range trackers {
		if rate, enough := tracker.sample(); enough {
			compared = append(compared, tracker)
			rates = append(rates, rate)
		}
	}
	if len(rates) < config.MinPeers {
		return 0
	}
	count := 0
	for index, tracker := range compared {
		if isOutlier(config, rates, index) && tracker.ejectNow(now) {
			count++
		}
	}
	return count
}

func (t *Tracker) ejectNow(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.eject(now)
}

// isOutlier compares a rate with the mean and deviation of all others. The rate
// itself is left out, since among few servers it would hide itself.
func isOutlier(config Config, rates []float64, suspect int) bool {
	sum, squares := 0.0, 0.0
	for index, rate := range rates {
		if index != suspect {
			sum += rate
			squares += rate * rate
		}
	}
	count := float64(len(rates) - 1)
	mean := sum / count
	deviation := math.Sqrt(math.Max(0, squares/count-mean*mean))
	gap := math.Max(minGap, config.Deviations*deviation)
	return rates[suspect] < mean-gap
}
