package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

func nodeName(index int) api.NodeID {
	return api.NodeID(fmt.Sprintf("n%03d", index))
}

// sizes are the cluster sizes for which detection times and traffic are checked.
var sizes = []struct {
	nodes, regions, zones int
	noticedWithin         time.Duration
}{
	{3, 1, 3, 2 * time.Second},
	{7, 1, 3, 2 * time.Second},
	{30, 1, 4, 2 * time.Second},
	{60, 2, 6, 3 * time.Second},
	{330, 5, 17, 5 * time.Second},
}

func TestDeathIsKnownToAllInTime(t *testing.T) {
	t.Parallel()
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d nodes", size.nodes), func(t *testing.T) {
			n := newNetwork(t, networkConfig{seed: 1, nodes: size.nodes, regions: size.regions, zones: size.zones})
			n.run(10 * time.Second)
			n.requireAgreement(size.nodes)
			worst := time.Duration(0)
			for index := range min(size.nodes-2, 5) {
				worst = max(worst, n.timeToNotice(nodeName(index*size.nodes/7)))
			}
			t.Logf("longest time until a death was known to all: %v", worst)
			if worst > size.noticedWithin {
				t.Errorf("a death was known to all after %v, want %v", worst, size.noticedWithin)
			}
		})
	}
}

// timeToNotice kills a node and returns the time until all others see it as dead.
func (n *network) timeToNotice(id api.NodeID) time.Duration {
	n.kill(id)
	start := n.now
	for n.now.Sub(start) < time.Minute {
		n.run(tickInterval)
		if n.allSee(id, StateDead) {
			break
		}
	}
	return n.now.Sub(start)
}

// allSee reports whether all other nodes see a node in a state.
func (n *network) allSee(id api.NodeID, state State) bool {
	return !slices.ContainsFunc(n.nodes, func(node *testNode) bool {
		seen, known := node.machine.Member(id)
		return node.ref.ID != id && (!known || seen.State != state)
	})
}

// fault is a temporary fault in a settled network.
type fault struct {
	name  string
	start func(n *network)
	// duration is the length of the fault, and settleTime the time after its end until all nodes agree again.
	duration, settleTime time.Duration
	end                  func(n *network)
	runningAfter         int  // number of nodes at the end, of 9 at the start
	noDeaths             bool // nobody may be declared dead during the fault; otherwise somebody must be
}

func cutZone(zone string) func(from, to api.NodeRef) bool {
	return func(from, to api.NodeRef) bool { return (from.Zone == zone) != (to.Zone == zone) }
}

func heal(n *network) { n.cut = nil }

