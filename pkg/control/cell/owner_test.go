package cell

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/control/weights"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/tree"
)

// TestUnloadWaitsForRoutersAndRequests checks that a draining replica is kept
// while a request is in flight and unloaded after the last one.
func TestUnloadWaitsForRoutersAndRequests(t *testing.T) {
	s := newTestSite(t, quorum.Server{ID: "s"})
	s.loadModel("a")
	s.report("a", 0, 1)
	s.propose(unload("a", "s"))
	s.run(4 * time.Second)
	if !s.holds("s", "a") {
		t.Fatal("unloaded while a request is in flight")
	}
	s.report("a", 0, 0)
	s.run(time.Second)
	if s.holds("s", "a") {
		t.Error("not unloaded after the last request")
	}
}

// TestUnloadIsGraceful checks that a replica without requests is kept for
// DrainGrace, the time that routers may need to stop using it.
func TestUnloadIsGraceful(t *testing.T) {
	s := newTestSite(t, quorum.Server{ID: "s"})
	s.loadModel("a")
	s.propose(unload("a", "s"))
	s.run(s.owner.config.Timing.DrainGrace - 200*time.Millisecond)
	if !s.holds("s", "a") {
		t.Error("unloaded before the routers have stopped")
	}
}

// TestWaitingRequestRevivesDrainingReplica checks that a waiting request returns
// a draining replica to service.
func TestWaitingRequestRevivesDrainingReplica(t *testing.T) {
	s := newTestSite(t, quorum.Server{ID: "s"})
	s.loadModel("a")
	s.propose(unload("a", "s"))
	s.run(500 * time.Millisecond)
	s.report("a", 1, 0)
	s.run(200 * time.Millisecond)
	view, _ := s.owner.TakeView()
	if len(view.Replicas) != 1 || view.Replicas[0].State != api.ReplicaReady {
		t.Errorf("replicas = %v, want one that is ready again", view.Replicas)
	}
	s.run(10 * time.Second)
	if !s.holds("s", "a") {
		t.Error("the revived replica was unloaded")
	}
}

// TestMemoryIsFreedOnlyByInventory covers an engine that accepts an unload and then
// takes its time. The memory must count as used until an inventory shows that the
// model is gone.
func TestMemoryIsFreedOnlyByInventory(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		s := newTestSite(t, quorum.Server{ID: "s", MemoryBytes: 15})
		s.owner.config.Unsafe.FreeOnUnload = unsafe
		s.slowUnloads = true
		s.loadModel("a")
		s.propose(unload("a", "s"))
		s.run(1800 * time.Millisecond)
		s.stopPolls()
		s.now = s.now.Add(400 * time.Millisecond)
		s.owner.Advance(s.now, s)
		if len(s.answers) != 1 || !s.holds("s", "a") {
			t.Fatal("the unload was not ordered")
		}
		s.answers[0]()
		if freed := s.owner.reserved["s"] == 0; freed != unsafe {
			t.Errorf("freed on acceptance: %t, memory counted as free while still held: %t", unsafe, freed)
		}
	}
}

// TestAdaptersLeaveBeforeTheirBase checks that draining a base model unloads its
// adapters first.
func TestAdaptersLeaveBeforeTheirBase(t *testing.T) {
	s := newTestSite(t, quorum.Server{ID: "s"})
	s.loadModel("a")
	s.loadModel("a:x")
	s.orders = nil
	s.propose(unload("a", "s"))
	s.run(5 * time.Second)
	if len(s.orders) != 2 || s.orders[0].Kind != engine.OrderUnloadAdapter || s.orders[1].Kind != engine.OrderUnload {
		t.Errorf("orders = %+v, want the adapter's unload, then the base's", s.orders)
	}
}

