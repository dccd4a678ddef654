package coordinator

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
)

// setOnDisk makes a server report from the start that it has the models' weights on its disk.
func (s *site) setOnDisk(i int, models ...string) {
	s.engines.servers[s.serverRecords[i].ID].onDisk = models
	s.serverRecords[i].OnDisk = models
}

// TestReadyTimeCountsACopyOnDisk checks that the predicted wait for a model whose weights are on a
// server's disk is the time of a load from there, and that the model is ready by then.
func TestReadyTimeCountsACopyOnDisk(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"}, []string{"m2", "m3"})
		s.setOnDisk(1, "m5")
		n := s.start("a")
		time.Sleep(time.Second)
		answer := n.requestLoad(t, "m5")
		if answer.ReadyIn > unloadTime+diskLoadTime+time.Second {
			t.Errorf("a model on a server's disk is predicted to be ready in %v", answer.ReadyIn)
		}
		if server := requestUntilLoaded(t, n, "m5", answer.ReadyIn+time.Second); server != "server-1" {
			t.Errorf("the model was loaded on %s, want server-1", server)
		}
		n.stop()
	})
}

// TestDroppedCopiesAreForgotten checks that a copy on disk which a server no longer lists counts as
// gone.
func TestDroppedCopiesAreForgotten(t *testing.T) {
	s := &serverState{cached: make(map[string]tier)}
	s.setCached([]string{"m1"}, []string{"m1", "m2"})
	s.setCached(nil, nil) // a record without lists changes nothing
	if s.cached["m1"] != inMemory || s.cached["m2"] != onDisk {
		t.Fatalf("the cached copies are %v", s.cached)
	}
	s.setCached([]string{}, []string{"m2"})
	if _, has := s.cached["m1"]; has {
		t.Error("a copy that the server dropped still counts as cached")
	}
}

// TestGoneServersAreReplaced checks that a model is loaded elsewhere once a node was refused a
// connection by its server, even while the server is still listed.
func TestGoneServersAreReplaced(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, []string{"m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		if answer := n.requestLoad(t, "m0"); answer.Server != "server-0" {
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
			t.Errorf("the model of a server that is gone was located at %q, want server-1", found)
		}
		n.stop()
	})
}

// TestReadyTimeCountsAFailingStore checks that the predicted wait grows while no order can be written.
func TestReadyTimeCountsAFailingStore(t *testing.T) {
	h, now := &Holder{}, time.Now()
	if got := h.expectedOutage(now); got != 0 {
		t.Errorf("a working store is expected to fail for %v", got)
	}
	h.failingSince = now.Add(-3 * time.Second)
	if got := h.expectedOutage(now); got != 3*time.Second {
		t.Errorf("after 3 s it is expected to fail for %v", got)
	}
	h.failingSince = now
	if got := h.expectedOutage(now); got != minStoreOutage {
		t.Errorf("a failure that just began is expected to last %v", got)
	}
}

// TestIdleReplicasAreReportedWhileServersAreScarce checks that a node sends a heartbeat at once when
// a replica that it used becomes idle, but only if the holder asked for such reports.
func TestIdleReplicasAreReportedWhileServersAreScarce(t *testing.T) {
	directory := &backend.Directory{}
	directory.Replace([]*backend.Server{{ID: "i", Service: "s", Address: "x", Version: 1}}, 1)
	server := directory.Snapshot().Member("i")
	server.Begin(time.Now(), "m0")
	m := &Member{Servers: directory, Logger: hclog.NewNullLogger(), serversScarce: true}
	m.reportedRunning = m.running()
	if m.replicaWentIdle() {
		t.Error("a replica in use counts as idle")
	}
	server.End("m0")
	if !m.replicaWentIdle() {
		t.Error("a replica that went idle is not noticed")
	}
	m.serversScarce = false
	if m.replicaWentIdle() {
		t.Error("an idle replica is reported although servers are not scarce")
	}
}
