package coordinator

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/revision"
)

// requestUntilLoaded repeats a load request, as nodes do, until a server holds the model.
func requestUntilLoaded(t *testing.T, n *node, need string, limit time.Duration) string {
	t.Helper()
	for began := time.Now(); time.Since(began) < limit; time.Sleep(250 * time.Millisecond) {
		if answer := n.requestLoad(t, need); answer.Server != "" {
			return answer.Server
		}
	}
	t.Errorf("no server holds %s after %v", need, limit)
	return ""
}

func TestLoadRequestLoadsTheModel(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, []string{"m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		if answer := n.requestLoad(t, "m5"); answer.Server != "" || answer.ReadyIn < loadTime/2 {
			t.Errorf("the first answer is %+v", answer)
		}
		requestUntilLoaded(t, n, "m5", loadTime+2*time.Second)
		if loads := s.engines.loads(); len(loads) != 1 {
			t.Errorf("%d loads for one load request", len(loads))
		}
		n.stop()
	})
}

// TestFinishedLoadsAreSeenSoon checks that the end of a load is noticed soon, however much longer
// than predicted it took: requests wait for it.
func TestFinishedLoadsAreSeenSoon(t *testing.T) {
	const cases, step, most = 12, 30 * time.Millisecond, 2 * duePollInterval
	for i := range cases {
		bubble(t, func(t *testing.T) {
			s := newSite(t, []string{"m0"})
			s.engines.loadDuration = loadTime + time.Duration(i)*step
			n := s.start("a")
			time.Sleep(time.Second + time.Duration(i)*step)
			n.requestLoad(t, "m5")
			for len(s.engines.loads()) == 0 {
				time.Sleep(time.Millisecond)
			}
			done := s.engines.loads()[0].at.Add(s.engines.loadDuration)
			need := backend.Need{Model: "m5"}
			for !n.servers.Snapshot().Member("server-0").Serves(time.Now(), need) {
				time.Sleep(time.Millisecond)
			}
			if after := time.Since(done); after > most {
				t.Errorf("a load that took %v longer was noticed %v after its end", time.Duration(i)*step, after)
			}
			n.stop()
		})
	}
}

// TestLIMITOfMemory checks that models are unloaded before others are loaded, also when many are
// requested. The engines report orders that exceed their memory.
func TestLIMITOfMemory(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"}, []string{"m2", "m3"})
		n := s.start("a")
		time.Sleep(time.Second)
		for i := 4; i < 10; i++ {
			requestUntilLoaded(t, n, fmt.Sprintf("m%d", i), 30*time.Second)
		}
		n.stop()
	})
}

// TestLIMITOfAdapterPlaces checks that adapters are unloaded before others are loaded. The engines
// report orders that exceed their places.
func TestLIMITOfAdapterPlaces(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		time.Sleep(time.Second)
		for i := 1; i < 9; i++ {
			requestUntilLoaded(t, n, fmt.Sprintf("m0/a%d", i), 10*time.Second)
		}
		n.stop()
	})
}

// TestLIMITAfterAChangeOfHolder checks that a new holder counts what the last one is loading,
// although reports don't list it.
func TestLIMITAfterAChangeOfHolder(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		s.engines.loadDuration = 3 * loadTime
		first := s.start("a")
		time.Sleep(time.Second)
		first.requestLoad(t, "m5")
		time.Sleep(500 * time.Millisecond)
		if len(s.engines.loads()) != 1 {
			t.Fatal("nothing is being loaded")
		}
		second := s.start("b")
		first.stop()
		time.Sleep(500 * time.Millisecond)
		for began := time.Now(); time.Since(began) < s.engines.loadDuration; time.Sleep(200 * time.Millisecond) {
			second.requestLoad(t, "m6")
		}
		requestUntilLoaded(t, second, "m6", 2*s.engines.loadDuration)
		second.stop()
	})
}

// TestLateOrdersDoNoHarm checks that an unanswered order is repeated with the same expected order
// count, so that the first one has no second effect when it is carried out late.
func TestLateOrdersDoNoHarm(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		time.Sleep(time.Second)
		s.engines.loseAnswers(1)
		n.requestLoad(t, "m5")
		requestUntilLoaded(t, n, "m5", loadTime+4*time.Second)
		s.engines.applyDelayedOrders()
		if loads := s.engines.loads(); len(loads) != 1 {
			t.Errorf("%d loads of one model", len(loads))
		}
		requestUntilLoaded(t, n, "m6", 20*time.Second)
		n.stop()
	})
}

// TestCEILING checks that the loads started within any window stay below the platform's ceiling.
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
			for i := range modelCount {
				n.requestLoad(t, fmt.Sprintf("m%d", i))
			}
		}
		loads := s.engines.loads()
		most := int(loadRate*ceilingWindow.Seconds()*1.1) + 3
		for i := range loads {
			within := 0
			for _, other := range loads[i:] {
				if other.at.Sub(loads[i].at) < ceilingWindow {
					within++
				}
			}
			if within > most {
				t.Errorf("%d loads started within %v, at most %d are allowed", within, ceilingWindow, most)
			}
		}
		n.stop()
	})
}

