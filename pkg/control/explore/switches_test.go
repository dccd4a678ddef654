package explore

import (
	"testing"

	"martenwheel.dev/pkg/control/internal/switches"
)

// mechanism is a safety mechanism with the switches that take it away.
type mechanism struct {
	name   string
	unsafe switches.Set
}

// mechanisms are the safety mechanisms that random schedules soon show to be
// needed. Others have tests of their own, which cause just what they are for:
// see scenarios_test.go, TestPromiseIsNeeded in package quorum, and
// TestLimitIsCheckedAgain and TestMemoryIsFreeOnlyWhenShown in package cell.
var mechanisms = []mechanism{
	{"fenced inventories", switches.Set{NoFence: true}},
	{"unknown servers count", switches.Set{UnknownIsEmpty: true}},
	{"doubt settled by inventory", switches.Set{DoubtIsRefused: true}},
	{"wishes checked", switches.Set{TrustDecider: true, NoRecheck: true}},
	{"tree floor", switches.Set{NoTreeFloor: true}},
}

// searched is the number of schedules in which a promise must break without a
// mechanism. The rarest breaks about once in eighty.
const searched = 600

// TestMechanismsAreNeeded takes each mechanism away and expects a promise to
// break; with the mechanism the same schedule holds.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			without, _ := explore(1, searched, options{unsafe: m.unsafe})
			if without == nil {
				t.Fatalf("nothing breaks without the mechanism in %d schedules", searched)
			}
			t.Logf("seed %d without it: %s", without.seed, without.failure)
			if with := runSchedule(without.seed, options{}, false); with.failure != "" {
				t.Errorf("seed %d with it: %s", without.seed, with.failure)
			}
		})
	}
}
