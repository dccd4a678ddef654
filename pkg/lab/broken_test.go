package lab

import "testing"

// playBroken runs engines that break their answers, or the same load without them. All requests may be sent again.
func playBroken(t *testing.T, faults Faults, trustsEnds bool) *simulation {
	t.Helper()
	const seed = 4
	scenario := loadScenario(t, "hornada", "duration=10m", "fault_rate=20", "services.booking.unsafe_share=0",
		"services.booking.requests_per_second=10", "services.assistant.requests_per_second=10")
	return playFaults(t, scenario, seed, func(sim *simulation) { sim.trustsEnds = trustsEnds }, faults)
}

// Guards against requests that are lost as engines break their answers.
func TestRequestsOutlastBrokenAnswers(t *testing.T) {
	t.Parallel()
	want, _ := playBroken(t, FaultsNone, false).result(Options{}, true)
	checkNoViolations(t, want)
	sim := playBroken(t, FaultsBroken, false)
	got, _ := sim.result(Options{}, true)
	checkNoViolations(t, got)
	if got.Requests != want.Requests {
		t.Errorf("with broken answers %+v, without %+v", got.Requests, want.Requests)
	}
	if faults := sim.faultCounts[FaultsBroken]; sim.brokenAnswers < faults {
		t.Errorf("%d broken answers in %d faults: little is shown", sim.brokenAnswers, faults)
	}
}

// Guards against an emulator that does not see a part that a node takes for whole.
func TestMIXEDPartsThatLookWholeAreNotReported(t *testing.T) {
	t.Parallel()
	sim := playBroken(t, FaultsBroken, true)
	if parts := sim.checker.violations.Parts; parts == 0 || parts != sim.brokenAnswers {
		t.Errorf("%d violations by %d broken answers", parts, sim.brokenAnswers)
	}
}
