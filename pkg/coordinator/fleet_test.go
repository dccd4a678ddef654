package coordinator

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

// TestFleetShrinksSlowly checks that nodes that are silent for some seconds still count, but not
// those that stay away.
func TestFleetShrinksSlowly(t *testing.T) {
	var f fleet
	now := time.Unix(1000, 0)
	f.begin(now, 0, 0, false)
	if f.known() != 0 {
		t.Errorf("%d nodes count before any heartbeat", f.known())
	}
	f.observe(now, 100)
	steps := []struct {
		after time.Duration
		nodes int
		want  int
	}{
		{time.Second, 45, 100},
		{10 * time.Second, 60, 100},
		{fleetMemory - 12*time.Second, 50, 100},
		{2 * time.Second, 50, 60}, // the most within fleetMemory
		{time.Second, 61, 61},
	}
	for i, s := range steps {
		now = now.Add(s.after)
		f.observe(now, s.nodes)
		if f.known() != s.want {
			t.Errorf("step %d: %d nodes count, want %d", i, f.known(), s.want)
		}
	}
}

// TestNewHolderKnowsTheFleet checks that, when a holder is killed together with all other nodes, the
// next holder counts them all before their first heartbeats.
func TestNewHolderKnowsTheFleet(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t)
		const fleet = 30
		heartbeat := func(n *node, i int) BeatAnswer {
			reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, Beat{Node: Node{Name: fmt.Sprint(i)}})
			if err != nil {
				t.Fatal(err)
			}
			return reply.(BeatAnswer)
		}
		first := s.start("first")
		first.waitForLease()
		for i := range fleet {
			if reported := heartbeat(first, i).Fleet; reported != i+1 {
				t.Errorf("the answer to node %d reports %d nodes", i, reported)
			}
		}
		time.Sleep(2 * time.Second) // until a renewal of the lease writes the fleet size to the record
		first.stop()
		second := s.start("second")
		second.waitForLease()
		if reported := heartbeat(second, 0).Fleet; reported != fleet {
			t.Errorf("the new holder reports %d nodes, want %d", reported, fleet)
		}
	})
}

// TestHolderLendsRetries checks that the retries lent stay within the slack, and that a new holder
// lends none at first.
func TestHolderLendsRetries(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t)
		first := s.start("first")
		first.waitForLease()
		borrow := func(n *node) BorrowAnswer {
			reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, Borrow{Service: "s"})
			if err != nil {
				t.Fatal(err)
			}
			return reply.(BorrowAnswer)
		}
		time.Sleep(s.retryBudget().FillTime())
		lent := 0
		for borrow(first).Lent {
			lent++
		}
		if lent < 10 || float64(lent) > s.retryBudget().Slack/2 {
			t.Errorf("%d retries were lent of a slack of %v", lent, s.retryBudget().Slack)
		}
		second := s.start("second")
		if answer := borrow(second); answer.Term != 0 || answer.Lent {
			t.Errorf("a node without the lease answers %+v", answer)
		}
		first.stop()
		second.waitForLease()
		time.Sleep(tickInterval)
		if answer := borrow(second); answer.Term == 0 || answer.Lent {
			t.Errorf("a new holder answers %+v", answer)
		}
		time.Sleep(s.retryBudget().Window)
		if !borrow(second).Lent {
			t.Error("nothing is lent after the window")
		}
	})
}

// TestFleetMajorityWithoutARecord checks when a holder counts as asked by most nodes if the record
// does not tell the fleet size. A holder that continues without the store beside another one doubles
// what is admitted. One whose record was lost took itself for the whole fleet.
func TestFleetMajorityWithoutARecord(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name                    string
		recorded, listed, nodes int
		copied                  bool
		later                   time.Duration
		want                    bool
	}{
		{"alone on a new site", 0, 1, 1, false, 0, true},
		{"its list has others", 0, 4, 1, false, 0, false},
		{"its list has others, and most send heartbeats", 0, 4, 3, false, 0, true},
		{"the record has the fleet size", 4, 1, 1, true, 0, false},
		{"most of what a restored record has", 4, 1, 3, true, 0, true},
		{"nothing is known, and the record was restored", 0, 1, 1, true, 0, false},
		{"the same, after others would have been forgotten", 0, 1, 1, true, fleetMemory + time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f fleet
			f.begin(now, c.recorded, c.listed, c.copied)
			f.observe(now.Add(c.later), c.nodes)
			if got := f.isMajority(c.nodes); got != c.want {
				t.Errorf("majority by %d nodes with %d recorded and %d listed: %t, want %t", c.nodes, c.recorded, c.listed, got, c.want)
			}
		})
	}
}

// TestHolderWithALostRecordUsesItsNodeList has a holder whose record tells no fleet size, whose node
// lists four nodes, and to which one sends heartbeats.
func TestHolderWithALostRecordUsesItsNodeList(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		s.fenced = true
		for i := range 4 {
			s.knownNodes = append(s.knownNodes, Node{Name: fmt.Sprint(i)})
		}
		n := s.start("a")
		defer n.stop()
		n.waitForLease()
		defer startHeartbeats(t, n, 1)()
		time.Sleep(time.Second)
		if n.holder.MayContinueOffline() {
			t.Error("one of four nodes counts as most")
		}
	})
}
