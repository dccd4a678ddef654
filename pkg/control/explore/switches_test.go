package explore

import (
	"testing"

	"martenwheel.dev/pkg/control/internal/switches"
)

// mechanism is a safety mechanism and the seed of a schedule in which a promise
// breaks without it.
type mechanism struct {
	name   string
	unsafe switches.Set
	seed   uint64
}

// mechanisms are those that random schedules show to be needed. Others
// have tests of their own: TestPromiseIsNeeded in package quorum,
// TestAdmissionIsNeeded and TestVerifyIsNeeded.
var mechanisms = []mechanism{
	{"majority before orders", switches.Set{NoMajority: true}, 74},
	{"intents before orders", switches.Set{NoIntents: true}, 66},
	{"fenced inventories", switches.Set{NoFence: true}, 123},
	{"unknown servers count", switches.Set{UnknownIsEmpty: true}, 5},
	{"doubt settled by inventory", switches.Set{DoubtIsRefused: true}, 14},
	{"orders name the instance", switches.Set{NoInstance: true}, 706},
	{"unload confirmed by inventory", switches.Set{FreeOnUnload: true}, 36},
	{"limits checked again at the order", switches.Set{NoRecheck: true}, 612},
	{"wishes checked", switches.Set{TrustDecider: true, NoRecheck: true}, 1},
	{"old lists not believed", switches.Set{BelieveList: true}, 1071},
	{"tree floor", switches.Set{NoTreeFloor: true}, 1},
}

// TestMechanismsAreNeeded takes each mechanism away and expects a promise to
// break in its schedule; with the mechanism the same schedule holds. When the
// code has changed so that a seed no longer shows it, -explore.find searches
// for another.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			if *findSeeds {
				found, _ := explore(1, *schedules, m.unsafe)
				t.Logf("%+v", found)
				return
			}
			without := runSchedule(m.seed, m.unsafe, false)
			if without.failure == "" {
				t.Errorf("seed %d: nothing breaks without the mechanism", m.seed)
			}
			t.Logf("seed %d without it: %s", m.seed, without.failure)
			if with := runSchedule(m.seed, switches.Set{}, false); with.failure != "" {
				t.Errorf("seed %d with it: %s", m.seed, with.failure)
			}
		})
	}
}
