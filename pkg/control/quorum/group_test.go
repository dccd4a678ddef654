package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/internal/switches"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network delivers the packets between groups one at a time, in an order that the
// test controls.
type network struct {
	now    time.Time
	refs   []api.NodeRef
	groups map[Member]*Group
	queue  []queuedPacket
}

// queuedPacket is a packet that was sent and not delivered yet.
type queuedPacket struct {
	from   api.NodeRef
	packet Packet
}

func newNetwork(nodes int, unsafe switches.Set) *network {
	n := &network{now: testStart, groups: make(map[Member]*Group)}
	for index := range nodes {
		n.start(fmt.Sprint("n", index), 1, unsafe)
	}
	return n
}

// start adds a group for a node that is no member yet.
func (n *network) start(id string, incarnation uint64, unsafe switches.Set) api.NodeRef {
	ref := api.NodeRef{ID: api.NodeID(id), Incarnation: incarnation}
	n.refs = append(n.refs, ref)
	n.groups[MemberOf(ref)] = NewGroup(Config{
		Self: ref, Cell: "c", Timing: DefaultTiming(), Random: rand.New(rand.NewPCG(incarnation, 2)), Unsafe: unsafe,
	})
	return ref
}

func (n *network) group(index int) *Group { return n.groups[MemberOf(n.refs[index])] }

func (n *network) add(from api.NodeRef, packets []Packet) {
	for _, packet := range packets {
		n.queue = append(n.queue, queuedPacket{from: from, packet: packet})
	}
}

// deliver delivers the queued packet at index.
func (n *network) deliver(index int) {
	f := n.queue[index]
	n.queue = append(n.queue[:index:index], n.queue[index+1:]...)
	if g, known := n.groups[MemberOf(f.packet.To)]; known {
		n.add(f.packet.To, g.Receive(n.now, f.from, f.packet.Message))
	}
}

func (n *network) deliverAll() {
	for len(n.queue) > 0 {
		n.deliver(0)
	}
}

func (n *network) tick(index int) {
	n.add(n.refs[index], n.group(index).Tick(n.now))
}

// found lets the first of the members found a group of all of them, without
// delivering any packet.
func (n *network) found(members ...int) {
	refs := make([]api.NodeRef, len(members))
	for index, member := range members {
		refs[index] = n.refs[member]
	}
	n.add(refs[0], n.group(members[0]).Found(n.now, 1, refs, Data{}))
}

// foundAll founds a group of the first three nodes and delivers all packets.
func (n *network) foundAll() {
	n.found(0, 1, 2)
	n.deliverAll()
}

// propose lets the first node propose data with one intent, without delivering
// the packets.
func (n *network) propose(name string) {
	n.add(n.refs[0], n.group(0).Propose(n.now, intents(name)))
}

// takeQueue empties the queue and returns what was in it.
func (n *network) takeQueue() []queuedPacket {
	queue := n.queue
	n.queue = nil
	return queue
}

func intents(names ...string) Data {
	var data Data
	for _, name := range names {
		data.Intents = append(data.Intents, Intent{OrderID: name})
	}
	return data
}

func (d Data) has(order string) bool {
	for _, intent := range d.Intents {
		if intent.OrderID == order {
			return true
		}
	}
	return false
}

// TestPromiseIsNeeded checks that a member that has promised to follow a
// candidate accepts nothing more from the old leader. Without the promise the old
// leader commits an intent that the new leader never learns of.
func TestPromiseIsNeeded(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		n := newNetwork(3, switches.Set{NoPromise: unsafe})
		n.foundAll()
		n.propose("late")
		accepts := n.takeQueue()
		n.now = n.now.Add(10 * time.Second)
		n.tick(2) // starts an election
		n.queue = n.packetsTo(1)
		n.deliver(0) // member 1 promises
		promises := n.takeQueue()
		for _, f := range accepts {
			if f.packet.To.ID == n.refs[1].ID {
				n.add(f.packet.To, n.group(1).Receive(n.now, f.from, f.packet.Message))
			}
		}
		n.deliverAll()
		committedByOldLeader := n.group(0).Committed().Data.has("late")
		n.queue = promises
		n.deliverAll()
		_, leads := n.group(2).Leading()
		lost := committedByOldLeader && leads && !n.group(2).Committed().Data.has("late")
		if lost != unsafe {
			t.Errorf("promise disabled: %t, committed intent lost: %t", unsafe, lost)
		}
		if !unsafe && !leads {
			t.Error("the candidate did not become leader")
		}
	}
}

// packetsTo returns the queued packets addressed to one node.
func (n *network) packetsTo(index int) []queuedPacket {
	var selected []queuedPacket
	for _, f := range n.queue {
		if f.packet.To.ID == n.refs[index].ID {
			selected = append(selected, f)
		}
	}
	return selected
}

// TestMembersAreReplaced replaces all members through a joint configuration and
// checks that the new members elect a leader with the committed state after the
// old ones are gone.
func TestMembersAreReplaced(t *testing.T) {
	n := newNetwork(6, switches.Set{})
	n.foundAll()
	n.propose("kept")
	n.deliverAll()
	n.add(n.refs[0], n.group(0).Reconfigure(n.now, []api.NodeRef{n.refs[3], n.refs[4], n.refs[5]}))
	n.deliverAll()
	for _, old := range []int{0, 1, 2} {
		if n.group(old).Member() {
			t.Errorf("replaced member %d still considers itself a member", old)
		}
		delete(n.groups, MemberOf(n.refs[old]))
	}
	leader := n.electAmong(3, 4, 5)
	if leader < 0 {
		t.Fatal("the new members did not elect a leader")
	}
	if !n.group(leader).Committed().Data.has("kept") {
		t.Error("the new leader lost the committed state")
	}
}

