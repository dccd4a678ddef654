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

// beats has so many nodes of a fleet beat to a holder each second until it is stopped.
func beats(t *testing.T, n *node, nodes int) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil {
			for i := range nodes {
				_, _ = n.holder.HandleMessage(ctx, api.NodeRef{}, Beat{Node: Node{Name: fmt.Sprint(i)}})
			}
			select {
			case <-ctx.Done():
			case <-time.After(beatInterval):
			}
		}
	}()
	return cancel
}

// followedHolder runs a site with fences and one server whose holder is followed by a node
// until silence is called.
func followedHolder(t *testing.T) (s *site, first *node, silence func()) {
	s = newSite(t, []string{"m0"})
	s.fenced = true
	first = s.start("a")
	first.hold()
	silence = beats(t, first, 1)
	time.Sleep(time.Second)
	return s, first, silence
}

// TestHolderGoesOnWhileTheStoreIsDown where servers refuse lower fences and most nodes
// follow it.
func TestHolderGoesOnWhileTheStoreIsDown(t *testing.T) {
	for _, test := range []struct {
		name      string
		fenced    bool
		followers int // of a fleet of five, once the store is down
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
				n.hold()
				for i := range 5 {
					if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, Beat{Node: Node{Name: fmt.Sprint(i)}}); err != nil {
						t.Fatal(err)
					}
				}
				defer n.stop()
				defer beats(t, n, test.followers)()
				time.Sleep(5 * time.Second)
				s.row.setDown(true)
				time.Sleep(3 * time.Second)
				n.wish(t, "m5")
				time.Sleep(loadTime + 2*time.Second)
				if loaded := len(s.engines.loads()) > 0; loaded != test.want {
					t.Errorf("a model is loaded while the store is down: %t, want %t", loaded, test.want)
				}
				for _, g := range s.engines.given() {
					if !g.order.Offline {
						t.Errorf("an order is not marked: %+v", g)
					}
				}
			})
		})
	}
}

// TestNextHolderIsToldOfOrders: a holder gave an order while it could not write; another
// node that can takes the lease and is told, so that it counts what the server gets.
func TestNextHolderIsToldOfOrders(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s, first, silence := followedHolder(t)
		first.store.away.Store(true)
		time.Sleep(3 * time.Second)
		first.wish(t, "m5")
		time.Sleep(500 * time.Millisecond)
		if len(s.engines.loads()) != 1 {
			t.Fatalf("%d loads began without the store", len(s.engines.loads()))
		}
		defer first.stop()
		defer silence()
		second := s.start("b")
		defer second.stop()
		second.hold()
		time.Sleep(2 * tickInterval)
		if _, held := first.lease.Held(); held {
			t.Error("the earlier holder goes on beside the next one")
		}
		if err := second.holder.do(t.Context(), func() {
			if op := second.holder.servers["server-0"].busy; op == nil || op.need.Model != "m5" || !op.load {
				t.Errorf("the next holder takes the server's operation to be %+v", op)
			}
		}); err != nil {
			t.Fatal(err)
		}
		for range 40 {
			second.wishWith(t, "m6", 0)
			time.Sleep(250 * time.Millisecond)
		}
	})
}

// TestLIMITLateOrdersThatNoIntentTellsOf: a holder ends that went on without the store, and
// an order of it comes some time after the next one took the lease. Once servers were made
// to see the next holder's fence they refuse it; one that came before is found. The engines
// report an order beyond their memory.
func TestLIMITLateOrdersThatNoIntentTellsOf(t *testing.T) {
	const fenceSeen = tickInterval + handoverTimeout + tickInterval
	for _, late := range []time.Duration{0, tickInterval, 500 * time.Millisecond, fenceSeen, time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s, first, silence := followedHolder(t)
				s.row.setDown(true)
				time.Sleep(3 * time.Second)
				s.engines.loseAnswers(1)
				first.wish(t, "m5")
				for !s.engines.someLate() {
					time.Sleep(time.Millisecond)
				}
				silence()
				first.stop() // it could not tell the record
				s.row.setDown(false)
				second := s.start("b")
				defer second.stop()
				second.hold()
				time.AfterFunc(late, s.engines.carryOutLate)
				for range 40 {
					second.wishWith(t, "m6", 0)
					time.Sleep(100 * time.Millisecond)
				}
				wishUntil(t, second, "m6", 10*time.Second)
				for _, g := range s.engines.given() {
					if g.order.Holder == "a" && late >= fenceSeen && g.result != Fenced {
						t.Errorf("the late order is judged %d", g.result)
					}
				}
			})
		})
	}
}

