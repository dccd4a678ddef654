package membership

import (
	"slices"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

var startTime = time.Unix(1_700_000_000, 0)

func testRef(id api.NodeID, incarnation uint64) api.NodeRef {
	return api.NodeRef{ID: id, Incarnation: incarnation, PeerAddress: string(id) + ":7000", Region: "r", Zone: "z"}
}

// newPair returns a machine that sees another node in a state.
func newPair(state State) (*Machine, Update) {
	machine := New(Config{Self: testRef("a", 1)})
	other := Update{Ref: testRef("b", 1)}
	machine.apply(startTime, "", other)
	other.State = state
	machine.apply(startTime, "", other)
	machine.Tick(startTime)
	return machine, other
}

func TestWhichUpdateSupersedes(t *testing.T) {
	at := func(incarnation uint64, refutation uint32, state State) Update {
		return Update{Ref: testRef("x", incarnation), Refutation: refutation, State: state}
	}
	inOrder := []Update{ // each supersedes all before it
		at(1, 0, StateAlive), at(1, 0, StateSuspect), at(1, 0, StateDead),
		at(1, 1, StateAlive), at(1, 1, StateSuspect), at(1, 9, StateDead), at(1, 0, StateLeft),
		at(2, 0, StateAlive), at(2, 0, StateDead),
	}
	for i, earlier := range inOrder {
		for j, later := range inOrder {
			if got := later.supersedes(earlier); got != (j > i) {
				t.Errorf("%+v supersedes %+v: %v", later, earlier, got)
			}
		}
	}
}

func TestFrozenProcessAccusesNobody(t *testing.T) {
	machine, other := newPair(StateAlive)
	now := startTime
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		machine.Tick(now)
		if len(machine.probes) > 0 {
			break
		}
	}
	machine.Tick(now.Add(time.Minute))
	if seen, _ := machine.Member(other.Ref.ID); seen.State != StateAlive {
		t.Errorf("after a freeze with a probe under way: %v", seen.State)
	}
	machine, other = newPair(StateSuspect)
	machine.Tick(startTime.Add(time.Minute))
	if seen, _ := machine.Member(other.Ref.ID); seen.State != StateSuspect {
		t.Errorf("after a freeze with a suspicion open: %v", seen.State)
	}
}

// probedWith returns the updates that ride on a probe of a node.
func probedWith(packets []Packet, id api.NodeID) []Update {
	for _, packet := range packets {
		if sent, isProbe := packet.Message.(Probe); isProbe && packet.To.ID == id {
			return sent.Header.Updates
		}
	}
	return nil
}

func TestDeadMemberThatTalksIsShownTheAccusation(t *testing.T) {
	machine, other := newPair(StateDead)
	machine.Receive(startTime, other.Ref, Gossip{})
	packets := machine.Tick(startTime.Add(100 * time.Millisecond))
	if !slices.Contains(probedWith(packets, "b"), other) {
		t.Errorf("no probe with the accusation: %v", packets)
	}
}

// TestOldNewsOfADeathIsVerified has a node that was cut off tell in its table
// that a running node is dead.
func TestOldNewsOfADeathIsVerified(t *testing.T) {
	machine, other := newPair(StateAlive)
	other.State = StateDead
	from := testRef("c", 1)
	machine.Receive(startTime, from, SyncPage{Members: []Update{other}})
	if seen, _ := machine.Member("b"); seen.State != StateAlive {
		t.Errorf("b is %v after old news", seen.State)
	}
	packets := machine.Tick(startTime.Add(100 * time.Millisecond))
	if !slices.ContainsFunc(packets, func(p Packet) bool { _, isProbe := p.Message.(Probe); return isProbe && p.To.ID == "b" }) {
		t.Errorf("b is not asked: %v", packets)
	}
}

// TestLostUpdateIsFoundByComparison takes a row out of one table, as if all
// messages about it had been lost.
func TestLostUpdateIsFoundByComparison(t *testing.T) {
	n := newNetwork(t, networkConfig{seed: 41, nodes: 12, regions: 1, zones: 3})
	n.run(10 * time.Second)
	forgetful := n.node("n007").machine
	isNeighbour := func(id api.NodeID) bool { return slices.Contains(forgetful.around.all, id) }
	place := slices.IndexFunc(forgetful.ids, func(id api.NodeID) bool {
		isSeed := id <= "n002" // which would be probed in any case
		return id != "n007" && !isSeed && !isNeighbour(id)
	})
	lost := forgetful.ids[place]
	forgetful.tableHash ^= forgetful.table[lost].hash()
	delete(forgetful.table, lost)
	forgetful.ids = slices.Delete(forgetful.ids, place, place+1)
	forgetful.changed()
	n.run(5 * time.Second)
	n.requireAgreement(12)
}