// TestFailedLoadIsTriedElsewhereAfterAPause checks that a failed load is retried
// after a back-off, on another server.
func TestFailedLoadIsTriedElsewhereAfterAPause(t *testing.T) {
	s := newTestSite(t, quorum.Server{ID: "s1"}, quorum.Server{ID: "s2"})
	s.failLoads["s1"] = true
	s.propose(load("a", "s1"))
	s.run(400 * time.Millisecond)
	s.propose(load("a", "s1"))
	s.run(100 * time.Millisecond)
	if len(s.orders) != 1 {
		t.Fatalf("%d orders, want no second one before the pause", len(s.orders))
	}
	s.run(2 * time.Second)
	s.propose(load("a", "s1"))
	s.run(time.Second)
	if !s.holds("s2", "a") {
		t.Errorf("orders went to %v, want the second on s2", s.targets)
	}
}

// TestLastFreeMemoryGoesToOneModel checks that two loads decided at once do not
// both take the last free memory.
func TestLastFreeMemoryGoesToOneModel(t *testing.T) {
	s := newTestSite(t, quorum.Server{ID: "s", MemoryBytes: 15})
	s.propose(load("a", "s"), load("b", "s"))
	s.run(2 * time.Second)
	if s.holds("s", "a") == s.holds("s", "b") {
		t.Errorf("items = %v, want one of two models", s.items["s"])
	}
}

// TestLostOrderIsSettledByInventory covers an order that was lost without an
// answer. The load counts until an inventory at a higher fence shows that it did
// not happen.
func TestLostOrderIsSettledByInventory(t *testing.T) {
	s := newTestSite(t, quorum.Server{ID: "s"})
	s.stopPolls()
	s.propose(load("a", "s"))
	s.owner.Advance(s.now, s)
	data, _ := s.owner.TakeData()
	s.owner.Committed(s.now, data)
	s.owner.Advance(s.now, s)
	if len(s.orders) != 1 {
		t.Fatalf("%d orders, want one", len(s.orders))
	}
	s.answers = nil
	s.items["s"] = make(map[api.ModelName]engine.Item) // the order was lost on the way
	s.owner.OrderAnswered(s.now, "s", s.orders[0], engine.OrderResult{}, errors.WithStack(engine.ErrUnknownOutcome))
	if s.owner.counted("a") != 1 {
		t.Error("an order with unknown outcome does not count")
	}
	s.run(500 * time.Millisecond)
	if s.owner.counted("a") != 0 {
		t.Error("the inventory at a higher fence does not settle the outcome")
	}
}

// TestLimitIsCheckedAgain covers a replica limit that is lowered while the intent
// of a load is being committed. No decision cancels the load before the commit,
// so the limit must be rechecked when the order is sent.
func TestLimitIsCheckedAgain(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		s := newTestSite(t, quorum.Server{ID: "s"})
		s.owner.config.Unsafe.NoRecheck = unsafe
		s.stopPolls()
		s.propose(load("a", "s"))
		s.owner.Advance(s.now, s)
		data, _ := s.owner.TakeData()
		lowered := model("a", "", 10)
		lowered.Settings.MaxReplicas = 0
		s.owner.Configure(1, []tree.Model{lowered})
		s.owner.Committed(s.now, data)
		s.owner.Advance(s.now, s)
		if ordered := len(s.orders) > 0; ordered != unsafe {
			t.Errorf("check disabled: %t, load ordered beyond the limit: %t", unsafe, ordered)
		}
	}
}

