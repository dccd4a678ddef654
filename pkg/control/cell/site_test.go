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

// loaded lets a model be loaded on the server s.
func (s *site) loaded(model string) {
	s.wish(load(model, "s"))
	s.run(time.Second)
}

// stopPolls lets the server s read no inventory for a minute, and loses the
// answers under way.
func (s *site) stopPolls() {
	s.owner.servers["s"].pollAt = s.now.Add(time.Minute)
	s.owner.servers["s"].operation = nil
	s.answers = nil
}

// replaceServers puts a server in the place of all that is known since a time
// and is not recorded.
func (s *site) replaceServers(knownAt time.Time) {
	s.owner.servers = map[api.ServerID]*server{
		"new": {Server: quorum.Server{ID: "new", MemoryBytes: 100}, knownAt: knownAt},
	}
	s.owner.serverOrder = nil
}
