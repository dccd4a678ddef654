package traffic

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// ModelLookup finds a model in a revision of the settings tree.
type ModelLookup func(*tree.Tree, api.ModelName) (tree.Model, bool)

// Config is what a dispatcher needs from its node. Control and Lookup must be
// set; the zero values of the other fields select defaults.
type Config struct {
	Control Control
	Lookup  ModelLookup
	Zone    string           // of this node
	Now     func() time.Time // time.Now if nil
}

// withDefaults returns the config with every optional field set.
func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
