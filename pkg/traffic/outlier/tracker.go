// Package outlier detects servers that fail more often than their peers. It ejects them
// from routing for a time that grows with each ejection, and then returns their traffic
// gradually. It reads no clock.
package outlier

import (
	"cmp"
	"math"
	"sync"
	"time"
)

// Config configures outlier detection. The zero value of a field selects the default.
type Config struct {
	ConsecutiveFailures int           // number of failures in a row that eject a server at once
	Interval            time.Duration // time between two comparisons of success rates
	MinRequests         int           // minimum requests of a server in an interval for the comparison
	MinPeers            int           // minimum number of servers with MinRequests for a comparison
	Deviations          float64       // standard deviations below the mean success rate that eject a server
	BaseEjection        time.Duration // duration of the first ejection
	MaxEjection         time.Duration // maximum duration of an ejection
	Ramp                time.Duration // time over which the traffic returns after an ejection
	Off                 bool          // disables detection; for tests
}

// Defaults of Config.
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

// minShare is the share of the normal traffic at the end of an ejection.
const minShare = 0.1

// minGap is the minimum distance below the mean success rate for an ejection, so that
// servers are not ejected for random variations when all of them work well.
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

// Tracker tracks the failures and ejections of one server. It is safe for concurrent
// use. Create it with New.
type Tracker struct {
	config Config

	mutex       sync.Mutex
	consecutive int       // failures since the last success or ejection
	successes   int       // in the current interval
	failures    int       // in the current interval
	ejections   int       // earlier ejections that lengthen the next one
	ejected     bool      // whether the server was ever ejected
	since       time.Time // start of the last ejection
	until       time.Time // end of the last ejection
}

// New returns the tracker of a server without recorded requests.
func New(config Config) *Tracker {
	return &Tracker{config: config.WithDefaults()}
}

// Record records the end of a request. It returns true if that ejects the server.
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

// eject ejects the server. It returns false if it already is ejected.
func (t *Tracker) eject(now time.Time) bool {
	if now.Before(t.until) {
		return false
	}
	t.reduceEjections(now)
	length := float64(t.config.BaseEjection) * math.Pow(2, float64(t.ejections))
	length = math.Min(length, float64(t.config.MaxEjection))
	t.ejections++
	t.ejected = true
	t.since = now
	t.until = now.Add(time.Duration(length))
	t.consecutive = 0
	return true
}

// reduceEjections reduces the count of ejections by one for each MaxEjection that passed since
// the last ejection ended.
func (t *Tracker) reduceEjections(now time.Time) {
	if !t.ejected {
		return
	}
	healthy := int(now.Sub(t.until) / t.config.MaxEjection)
	t.ejections = max(0, t.ejections-healthy)
}

// Status is the state of a server for routing.
type Status struct {
	Ejected bool
	Until   time.Time // end of the ejection, if ejected
	Share   float64   // share of the normal traffic, from minShare to 1
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

// sample returns the success rate in the current interval and starts a new one. If there
// were too few requests, it returns false and the interval continues.
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

// Compare ejects the servers whose success rate is far below that of their peers, and
// returns their number. The caller calls it once per interval.
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

// isOutlier compares a rate with the mean and standard deviation of the others. It
// excludes the rate itself, which among few servers would shift both so far that it no
// longer stood out.
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
