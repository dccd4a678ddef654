package traffic

import (
	"cmp"
	"time"

	"martenwheel.dev/pkg/traffic/outlier"
)

// Config is what a Router needs from its node. Control must be set; the zero
// values of the other fields select defaults.
type Config struct {
	Control    Control
	Zone       string           // of this node
	Now        func() time.Time // time.Now if nil
	Seed       uint64           // of the random choices; the same seed gives the same choices
	MaxWaiting int              // requests that wait on this node, of all models
	MaxCallers int              // callers whose rates are remembered
	HeadStart  float64          // tokens that one step of priority is worth in a queue
	Outlier    outlier.Config

	off mechanisms
}

// mechanisms are switched off by tests, to show what each is needed for.
type mechanisms struct {
	fairness     bool // between callers
	earlyRefusal bool // of what can't be ready by its deadline
	wakeOnce     bool // one report per idle model
	retryChecks  bool // whether a repeat is safe
	displacement bool // from a full queue, by callers with less in it
	leaving      bool // exclusion of servers that said that they leave
	unreachable  bool // exclusion of servers that answer neither the owner nor this node
	callerCheck  bool // whether the caller of a queued request is still there
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