// TestLIMITModelsThatGrowBeforeTheirOrder covers a model whose size grows while the intent of its load is being
// committed. The intent reserves the old size, so an order of the new one would take memory that was never checked.
func TestLIMITModelsThatGrowBeforeTheirOrder(t *testing.T) {
	for _, retired := range []bool{false, true} {
		s := newTestSite(t, quorum.Server{ID: "s", MemoryBytes: 21})
		s.loadModel("b")
		s.stopPolls()
		s.orders = nil
		s.propose(load("a", "s"))
		s.owner.Advance(s.now, s)
		data, _ := s.owner.TakeData()
		if retired {
			s.owner.Configure(2, []tree.Model{model("b", "", 10)})
		}
		s.owner.Configure(3, []tree.Model{model("a", "", 12), model("b", "", 10)})
		s.owner.Committed(s.now, data)
		s.run(2 * time.Second)
		for _, order := range s.orders {
			if order.Kind == engine.OrderLoad {
				t.Errorf("retired meanwhile: %t; ordered a load of %d bytes beside 10 of 21", retired, order.MemoryBytes)
			}
		}
		s.owner.Configure(4, []tree.Model{model("a", "", 11), model("b", "", 10)})
		s.loadModel("a")
		if !s.holds("s", "a") {
			t.Errorf("retired meanwhile: %t; not loaded once it fits", retired)
		}
	}
}

// TestLoadsGoOnBesideModelsThatAreListedAgain covers a server that holds a model of unknown size, which the settings then list, or which
// goes: its memory must not stay closed.
func TestLoadsGoOnBesideModelsThatAreListedAgain(t *testing.T) {
	for _, listed := range []bool{false, true} {
		s := newTestSite(t, quorum.Server{ID: "s", MemoryBytes: 21, Unknown: true})
		s.items["s"]["retired"] = engine.Item{Model: "retired", State: engine.ItemReady, MemoryBytes: 10, OrderID: "earlier"}
		s.owner.servers["s"].pollNoLaterThan(s.now)
		s.run(500 * time.Millisecond)
		if listed {
			s.owner.Configure(2, []tree.Model{model("a", "", 10), model("b", "", 10), model("retired", "", 10)})
			s.report("retired", 1, 0) // it is used again
		}
		s.run(10 * time.Second)
		if s.holds("s", "retired") != listed {
			t.Fatalf("listed again: %t; the server holds %v", listed, s.items["s"])
		}
		s.loadModel("a")
		if !s.holds("s", "a") {
			t.Errorf("listed again: %t; the server holds %v, reserved %d", listed, s.items["s"], s.owner.reserved["s"])
		}
	}
}

// TestLIMITRetiredModelsOfEarlierEpochs covers a retired model that an engine still holds when all nodes that knew its
// intent are gone. Engines report the size of the weights, as ordered; the KV cache beside them is no longer known.
func TestLIMITRetiredModelsOfEarlierEpochs(t *testing.T) {
	s := newTestSite(t, quorum.Server{ID: "s", MemoryBytes: 21, Unknown: true})
	s.items["s"]["retired"] = engine.Item{Model: "retired", State: engine.ItemReady, MemoryBytes: 10, OrderID: "earlier"}
	const heldBytes = 15 // with 5 of KV cache
	s.slowUnloads = true
	s.owner.servers["s"].pollNoLaterThan(s.now)
	s.run(2 * time.Second)
	s.orders = nil
	s.loadModel("a")
	for _, order := range s.orders {
		if order.Kind == engine.OrderLoad {
			t.Errorf("ordered a load of %d bytes beside %d of 21", order.MemoryBytes, heldBytes)
		}
	}
}

// TestServerUnderAdmissionStaysRecorded covers a record that is rewritten for
// another reason after a server was recorded and before its admission is
// committed. If the server were left out, the founder of the next epoch would not
// know about it.
func TestServerUnderAdmissionStaysRecorded(t *testing.T) {
	s := newTestSite(t, quorum.Server{ID: "s"})
	s.owner.Listed(s.now, platform.MachineList{Version: 1, Machines: []platform.Machine{
		{ID: "s", State: platform.MachineLive}, {ID: "new", State: platform.MachineLive},
	}})
	s.owner.Recorded(s.now, s.owner.Servers())
	servers := s.owner.Servers()
	if len(servers) != 2 || servers[0].ID != "new" {
		t.Errorf("servers to record = %v, want both", servers)
	}
}

