package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/control/weights"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testSite runs an owner with engines that answer immediately. It is also the
// owner's policy and returns the proposed actions.
type testSite struct {
	t        *testing.T
	now      time.Time
	owner    *Owner
	proposed []policy.Action // actions for the next decision
	input    policy.Input    // of the last decision
	items    map[api.ServerID]map[api.ModelName]engine.Item
	fences   map[api.ServerID]api.Fence
	orders   []engine.Order
	targets  []api.ServerID // servers that the orders went to
	// estimates holds the last estimate sent for each model.
	estimates map[api.ModelName]api.LoadEstimate
	// answers deliver the pending answers of the engines.
	answers     []func()
	failLoads   map[api.ServerID]bool // servers on which loads fail
	slowUnloads bool                  // unloads never finish
}

func (s *testSite) Name() string { return "" }

func (s *testSite) Decide(_ time.Time, input policy.Input) []policy.Action {
	s.input = input
	actions := s.proposed
	s.proposed = nil
	return actions
}

func newTestSite(t *testing.T, servers ...quorum.Server) *testSite {
	s := &testSite{
		t: t, now: testStart,
		items:     make(map[api.ServerID]map[api.ModelName]engine.Item),
		fences:    make(map[api.ServerID]api.Fence),
		estimates: make(map[api.ModelName]api.LoadEstimate),
		failLoads: make(map[api.ServerID]bool),
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

// model returns a model with the given base and memory, of which one replica is
// allowed.
func model(name, base string, bytes uint64) tree.Model {
	return tree.Model{Name: api.ModelName(name), Base: api.ModelName(base), Settings: tree.Settings{
		MemoryBytes: bytes, MaxReplicas: 1, LoadTime: time.Second, DrainTime: 10 * time.Second,
	}}
}

// run advances time in ticks. Commits and answers happen immediately.
func (s *testSite) run(duration time.Duration) {
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

func (s *testSite) OrderEngine(server api.ServerID, _ string, order engine.Order) {
	s.orders = append(s.orders, order)
	s.targets = append(s.targets, server)
	s.fences[server] = order.Fence
	switch order.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		state := engine.ItemReady
		if s.failLoads[server] {
			state = engine.ItemFailed
		}
		s.items[server][order.Model] = engine.Item{
			Model: order.Model, Base: order.Base, State: state, MemoryBytes: order.MemoryBytes, OrderID: order.ID,
		}
	default:
		item := s.items[server][order.Model]
		item.State = engine.ItemUnloading
		s.items[server][order.Model] = item
		if !s.slowUnloads {
			delete(s.items[server], order.Model)
		}
	}
	s.answers = append(s.answers, func() {
		s.owner.OrderAnswered(s.now, server, order, engine.OrderResult{Status: engine.OrderAccepted, Fence: order.Fence}, nil)
	})
}

func (s *testSite) ReadInventory(server api.ServerID, _ string, request engine.InventoryRequest) {
	s.fences[server] = max(s.fences[server], request.Fence)
	inventory := engine.Inventory{Instance: "i", Fence: s.fences[server], CapacityBytes: 21}
	for _, item := range s.items[server] {
		inventory.Items = append(inventory.Items, item)
	}
	s.answers = append(s.answers, func() { s.owner.InventoryAnswered(s.now, server, request, inventory, nil) })
}

func (s *testSite) Estimate(_ api.NodeRef, estimate api.LoadEstimate) {
	s.estimates[estimate.Model] = estimate
}
func (s *testSite) Log(string, string, ...any) {}

// propose makes the policy return the given actions in a decision that is due
// now.
func (s *testSite) propose(actions ...policy.Action) {
	s.proposed = actions
	s.owner.decideAt = time.Time{}
}

// report reports demand for a model from one node.
func (s *testSite) report(model api.ModelName, waiting, inFlight uint32) {
	s.owner.Reported(s.now, api.NodeRef{ID: "n"}, []api.ModelDemand{{
		Model: model, Arrivals: waiting, Waiting: waiting, InFlight: inFlight, LastArrival: s.now,
	}})
}

// holds reports whether a server's engine holds a model.
func (s *testSite) holds(server api.ServerID, model api.ModelName) bool {
	_, held := s.items[server][model]
	return held
}

func load(model, server string) policy.Action {
	return policy.Action{Kind: policy.ActionLoad, Model: api.ModelName(model), Server: api.ServerID(server)}
}

func unload(model, server string) policy.Action {
	return policy.Action{Kind: policy.ActionUnload, Model: api.ModelName(model), Server: api.ServerID(server)}
}

// loadModel loads a model on server "s".
func (s *testSite) loadModel(model string) {
	s.propose(load(model, "s"))
	s.run(time.Second)
}

// stopPolls postpones the inventories of server "s" for a minute and drops
// pending answers.
func (s *testSite) stopPolls() {
	s.owner.servers["s"].pollAt = s.now.Add(time.Minute)
	s.owner.servers["s"].operation = nil
	s.answers = nil
}

// replaceServers replaces all servers by one that is known since the given time
// and not recorded.
func (s *testSite) replaceServers(knownAt time.Time) {
	s.owner.servers = map[api.ServerID]*server{
		"new": {Server: quorum.Server{ID: "new", MemoryBytes: 100}, knownAt: knownAt},
	}
	s.owner.serverOrder = nil
}
