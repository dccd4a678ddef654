package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/revision"
)

// TestALoadThatCrashesServersIsPaused has a model whose weights crash each server that loads them.
// Without a bound the holder orders the next server to load them as soon as the last one is gone,
// and each crash also loses the other models that the server held.
func TestALoadThatCrashesServersIsPaused(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const bad = "m30"
		s := newSite(t, []string{"m0"}, []string{"m1"}, []string{"m2"}, []string{"m3"})
		n := s.start("a")
		defer n.stop()
		n.waitForLease()
		crashed := make(map[string]bool)
		restarts, version := 0, revision.Revision(1)
		crash := func(id string) {
			crashed[id] = true
			restarts++
			next := fmt.Sprintf("life-%d", restarts)
			s.engines.mu.Lock()
			s.engines.servers[next] = &engineState{models: make(map[string]map[string]bool)}
			s.engines.mu.Unlock()
			s.serverRecords = slices.DeleteFunc(s.serverRecords, func(b *backend.Server) bool { return b.ID == id })
			s.serverRecords = append(s.serverRecords, &backend.Server{ID: next, Service: "s", Zone: "z", Slots: 8, Version: version})
			version++
			n.servers.Replace(slices.Clone(s.serverRecords), version)
		}
		longestWait := time.Duration(0) // longest predicted wait for the model
		for began := time.Now(); time.Since(began) < 25*time.Second; time.Sleep(250 * time.Millisecond) {
			longestWait = max(longestWait, n.requestLoad(t, bad).ReadyIn)
			for _, g := range s.engines.loads() {
				if g.order.Need.Model == bad && !crashed[g.server] && time.Since(g.at) > time.Second {
					crash(g.server)
				}
			}
		}
		if len(crashed) != 3 {
			t.Errorf("%d servers crashed by loads of one model, want 3", len(crashed))
		}
		if longestWait < 20*time.Second {
			t.Errorf("the longest predicted wait is %v, although the model is not loaded for longer", longestWait)
		}
		if got := n.requestLoad(t, "m31"); got.ReadyIn > loadTime+time.Second {
			t.Errorf("another model is predicted to be ready in %v", got.ReadyIn)
		}
	})
}

func TestAnAdapterThatCrashesServersIsLoadedAtOneAfterTheOther(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const bad, sound = "m0/a1", "m0/a2"
		models := [][]string{}
		for range 12 {
			models = append(models, []string{"m0"})
		}
		s := newSite(t, models...)
		n := s.start("a")
		defer n.stop()
		n.waitForLease()
		crashed := make(map[string]bool)
		longestWait := time.Duration(0)
		soundLoads := 0
		for began := time.Now(); time.Since(began) < 25*time.Second; time.Sleep(250 * time.Millisecond) {
			longestWait = max(longestWait, n.requestLoad(t, bad).ReadyIn)
			n.requestLoad(t, sound)
			soundLoads = 0
			for _, g := range s.engines.receivedOrders() {
				if g.result != Accepted || !g.order.Load {
					continue
				}
				if g.order.Need.String() == sound {
					soundLoads++
				}
				if g.order.Need.String() == bad && !crashed[g.server] && time.Since(g.at) > time.Second {
					crashed[g.server] = true
					s.serverRecords = slices.DeleteFunc(s.serverRecords, func(b *backend.Server) bool { return b.ID == g.server })
					n.servers.Replace(slices.Clone(s.serverRecords), revision.Revision(len(crashed)+1))
				}
			}
		}
		if len(crashed) != crashesBeforePause {
			t.Errorf("%d servers crashed by loads of one adapter, want %d", len(crashed), crashesBeforePause)
		}
		if longestWait < 20*time.Second {
			t.Errorf("the longest predicted wait is %v, although the adapter is not loaded for longer", longestWait)
		}
		if soundLoads == 0 {
			t.Error("another adapter of the model was not loaded")
		}
		if got := n.requestLoad(t, "m0"); got.ReadyIn > 0 {
			t.Errorf("the model of the adapter is predicted to be ready in %v, though servers hold it", got.ReadyIn)
		}
	})
}