// faults are the fault cases for a network of 9 nodes in 3 zones.
var faults = []fault{
	{
		name: "one-way cut between two nodes", runningAfter: 9, noDeaths: true,
		start: func(n *network) {
			n.cut = func(from, to api.NodeRef) bool { return from.ID == "n001" && to.ID == "n002" }
		},
		duration: 10 * time.Second, end: heal, settleTime: time.Second,
	},
	{
		name: "cut between two nodes", runningAfter: 9, noDeaths: true,
		start: func(n *network) {
			n.cut = func(from, to api.NodeRef) bool {
				return from.ID == "n001" && to.ID == "n002" || from.ID == "n002" && to.ID == "n001"
			}
		},
		duration: 10 * time.Second, end: heal, settleTime: time.Second,
	},
	{
		name: "node that receives nothing", runningAfter: 9,
		start:    func(n *network) { n.cut = func(_, to api.NodeRef) bool { return to.ID == "n003" } },
		duration: 20 * time.Second, end: heal, settleTime: 10 * time.Second,
	},
	{
		name: "node that sends nothing", runningAfter: 9,
		start:    func(n *network) { n.cut = func(from, _ api.NodeRef) bool { return from.ID == "n003" } },
		duration: 20 * time.Second, end: heal, settleTime: 10 * time.Second,
	},
	{
		name: "zone cut off for a minute", runningAfter: 9,
		start:    func(n *network) { n.cut = cutZone("zone-1") },
		duration: time.Minute, end: heal, settleTime: 10 * time.Second,
	},
	{
		name: "zone cut off for an hour", runningAfter: 9,
		start:    func(n *network) { n.cut = cutZone("zone-0") }, // has a seed
		duration: time.Hour, end: heal, settleTime: 10 * time.Second,
	},
	{
		name: "one-way cut of a zone", runningAfter: 9,
		start: func(n *network) {
			n.cut = func(from, to api.NodeRef) bool { return from.Zone == "zone-1" && to.Zone != "zone-1" }
		},
		duration: 20 * time.Second, end: heal, settleTime: 10 * time.Second,
	},
	{
		name: "zone dies", runningAfter: 6,
		start:    func(n *network) { n.kill("n001"); n.kill("n004"); n.kill("n007") },
		duration: 4 * time.Second,
	},
	{
		name: "short freeze", runningAfter: 9, noDeaths: true,
		start:    func(n *network) { n.freeze("n004", 500*time.Millisecond) },
		duration: 5 * time.Second,
	},
	{
		name: "long freeze", runningAfter: 9,
		start:    func(n *network) { n.freeze("n004", 30*time.Second) },
		duration: 30 * time.Second, settleTime: 3 * time.Second,
	},
	{
		name: "all freeze", runningAfter: 9, noDeaths: true,
		start: func(n *network) {
			for index := range 9 {
				n.freeze(nodeName(index), time.Minute)
			}
		},
		duration: time.Minute, settleTime: 5 * time.Second,
	},
	{
		name: "restart", runningAfter: 9, noDeaths: true,
		start:    func(n *network) { n.kill("n005"); n.start(5, 2) },
		duration: 3 * time.Second,
	},
	{
		name: "restart after death was known", runningAfter: 9,
		start:    func(n *network) { n.kill("n005") },
		duration: 5 * time.Second, end: func(n *network) { n.start(5, 2) }, settleTime: 3 * time.Second,
	},
	{
		name: "all seeds restart", runningAfter: 9,
		start: func(n *network) {
			for index := range 3 {
				n.kill(nodeName(index))
			}
		},
		duration: 3 * time.Second,
		end: func(n *network) {
			for index := range 3 {
				n.start(index, 2)
			}
		},
		settleTime: 12 * time.Second, // the seeds know only each other at first
	},
	{
		name: "join during a cut", runningAfter: 10,
		start:    func(n *network) { n.cut = cutZone("zone-1"); n.start(9, 1) },
		duration: 20 * time.Second, end: heal, settleTime: 10 * time.Second,
	},
	{
		name: "restart during a cut", runningAfter: 9,
		start:    func(n *network) { n.cut = cutZone("zone-1"); n.run(5 * time.Second); n.kill("n004"); n.start(4, 2) },
		duration: 20 * time.Second, end: heal, settleTime: 10 * time.Second,
	},
	{
		name: "planned stop", runningAfter: 8, noDeaths: true,
		start: func(n *network) {
			leaver := n.node("n006")
			n.send(leaver, leaver.machine.Leave(n.now))
			n.kill("n006")
		},
		duration: time.Second,
	},
}

func TestFaults(t *testing.T) {
	t.Parallel()
	for _, disturbance := range []networkConfig{
		{seed: 11},
		{seed: 12, loss: 0.05, duplicates: 0.1, jitter: 30 * time.Millisecond},
	} {
		for _, fault := range faults {
			t.Run(fmt.Sprintf("%s with %.0f%% loss", fault.name, 100*disturbance.loss), func(t *testing.T) {
				config := disturbance
				config.nodes, config.regions, config.zones = 9, 1, 3
				n := newNetwork(t, config)
				n.run(10 * time.Second)
				n.requireAgreement(9)
				n.checkFault(fault)
			})
		}
	}
}