// TestLIMITLateOrdersThatWereHandedOver: the last holder tells of an order that was not
// answered, and the server carries it out when the intent is long over. The engines report
// an order beyond their memory.
func TestLIMITLateOrdersThatWereHandedOver(t *testing.T) {
	for _, late := range []time.Duration{time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s, first, silence := followedHolder(t)
				s.engines.loseAnswers(1)
				first.wish(t, "m5")
				for !s.engines.someLate() {
					time.Sleep(time.Millisecond)
				}
				silence()
				first.stop()
				second := s.start("b")
				defer second.stop()
				second.hold()
				time.AfterFunc(late, s.engines.carryOutLate)
				for began := time.Now(); time.Since(began) < late+2*time.Second; time.Sleep(100 * time.Millisecond) {
					if time.Since(began) > late {
						second.wishWith(t, "m6", 0)
						second.wishWith(t, "m7", 0)
					}
				}
				wishUntil(t, second, "m6", 20*time.Second)
			})
		})
	}
}

// TestAdaptersOnTheirWayTakePlaces: an earlier holder ordered an adapter that the server
// lists as on its way and no intent tells of.
func TestAdaptersOnTheirWayTakePlaces(t *testing.T) {
	h := &Holder{Quarantine: new(quarantine.Table), Logger: hclog.NewNullLogger()}
	now := time.Unix(1000, 0)
	s := &serverState{holds: make(map[string]*holding)}
	r := Report{Sequence: 3, Models: []backend.Holding{{Model: "m0", Adapters: []string{"a1"}}},
		Arriving: []backend.Need{{Model: "m0", Adapter: "a2"}, {Model: "gone", Adapter: "a1"}}}
	h.take(now, s, r)
	if n := s.adapters(now); n != 2 {
		t.Errorf("%d places are taken, want 2", n)
	}
	if n := s.adapters(now.Add(2 * arriveTime)); n != 1 {
		t.Errorf("%d places are taken of what never came", n)
	}
}

// TestNextLifeOrdersSoon: a holder is killed right after an order. Where servers check
// fences its next life orders at the same server as soon as that has seen the new fence; it
// is no other holder. Elsewhere the server rests, since a late order may still come.
func TestNextLifeOrdersSoon(t *testing.T) {
	for _, test := range []struct {
		fenced      bool
		least, most time.Duration // from the death to the next order
	}{
		{true, 0, 2 * time.Second},
		{false, turns, turns + 3*time.Second},
	} {
		t.Run(fmt.Sprintf("fenced %t", test.fenced), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, []string{"m0"})
				s.fenced = test.fenced
				first := s.start("a/1")
				first.hold()
				time.Sleep(time.Second)
				first.wish(t, "m0/a1")
				time.Sleep(100 * time.Millisecond)
				first.store.away.Store(true) // it can't release the lease
				died := time.Now()
				first.stop()
				second := s.start("a/2")
				defer second.stop()
				second.hold()
				wishUntil(t, second, "m0/a2", 10*time.Second)
				var at time.Duration
				for _, g := range s.engines.given() {
					if g.order.Need.Adapter == "a2" {
						at = g.at.Sub(died)
					}
				}
				if at < test.least || at > test.most {
					t.Errorf("the next life orders after %v, want %v to %v", at, test.least, test.most)
				}
			})
		})
	}
}

// TestHolderWithoutTheStoreEndsAsMostNodesLeaveIt: it lets in what quotas and limits of servers allow as long as
// it is the holder, and so does the next one that most nodes ask.
func TestHolderWithoutTheStoreEndsAsMostNodesLeaveIt(t *testing.T) {
	const most = 2 * time.Second // after the last beat
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		s.fenced = true
		n := s.start("a")
		n.hold()
		silence := beats(t, n, 3)
		defer n.stop()
		time.Sleep(5 * time.Second)
		s.row.setDown(true)
		time.Sleep(10 * time.Second)
		if _, held := n.lease.Held(); !held {
			t.Fatal("the holder does not go on without the store")
		}
		silence()
		defer beats(t, n, 1)()
		time.Sleep(most)
		if _, held := n.lease.Held(); held {
			t.Errorf("it goes on %v after most nodes asked it last", most)
		}
		if reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, Borrow{Service: "s"}); err != nil || reply.(BorrowAnswer).Term != 0 {
			t.Errorf("it lends repeats then: %+v, %v", reply, err)
		}
		if answer := n.takeSlot(t, "server-0", 1); answer.Term != 0 {
			t.Errorf("it gives out slots then: %+v", answer)
		}
	})
}