// TestNewOwnerWaitsForNewestSettings covers a takeover by a node with an
// outdated tree after a limit was lowered. The new owner must not load anything
// before it has the newest settings.
func TestNewOwnerWaitsForNewestSettings(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		s := newTestSite(t, quorum.Server{ID: "s"})
		s.owner.config.Unsafe.NoRevision = unsafe
		s.owner.start.Data.Revision = 5
		s.loadModel("a")
		if ordered := len(s.orders) > 0; ordered != unsafe {
			t.Errorf("wait disabled: %t, load ordered with older settings: %t", unsafe, ordered)
		}
		s.owner.Configure(5, []tree.Model{model("a", "", 10)})
		s.loadModel("a")
		if !s.holds("s", "a") {
			t.Error("no load was ordered with the newest settings")
		}
	}
}

// TestEstimates checks whether a waiting request is told to wait or to come back
// later.
func TestEstimates(t *testing.T) {
	cases := []struct {
		name     string
		prepare  func(s *testSite)
		accepted bool
	}{
		{"loading", func(s *testSite) { s.propose(load("b", "s")) }, true},
		{"waits for a slot", func(s *testSite) { s.owner.loadTokens = -100; s.owner.allocation.Rate = 0.1 }, true},
		{"no free memory", func(s *testSite) {
			s.owner.servers["s"].MemoryBytes = 15
			s.loadModel("a")
		}, false},
		{"memory is being freed", func(s *testSite) {
			s.owner.servers["s"].MemoryBytes = 15
			s.loadModel("a")
			s.propose(unload("a", "s"))
			s.run(200 * time.Millisecond)
		}, true},
		{"new server not recorded yet", func(s *testSite) { s.replaceServers(s.now) }, true},
		{"servers never recorded", func(s *testSite) { s.replaceServers(s.now.Add(-time.Minute)) }, false},
		{"no replica allowed", func(s *testSite) { s.owner.Configure(1, []tree.Model{{Name: "b"}}) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSite(t, quorum.Server{ID: "s"})
			c.prepare(s)
			s.report("b", 1, 0)
			s.run(200 * time.Millisecond)
			got, sent := s.estimates["b"]
			if !sent || got.Accepted != c.accepted {
				t.Errorf("estimate = %+v (sent: %t), want accepted: %t", got, sent, c.accepted)
			}
			if !got.Accepted && got.RetryAfter == 0 {
				t.Error("a refusal has no retry delay")
			}
		})
	}
}

// TestNewOwnerAcceptsWaitForInheritedLoad covers requests that wait for a
// model whose load the previous owner ordered, before any engine has reported its
// inventory to the new owner. The inherited replica must not count as one that
// takes the memory and cannot serve, since the requests would then be refused.
func TestNewOwnerAcceptsWaitForInheritedLoad(t *testing.T) {
	s := newTestSite(t, quorum.Server{ID: "s"})
	s.owner = New(s.now, s.owner.config, Start{Term: 6, Data: quorum.Data{
		Servers: []quorum.Server{{ID: "s", Address: "a", Instance: "i"}},
		Intents: []quorum.Intent{{Server: "s", Model: "a", Bytes: 10, Instance: "i", OrderID: "c/5/1"}},
	}})
	s.owner.Allocate(weights.Allocation{Slots: 4, Rate: 100})
	s.owner.Configure(1, []tree.Model{model("a", "", 10)})
	s.report("a", 1, 0)
	s.owner.Advance(s.now, s)
	if got, sent := s.estimates["a"]; !sent || !got.Accepted {
		t.Errorf("estimate = %+v (sent: %t), want accepted", got, sent)
	}
}

