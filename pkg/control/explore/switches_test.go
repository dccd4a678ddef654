package explore

import (
	"testing"

	"martenwheel.dev/pkg/control/internal/switches"
)

// mechanism is a safety mechanism with the switches that disable it.
type mechanism struct {
	name   string
	unsafe switches.Set
}

// mechanisms are the safety mechanisms whose absence random schedules soon
// reveal. The others have tests that create the situation they guard against: see
// scenarios_test.go, TestPromiseIsNeeded in package quorum, and
// TestLimitIsCheckedAgain and TestMemoryIsFreedOnlyByInventory in package cell.
var mechanisms = []mechanism{
	{"fenced inventories", switches.Set{NoFence: true}},
	{"unknown servers count", switches.Set{UnknownIsEmpty: true}},
	{"unknown outcome settled by inventory", switches.Set{UnknownOutcomeIsRefused: true}},
	{"policy actions checked", switches.Set{TrustDecider: true, NoRecheck: true}},
	{"tree floor", switches.Set{NoTreeFloor: true}},
}

// maxSearched is the number of schedules within which an invariant must be
// violated when a mechanism is disabled. The rarest violation occurs in about one
// of eighty schedules.
const maxSearched = 600

// TestMechanismsAreNeeded disables each mechanism and expects a violation. With
// the mechanism the same schedule must not violate any invariant.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			without, _ := explore(1, maxSearched, options{unsafe: m.unsafe})
			if without == nil {
				t.Fatalf("no violation without the mechanism in %d schedules", maxSearched)
			}
			t.Logf("seed %d without the mechanism: %s", without.seed, without.failure)
			if with := runSchedule(without.seed, options{}, false); with.failure != "" {
				t.Errorf("seed %d with the mechanism: %s", without.seed, with.failure)
			}
		})
	}
}
