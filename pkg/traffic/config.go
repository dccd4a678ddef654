package traffic

import (
	"cmp"
	"time"

	"martenwheel.dev/pkg/traffic/outlier"
)

// Config configures a Router. Control must be set; the zero values of the other
// fields select defaults.
type Config struct {
	Control    Control
	Zone       string           // zone of this node
	Now        func() time.Time // time.Now if nil
	Seed       uint64           // for the random choices; the same seed gives the same choices
	MaxWaiting int              // maximum number of requests of all models that wait on this node
	MaxCallers int              // number of callers whose rate limit state is kept
	HeadStart  float64          // tokens by which one step of priority moves a request ahead in a queue
	Outlier    outlier.Config

	off mechanisms
}

// mechanisms selects the mechanisms that tests switch off, to verify that each one is
// needed.
type mechanisms struct {
	fairness     bool // fair queueing between callers
	earlyRefusal bool // refusal of requests that can't be served by their deadline
	wakeOnce     bool // a single immediate report for each model without a replica
	retryChecks  bool // check that a retry is safe
	displacement bool // displacement from a full queue by callers with fewer requests in it
	leaving      bool // exclusion of servers that reported that they leave
	unreachable  bool // exclusion of servers that answer neither the owner nor this node
	callerCheck  bool // check that the caller of a queued request is still connected
}

// Defaults of Config.
const (
	defaultMaxWaiting = 100_000
	defaultMaxCallers = 16_384
	defaultHeadStart  = 20_000
)

// withDefaults returns the config with every optional field set.
func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.MaxWaiting = cmp.Or(c.MaxWaiting, defaultMaxWaiting)
	c.MaxCallers = cmp.Or(c.MaxCallers, defaultMaxCallers)
	c.HeadStart = cmp.Or(c.HeadStart, defaultHeadStart)
	c.Outlier = c.Outlier.WithDefaults()
	return c
}
