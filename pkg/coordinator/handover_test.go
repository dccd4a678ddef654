package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/quarantine"
)

// startHeartbeats sends heartbeats of the given number of nodes to a holder each second until stop
// is called.
func startHeartbeats(t *testing.T, n *node, nodes int) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil {
			for i := range nodes {
				_, _ = n.holder.HandleMessage(ctx, api.NodeRef{}, Beat{Node: Node{Name: fmt.Sprint(i)}})
			}
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return cancel
}

// startHolderWithHeartbeats starts a site with fences, one server and a holder to which one node sends
// heartbeats until stopHeartbeats is called.
func startHolderWithHeartbeats(t *testing.T) (s *site, first *node, stopHeartbeats func()) {
	s = newSite(t, []string{"m0"})
	s.fenced = true
	first = s.start("a")
	first.waitForLease()
	stopHeartbeats = startHeartbeats(t, first, 1)
	time.Sleep(time.Second)
	return s, first, stopHeartbeats
}

// TestHolderGoesOnWhileTheStoreIsDown checks that a holder continues without the store only where
// servers refuse lower fences and most nodes send it heartbeats.
func TestHolderGoesOnWhileTheStoreIsDown(t *testing.T) {
	for _, test := range []struct {
		name      string
		fenced    bool
		followers int // how many of five nodes send heartbeats once the store is down
		want      bool
	}{
		{"all follow", true, 5, true},
		{"most follow", true, 3, true},
		{"few follow", true, 2, false},
		{"servers check no fences", false, 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, []string{"m0"})
				s.fenced = test.fenced
				n := s.start("a")
				n.waitForLease()
				for i := range 5 {
					if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, Beat{Node: Node{Name: fmt.Sprint(i)}}); err != nil {
						t.Fatal(err)
					}
				}
				defer n.stop()
				defer startHeartbeats(t, n, test.followers)()
				time.Sleep(5 * time.Second)
				s.leaseStore.setDown(true)
				time.Sleep(3 * time.Second)
				n.requestLoad(t, "m5")
				time.Sleep(loadTime + 2*time.Second)
				if loaded := len(s.engines.loads()) > 0; loaded != test.want {
					t.Errorf("a model is loaded while the store is down: %t, want %t", loaded, test.want)
				}
				for _, g := range s.engines.receivedOrders() {
					if !g.order.Offline {
						t.Errorf("an order is not marked as given offline: %+v", g)
					}
				}
			})
		})
	}
}

// TestNextHolderIsToldOfOrders has a holder give an order while it can't reach the store. Another
// node that can takes the lease. It must learn of the order, so that it counts the memory which the
// server is about to use.
func TestNextHolderIsToldOfOrders(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s, first, stopHeartbeats := startHolderWithHeartbeats(t)
		first.store.unreachable.Store(true)
		time.Sleep(3 * time.Second)
		first.requestLoad(t, "m5")
		time.Sleep(500 * time.Millisecond)
		if len(s.engines.loads()) != 1 {
			t.Fatalf("%d loads began without the store", len(s.engines.loads()))
		}
		defer first.stop()
		defer stopHeartbeats()
		second := s.start("b")
		defer second.stop()
		second.waitForLease()
		time.Sleep(2 * tickInterval)
		if _, held := first.lease.Held(); held {
			t.Error("the earlier holder continues beside the next one")
		}
		if err := second.holder.runOnLoop(t.Context(), func() {
			if op := second.holder.servers["server-0"].busy; op == nil || op.need.Model != "m5" || !op.load {
				t.Errorf("the next holder believes the server's operation to be %+v", op)
			}
		}); err != nil {
			t.Fatal(err)
		}
		for range 40 {
			second.requestLoadWithPriority(t, "m6", 0)
			time.Sleep(250 * time.Millisecond)
		}
	})
}

// TestLIMITLateOrdersWithoutAnIntent has a holder end that continued without the store, and one
// of its orders arrive some time after the next holder took the lease. Servers that have seen the
// next holder's fence must refuse it; an order that arrived before must be noticed. The engines
// report orders that exceed their memory.
func TestLIMITLateOrdersWithoutAnIntent(t *testing.T) {
	const fenceSeen = tickInterval + handoverTimeout + tickInterval
	for _, delay := range []time.Duration{0, tickInterval, 500 * time.Millisecond, fenceSeen, time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s, first, stopHeartbeats := startHolderWithHeartbeats(t)
				s.leaseStore.setDown(true)
				time.Sleep(3 * time.Second)
				s.engines.loseAnswers(1)
				first.requestLoad(t, "m5")
				for !s.engines.hasDelayedOrders() {
					time.Sleep(time.Millisecond)
				}
				stopHeartbeats()
				first.stop() // it could not write its order to the record
				s.leaseStore.setDown(false)
				second := s.start("b")
				defer second.stop()
				second.waitForLease()
				time.AfterFunc(delay, s.engines.applyDelayedOrders)
				for range 40 {
					second.requestLoadWithPriority(t, "m6", 0)
					time.Sleep(100 * time.Millisecond)
				}
				requestUntilLoaded(t, second, "m6", 10*time.Second)
				for _, g := range s.engines.receivedOrders() {
					if g.order.Holder == "a" && delay >= fenceSeen && g.result != Fenced {
						t.Errorf("the result of the late order is %d, want Fenced", g.result)
					}
				}
			})
		})
	}
}