func (n *network) checkFault(fault fault) {
	n.t.Helper()
	fault.start(n)
	dead := api.NodeID("")
	n.onStep = func(node *testNode) {
		for id, seen := range node.machine.table {
			if seen.update.State == StateDead {
				dead = id
			}
		}
	}
	n.run(fault.duration)
	if fault.noDeaths != (dead == "") {
		n.t.Errorf("node %q was declared dead, want no deaths: %v", dead, fault.noDeaths)
	}
	n.onStep = nil
	if fault.end != nil {
		fault.end(n)
	}
	n.run(fault.settleTime)
	if n.config.loss > 0 {
		n.awaitAgreement(fault.runningAfter, 10*time.Second) // a suspicion may still be open
	}
	n.requireAgreement(fault.runningAfter)
}

func (n *network) awaitAgreement(want int, limit time.Duration) {
	for end := n.now.Add(limit); n.now.Before(end) && n.disagreement(want) != ""; {
		n.run(tickInterval)
	}
}

// TestIndirectProbesPreventFalseDeaths shows that a cut between two nodes causes a suspicion only without
// indirect probes.
func TestIndirectProbesPreventFalseDeaths(t *testing.T) {
	for _, indirect := range []bool{true, false} {
		n := newNetwork(t, networkConfig{seed: 3, nodes: 9, regions: 1, zones: 3})
		n.run(10 * time.Second)
		subject := n.node("n001").machine.neighbours.subjects[0]
		n.cut = func(from, to api.NodeRef) bool { return from.ID == "n001" && to.ID == subject }
		n.drop = func(message any) bool {
			_, isRequest := message.(ProbeRequest)
			return isRequest && !indirect
		}
		suspected := false
		n.onStep = func(node *testNode) {
			seen, _ := node.machine.Member(subject)
			suspected = suspected || seen.State == StateSuspect
		}
		n.run(5 * time.Second)
		if suspected == indirect {
			t.Errorf("indirect probes %v: suspected %v", indirect, suspected)
		}
	}
}

// TestSlowNodeSuspectsNobody has a node that runs in short moments only, so that it finds answers late. It
// must not suspect others; without extended timeouts it does.
func TestSlowNodeSuspectsNobody(t *testing.T) {
	for run := range uint64(20) {
		extends, seed := run%2 == 0, run/2+1
		n := newNetwork(t, networkConfig{seed: seed, nodes: 9, regions: 1, zones: 3})
		n.run(10 * time.Second)
		slow := n.node("n004")
		slow.maxStepDelay = 390 * time.Millisecond
		suspicions := 0
		n.onStep = func(node *testNode) {
			if !extends {
				node.machine.lag = lag{}
			}
			if node != slow {
				return
			}
			suspicions += len(node.machine.suspects)
		}
		n.run(2 * time.Minute)
		if extends != (suspicions == 0) {
			t.Errorf("seed %d, extended timeouts %v: %d suspicions", seed, extends, suspicions)
		}
	}
}

// TestRefutationPreventsFalseDeaths shows that a falsely suspected node is declared dead only if it can't
// refute the suspicion, because updates about it are kept from it.
func TestRefutationPreventsFalseDeaths(t *testing.T) {
	for _, refutes := range []bool{true, false} {
		n := newNetwork(t, networkConfig{seed: 3, nodes: 9, regions: 1, zones: 3})
		n.run(10 * time.Second)
		victim := n.node("n004")
		victim.ignoresUpdatesAboutSelf = !refutes
		suspecting := n.node("n001")
		suspecting.machine.suspect(n.now, "n004")
		n.run(3 * time.Second)
		if dead := n.allSee("n004", StateDead); dead == refutes {
			t.Errorf("refutation %v: dead %v", refutes, dead)
		}
	}
}

func TestFalseSuspicionsUnderLoss(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, networkConfig{seed: 5, nodes: 30, regions: 1, zones: 4, loss: 0.05})
	n.run(10 * time.Second)
	suspicions, deaths := 0, 0
	states := make(map[[2]api.NodeID]State)
	n.onStep = func(node *testNode) {
		for id, seen := range node.machine.table {
			key := [2]api.NodeID{node.ref.ID, id}
			if states[key] == seen.update.State {
				continue
			}
			states[key] = seen.update.State
			switch seen.update.State {
			case StateSuspect:
				suspicions++
			case StateDead:
				deaths++
			}
		}
	}
	const minutes = 10
	n.run(minutes * time.Minute)
	t.Logf("30 nodes, 5%% loss: %.2f suspicions per node and minute (each counted at every node that sees it), %d false deaths",
		float64(suspicions)/30/minutes, deaths)
	if deaths > 0 {
		t.Errorf("a running node was seen as dead %d times", deaths)
	}
}

