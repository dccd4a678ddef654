package coordinator

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/revision"
)

// wishUntil tells the wish again, as nodes do, until a server holds the model.
func wishUntil(t *testing.T, n *node, need string, most time.Duration) string {
	t.Helper()
	for began := time.Now(); time.Since(began) < most; time.Sleep(250 * time.Millisecond) {
		if answer := n.wish(t, need); answer.Server != "" {
			return answer.Server
		}
	}
	t.Errorf("no server holds %s after %v", need, most)
	return ""
}

func TestWishLoadsAModel(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, []string{"m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		if answer := n.wish(t, "m5"); answer.Server != "" || answer.ReadyIn < loadTime/2 {
			t.Errorf("the first answer is %+v", answer)
		}
		wishUntil(t, n, "m5", loadTime+2*time.Second)
		if loads := s.engines.loads(); len(loads) != 1 {
			t.Errorf("%d loads for one wish", len(loads))
		}
		n.stop()
	})
}

// TestFinishedLoadsAreSeenSoon: requests wait for a load that is done, however much
// longer than expected it took.
func TestFinishedLoadsAreSeenSoon(t *testing.T) {
	const cases, step, most = 12, 30 * time.Millisecond, 2 * duePause
	for i := range cases {
		bubble(t, func(t *testing.T) {
			s := newSite(t, []string{"m0"})
			s.engines.load = loadTime + time.Duration(i)*step
			n := s.start("a")
			time.Sleep(time.Second + time.Duration(i)*step)
			n.wish(t, "m5")
			for len(s.engines.loads()) == 0 {
				time.Sleep(time.Millisecond)
			}
			done := s.engines.loads()[0].at.Add(s.engines.load)
			need := backend.Need{Model: "m5"}
			for !n.servers.Snapshot().Member("server-0").Serves(time.Now(), need) {
				time.Sleep(time.Millisecond)
			}
			if after := time.Since(done); after > most {
				t.Errorf("a load that took %v longer was seen %v after its end", time.Duration(i)*step, after)
			}
			n.stop()
		})
	}
}

// TestLIMITOfMemory: models make room before others are loaded, also when many
// are wished at once. The engines report an order beyond their memory.
func TestLIMITOfMemory(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"}, []string{"m2", "m3"})
		n := s.start("a")
		time.Sleep(time.Second)
		for i := 4; i < 10; i++ {
			wishUntil(t, n, fmt.Sprintf("m%d", i), 30*time.Second)
		}
		n.stop()
	})
}

// TestLIMITOfAdapterPlaces: adapters make room for others.
func TestLIMITOfAdapterPlaces(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		time.Sleep(time.Second)
		for i := 1; i < 9; i++ {
			wishUntil(t, n, fmt.Sprintf("m0/a%d", i), 10*time.Second)
		}
		n.stop()
	})
}

// TestLIMITAfterAChangeOfHolder: what the last holder is loading is counted,
// though reports don't list it.
func TestLIMITAfterAChangeOfHolder(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		s.engines.load = 3 * loadTime
		first := s.start("a")
		time.Sleep(time.Second)
		first.wish(t, "m5")
		time.Sleep(500 * time.Millisecond)
		if len(s.engines.loads()) != 1 {
			t.Fatal("nothing is being loaded")
		}
		second := s.start("b")
		first.stop()
		time.Sleep(500 * time.Millisecond)
		for began := time.Now(); time.Since(began) < s.engines.load; time.Sleep(200 * time.Millisecond) {
			second.wish(t, "m6")
		}
		wishUntil(t, second, "m6", 2*s.engines.load)
		second.stop()
	})
}

// TestLateOrdersDoNoHarm: an order without an answer is given again under the
// same condition; carried out late it has no second effect.
func TestLateOrdersDoNoHarm(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		time.Sleep(time.Second)
		s.engines.loseAnswers(1)
		n.wish(t, "m5")
		wishUntil(t, n, "m5", loadTime+4*time.Second)
		s.engines.carryOutLate()
		if loads := s.engines.loads(); len(loads) != 1 {
			t.Errorf("%d loads of one model", len(loads))
		}
		wishUntil(t, n, "m6", 20*time.Second)
		n.stop()
	})
}

// TestCEILING: the loads that begin in any window stay below the platform's
// bound, over a change of the holder too.
func TestCEILING(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var holds [][]string
		for range 40 {
			holds = append(holds, nil)
		}
		s := newSite(t, holds...)
		n := s.start("a")
		time.Sleep(time.Second)
		for began := time.Now(); time.Since(began) < 12*time.Second; time.Sleep(100 * time.Millisecond) {
			for i := range models {
				n.wish(t, fmt.Sprintf("m%d", i))
			}
		}
		loads := s.engines.loads()
		most := int(loadRate*window.Seconds()*1.1) + 3
		for i := range loads {
			within := 0
			for _, other := range loads[i:] {
				if other.at.Sub(loads[i].at) < window {
					within++
				}
			}
			if within > most {
				t.Errorf("%d loads within %v, at most %d are allowed", within, window, most)
			}
		}
		n.stop()
	})
}

