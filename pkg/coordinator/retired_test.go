package coordinator

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/route"
)

// listing returns a configuration of the site that lists the given models with their sizes.
func (s *site) listing(version uint64, sizes map[string]int) *route.Table {
	e := *s.table.Service("s").Engine
	e.Models = make(map[string]*route.Model)
	for name, bytes := range sizes {
		e.Models[name] = &route.Model{Name: name, Bytes: uint64(bytes), Adapters: 9, AdapterBytes: 1, LoadTime: loadTime, DiskTime: diskLoadTime}
	}
	return route.NewTable(version, route.Limits{}, nil, []*route.Service{{Name: "s", Engine: &e}})
}

// Guards against orders beyond a server's memory when the configuration no longer lists what the server holds.
func TestLIMITServersHoldModelsThatAreNotListed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		n := s.start("a")
		n.waitForLease()
		time.Sleep(time.Second)
		s.laterTable.Store(s.listing(2, map[string]int{"m0": modelBytes, "m5": modelBytes}))
		requestUntilLoaded(t, n, "m5", loadTime+10*time.Second)
		n.stop()
	})
}

// Guards against orders beyond a server's memory by a holder that never read a configuration which lists what servers hold, and
// against a server that stays half empty since then.
func TestLIMITSizesThatNoNodeKnows(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		s.laterTable.Store(s.listing(2, map[string]int{"m0": modelBytes, "m5": modelBytes}))
		n := s.start("a")
		n.waitForLease()
		requestUntilLoaded(t, n, "m5", retireDelay+loadTime+3*time.Second)
		n.stop()
	})
}

// Guards against orders beyond a server's memory after all nodes restarted and a retired model came back smaller.
func TestLIMITModelsThatComeBackSmaller(t *testing.T) {
	for name, seen := range map[string]bool{"seen by a node": true, "seen by none": false} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, []string{"m0", "m1"})
				small := s.listing(3, map[string]int{"m0": modelBytes, "m1": 20, "m5": modelBytes})
				a := s.start("a")
				a.waitForLease()
				time.Sleep(2 * time.Second)
				if seen {
					s.laterTable.Store(s.listing(2, map[string]int{"m0": modelBytes, "m5": modelBytes}))
					time.Sleep(2 * time.Second)
					s.laterTable.Store(small)
					time.Sleep(2 * time.Second)
				}
				a.stop()
				s.laterTable.Store(small)
				b := s.start("b")
				b.waitForLease()
				requestUntilLoaded(t, b, "m5", 30*time.Second)
				b.stop()
			})
		})
	}
}

// Guards against a load under way that takes no room once its model is no longer listed.
func TestLIMITModelsThatAreRetiredWhileTheyLoad(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		n.waitForLease()
		n.requestLoad(t, "m5")
		time.Sleep(time.Second)
		s.laterTable.Store(s.listing(2, map[string]int{"m0": modelBytes, "m6": modelBytes}))
		requestUntilLoaded(t, n, "m6", 2*loadTime+10*time.Second)
		if loads := s.engines.loads(); len(loads) != 2 {
			t.Errorf("%d loads, want those of m5 and m6", len(loads))
		}
		n.stop()
	})
}

// Guards against adapters beyond a server's memory after the configuration raised their size or their number.
func TestLIMITAdaptersThatBecomeLarger(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		n := s.start("a")
		n.waitForLease()
		table := s.listing(2, map[string]int{"m0": modelBytes, "m1": modelBytes})
		for _, m := range table.Service("s").Engine.Models {
			m.AdapterBytes = engineBytes - 2*modelBytes - 10
		}
		s.laterTable.Store(table)
		time.Sleep(time.Second)
		requestUntilLoaded(t, n, "m0/a1", 5*time.Second)
		n.requestLoad(t, "m0/a2")
		time.Sleep(time.Second)
		for _, g := range s.engines.receivedOrders() {
			if g.order.Load && g.order.Need.Adapter == "a2" {
				t.Error("an adapter was ordered for which there is no memory")
			}
		}
		n.stop()
	})
}

// unloadsOf returns when the engines were first ordered to unload a model, by the time since the test began; 0: never.
func (s *site) unloadsOf(model string) time.Duration {
	for _, g := range s.engines.receivedOrders() {
		if !g.order.Load && g.order.Need.Model == model && g.result == Accepted {
			return g.at.Sub(s.leaseStore.started)
		}
	}
	return 0
}

// Guards against the unload of a retired model under running streams, and against one that is never unloaded as its callers
// don't stop.
func TestRetiredModelsAreUnloadedOnceUnused(t *testing.T) {
	const retiredAt = time.Second
	for name, used := range map[string]time.Duration{"unused": 0, "used for a time": 12 * time.Second, "used for ever": time.Hour} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, []string{"m0", "m1"})
				n := s.start("a")
				time.Sleep(retiredAt)
				s.laterTable.Store(s.listing(2, map[string]int{"m0": modelBytes}))
				for time.Since(s.leaseStore.started) < retiredAt+retireUseTime+5*time.Second {
					beat := Beat{Node: Node{Name: "b"}}
					if time.Since(s.leaseStore.started) < retiredAt+used {
						beat.Uses = []Use{{Service: "s", Model: "m1", Running: []Running{{"server-0", 1}}}}
					}
					if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, beat); err != nil {
						t.Fatal(err)
					}
					time.Sleep(time.Second)
				}
				least := retiredAt + min(max(used, retireDelay), retireUseTime)
				if at := s.unloadsOf("m1"); at < least || at > least+2*time.Second {
					t.Errorf("unloaded at %v, want %v or somewhat later", at, least)
				}
				n.stop()
			})
		})
	}
}

// Guards against the unload of models by a holder that reads a configuration late, or of ones that come back soon.
func TestModelsThatComeBackSoonStay(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		s.laterTable.Store(s.listing(2, map[string]int{"m0": modelBytes}))
		time.Sleep(retireDelay - time.Second)
		s.laterTable.Store(s.table)
		time.Sleep(2 * retireDelay)
		if at := s.unloadsOf("m1"); at > 0 {
			t.Errorf("m1 was unloaded at %v", at)
		}
		n.stop()
	})
}

// Guards against loads at servers that hold more models or adapters than a new configuration lets them.
func TestLIMITServersThatAreListedSmaller(t *testing.T) {
	for need, shrink := range map[string]func(e *route.Engine){
		"m5":    func(e *route.Engine) { e.WeightBytes = modelBytes + 10 },
		"m0/a3": func(e *route.Engine) { e.AdapterPlaces = 1 },
	} {
		t.Run(need, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, []string{"m0", "m1"})
				n := s.start("a")
				n.waitForLease()
				requestUntilLoaded(t, n, "m0/a1", 5*time.Second)
				requestUntilLoaded(t, n, "m0/a2", 5*time.Second)
				table := s.listing(2, map[string]int{"m0": modelBytes, "m1": modelBytes, "m5": modelBytes})
				shrink(table.Service("s").Engine)
				s.laterTable.Store(table)
				time.Sleep(2 * time.Second)
				earlier := len(s.engines.receivedOrders())
				requestUntilLoaded(t, n, need, 20*time.Second)
				unloads := 0
				for _, g := range s.engines.receivedOrders()[earlier:] {
					if !g.order.Load {
						unloads++
					} else if unloads != 2 {
						t.Errorf("%v was ordered after %d unloads, want 2", g.order.Need, unloads)
					}
				}
				n.stop()
			})
		})
	}
}
