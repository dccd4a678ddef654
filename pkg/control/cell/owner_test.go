package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/control/weights"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// site is an owner with engines that answer at once.
type site struct {
	t       *testing.T
	now     time.Time
	owner   *Owner
	wishes  []policy.Action // of the next decision
	items   map[api.ServerID]map[api.ModelName]engine.Item
	fences  map[api.ServerID]api.Fence
	orders  []engine.Order
	targets []api.ServerID // of the orders
	told    map[api.ModelName]api.LoadEstimate
	answers []func()
	refuse  map[api.ServerID]bool // loads fail
	slow    bool                  // unloads do not end
}

func (s *site) Name() string { return "" }

func (s *site) Decide(time.Time, policy.Input) []policy.Action {
	wishes := s.wishes
	s.wishes = nil
	return wishes
}

func newSite(t *testing.T, servers ...quorum.Server) *site {
	s := &site{
		t: t, now: testStart,
		items:  make(map[api.ServerID]map[api.ModelName]engine.Item),
		fences: make(map[api.ServerID]api.Fence),
		told:   make(map[api.ModelName]api.LoadEstimate),
		refuse: make(map[api.ServerID]bool),
	}
	for index := range servers {
		servers[index].Address = "a"
		servers[index].Instance = "i"
		s.items[servers[index].ID] = make(map[api.ModelName]engine.Item)
	}
	s.owner = New(s.now, Config{
		Cell: "c", Timing: DefaultTiming(), Random: rand.New(rand.NewPCG(1, 1)),
		Decider: func(string) policy.Decider { return s },
	}, Start{Term: 5, Data: quorum.Data{Servers: servers}})
	s.owner.Allocate(weights.Allocation{Slots: 4, Rate: 100})
	s.owner.Configure(1, []tree.Model{
		model("a", "", 10), model("b", "", 10), model("a:x", "a", 1),
	})
	s.run(time.Second)
	return s
}

func model(name, base string, bytes uint64) tree.Model {
	return tree.Model{Name: api.ModelName(name), Base: api.ModelName(base), Settings: tree.Settings{
		MemoryBytes: bytes, MaxReplicas: 1, LoadTime: time.Second, DrainTime: 10 * time.Second,
	}}
}

// run lets time pass in ticks. Commits and answers come at once.
func (s *site) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for range 3 {
			s.owner.Advance(s.now, s)
			if data, changed := s.owner.TakeData(); changed {
				s.owner.Committed(s.now, data)
			}
			answers := s.answers
			s.answers = nil
			for _, answer := range answers {
				answer()
			}
		}
	}
}

func (s *site) OrderEngine(server api.ServerID, _ string, order engine.Order) {
	s.orders = append(s.orders, order)
	s.targets = append(s.targets, server)
	s.fences[server] = order.Fence
	switch order.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		state := engine.ItemReady
		if s.refuse[server] {
			state = engine.ItemFailed
		}
		s.items[server][order.Model] = engine.Item{
			Model: order.Model, Base: order.Base, State: state, MemoryBytes: order.MemoryBytes, OrderID: order.ID,
		}
	default:
		item := s.items[server][order.Model]
		item.State = engine.ItemUnloading
		s.items[server][order.Model] = item
		if !s.slow {
			delete(s.items[server], order.Model)
		}
	}
	s.answers = append(s.answers, func() {
		s.owner.OrderAnswered(s.now, server, order, engine.OrderResult{Status: engine.OrderAccepted, Fence: order.Fence}, nil)
	})
}

func (s *site) ReadInventory(server api.ServerID, _ string, request engine.InventoryRequest) {
	s.fences[server] = max(s.fences[server], request.Fence)
	inventory := engine.Inventory{Instance: "i", Fence: s.fences[server], CapacityBytes: 21}
	for _, item := range s.items[server] {
		inventory.Items = append(inventory.Items, item)
	}
	s.answers = append(s.answers, func() { s.owner.InventoryAnswered(s.now, server, request, inventory, nil) })
}

func (s *site) Estimate(_ api.NodeRef, estimate api.LoadEstimate) { s.told[estimate.Model] = estimate }
func (s *site) Log(string, string, ...any)                        {}

func (s *site) wish(actions ...policy.Action) {
	s.wishes = actions
	s.owner.decideAt = time.Time{}
}

func (s *site) report(model api.ModelName, waiting, inFlight uint32) {
	s.owner.Reported(s.now, api.NodeRef{ID: "n"}, []api.ModelDemand{{
		Model: model, Arrivals: waiting, Waiting: waiting, InFlight: inFlight, LastArrival: s.now,
	}})
}

func (s *site) holds(server api.ServerID, model api.ModelName) bool {
	_, held := s.items[server][model]
	return held
}

func load(model, server string) policy.Action {
	return policy.Action{Kind: policy.ActionLoad, Model: api.ModelName(model), Server: api.ServerID(server)}
}

func unload(model, server string) policy.Action {
	return policy.Action{Kind: policy.ActionUnload, Model: api.ModelName(model), Server: api.ServerID(server)}
}

