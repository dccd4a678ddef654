package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/quarantine"
)

// TestTheHolderForwardsAFirstCrashToAllNodes has a server crash under a request at a node that knows
// no other nodes yet, as right after a holder's term begins. The holder knows all nodes and must
// forward the evidence, although one crash does not restrict the request yet: a node without it
// counts its own first crash to the same round, and one more server crashes before quarantine.
func TestTheHolderForwardsAFirstCrashToAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		defer sim.stopNodes()
		time.Sleep(5 * time.Second)
		var first *simNode // a node that does not hold the lease
		for _, n := range sim.nodes {
			if _, held := n.lease.Held(); !held {
				first = n
			}
		}
		first.member.nodes.Store(&[]Node{first.member.Self})
		f := quarantine.FingerprintOf("POST", "h", "/", nil)
		first.member.ServerCrashed(quarantine.Run{Request: f, Service: "s", Server: "server-0", Round: 1, RequestID: "id"})
		const spreadTime = 100 * time.Millisecond // callers retry after 200 ms or more
		time.Sleep(spreadTime)
		for _, n := range sim.nodes {
			if round := n.member.NextRound(f); round != 2 {
				t.Errorf("%s expects round %d for the next run, %v after the first crash, want 2", n.name, round, spreadTime)
			}
		}
	})
}

// TestLateEvidenceClearsAHarmlessRequest has the evidence against the crashing request arrive after
// each delay that a node in contact with the store may need.
//
// The failure it guards against: the trial of a harmless request ran on a server that a crashing
// request then crashed. The harmless request was quarantined until the node that had run the
// crashing request knew of the crash. The end of a trial waited only 0.5 s for evidence against
// other requests. Behind proxies, which never refuse a connection, nodes learn of a crash only from
// the server's record. A node that is cut off from the store, or waits for a busy one, learns of it
// as much later: 0.1 to 3.1 s were observed.
func TestLateEvidenceClearsAHarmlessRequest(t *testing.T) {
	const contactTime = 3 * time.Second // contactMs of the users' rules
	for delay := time.Duration(0); delay <= contactTime; delay += 100 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, 1)
				defer sim.stopNodes()
				time.Sleep(5 * time.Second)
				harmless, crashing := quarantine.FingerprintOf("POST", "h", "/", []byte("innocent")), quarantine.FingerprintOf("POST", "h", "/", []byte("fatal"))
				reportCrash := func(n *simNode, f quarantine.Fingerprint, server string, round int) {
					n.member.ServerCrashed(quarantine.Run{Request: f, Service: "s", Server: server, Round: round, RequestID: "id", ByRecord: true})
				}
				one, other := sim.nodes[0], sim.nodes[1]
				for i, server := range []string{"server-0", "server-1"} {
					reportCrash(one, harmless, server, i+1)
					reportCrash(other, crashing, server, 1) // all its tries belong to one round: no crash has shown yet
				}
				time.Sleep(200 * time.Millisecond)
				if granted, err := one.member.RequestTrial(t.Context(), "s", "server-2", harmless); err != nil || !granted {
					t.Fatal("the harmless request gets no trial", err)
				}
				time.Sleep(4 * time.Second) // the record disappears after three missed heartbeats
				reportCrash(one, harmless, "server-2", one.member.NextRound(harmless))
				time.AfterFunc(delay, func() { reportCrash(other, crashing, "server-2", 1) })
				for crashed := time.Now(); time.Since(crashed) < 5*time.Second; time.Sleep(50 * time.Millisecond) {
					for _, n := range sim.nodes {
						if n.member.Standing(harmless) == quarantine.Quarantined {
							t.Fatalf("%s has quarantined the harmless request", n.name)
						}
					}
					waited := time.Since(crashed)
					if granted, _ := other.member.RequestTrial(t.Context(), "s", "server-3", harmless); granted && waited < delay {
						t.Fatalf("it gets another trial after %v, before the evidence on the server's crash arrived", waited)
					}
				}
			})
		})
	}
}