// TestONEHolderAtATime: two holders' orders to one server never come within the
// turn, and the fence only rises.
func TestONEHolderAtATime(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, []string{"m1"})
		s.engines.load = 100 * time.Millisecond // so that servers are free for the next holder
		for _, m := range s.table.Service("s").Engine.Models {
			m.LoadTime = s.engines.load
		}
		nodes := map[string]*node{"a": s.start("a")}
		time.Sleep(time.Second)
		nodes["b"], nodes["c"] = s.start("b"), s.start("c")
		for _, stopped := range []string{"a", "b", "c"} {
			began := time.Now()
			for i := 0; time.Since(began) < 8*time.Second; i++ {
				for _, n := range nodes {
					n.wish(t, fmt.Sprintf("m%d", 2+i%8))
					n.lease.Suspect()
				}
				time.Sleep(200 * time.Millisecond)
			}
			nodes[stopped].stop()
			delete(nodes, stopped)
		}
		last := make(map[string]given)
		holders := make(map[string]bool)
		for _, g := range s.engines.given() {
			before, had := last[g.server]
			if had && g.order.Fence < before.order.Fence {
				t.Errorf("fence %d after %d at %s", g.order.Fence, before.order.Fence, g.server)
			}
			if had && g.order.Holder != before.order.Holder && g.at.Sub(before.at) < turns {
				t.Errorf("orders of %s and %s within %v at %s", before.order.Holder, g.order.Holder, g.at.Sub(before.at), g.server)
			}
			last[g.server] = g
			holders[g.order.Holder] = true
		}
		if len(holders) < 2 {
			t.Errorf("orders came from %v only", holders)
		}
	})
}

// TestNoOrdersWithoutTheStore: intents can't be written, so nothing is ordered;
// it goes on when the store is back.
func TestNoOrdersWithoutTheStore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		time.Sleep(time.Second)
		s.row.setDown(true)
		n.wish(t, "m5")
		time.Sleep(4 * time.Second)
		if orders := len(s.engines.given()); orders != 0 {
			t.Errorf("%d orders while the store is down", orders)
		}
		s.row.setDown(false)
		n.lease.Suspect()
		time.Sleep(3 * time.Second)
		wishUntil(t, n, "m5", 10*time.Second)
		n.stop()
	})
}

// TestServersRecoverFromAFailingStore: a write that fails is no failure of the
// server that the order was for.
func TestServersRecoverFromAFailingStore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		s.row.setDown(true)
		n.wish(t, "m0/a1")
		time.Sleep(900 * time.Millisecond)
		s.row.setDown(false)
		wishUntil(t, n, "m0/a1", 5*time.Second)
		n.stop()
	})
}

// TestRepeatsLeaveTheFirstOrderInDoubt: an order without an answer is repeated,
// the repeat fails for another reason, and then the first takes effect. What it
// loads is counted. The engines report an order beyond their memory.
func TestRepeatsLeaveTheFirstOrderInDoubt(t *testing.T) {
	for name, fail := range map[string]func(s *site){
		"the repeat is not written": func(s *site) { s.row.setDown(true) },
		"the repeat conflicts":      func(s *site) { s.engines.carryOutLate() },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, nil)
				before := s.start("a")
				time.Sleep(time.Second)
				wishUntil(t, before, "m4", 10*time.Second)
				before.stop()
				n := s.start("b") // whose lease still lists the order for m4
				time.Sleep(2 * time.Second)
				wishUntil(t, n, "m4", 10*time.Second)
				time.Sleep(3 * time.Second)
				s.engines.loseAnswers(1)
				n.wish(t, "m5")
				time.Sleep(orderTimeout + 50*time.Millisecond) // in doubt, not repeated yet
				fail(s)
				time.Sleep(900 * time.Millisecond)
				s.engines.carryOutLate()
				s.row.setDown(false)
				for range 20 {
					n.wishWith(t, "m6", 0)
					time.Sleep(100 * time.Millisecond)
				}
				wishUntil(t, n, "m5", 10*time.Second)
				wishUntil(t, n, "m6", 10*time.Second)
				n.stop()
			})
		})
	}
}

