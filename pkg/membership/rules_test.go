package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

var startTime = time.Unix(1_700_000_000, 0)

func testRef(id api.NodeID, incarnation uint64) api.NodeRef {
	return api.NodeRef{ID: id, Incarnation: incarnation, PeerAddress: string(id) + ":7000", Region: "r", Zone: "z"}
}

// newPair returns a machine that sees another node in the given state.
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

func TestFrozenProcessSuspectsNobody(t *testing.T) {
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
		t.Errorf("after a freeze with a probe in progress the state is %v", seen.State)
	}
	machine, other = newPair(StateSuspect)
	machine.Tick(startTime.Add(time.Minute))
	if seen, _ := machine.Member(other.Ref.ID); seen.State != StateSuspect {
		t.Errorf("after a freeze with an open suspicion the state is %v", seen.State)
	}
}

// probedWith returns the updates in a probe of a node.
func probedWith(packets []Packet, id api.NodeID) []Update {
	for _, packet := range packets {
		if sent, isProbe := packet.Message.(Probe); isProbe && packet.To.ID == id {
			return sent.Header.Updates
		}
	}
	return nil
}

func TestDeadMemberThatSendsMessagesIsToldToRefute(t *testing.T) {
	machine, other := newPair(StateDead)
	machine.Receive(startTime, other.Ref, Gossip{})
	packets := machine.Tick(startTime.Add(100 * time.Millisecond))
	if !slices.Contains(probedWith(packets, "b"), other) {
		t.Errorf("no probe has the row to refute: %v", packets)
	}
}

// TestOutdatedDeathIsVerified has a node that was cut off send a table in which a running node is dead. The
// receiver must probe that node instead of believing it.
func TestOutdatedDeathIsVerified(t *testing.T) {
	machine, other := newPair(StateAlive)
	other.State = StateDead
	from := testRef("c", 1)
	machine.Receive(startTime, from, SyncPage{Members: []Update{other}})
	if seen, _ := machine.Member("b"); seen.State != StateAlive {
		t.Errorf("b is %v after an outdated table", seen.State)
	}
	packets := machine.Tick(startTime.Add(100 * time.Millisecond))
	if !slices.ContainsFunc(packets, func(p Packet) bool { _, isProbe := p.Message.(Probe); return isProbe && p.To.ID == "b" }) {
		t.Errorf("b is not probed: %v", packets)
	}
}

// TestLostUpdateIsFoundByComparison removes a row from one table, as if all messages about it had been lost.
// The comparison of tables must restore it.
func TestLostUpdateIsFoundByComparison(t *testing.T) {
	n := newNetwork(t, networkConfig{seed: 41, nodes: 12, regions: 1, zones: 3})
	n.run(10 * time.Second)
	forgetful := n.node("n007").machine
	isNeighbour := func(id api.NodeID) bool { return slices.Contains(forgetful.neighbours.all, id) }
	place := slices.IndexFunc(forgetful.ids, func(id api.NodeID) bool {
		isSeed := id <= "n002" // seeds are probed in any case
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

// TestRandomMessagesKeepTheTableConsistent sends a machine messages with random content and checks the
// invariants of its table.
func TestRandomMessagesKeepTheTableConsistent(t *testing.T) {
	const seed = 42
	random := rand.New(rand.NewPCG(seed, 0))
	machine := New(Config{Self: testRef("n3", 5), Seeds: []string{"x:1", "n4:7000"}})
	now := startTime
	for step := range 30_000 {
		now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
		for _, packet := range machine.Receive(now, randomUpdate(random).Ref, randomMessage(random)) {
			if _, valid := headerOf(packet.Message); !valid {
				t.Fatalf("seed %d, step %d: sends a %T that exceeds the limits", seed, step, packet.Message)
			}
		}
		machine.Tick(now)
		hash := uint32(0)
		for _, row := range machine.table {
			hash ^= row.hash()
		}
		if hash != machine.tableHash || len(machine.ids) != len(machine.table) || !slices.IsSorted(machine.ids) {
			t.Fatalf("seed %d, step %d: table and index differ", seed, step)
		}
		if self, _ := machine.Member("n3"); self.State != StateAlive || self.Ref.Incarnation != 5 {
			t.Fatalf("seed %d, step %d: the node sees itself as %+v", seed, step, self)
		}
	}
}

func randomUpdate(random *rand.Rand) Update {
	update := Update{
		Ref:        testRef(api.NodeID([]string{"", "n1", "n2", "n3", "n4", "n5"}[random.IntN(6)]), random.Uint64N(8)),
		Refutation: uint32(random.IntN(4)),
		State:      State(random.IntN(6)),
	}
	if random.IntN(20) == 0 {
		update.Refutation = 1<<32 - 1
	}
	if random.IntN(10) == 0 {
		update.Ref.PeerAddress = ""
	}
	return update
}

func randomMessage(random *rand.Rand) any {
	updates := make([]Update, random.IntN(MaxUpdates+2))
	for index := range updates {
		updates[index] = randomUpdate(random)
	}
	header := Header{TableHash: random.Uint32(), Refutation: uint32(random.IntN(3)), Updates: updates}
	news := &DigestNews{Base: random.Uint64N(3), Serial: random.Uint64N(4), Cells: make([]CellVersion, random.IntN(4))}
	sequence := random.Uint64N(50)
	return []any{
		Probe{Header: header, Sequence: sequence, Digest: news},
		Ack{Header: header, Sequence: sequence, KnownDigest: random.Uint64N(9)},
		ProbeRequest{Header: header, Sequence: sequence, Target: randomUpdate(random).Ref},
		RelayedAck{Header: header, Sequence: sequence, Target: randomUpdate(random).Ref.ID},
		Gossip{Header: header},
		SyncRequest{Header: header, After: randomUpdate(random).Ref.ID},
		SyncPage{Header: header, Members: updates, More: random.IntN(2) == 0},
		nil,
	}[random.IntN(8)]
}