func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	n := newNetwork(t, networkConfig{seed: 6, nodes: 5, regions: 1, zones: 3})
	n.run(5 * time.Second)
	older := n.node("n003")
	n.nodes = slices.DeleteFunc(n.nodes, func(node *testNode) bool { return node == older })
	n.start(3, 2)
	n.run(3 * time.Second)
	n.requireAgreement(5)
	// The older incarnation was only frozen and continues.
	for _, packet := range older.machine.Tick(n.now) {
		n.launch(older.ref, packet)
	}
	for _, peer := range n.nodes {
		for _, packet := range peer.machine.Receive(n.now, older.ref, Gossip{}) {
			older.machine.Receive(n.now, peer.ref, packet.Message)
		}
	}
	n.run(time.Second)
	n.requireAgreement(5)
	if !older.machine.Superseded() {
		t.Error("the older incarnation does not know that it was replaced")
	}
}

func TestInvalidMessagesAreIgnored(t *testing.T) {
	self := api.NodeRef{ID: "a", Incarnation: 1, PeerAddress: "10.0.0.1:7000", Region: "r"}
	other := api.NodeRef{ID: "b", Incarnation: 1, PeerAddress: "10.0.0.2:7000", Region: "r"}
	many := make([]Update, MaxUpdates+1)
	for index := range many {
		many[index] = Update{Ref: api.NodeRef{ID: nodeName(index), PeerAddress: address(index)}}
	}
	for name, given := range map[string]struct {
		from    api.NodeRef
		message any
	}{
		"foreign type":     {other, "hello"},
		"nil":              {other, nil},
		"pointer":          {other, &Probe{}},
		"too many updates": {other, Gossip{Header: Header{Updates: many}}},
		"too many members": {other, SyncPage{Members: make([]Update, MaxPageMembers+1)}},
		"too many cells":   {other, Probe{Digest: &DigestNews{Serial: 1, Cells: make([]CellVersion, MaxDigestCells+1)}}},
		"from nobody":      {api.NodeRef{}, Probe{}},
		"no address":       {api.NodeRef{ID: "b", Incarnation: 1}, Probe{}},
		"from itself":      {self, Probe{}},
	} {
		machine := New(Config{Self: self})
		if packets := machine.Receive(time.Unix(1, 0), given.from, given.message); packets != nil {
			t.Errorf("%s: answered with %v", name, packets)
		}
		if members := machine.Members(); len(members) != 1 {
			t.Errorf("%s: members are %v", name, members)
		}
	}
	machine := New(Config{Self: self})
	machine.Receive(time.Unix(1, 0), other, Gossip{Header: Header{Updates: []Update{
		{}, {Ref: other, State: 99}, {Ref: api.NodeRef{ID: "c", Incarnation: 1}},
	}}})
	if members := machine.Members(); len(members) != 2 || members[1].State != StateAlive {
		t.Errorf("invalid updates were applied: %v", members)
	}
}

func TestOldDeadMembersAreForgotten(t *testing.T) {
	n := newNetwork(t, networkConfig{seed: 8, nodes: 4, regions: 1, zones: 3})
	n.run(5 * time.Second)
	n.kill("n003")
	n.run(ForgetDeadAfter / 2)
	if !n.allSee("n003", StateDead) {
		t.Error("dead member was forgotten early")
	}
	n.run(ForgetDeadAfter/2 + ForgetLeftAfter)
	for _, node := range n.nodes {
		if _, known := node.machine.Member("n003"); known {
			t.Errorf("%s still knows n003", node.ref.ID)
		}
	}
}