func TestNewOwnerForgetsHowLongAReplicaWasIdle(t *testing.T) {
	const idle = time.Minute
	for name, c := range map[string]struct {
		report api.ModelDemand
		known  bool
	}{
		"a node tells":           {api.ModelDemand{Model: "a", Idle: idle}, true},
		"no node used it":        {api.ModelDemand{Model: "a"}, false},
		"a request is under way": {api.ModelDemand{Model: "a", Idle: idle, InFlight: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t, quorum.Server{ID: "s"})
			began := s.now
			s.owner = New(began, s.owner.config, Start{Term: 6, Data: quorum.Data{
				Servers: []quorum.Server{{ID: "s", Address: "a", Instance: "i"}},
				Intents: []quorum.Intent{{Server: "s", Model: "a", Bytes: 10, Instance: "i", OrderID: "c/5/1"}},
			}})
			s.items["s"]["a"] = engine.Item{Model: "a", State: engine.ItemReady, MemoryBytes: 10, OrderID: "c/5/1"}
			s.owner.Configure(1, []tree.Model{model("a", "", 10)})
			s.owner.Reported(began, api.NodeRef{ID: "n"}, []api.ModelDemand{c.report})
			s.run(time.Second)
			if last := s.lastUse(t, "a"); last.Before(began) {
				t.Errorf("a new owner takes it for unused since %v, before all nodes can have reported", began.Sub(last))
			}
			s.run(inheritedUseGrace + time.Second)
			if last := s.lastUse(t, "a"); c.known != last.Equal(began.Add(-idle)) {
				t.Errorf("last used %v before the term", began.Sub(last))
			}
		})
	}
}

// TestNewOwnerDrainsWhatItCannotRead guards against a new owner that keeps an idle replica in service while its server is
// silent, and against one that drains or returns to service what it knows too little of.
func TestNewOwnerDrainsWhatItCannotRead(t *testing.T) {
	const early = inheritedUseGrace - 200*time.Millisecond
	for name, c := range map[string]struct {
		wasReady bool
		after    time.Duration // from the begin of the term to the proposal to unload
		want     api.ReplicaState
	}{
		"in service":                          {true, inheritedUseGrace, api.ReplicaDraining},
		"before nodes can have told its use":  {true, early, api.ReplicaReady},
		"it may be loading, nobody routes it": {false, inheritedUseGrace, api.ReplicaInDoubt},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t, quorum.Server{ID: "s"})
			s.items["s"]["a"] = engine.Item{Model: "a", State: engine.ItemReady, MemoryBytes: 10, OrderID: "c/5/1"}
			start := Start{Term: 6, Data: quorum.Data{
				Servers: []quorum.Server{{ID: "s", Address: "a", Instance: "i"}},
				Intents: []quorum.Intent{{Server: "s", Model: "a", Bytes: 10, Instance: "i", OrderID: "c/5/1"}},
			}}
			if c.wasReady {
				start.Previous.Replicas = []api.Replica{{Model: "a", Server: "s", State: api.ReplicaReady}}
			}
			s.owner = New(s.now, s.owner.config, start)
			s.owner.Allocate(weights.Allocation{Slots: 4, Rate: 100})
			s.owner.Configure(1, []tree.Model{model("a", "", 10)})
			s.stopPolls()
			s.run(c.after)
			s.propose(unload("a", "s"))
			s.run(100 * time.Millisecond)
			replica := s.owner.replicasOf("a")[0]
			if replica.state() != c.want {
				t.Fatalf("the replica is %s, want %s", replica.state(), c.want)
			}
			s.report("a", 1, 0)
			s.run(time.Second)
			if replica.state() != c.want || len(s.orders) > 0 {
				t.Errorf("with a waiting request and a silent server: %s, orders %v", replica.state(), s.orders)
			}
			s.owner.servers["s"].pollAt = s.now
			s.run(time.Second)
			if replica.state() != api.ReplicaReady {
				t.Errorf("with a waiting request and its server back: %s", replica.state())
			}
		})
	}
}

// lastUse returns when the only replica of a model was last used, as the policy was told.
func (s *testSite) lastUse(t *testing.T, name api.ModelName) time.Time {
	t.Helper()
	for _, m := range s.input.Models {
		if m.Name == name && len(m.Replicas) == 1 {
			return m.Replicas[0].LastUse
		}
	}
	t.Fatalf("%s has no single replica", name)
	return time.Time{}
}
