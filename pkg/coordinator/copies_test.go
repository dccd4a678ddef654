package coordinator

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
)

// onDisk has a server tell of a copy on its disk from the start.
func (s *site) onDisk(i int, models ...string) {
	s.engines.servers[s.list[i].ID].disk = models
	s.list[i].OnDisk = models
}

// TestOutlookCountsACopy: who asks for a model that lies on a server's disk is told the
// time that a load from there takes, and finds it then.
func TestOutlookCountsACopy(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"}, []string{"m2", "m3"})
		s.onDisk(1, "m5")
		n := s.start("a")
		time.Sleep(time.Second)
		answer := n.wish(t, "m5")
		if answer.ReadyIn > unloadTime+diskTime+time.Second {
			t.Errorf("a model on a disk is said to be ready in %v", answer.ReadyIn)
		}
		if server := wishUntil(t, n, "m5", answer.ReadyIn+time.Second); server != "server-1" {
			t.Errorf("it was loaded on %s", server)
		}
		n.stop()
	})
}

// TestDroppedCopiesAreForgotten: a copy that a server does not list any more counts as
// gone.
func TestDroppedCopiesAreForgotten(t *testing.T) {
	s := &serverState{cached: make(map[string]tier)}
	s.cache([]string{"m1"}, []string{"m1", "m2"})
	s.cache(nil, nil) // a record without lists tells nothing
	if s.cached["m1"] != inMemory || s.cached["m2"] != onDisk {
		t.Fatalf("the copies are %v", s.cached)
	}
	s.cache([]string{}, []string{"m2"})
	if _, has := s.cached["m1"]; has {
		t.Error("a copy that the server dropped is still believed")
	}
}

// TestGoneServersAreReplaced: once a node was refused a connection, the models of that
// server are loaded elsewhere, though the list still has it.
func TestGoneServersAreReplaced(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, []string{"m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		if answer := n.wish(t, "m0"); answer.Server != "server-0" {
			t.Fatalf("the first answer is %+v", answer)
		}
		found := ""
		for began := time.Now(); found != "server-1" && time.Since(began) < loadTime+2*time.Second; {
			message := WishMessage{Service: "s", Need: "m0", Left: 20 * time.Second, Missing: "server-0", Gone: true}
			reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, message)
			if err != nil {
				t.Fatal(err)
			}
			found = reply.(WishAnswer).Server
			time.Sleep(300 * time.Millisecond)
		}
		if found != "server-1" {
			t.Errorf("the model of a server that is gone is found at %q", found)
		}
		n.stop()
	})
}

// TestOutlookCountsAFailingStore: while no order can be written, what is told grows.
func TestOutlookCountsAFailingStore(t *testing.T) {
	h, now := &Holder{}, time.Now()
	if got := h.failsFor(now); got != 0 {
		t.Errorf("a store that works is expected to fail for %v", got)
	}
	h.failing = now.Add(-3 * time.Second)
	if got := h.failsFor(now); got != 3*time.Second {
		t.Errorf("after 3 s it is expected to fail for %v", got)
	}
	h.failing = now
	if got := h.failsFor(now); got != leastFailing {
		t.Errorf("a failure that just began is expected to last %v", got)
	}
}

// TestIdleReplicasAreToldWhileServersAreScarce: a node beats at once when a replica that
// it used goes idle, but only if the holder asked for such news.
func TestIdleReplicasAreToldWhileServersAreScarce(t *testing.T) {
	directory := &backend.Directory{}
	directory.Replace([]*backend.Server{{ID: "i", Service: "s", Address: "x", Version: 1}}, 1)
	server := directory.Snapshot().Member("i")
	server.Begin(time.Now(), "m0")
	m := &Member{Servers: directory, Logger: hclog.NewNullLogger(), scarce: true}
	m.told = m.running()
	if m.wentIdle() {
		t.Error("a replica in use is taken for idle")
	}
	server.End("m0")
	if !m.wentIdle() {
		t.Error("a replica that went idle is not noticed")
	}
	m.scarce = false
	if m.wentIdle() {
		t.Error("news are sent that nobody asked for")
	}
}
