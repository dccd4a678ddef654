package coordinator

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backpressure"
)

// takeSlot asks a node's holder for a slot.
func (n *node) takeSlot(t *testing.T, server string, limit float64) SlotAnswer {
	t.Helper()
	reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{},
		AskSlot{Servers: []backpressure.Ask{{Server: server, Limit: limit}}, Within: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return reply.(SlotAnswer)
}

// beats has a node beat to its own holder until the test ends, as its member would.
func (n *node) beats(t *testing.T, name string) {
	go func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			_, _ = n.holder.HandleMessage(t.Context(), api.NodeRef{}, Beat{Node: Node{Name: name, Life: 1, Peers: name}})
			select {
			case <-ticker.C:
			case <-t.Context().Done():
				return
			}
		}
	}()
}

// TestAModelWhoseServerLimitsItsRequestsIsLoadedElsewhere: the only server with a model turns requests away
// by its limit.
func TestAModelWhoseServerLimitsItsRequestsIsLoadedElsewhere(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, nil)
		n := s.start("a")
		n.hold()
		n.beats(t, "a")
		time.Sleep(5 * time.Second) // what servers hold is learned
		if answer := n.wish(t, "m0"); answer.Server != "server-0" {
			t.Fatalf("it is said to be at %q", answer.Server)
		}
		granted, refused := 0, 0
		for range 40 {
			if answer := n.takeSlot(t, "server-0", 2); answer.Slot.Granted {
				granted++
			} else {
				refused++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if granted < 3 || granted > 5 {
			t.Errorf("%d slots were given out in 2 s at a limit of 2 a second", granted)
		}
		if answer := n.wish(t, "m0"); answer.Server != "" || answer.ReadyIn <= 0 {
			t.Errorf("a request that was turned away is told %+v", answer)
		}
		for range 40 {
			n.takeSlot(t, "server-0", 2)
			time.Sleep(200 * time.Millisecond)
		}
		loads := s.engines.loads()
		if len(loads) != 1 || loads[0].server != "server-1" || loads[0].order.Need.Model != "m0" {
			t.Fatalf("the loads are %+v", loads)
		}
		if answer := n.wish(t, "m0"); answer.Server != "server-1" {
			t.Errorf("it is said to be at %q then", answer.Server)
		}
		time.Sleep(20 * time.Second)
		if answer := n.wish(t, "m0"); answer.Server == "" {
			t.Error("nobody is said to hold it after the limit")
		}
	})
}

// TestSlotsWithoutAHolder: a node that does not hold the lease gives out none.
func TestSlotsWithoutAHolder(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		a, b := s.start("a"), s.start("b")
		holder, other := a, b
		for {
			if _, held := a.lease.Held(); held {
				break
			}
			if _, held := b.lease.Held(); held {
				holder, other = b, a
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if answer := other.takeSlot(t, "server-0", 10); answer.Term != 0 {
			t.Errorf("one that does not hold the lease answers %+v", answer)
		}
		time.Sleep(2 * time.Second)
		if answer := holder.takeSlot(t, "server-0", 10); answer.Term != 0 {
			t.Errorf("a holder that no node beats to answers %+v", answer)
		}
		holder.beats(t, "a")
		time.Sleep(2 * time.Second)
		if answer := holder.takeSlot(t, "server-0", 10); answer.Term == 0 || !answer.Slot.Granted {
			t.Errorf("the holder answers %+v", answer)
		}
	})
}

// TestAModelWhoseServerIsAtRestIsLoadedElsewhere: a node tells that the only server with a model wants nothing
// for some seconds.
func TestAModelWhoseServerIsAtRestIsLoadedElsewhere(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, nil)
		n := s.start("a")
		n.hold()
		time.Sleep(5 * time.Second)
		for range 10 {
			reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{},
				WishMessage{Service: "s", Need: "m0", Priority: 1, Left: 20 * time.Second, Short: "server-0", ShortFor: 3 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if answer := reply.(WishAnswer); answer.Server == "server-0" {
				t.Fatalf("a request that it turned away is sent there again: %+v", answer)
			}
			time.Sleep(time.Second)
		}
		loads := s.engines.loads()
		if len(loads) != 1 || loads[0].server != "server-1" {
			t.Fatalf("the loads are %+v", loads)
		}
		if answer := n.wish(t, "m0"); answer.Server != "server-1" {
			t.Errorf("it is said to be at %q then", answer.Server)
		}
	})
}