// TestONEHolderAtATime checks that orders of two holders never reach one server within
// holderChangePause, and that fences never decrease.
func TestONEHolderAtATime(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, []string{"m1"})
		s.engines.loadDuration = 100 * time.Millisecond // so that servers are free for the next holder
		for _, m := range s.table.Service("s").Engine.Models {
			m.LoadTime = s.engines.loadDuration
		}
		nodes := map[string]*node{"a": s.start("a")}
		time.Sleep(time.Second)
		nodes["b"], nodes["c"] = s.start("b"), s.start("c")
		for _, stopped := range []string{"a", "b", "c"} {
			began := time.Now()
			for i := 0; time.Since(began) < 8*time.Second; i++ {
				for _, n := range nodes {
					n.requestLoad(t, fmt.Sprintf("m%d", 2+i%8))
					n.lease.Suspect()
				}
				time.Sleep(200 * time.Millisecond)
			}
			nodes[stopped].stop()
			delete(nodes, stopped)
		}
		last := make(map[string]receivedOrder)
		holders := make(map[string]bool)
		for _, g := range s.engines.receivedOrders() {
			before, had := last[g.server]
			if had && g.order.Fence < before.order.Fence {
				t.Errorf("fence %d after %d at %s", g.order.Fence, before.order.Fence, g.server)
			}
			if had && g.order.Holder != before.order.Holder && g.at.Sub(before.at) < holderChangePause {
				t.Errorf("orders of %s and %s within %v at server %s", before.order.Holder, g.order.Holder, g.at.Sub(before.at), g.server)
			}
			last[g.server] = g
			holders[g.order.Holder] = true
		}
		if len(holders) < 2 {
			t.Errorf("want orders of several holders, got them from %v", holders)
		}
	})
}

// TestNoOrdersWithoutTheStore checks that no order is given while intents can't be written, and that
// orders resume when the store is back.
func TestNoOrdersWithoutTheStore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		time.Sleep(time.Second)
		s.leaseStore.setDown(true)
		n.requestLoad(t, "m5")
		time.Sleep(4 * time.Second)
		if orders := len(s.engines.receivedOrders()); orders != 0 {
			t.Errorf("%d orders while the store is down", orders)
		}
		s.leaseStore.setDown(false)
		n.lease.Suspect()
		time.Sleep(3 * time.Second)
		requestUntilLoaded(t, n, "m5", 10*time.Second)
		n.stop()
	})
}

// TestServersRecoverFromAFailingStore checks that a failed write does not count as a failure of the
// server that the order was for.
func TestServersRecoverFromAFailingStore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		s.leaseStore.setDown(true)
		n.requestLoad(t, "m0/a1")
		time.Sleep(900 * time.Millisecond)
		s.leaseStore.setDown(false)
		requestUntilLoaded(t, n, "m0/a1", 5*time.Second)
		n.stop()
	})
}

// TestRepeatsLeaveTheFirstOrderUnresolved has an unanswered order be repeated, the repetition fail
// for another reason, and then the first order take effect. The holder must still count what it
// loads. The engines report orders that exceed their memory.
func TestRepeatsLeaveTheFirstOrderUnresolved(t *testing.T) {
	for name, fail := range map[string]func(s *site){
		"the repeat is not written": func(s *site) { s.leaseStore.setDown(true) },
		"the repeat conflicts":      func(s *site) { s.engines.applyDelayedOrders() },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, nil)
				before := s.start("a")
				time.Sleep(time.Second)
				requestUntilLoaded(t, before, "m4", 10*time.Second)
				before.stop()
				n := s.start("b") // whose lease still lists the order for m4
				time.Sleep(2 * time.Second)
				requestUntilLoaded(t, n, "m4", 10*time.Second)
				time.Sleep(3 * time.Second)
				s.engines.loseAnswers(1)
				n.requestLoad(t, "m5")
				time.Sleep(orderTimeout + 50*time.Millisecond) // outcome unknown, not repeated yet
				fail(s)
				time.Sleep(900 * time.Millisecond)
				s.engines.applyDelayedOrders()
				s.leaseStore.setDown(false)
				for range 20 {
					n.requestLoadWithPriority(t, "m6", 0)
					time.Sleep(100 * time.Millisecond)
				}
				requestUntilLoaded(t, n, "m5", 10*time.Second)
				requestUntilLoaded(t, n, "m6", 10*time.Second)
				n.stop()
			})
		})
	}
}

// TestAdaptersOfUnresolvedOrdersKeepTheirPlace has the order of an adapter answered only after a long
// time, while other adapters wait for the same place. The engines report orders that exceed their
// places.
func TestAdaptersOfUnresolvedOrdersKeepTheirPlace(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		time.Sleep(time.Second)
		requestUntilLoaded(t, n, "m0/a1", 5*time.Second)
		s.engines.answerDelay = 2 * planPause // so that a plan runs just as the answer arrives
		s.engines.loseOrders(int(2 * adapterRecordTime / orderTimeout))
		for range 60 {
			for _, need := range []string{"m0/a2", "m0/a3", "m0/a4"} {
				n.requestLoad(t, need)
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, need := range []string{"m0/a2", "m0/a3", "m0/a4"} {
			requestUntilLoaded(t, n, need, 10*time.Second)
		}
		n.stop()
	})
}

