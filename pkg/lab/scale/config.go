// Package scale runs many hollow nodes in one process and measures what the
// control side costs each of them. A hollow node is the real control machine
// with its own goroutine and the real transport over loopback TCP, without
// traffic. Engines and the platform's services answer from memory.
package scale

import (
	"io"
	"math"
	"time"
)

// The target size in docs/CAPACITY.md. Smaller runs keep its proportions.
const (
	targetNodes    = 330
	targetServers  = 1200
	targetModels   = 1400
	targetAdapters = 3700
	targetRegions  = 5
	targetZones    = 17
	targetServices = 10
	// targetWakesPerHour is 5.5% of the models and adapters.
	targetWakesPerHour = 0.055 * (targetModels + targetAdapters)
	targetEditsPerDay  = 4000
)

// Config sets the size of one run. Zero fields take the proportion of the
// target size that Nodes has.
type Config struct {
	Nodes    int
	Servers  int
	Models   int
	Adapters int
	Regions  int
	Zones    int
	Services int // cells per region

	ReplicasPerServer int           // loaded before the measurement
	Quiet             time.Duration // of the measurement with no event
	Wakes             int           // of idle models
	Edits             int           // of the tree
	EditPause         time.Duration // after each edit
	Deaths            int           // of nodes that own nothing
	Takeovers         int           // of cells whose owner dies
	Patience          time.Duration // for the cluster to form, and for each event

	Seed     uint64
	Progress io.Writer // gets a line per phase; nil: none
}

// withDefaults fills in the zero fields.
func (c Config) withDefaults() Config {
	if c.Nodes == 0 {
		c.Nodes = 7
	}
	share := func(target int) int {
		return max(1, int(math.Round(float64(target)*float64(c.Nodes)/targetNodes)))
	}
	setDefault(&c.Servers, share(targetServers))
	setDefault(&c.Models, share(targetModels))
	setDefault(&c.Adapters, share(targetAdapters))
	setDefault(&c.Regions, min(targetRegions, max(1, c.Nodes/24)))
	setDefault(&c.Zones, max(3*c.Regions, share(targetZones)))
	setDefault(&c.Services, share(targetServices))
	setDefault(&c.ReplicasPerServer, 2)
	setDefault(&c.Quiet, 10*time.Second)
	setDefault(&c.Wakes, 10)
	setDefault(&c.Edits, 5)
	setDefault(&c.EditPause, 5*time.Second)
	setDefault(&c.Deaths, 3)
	setDefault(&c.Takeovers, 2)
	setDefault(&c.Patience, 90*time.Second)
	if c.Progress == nil {
		c.Progress = io.Discard
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