// TestACrashSharedByASuspectQuarantinesNoHarmlessRequest has a harmless request, which many callers
// send, get its trial on a server where a node without news of the suspicion runs a crashing
// request. That node learns of the crash later. The harmless request must never be quarantined at
// any node, and gets no other trial until the cause of the crash is known. The next crash under the
// crashing request quarantines that one.
func TestACrashSharedByASuspectQuarantinesNoHarmlessRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		defer func() {
			for _, n := range sim.nodes {
				n.stop()
			}
			time.Sleep(5 * time.Second) // virtual; lets pending calls end
		}()
		time.Sleep(5 * time.Second)
		harmless, crashing := quarantine.FingerprintOf("POST", "h", "/", []byte("innocent")), quarantine.FingerprintOf("POST", "h", "/", []byte("fatal"))
		reportCrash := func(n *simNode, f quarantine.Fingerprint, server string, round int) {
			n.member.ServerCrashed(quarantine.Run{Request: f, Service: "s", Server: server, Round: round, RequestID: "id"})
		}
		requestTrial := func(n *simNode, f quarantine.Fingerprint, server string) bool {
			granted, err := n.member.RequestTrial(t.Context(), "s", server, f)
			if err != nil {
				t.Error(err)
			}
			return granted
		}
		one, other := sim.nodes[0], sim.nodes[1]
		for i, server := range []string{"server-0", "server-1"} {
			reportCrash(one, harmless, server, i+1)
			reportCrash(one, crashing, server, i+1)
		}
		time.Sleep(200 * time.Millisecond)
		if !requestTrial(one, harmless, "server-2") {
			t.Error("the harmless request gets no trial")
		}
		reportCrash(one, harmless, "server-2", one.member.NextRound(harmless))
		one.member.ReleaseTrial("server-2", harmless)
		for step := range 20 {
			time.Sleep(50 * time.Millisecond)
			if step == 5 {
				reportCrash(other, crashing, "server-2", 1)
			}
			if step < 8 && requestTrial(other, harmless, "server-3") {
				t.Errorf("the harmless request gets another trial in step %d", step)
			}
			for _, n := range sim.nodes {
				if got := n.member.Standing(harmless); got != quarantine.Suspected {
					t.Errorf("at %s in step %d the harmless request is %v, want suspected", n.name, step, got)
				}
			}
		}
		if !requestTrial(other, harmless, "server-3") {
			t.Error("the harmless request gets no second trial")
		}
		if !requestTrial(other, crashing, "server-4") {
			t.Error("the crashing request gets no trial")
		}
		reportCrash(other, crashing, "server-4", other.member.NextRound(crashing))
		other.member.ReleaseTrial("server-4", crashing)
		time.Sleep(time.Second)
		for _, n := range sim.nodes {
			if got := n.member.Standing(crashing); got != quarantine.Quarantined {
				t.Errorf("at %s the crashing request is %v, want quarantined", n.name, got)
			}
		}
	})
}

// TestAHarmlessRequestIsNotQuarantinedBeforeNodesFoundTheHolder has the server of a harmless
// request's trial crash right after all nodes were lost. The node that ran the crashing request
// there finds the holder only seconds later.
func TestAHarmlessRequestIsNotQuarantinedBeforeNodesFoundTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		defer sim.stopNodes()
		time.Sleep(700 * time.Millisecond)
		harmless, crashing := quarantine.FingerprintOf("POST", "h", "/", []byte("innocent")), quarantine.FingerprintOf("POST", "h", "/", []byte("fatal"))
		reportCrash := func(n *simNode, f quarantine.Fingerprint, server string, round int) {
			n.member.ServerCrashed(quarantine.Run{Request: f, Service: "s", Server: server, Round: round, RequestID: "id"})
		}
		one, other := sim.nodes[0], sim.nodes[1]
		for i, server := range []string{"server-0", "server-1"} {
			reportCrash(one, harmless, server, i+1)
			reportCrash(one, crashing, server, i+1)
		}
		reportCrash(one, harmless, "server-2", one.member.NextRound(harmless))
		for step := range 80 {
			time.Sleep(100 * time.Millisecond)
			if step == 20 {
				reportCrash(other, crashing, "server-2", 1)
			}
			for _, n := range sim.nodes {
				if n.member.Standing(harmless) == quarantine.Quarantined {
					t.Fatalf("%s has quarantined the harmless request", n.name)
				}
			}
		}
	})
}

// TestATrialIsNotOverBeforeItsCrashIsKnown has a trial end with the crash of its server, at a node
// that does not hold the lease. Whoever then asks the holder for the next trial must be refused or
// know of that crash. When the trial was over 10 ms before the crash was reported, one more server
// crashed.
func TestATrialIsNotOverBeforeItsCrashIsKnown(t *testing.T) {
	for name, crashes := range map[string]int{"the last end before quarantine": 2, "an earlier one": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, 1)
				defer sim.stopNodes()
				time.Sleep(5 * time.Second)
				nodes := slices.DeleteFunc(slices.Clone(sim.nodes), func(n *simNode) bool { _, held := n.lease.Held(); return held })
				one, other := nodes[0], nodes[1]
				f := quarantine.FingerprintOf("POST", "h", "/", []byte("fatal"))
				for i := range crashes {
					one.member.ServerCrashed(quarantine.Run{Request: f, Service: "s", Server: fmt.Sprintf("server-%d", i), Round: i + 1, RequestID: "id"})
				}
				time.Sleep(200 * time.Millisecond)
				if granted, err := one.member.RequestTrial(t.Context(), "s", "server-5", f); !granted {
					t.Fatalf("the request gets no trial: %v", err)
				}
				one.member.ServerCrashed(quarantine.Run{Request: f, Service: "s", Server: "server-5", Round: crashes + 1, RequestID: "id"})
				one.member.ReleaseTrial("server-5", f)
				for range 2 * clearanceWait / time.Millisecond {
					granted, err := other.member.RequestTrial(t.Context(), "s", "server-6", f)
					if err != nil {
						t.Fatal(err)
					}
					if round := other.member.NextRound(f); granted && round != crashes+2 {
						t.Fatalf("the request gets its next trial for round %d although %d servers crashed", round, crashes+1)
					}
					if granted {
						break
					}
					time.Sleep(time.Millisecond)
				}
				if got := other.member.Standing(f); crashes == 2 && got != quarantine.Quarantined {
					t.Errorf("after three crashes the request is %v, want quarantined", got)
				}
			})
		})
	}
}
