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
// TestLimitIsCheckedAgain in package cell,
// TestAdmissionIsNeeded, TestVerifyIsNeeded,
// TestOldListIsNotBelieved and TestInstanceIsNeeded.
var mechanisms = []mechanism{
	{"majority before orders", switches.Set{NoMajority: true}, 553},
	{"intents before orders", switches.Set{NoIntents: true}, 220},
	{"fenced inventories", switches.Set{NoFence: true}, 35},
	{"unknown servers count", switches.Set{UnknownIsEmpty: true}, 9},
	{"doubt settled by inventory", switches.Set{DoubtIsRefused: true}, 103},
	{"unload confirmed by inventory", switches.Set{FreeOnUnload: true}, 21},
	{"wishes checked", switches.Set{TrustDecider: true, NoRecheck: true}, 1},
	{"tree floor", switches.Set{NoTreeFloor: true}, 2},
}

// searched is the number of schedules from a mechanism's seed on in which a
// promise must break. The first breaks at present; more are tried so that a
// change of the code elsewhere does not hide what the test is about.
const searched = 200

// TestMechanismsAreNeeded takes each mechanism away and expects a promise to
// break; with the mechanism the same schedule holds. -explore.find searches
// -explore.schedules for a seed to write down.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			first, count := m.seed, searched
			if *findSeeds {
				first, count = 1, *schedules
			}
			without, _ := explore(first, count, m.unsafe, false)
			if without == nil {
				t.Fatalf("nothing breaks without the mechanism in %d schedules from seed %d", count, first)
			}
			t.Logf("seed %d without it: %s", without.seed, without.failure)
			if with := runSchedule(without.seed, switches.Set{}, false); with.failure != "" {
				t.Errorf("seed %d with it: %s", without.seed, with.failure)
			}
		})
	}
}