// TestONEOrdersArriveWithinThePermit checks that an order after a slow write gets only what is left
// of the permit's time. The next holder waits for a time that begins when the intent is written.
func TestONEOrdersArriveWithinThePermit(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		time.Sleep(time.Second)
		s.leaseStore.setWriteDelay(600 * time.Millisecond)
		s.engines.answerDelay = 400 * time.Millisecond
		requestedAt := time.Now()
		n.requestLoad(t, "m5")
		time.Sleep(2 * time.Second)
		for _, g := range s.engines.receivedOrders() {
			if after := g.at.Sub(requestedAt); after > lease.PermitTime {
				t.Errorf("an order arrived %v after its load request", after)
			}
		}
		s.leaseStore.setWriteDelay(0)
		requestUntilLoaded(t, n, "m5", 20*time.Second)
		n.stop()
	})
}

// TestLateOrdersOfALastHolderAreSeen has an order of the last holder take effect after the new
// holder asked the server for a report and before it may give orders there. The engines report
// orders that exceed their memory.
func TestLateOrdersOfALastHolderAreSeen(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		before := s.start("a")
		time.Sleep(time.Second)
		s.engines.loseAnswers(1)
		before.requestLoad(t, "m5")
		for !s.engines.hasDelayedOrders() {
			time.Sleep(time.Millisecond)
		}
		before.stop() // its order is still on the way
		n := s.start("b")
		for _, held := n.lease.Held(); !held; _, held = n.lease.Held() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * tickInterval)
		s.engines.applyDelayedOrders()
		for range 40 {
			n.requestLoadWithPriority(t, "m6", 0)
			time.Sleep(100 * time.Millisecond)
		}
		requestUntilLoaded(t, n, "m6", 10*time.Second)
		n.stop()
	})
}

// TestRecordsFromBeforeALoadDoNotEndIt has a model loaded again right after it was unloaded, while a
// record arrives that still lists it from before.
func TestRecordsFromBeforeALoadDoNotEndIt(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		requestUntilLoaded(t, n, "m5", 10*time.Second)
		gone := "m0"
		for _, g := range s.engines.receivedOrders() {
			if !g.order.Load {
				gone = g.order.Need.Model
			}
		}
		for loads := len(s.engines.loads()); len(s.engines.loads()) == loads; time.Sleep(20 * time.Millisecond) {
			n.requestLoadWithPriority(t, gone, 0)
		}
		stale := *s.serverRecords[0]
		stale.Version++
		n.servers.Replace([]*backend.Server{&stale}, 2)
		began := time.Now()
		requestUntilLoaded(t, n, gone, 2*loadTime)
		if took := time.Since(began); took < loadTime/2 {
			t.Errorf("%s counts as loaded %v after its load began", gone, took)
		}
		n.stop()
	})
}

// TestLIMITAnUnresolvedOrderBeyondTheServersCount has a holder that believes a server took one order
// more than it did, and an order with that expected count still on the way. That order takes effect
// once the server's count gets there, so nothing else may be ordered until it can no longer arrive.
// An outdated record hides that the adapter is on its way.
func TestLIMITAnUnresolvedOrderBeyondTheServersCount(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, []string{"m0"})
		setRecords := func(version revision.Revision, adapters ...[]string) {
			var list []*backend.Server
			for i, names := range adapters {
				record := *s.serverRecords[i]
				record.Version, record.Models = version, []backend.Holding{{Model: "m0", Adapters: names}}
				list = append(list, &record)
			}
			s.serverRecords = list
		}
		s.engines.servers["server-0"].models["m0"]["a8"] = true
		s.engines.servers["server-1"].models["m0"]["a7"] = true
		setRecords(1, []string{"a8"}, []string{"a7"})
		n := s.start("a")
		n.waitForLease()
		time.Sleep(time.Second)
		if err := n.holder.runOnLoop(t.Context(), func() { n.holder.servers["server-0"].sequence++ }); err != nil {
			t.Fatal(err)
		}
		s.engines.loseAnswers(1)
		n.requestLoad(t, "m0/a1")
		for !s.engines.hasDelayedOrders() {
			time.Sleep(time.Millisecond)
		}
		s.engines.servers["server-1"].models["m0"]["a1"] = true
		setRecords(2, []string{"a8", "a1"}, []string{"a7", "a1"})
		n.servers.Replace(s.serverRecords, 2)
		time.Sleep(2 * time.Second)
		n.requestLoad(t, "m0/a2")
		time.Sleep(time.Second)
		s.engines.applyDelayedOrders()
		requestUntilLoaded(t, n, "m0/a2", 2*maxOrderDelay)
		n.stop()
	})
}