func TestUnloadWaitsForRoutersAndRequests(t *testing.T) {
	s := newSite(t, quorum.Server{ID: "s"})
	s.wish(load("a", "s"))
	s.run(time.Second)
	s.report("a", 0, 1)
	s.wish(unload("a", "s"))
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

func TestUnloadIsGraceful(t *testing.T) {
	s := newSite(t, quorum.Server{ID: "s"})
	s.wish(load("a", "s"))
	s.run(time.Second)
	s.wish(unload("a", "s"))
	s.run(s.owner.config.Timing.DrainGrace - 200*time.Millisecond)
	if !s.holds("s", "a") {
		t.Error("unloaded before the routers have stopped")
	}
}

func TestWaitingRequestRevivesDrainingReplica(t *testing.T) {
	s := newSite(t, quorum.Server{ID: "s"})
	s.wish(load("a", "s"))
	s.run(time.Second)
	s.wish(unload("a", "s"))
	s.run(500 * time.Millisecond)
	s.report("a", 1, 0)
	s.run(200 * time.Millisecond)
	view, _ := s.owner.TakeView()
	if len(view.Replicas) != 1 || view.Replicas[0].State != api.ReplicaReady {
		t.Errorf("replicas = %v, want one that is ready again", view.Replicas)
	}
	s.run(10 * time.Second)
	if !s.holds("s", "a") {
		t.Error("unloaded all the same")
	}
}

// TestMemoryIsFreeOnlyWhenShown: an engine accepts an unload and takes its time.
func TestMemoryIsFreeOnlyWhenShown(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		s := newSite(t, quorum.Server{ID: "s", MemoryBytes: 15})
		s.owner.config.Unsafe.FreeOnUnload = unsafe
		s.slow = true
		s.wish(load("a", "s"))
		s.run(time.Second)
		s.wish(unload("a", "s"))
		s.run(1800 * time.Millisecond)
		s.owner.servers["s"].pollAt = s.now.Add(time.Minute)
		s.owner.servers["s"].operation = nil
		s.answers = nil
		s.now = s.now.Add(400 * time.Millisecond)
		s.owner.Advance(s.now, s)
		if len(s.answers) != 1 || !s.holds("s", "a") {
			t.Fatal("the unload is not ordered")
		}
		s.answers[0]()
		if freed := s.owner.reserved["s"] == 0; freed != unsafe {
			t.Errorf("freed on the answer: %t, memory counted as free while it is held: %t", unsafe, freed)
		}
	}
}

func TestAdaptersLeaveBeforeTheirBase(t *testing.T) {
	s := newSite(t, quorum.Server{ID: "s"})
	s.wish(load("a", "s"))
	s.run(time.Second)
	s.wish(load("a:x", "s"))
	s.run(time.Second)
	s.orders = nil
	s.wish(unload("a", "s"))
	s.run(5 * time.Second)
	if len(s.orders) != 2 || s.orders[0].Kind != engine.OrderUnloadAdapter || s.orders[1].Kind != engine.OrderUnload {
		t.Errorf("orders = %+v, want the adapter's unload, then the base's", s.orders)
	}
}

func TestFailedLoadIsTriedElsewhereAfterAPause(t *testing.T) {
	s := newSite(t, quorum.Server{ID: "s1"}, quorum.Server{ID: "s2"})
	s.refuse["s1"] = true
	s.wish(load("a", "s1"))
	s.run(400 * time.Millisecond)
	s.wish(load("a", "s1"))
	s.run(100 * time.Millisecond)
	if len(s.orders) != 1 {
		t.Fatalf("%d orders, want no second one before the pause", len(s.orders))
	}
	s.run(2 * time.Second)
	s.wish(load("a", "s1"))
	s.run(time.Second)
	if !s.holds("s2", "a") {
		t.Errorf("orders went to %v, want the second on s2", s.targets)
	}
}

func TestLastFreeMemoryGoesToOneModel(t *testing.T) {
	s := newSite(t, quorum.Server{ID: "s", MemoryBytes: 15})
	s.wish(load("a", "s"), load("b", "s"))
	s.run(2 * time.Second)
	if s.holds("s", "a") == s.holds("s", "b") {
		t.Errorf("items = %v, want one of two models", s.items["s"])
	}
}

func TestLostOrderIsSettledByInventory(t *testing.T) {
	s := newSite(t, quorum.Server{ID: "s"})
	s.owner.servers["s"].pollAt = s.now.Add(time.Minute)
	s.owner.servers["s"].operation = nil
	s.answers = nil
	s.wish(load("a", "s"))
	s.owner.Advance(s.now, s)
	data, _ := s.owner.TakeData()
	s.owner.Committed(s.now, data)
	s.owner.Advance(s.now, s)
	if len(s.orders) != 1 {
		t.Fatalf("%d orders, want one", len(s.orders))
	}
	s.answers = nil
	s.items["s"] = make(map[api.ModelName]engine.Item) // it was lost on the way
	s.owner.OrderAnswered(s.now, "s", s.orders[0], engine.OrderResult{}, errors.WithStack(engine.ErrUnknownOutcome))
	if s.owner.counted("a") != 1 {
		t.Error("an order in doubt does not count")
	}
	s.run(500 * time.Millisecond)
	if s.owner.counted("a") != 0 {
		t.Error("the inventory at a higher fence does not settle the doubt")
	}
}

