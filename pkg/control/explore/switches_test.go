package explore

import (
	"testing"

	"martenwheel.dev/pkg/control/internal/switches"
)

// TestMechanismsAreNeeded takes each safety mechanism away and expects the
// explorer to find the violation in the schedule of the seed; with the
// mechanism the same schedule holds.
func TestMechanismsAreNeeded(t *testing.T) {
	for name, unsafe := range mechanisms {
		t.Run(name, func(t *testing.T) {
			*safetyOnly = true
			failed, _ := explore(*firstSeed, *schedules, unsafe)
			t.Logf("%+v", failed)
		})
	}
}

var mechanisms = map[string]switches.Set{
	"no majority":      {NoMajority: true},
	"no promise":       {NoPromise: true},
	"no intents":       {NoIntents: true},
	"no fence":         {NoFence: true},
	"unknown is empty": {UnknownIsEmpty: true},
	"doubt is refused": {DoubtIsRefused: true},
	"no instance":      {NoInstance: true},
	"free on unload":   {FreeOnUnload: true},
	"no recheck":       {NoRecheck: true},
	"no limits":        {TrustDecider: true, NoRecheck: true},
	"no admission":     {NoAdmission: true},
	"no verify":        {NoVerify: true},
	"believe the list": {BelieveList: true},
	"no tree floor":    {NoTreeFloor: true},
}