// electAmong advances time until one of the members leads and returns its index,
// or -1.
func (n *network) electAmong(members ...int) int {
	for range 100 {
		n.now = n.now.Add(100 * time.Millisecond)
		for _, member := range members {
			n.tick(member)
			n.deliverAll()
		}
		for _, member := range members {
			if _, leads := n.group(member).Leading(); leads {
				return member
			}
		}
	}
	return -1
}

// TestFreshMemberMayPromise checks that a group stays usable if its founder
// reached only one of two other members and died. The member that was not reached
// has no state but may still promise.
func TestFreshMemberMayPromise(t *testing.T) {
	n := newNetwork(3, switches.Set{})
	n.found(0, 1, 2)
	n.queue = n.packetsTo(1)
	n.deliverAll()
	delete(n.groups, MemberOf(n.refs[0]))
	if leader := n.electAmong(1, 2); leader != 1 {
		t.Errorf("leader = %d, want member 1", leader)
	}
}

// TestLaterEpochSilencesMembers checks that members of an earlier epoch do not
// lead again, whatever their terms.
func TestLaterEpochSilencesMembers(t *testing.T) {
	n := newNetwork(4, switches.Set{})
	n.foundAll()
	n.add(n.refs[3], n.group(3).Found(n.now, 2, []api.NodeRef{n.refs[3], n.refs[2]}, Data{}))
	n.deliverAll()
	n.group(0).Supersede(2)
	if leader := n.electAmong(0, 1); leader >= 0 {
		t.Errorf("member %d of an earlier epoch became leader", leader)
	}
}

// TestCommittedStateIsNeverLost runs random sequences of delivery, loss,
// duplication, ticks, restarts and member changes. It checks that once an intent
// is committed every later leader has it, and that each term has at most one
// leader.
func TestCommittedStateIsNeverLost(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260101)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("committed intents survive", prop.ForAll(
		func(seed uint64) string { return runRandomGroup(seed, switches.Set{}) },
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

// TestRandomGroupsNeedMechanisms checks that the same random sequences violate
// these properties when a safety mechanism is disabled.
func TestRandomGroupsNeedMechanisms(t *testing.T) {
	const limit = 3000
	for name, unsafe := range map[string]switches.Set{
		"promise":  {NoPromise: true},
		"majority": {NoMajority: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(limit) {
				if lost := runRandomGroup(seed, unsafe); lost != "" {
					t.Log(lost)
					return
				}
			}
			t.Errorf("no violation in %d schedules", limit)
		})
	}
}

// runRandomGroup runs one random sequence and returns the violation found, or "".
func runRandomGroup(seed uint64, unsafe switches.Set) string {
	random := rand.New(rand.NewPCG(seed, 3))
	n := newNetwork(5, unsafe)
	n.found(0, 1, 2)
	committed := make(map[string]uint64) // term in which each intent was first seen as committed
	leaders := make(map[uint64]Member)
	for step := range 600 {
		n.randomStep(random, step)
		for member, g := range n.groups {
			term, leads := g.Leading()
			if !leads {
				continue
			}
			if other, known := leaders[term]; known && other != member {
				return fmt.Sprintf("seed %d: two leaders in term %x", seed, term)
			}
			leaders[term] = member
			data := g.Committed().Data
			for name, since := range committed {
				if term > since && !data.has(name) {
					return fmt.Sprintf("seed %d: the leader of term %x lost intent %s of term %x", seed, term, name, since)
				}
			}
			for _, intent := range data.Intents {
				if _, known := committed[intent.OrderID]; !known {
					committed[intent.OrderID] = term
				}
			}
		}
	}
	return ""
}

// randomStep delivers, duplicates or loses a packet, proposes data, changes the
// members, restarts a node or ticks one.
func (n *network) randomStep(random *rand.Rand, step int) {
	n.now = n.now.Add(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
	index := random.IntN(len(n.refs))
	g := n.group(index)
	switch choice := random.IntN(20); {
	case choice < 11 && len(n.queue) > 0:
		at := random.IntN(len(n.queue))
		if random.IntN(10) == 0 {
			n.queue = append(n.queue, n.queue[at]) // delivered again later
		}
		n.deliver(at)
	case choice == 11 && len(n.queue) > 0:
		at := random.IntN(len(n.queue))
		n.queue = append(n.queue[:at:at], n.queue[at+1:]...)
	case choice == 12:
		data := g.Accepted().Data // keeps the intents already proposed
		data.Intents = append(append([]Intent(nil), data.Intents...), Intent{OrderID: fmt.Sprint("i", step)})
		n.add(n.refs[index], g.Propose(n.now, data))
	case choice == 13:
		first := random.IntN(len(n.refs))
		next := []api.NodeRef{n.refs[first], n.refs[(first+1)%len(n.refs)], n.refs[(first+2)%len(n.refs)]}
		n.add(n.refs[index], g.Reconfigure(n.now, next))
	case choice == 14 && random.IntN(5) == 0:
		delete(n.groups, MemberOf(n.refs[index]))
		ref := n.refs[index]
		n.refs[index] = n.start(string(ref.ID), ref.Incarnation+1, g.config.Unsafe)
		n.refs = n.refs[:len(n.refs)-1]
	default:
		n.tick(index)
	}
}