// TestLimitIsCheckedAgain: the limit is lowered while the intent of a load is
// being committed, so that no decision has cancelled it when the commit comes.
func TestLimitIsCheckedAgain(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		s := newSite(t, quorum.Server{ID: "s"})
		s.owner.config.Unsafe.NoRecheck = unsafe
		s.owner.servers["s"].pollAt = s.now.Add(time.Minute)
		s.owner.servers["s"].operation = nil
		s.wish(load("a", "s"))
		s.owner.Advance(s.now, s)
		data, _ := s.owner.TakeData()
		lowered := model("a", "", 10)
		lowered.Settings.MaxReplicas = 0
		s.owner.Configure(1, []tree.Model{lowered})
		s.owner.Committed(s.now, data)
		s.owner.Advance(s.now, s)
		if ordered := len(s.orders) > 0; ordered != unsafe {
			t.Errorf("check switched off: %t, load ordered beyond the limit: %t", unsafe, ordered)
		}
	}
}

// TestServerUnderAdmissionStaysRecorded: the record is written again, for
// another reason, after a server was recorded and before its admission is
// committed. Found by the explorer (seed 3015782): the server was left out, and
// the founder of the next epoch did not know of it.
func TestServerUnderAdmissionStaysRecorded(t *testing.T) {
	s := newSite(t, quorum.Server{ID: "s"})
	s.owner.Listed(s.now, platform.MachineList{Version: 1, Machines: []platform.Machine{
		{ID: "s", State: platform.MachineLive}, {ID: "new", State: platform.MachineLive},
	}})
	s.owner.Recorded(s.now, s.owner.Servers())
	servers := s.owner.Servers()
	if len(servers) != 2 || servers[0].ID != "new" {
		t.Errorf("servers to record = %v, want both", servers)
	}
}

// TestOwnerWaitsForTheSettingsOfTheOneBefore: a node that is behind on the tree
// takes over after a limit was lowered.
func TestOwnerWaitsForTheSettingsOfTheOneBefore(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		s := newSite(t, quorum.Server{ID: "s"})
		s.owner.config.Unsafe.NoRevision = unsafe
		s.owner.start.Data.Revision = 5
		s.wish(load("a", "s"))
		s.run(time.Second)
		if ordered := len(s.orders) > 0; ordered != unsafe {
			t.Errorf("wait switched off: %t, load ordered by older settings: %t", unsafe, ordered)
		}
		s.owner.Configure(5, []tree.Model{model("a", "", 10)})
		s.wish(load("a", "s"))
		s.run(time.Second)
		if !s.holds("s", "a") {
			t.Error("no load with the newest settings")
		}
	}
}

// replaceServers puts a server in the place of all that is known since a time
// and is not recorded.
func (s *site) replaceServers(knownAt time.Time) {
	s.owner.servers = map[api.ServerID]*server{
		"new": {Server: quorum.Server{ID: "new", MemoryBytes: 100}, knownAt: knownAt},
	}
	s.owner.serverOrder = nil
}

func TestEstimates(t *testing.T) {
	cases := []struct {
		name     string
		prepare  func(s *site)
		accepted bool
	}{
		{"loading", func(s *site) { s.wish(load("b", "s")) }, true},
		{"waits for a slot", func(s *site) { s.owner.loadTokens = -100; s.owner.allocation.Rate = 0.1 }, true},
		{"no room", func(s *site) {
			s.owner.servers["s"].MemoryBytes = 15
			s.wish(load("a", "s"))
			s.run(time.Second)
		}, false},
		{"room will be free", func(s *site) {
			s.owner.servers["s"].MemoryBytes = 15
			s.wish(load("a", "s"))
			s.run(time.Second)
			s.wish(unload("a", "s"))
			s.run(200 * time.Millisecond)
		}, true},
		{"new server not recorded yet", func(s *site) { s.replaceServers(s.now) }, true},
		{"servers never recorded", func(s *site) { s.replaceServers(s.now.Add(-time.Minute)) }, false},
		{"no replica allowed", func(s *site) { s.owner.Configure(1, []tree.Model{{Name: "b"}}) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, quorum.Server{ID: "s"})
			c.prepare(s)
			s.report("b", 1, 0)
			s.run(200 * time.Millisecond)
			got, told := s.told["b"]
			if !told || got.Accepted != c.accepted {
				t.Errorf("estimate = %+v (told: %t), want accepted: %t", got, told, c.accepted)
			}
			if !got.Accepted && got.RetryAfter == 0 {
				t.Error("a refusal does not say when to come back")
			}
		})
	}
}