// TestAdaptersInDoubtForLongKeepTheirPlace: the order of an adapter is answered at
// last, while others wait for the same place. The engines report an order beyond
// their places.
func TestAdaptersInDoubtForLongKeepTheirPlace(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		time.Sleep(time.Second)
		wishUntil(t, n, "m0/a1", 5*time.Second)
		s.engines.delay = 2 * planPause // so that a plan comes with the answer
		s.engines.loseOrders(int(2 * arriveTime / orderTimeout))
		for range 60 {
			for _, need := range []string{"m0/a2", "m0/a3", "m0/a4"} {
				n.wish(t, need)
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, need := range []string{"m0/a2", "m0/a3", "m0/a4"} {
			wishUntil(t, n, need, 10*time.Second)
		}
		n.stop()
	})
}

// TestONEOrdersArriveWithinThePermit: the next holder leaves a server alone for a
// time that begins when the intent was written. An order after a slow write gets
// what is left of the permit and no more.
func TestONEOrdersArriveWithinThePermit(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		time.Sleep(time.Second)
		s.row.setSlow(600 * time.Millisecond)
		s.engines.delay = 400 * time.Millisecond
		wished := time.Now()
		n.wish(t, "m5")
		time.Sleep(2 * time.Second)
		for _, g := range s.engines.given() {
			if after := g.at.Sub(wished); after > lease.PermitTime {
				t.Errorf("an order arrived %v after its wish", after)
			}
		}
		s.row.setSlow(0)
		wishUntil(t, n, "m5", 20*time.Second)
		n.stop()
	})
}

// TestLateOrdersOfALastHolderAreSeen: an order of the last holder takes effect
// after the new one has asked the server and before it may order there. The
// engines report an order beyond their memory.
func TestLateOrdersOfALastHolderAreSeen(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		before := s.start("a")
		time.Sleep(time.Second)
		s.engines.loseAnswers(1)
		before.wish(t, "m5")
		for !s.engines.someLate() {
			time.Sleep(time.Millisecond)
		}
		before.stop() // its order is on its way
		n := s.start("b")
		for _, held := n.lease.Held(); !held; _, held = n.lease.Held() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * tickInterval)
		s.engines.carryOutLate()
		for range 40 {
			n.wishWith(t, "m6", 0)
			time.Sleep(100 * time.Millisecond)
		}
		wishUntil(t, n, "m6", 10*time.Second)
		n.stop()
	})
}

// TestRecordsFromBeforeALoadDoNotEndIt: a model is loaded again right after it
// made way, and the record that comes meanwhile still lists it from before.
func TestRecordsFromBeforeALoadDoNotEndIt(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		wishUntil(t, n, "m5", 10*time.Second)
		gone := "m0"
		for _, g := range s.engines.given() {
			if !g.order.Load {
				gone = g.order.Need.Model
			}
		}
		for loads := len(s.engines.loads()); len(s.engines.loads()) == loads; time.Sleep(20 * time.Millisecond) {
			n.wishWith(t, gone, 0)
		}
		stale := *s.list[0]
		stale.Version++
		n.servers.Replace([]*backend.Server{&stale}, 2)
		began := time.Now()
		wishUntil(t, n, gone, 2*loadTime)
		if took := time.Since(began); took < loadTime/2 {
			t.Errorf("%s is taken to be held %v after its load began", gone, took)
		}
		n.stop()
	})
}

// TestLIMITAnOrderInDoubtBeyondTheServersCount: a holder believes that a server took one
// order more than it did, and an order by that number is on its way. It takes effect once
// the server's count gets there, so nothing else is ordered until it can't come any more.
// A record that lies behind hides that the adapter is on its way.
func TestLIMITAnOrderInDoubtBeyondTheServersCount(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, []string{"m0"})
		tell := func(version revision.Revision, adapters ...[]string) {
			var list []*backend.Server
			for i, names := range adapters {
				record := *s.list[i]
				record.Version, record.Models = version, []backend.Holding{{Model: "m0", Adapters: names}}
				list = append(list, &record)
			}
			s.list = list
		}
		s.engines.servers["server-0"].models["m0"]["a8"] = true
		s.engines.servers["server-1"].models["m0"]["a7"] = true
		tell(1, []string{"a8"}, []string{"a7"})
		n := s.start("a")
		n.hold()
		time.Sleep(time.Second)
		if err := n.holder.do(t.Context(), func() { n.holder.servers["server-0"].sequence++ }); err != nil {
			t.Fatal(err)
		}
		s.engines.loseAnswers(1)
		n.wish(t, "m0/a1")
		for !s.engines.someLate() {
			time.Sleep(time.Millisecond)
		}
		s.engines.servers["server-1"].models["m0"]["a1"] = true
		tell(2, []string{"a8", "a1"}, []string{"a7", "a1"})
		n.servers.Replace(s.list, 2)
		time.Sleep(2 * time.Second)
		n.wish(t, "m0/a2")
		time.Sleep(time.Second)
		s.engines.carryOutLate()
		wishUntil(t, n, "m0/a2", 2*latestOrder)
		n.stop()
	})
}
