package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/quarantine"
)

// TestACrashInATrialIsLostWithItsNode has a node crash while it holds back the evidence of a trial's crash: the other nodes knew of
// the crash and never counted it, so that the request crashed one more server.
func TestACrashInATrialIsLostWithItsNode(t *testing.T) {
	for _, c := range []struct {
		name  string
		after func(sim *simulation, trial, other *simNode, report func(n *simNode, f quarantine.Fingerprint, server string, round int))
		want  quarantine.Standing
	}{
		{"its node is lost", func(sim *simulation, trial, _ *simNode, _ func(*simNode, quarantine.Fingerprint, string, int)) {
			sim.crash(trial)
		}, quarantine.Quarantined},
		{"its node is lost, and another request met the crash", func(sim *simulation, trial, other *simNode, report func(*simNode, quarantine.Fingerprint, string, int)) {
			sim.crash(trial)
			time.Sleep(3 * time.Second) // contactMs of the users' rules
			report(other, otherRequest, "server-2", 1)
		}, quarantine.Suspected},
		{"all nodes are lost", func(sim *simulation, _, _ *simNode, _ func(*simNode, quarantine.Fingerprint, string, int)) {
			sim.crashAll()
		}, quarantine.Suspected},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, 1)
				defer sim.stopNodes()
				time.Sleep(contactTime)
				other, trial := sim.holderAndOther()
				report := func(n *simNode, f quarantine.Fingerprint, server string, round int) {
					n.member.ServerCrashed(quarantine.Run{Request: f, Service: "s", Server: server, Round: round, RequestID: "id", ByRecord: true})
				}
				for i, server := range []string{"server-0", "server-1"} {
					report(trial, trialRequest, server, i+1)
					report(other, otherRequest, server, 1)
				}
				time.Sleep(200 * time.Millisecond)
				if granted, err := trial.member.RequestTrial(t.Context(), "s", "server-2", trialRequest); err != nil || !granted {
					t.Fatal("the request gets no trial", err)
				}
				report(trial, trialRequest, "server-2", 3)
				time.Sleep(time.Second) // until the lease's record has it
				c.after(sim, trial, other, report)
				time.Sleep(contactTime)
				for _, n := range sim.nodes {
					if got := n.member.Standing(trialRequest); got != c.want {
						t.Errorf("the request is %v at %s, want %v", got, n.name, c.want)
					}
				}
			})
		})
	}
}

// Requests of TestACrashInATrialIsLostWithItsNode.
var (
	trialRequest = quarantine.FingerprintOf("POST", "h", "/", []byte("in a trial"))
	otherRequest = quarantine.FingerprintOf("POST", "h", "/", []byte("another"))
)