// TestLIMITLateOrdersThatWereHandedOver has the last holder hand over an order that was not
// answered, and the server carry it out long after its intent has expired. The engines report orders
// that exceed their memory.
func TestLIMITLateOrdersThatWereHandedOver(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s, first, stopHeartbeats := startHolderWithHeartbeats(t)
				s.engines.loseAnswers(1)
				first.requestLoad(t, "m5")
				for !s.engines.hasDelayedOrders() {
					time.Sleep(time.Millisecond)
				}
				stopHeartbeats()
				first.stop()
				second := s.start("b")
				defer second.stop()
				second.waitForLease()
				time.AfterFunc(delay, s.engines.applyDelayedOrders)
				for began := time.Now(); time.Since(began) < delay+2*time.Second; time.Sleep(100 * time.Millisecond) {
					if time.Since(began) > delay {
						second.requestLoadWithPriority(t, "m6", 0)
						second.requestLoadWithPriority(t, "m7", 0)
					}
				}
				requestUntilLoaded(t, second, "m6", 20*time.Second)
			})
		})
	}
}

// TestAdaptersOnTheirWayTakePlaces checks that an adapter which a server lists as arriving takes a
// place, although it was ordered by an earlier holder and no intent lists it.
func TestAdaptersOnTheirWayTakePlaces(t *testing.T) {
	h := &Holder{Quarantine: new(quarantine.Table), Logger: hclog.NewNullLogger()}
	now := time.Unix(1000, 0)
	s := &serverState{holds: make(map[string]*holding)}
	r := Report{Sequence: 3, Models: []backend.Holding{{Model: "m0", Adapters: []string{"a1"}}},
		Arriving: []backend.Need{{Model: "m0", Adapter: "a2"}, {Model: "gone", Adapter: "a1"}}}
	h.applyReport(now, s, r)
	if n := s.adapterCount(now); n != 2 {
		t.Errorf("%d adapter places are taken, want 2", n)
	}
	if n := s.adapterCount(now.Add(2 * adapterRecordTime)); n != 1 {
		t.Errorf("%d adapter places are taken after the arrival time-out, want 1", n)
	}
}

// TestNextIncarnationOrdersSoon has a holder killed right after an order. Where servers check
// fences, its next incarnation is not another holder and may give orders to the same server as soon
// as the server has seen the new fence. Elsewhere the server gets no orders for a while, since a
// late order may still arrive.
func TestNextIncarnationOrdersSoon(t *testing.T) {
	for _, test := range []struct {
		fenced      bool
		least, most time.Duration // from the end of the holder to the next order
	}{
		{true, 0, 2 * time.Second},
		{false, holderChangePause, holderChangePause + 3*time.Second},
	} {
		t.Run(fmt.Sprintf("fenced %t", test.fenced), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, []string{"m0"})
				s.fenced = test.fenced
				first := s.start("a/1")
				first.waitForLease()
				time.Sleep(time.Second)
				first.requestLoad(t, "m0/a1")
				time.Sleep(100 * time.Millisecond)
				first.store.unreachable.Store(true) // it can't release the lease
				died := time.Now()
				first.stop()
				second := s.start("a/2")
				defer second.stop()
				second.waitForLease()
				requestUntilLoaded(t, second, "m0/a2", 10*time.Second)
				var at time.Duration
				for _, g := range s.engines.receivedOrders() {
					if g.order.Need.Adapter == "a2" {
						at = g.at.Sub(died)
					}
				}
				if at < test.least || at > test.most {
					t.Errorf("the next incarnation gives an order after %v, want %v to %v", at, test.least, test.most)
				}
			})
		})
	}
}

// TestOfflineHolderResignsWithoutAMajority checks that a holder without the store gives up
// once most nodes no longer send it heartbeats. While it acts as the holder it admits all that
// quotas and rate limits of servers allow, and so does the next holder that most nodes ask.
func TestOfflineHolderResignsWithoutAMajority(t *testing.T) {
	const most = 2 * time.Second // after the last heartbeat
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		s.fenced = true
		n := s.start("a")
		n.waitForLease()
		stopHeartbeats := startHeartbeats(t, n, 3)
		defer n.stop()
		time.Sleep(5 * time.Second)
		s.leaseStore.setDown(true)
		time.Sleep(10 * time.Second)
		if _, held := n.lease.Held(); !held {
			t.Fatal("the holder does not continue without the store")
		}
		stopHeartbeats()
		defer startHeartbeats(t, n, 1)()
		time.Sleep(most)
		if _, held := n.lease.Held(); held {
			t.Errorf("the holder still acts %v after the last heartbeats of most nodes", most)
		}
		if reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, Borrow{Service: "s"}); err != nil || reply.(BorrowAnswer).Term != 0 {
			t.Errorf("the holder still lends retries: %+v, %v", reply, err)
		}
		if answer := n.requestSlot(t, "server-0", 1); answer.Term != 0 {
			t.Errorf("the holder still grants slots: %+v", answer)
		}
	})
}
