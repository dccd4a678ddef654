package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/revision"
)

// TestALoadThatEndsServersIsPutOff: a model's weights end each server that loads them. Without
// a bound the holder orders the next server to load them as soon as the last one is gone, and
// each takes the models with it that it held.
func TestALoadThatEndsServersIsPutOff(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const bad = "m30"
		s := newSite(t, []string{"m0"}, []string{"m1"}, []string{"m2"}, []string{"m3"})
		n := s.start("a")
		defer n.stop()
		n.hold()
		ended := make(map[string]bool)
		lives, version := 0, revision.Revision(1)
		end := func(id string) {
			ended[id] = true
			lives++
			next := fmt.Sprintf("life-%d", lives)
			s.engines.mu.Lock()
			s.engines.servers[next] = &engineState{models: make(map[string]map[string]bool)}
			s.engines.mu.Unlock()
			s.list = slices.DeleteFunc(s.list, func(b *backend.Server) bool { return b.ID == id })
			s.list = append(s.list, &backend.Server{ID: next, Service: "s", Zone: "z", Slots: 8, Version: version})
			version++
			n.servers.Replace(slices.Clone(s.list), version)
		}
		longest := time.Duration(0) // that who waits for it was told
		for began := time.Now(); time.Since(began) < 25*time.Second; time.Sleep(250 * time.Millisecond) {
			longest = max(longest, n.wish(t, bad).ReadyIn)
			for _, g := range s.engines.loads() {
				if g.order.Need.Model == bad && !ended[g.server] && time.Since(g.at) > time.Second {
					end(g.server)
				}
			}
		}
		if len(ended) != 3 {
			t.Errorf("%d servers ended by loads of one model, want 3", len(ended))
		}
		if longest < 20*time.Second {
			t.Errorf("who waits for it was told %v at most, though it is not loaded for long", longest)
		}
		if got := n.wish(t, "m31"); got.ReadyIn > loadTime+time.Second {
			t.Errorf("another model is ready in %v", got.ReadyIn)
		}
	})
}
