package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/tree"
)

const gigabyte = 1 << 30

var testNow = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func testModel(name string, change func(*Model)) Model {
	model := Model{
		Name: api.ModelName(name),
		Settings: tree.Settings{
			MemoryBytes: 20 * gigabyte, LoadTime: 10 * time.Second, MaxReplicas: 1, MaxConcurrency: 4,
			KeepAlive: 10 * time.Minute, ColdStartWeight: 0.5, Prewarm: true,
		},
		History: &History{},
	}
	if change != nil {
		change(&model)
	}
	return model
}

func testServer(name string, free uint64) Server {
	return Server{
		ID: api.ServerID(name), Zone: "z-" + name, Reachable: true,
		CapacityBytes: 80 * gigabyte, FreeBytes: free * gigabyte,
	}
}

// busyWithCopy returns a server that is busy with another load and caches checkpoints of the
// models a and b.
func busyWithCopy(name string, busyFor time.Duration) Server {
	server := testServer(name, 80)
	server.Reachable = false
	server.BusyFor = busyFor
	server.Cached = map[string]engine.CacheTier{"a": engine.TierMemory, "b": engine.TierDisk}
	return server
}

func waiting(requests int, deadline time.Duration) Demand {
	return Demand{Waiting: requests, EarliestDeadline: testNow.Add(deadline), LastArrival: testNow}
}

func idleReplica(server string, idle time.Duration) Replica {
	return Replica{
		Server: api.ServerID(server), State: api.ReplicaReady,
		Since: testNow.Add(-idle - time.Minute), LastUse: testNow.Add(-idle),
	}
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		policy string
		input  Input
		want   []string
	}{
		{
			name:   "a waiting model is loaded where it fits best",
			policy: NameFixedKeepAlive,
			input: Input{
				Models:  []Model{testModel("a", func(m *Model) { m.Demand = waiting(3, time.Minute) })},
				Servers: []Server{testServer("s1", 80), testServer("s2", 30), testServer("s3", 10)},
			},
			want: []string{"load a on s2 urgent"},
		},
		{
			name:   "a model waits for a busy server with a copy if it is ready sooner there",
			policy: NameDemandFirst,
			input: Input{
				Models: []Model{testModel("a", func(m *Model) {
					m.Demand = waiting(1, time.Minute)
					m.Demand.WaitingSince = testNow.Add(-time.Second)
				})},
				Servers: []Server{testServer("s1", 80), busyWithCopy("s2", 3*time.Second)},
			},
		},
		{
			name:   "a model does not wait for a busy server that is free too late",
			policy: NameDemandFirst,
			input: Input{
				Models: []Model{testModel("a", func(m *Model) {
					m.Demand = waiting(1, time.Minute)
					m.Demand.WaitingSince = testNow
				})},
				Servers: []Server{testServer("s1", 80), busyWithCopy("s2", 7*time.Second)},
			},
			want: []string{"load a on s1 urgent"},
		},
		{
			name:   "a model that has waited long does not wait for a better server",
			policy: NameDemandFirst,
			input: Input{
				Models: []Model{testModel("a", func(m *Model) {
					m.Demand = waiting(1, time.Minute)
					m.Demand.WaitingSince = testNow.Add(-2 * maxDefer)
				})},
				Servers: []Server{testServer("s1", 80), busyWithCopy("s2", 3*time.Second)},
			},
			want: []string{"load a on s1 urgent"},
		},
		{
			name:   "one model waits for a busy server, the next one does not",
			policy: NameDemandFirst,
			input: Input{
				Models: []Model{
					testModel("a", func(m *Model) { m.Demand = waiting(1, time.Minute); m.Demand.WaitingSince = testNow }),
					testModel("b", func(m *Model) { m.Demand = waiting(1, time.Hour); m.Demand.WaitingSince = testNow }),
				},
				Servers: []Server{testServer("s1", 80), busyWithCopy("s2", 3*time.Second)},
			},
			want: []string{"load b on s1 urgent"},
		},
		{
			name:   "a cached checkpoint beats the best fit",
			policy: NameFixedKeepAlive,
			input: Input{
				Models: []Model{testModel("a", func(m *Model) { m.Demand = waiting(3, time.Minute) })},
				Servers: []Server{testServer("s1", 80), testServer("s2", 30), func() Server {
					server := testServer("s3", 50)
					server.Cached = map[string]engine.CacheTier{"a": engine.TierDisk}
					return server
				}()},
			},
			want: []string{"load a on s3 urgent"},
		},
		{
			name:   "leaving and unreachable servers get no load",
			policy: NameFixedKeepAlive,
			input: Input{
				Models: []Model{testModel("a", func(m *Model) { m.Demand = waiting(1, time.Minute) })},
				Servers: []Server{
					func() Server { s := testServer("s1", 80); s.Leaving = true; return s }(),
					func() Server { s := testServer("s2", 80); s.Reachable = false; return s }(),
				},
			},
		},
		{
			name:   "with one slot the higher priority that can be in time goes first",
			policy: NameFixedKeepAlive,
			input: Input{
				Models: []Model{
					testModel("draft", func(m *Model) { m.Demand = waiting(9, time.Minute) }),
					testModel("late", func(m *Model) {
						m.Demand = waiting(9, time.Second)
						m.Demand.HighestPriority = 9
					}),
					testModel("pump", func(m *Model) {
						m.Demand = waiting(1, time.Minute)
						m.Demand.HighestPriority = 5
					}),
				},
				Servers:   []Server{testServer("s1", 80)},
				LoadSlots: 1,
			},
			want: []string{"load pump on s1 urgent"},
		},
		{
			name:   "an adapter waits for its base",
			policy: NameFixedKeepAlive,
			input: Input{
				Models: []Model{
					testModel("a", nil),
					testModel("a:x", func(m *Model) { m.Base = "a"; m.Demand = waiting(1, time.Minute) }),
				},
				Servers: []Server{testServer("s1", 80)},
			},
			want: []string{"load a on s1 urgent"},
		},
		{
			name:   "an adapter goes where its base is ready",
			policy: NameFixedKeepAlive,
			input: Input{
				Models: []Model{
					testModel("a", func(m *Model) { m.Replicas = []Replica{idleReplica("s2", time.Hour)} }),
					testModel("a:x", func(m *Model) { m.Base = "a"; m.Demand = waiting(1, time.Minute) }),
				},
				Servers: []Server{testServer("s1", 80), testServer("s2", 60)},
			},
			want: []string{"load a:x on s2 urgent"},
		},
		{
			name:   "the least recently used model is evicted when memory is short",
			policy: NameNeverUnload,
			input: Input{
				Models: []Model{
					testModel("a", func(m *Model) { m.Demand = waiting(1, time.Minute) }),
					testModel("b", func(m *Model) { m.Replicas = []Replica{idleReplica("s1", time.Minute)} }),
					testModel("c", func(m *Model) { m.Replicas = []Replica{idleReplica("s1", time.Hour)} }),
					testModel("d", func(m *Model) {
						m.Replicas = []Replica{idleReplica("s1", 2*time.Hour)}
						m.Replicas[0].InFlight = 1
					}),
				},
				Servers: []Server{testServer("s1", 5)},
			},
			want: []string{"unload c on s1"},
		},
		{
			name:   "a load waits for memory that is being freed",
			policy: NameNeverUnload,
			input: Input{
				Models: []Model{
					testModel("a", func(m *Model) { m.Demand = waiting(1, time.Minute) }),
					testModel("b", func(m *Model) { m.Replicas = []Replica{idleReplica("s1", time.Minute)} }),
					testModel("c", func(m *Model) {
						m.Replicas = []Replica{idleReplica("s1", time.Hour)}
						m.Replicas[0].State = api.ReplicaUnloading
					}),
				},
				Servers: []Server{testServer("s1", 5)},
			},
		},
		{
			name:   "fixed keep-alive",
			policy: NameFixedKeepAlive,
			input: Input{
				Models: []Model{
					testModel("a", func(m *Model) { m.Replicas = []Replica{idleReplica("s1", 9*time.Minute)} }),
					testModel("b", func(m *Model) { m.Replicas = []Replica{idleReplica("s1", 10*time.Minute)} }),
					testModel("c", func(m *Model) {
						m.Replicas = []Replica{idleReplica("s1", time.Hour)}
						m.Settings.MinReplicas = 1
					}),
				},
				Servers: []Server{testServer("s1", 5)},
			},
			want: []string{"unload b on s1"},
		},
		{
			name:   "unload at once",
			policy: NameUnloadAtOnce,
			input: Input{
				Models:  []Model{testModel("a", func(m *Model) { m.Replicas = []Replica{idleReplica("s1", 0)} })},
				Servers: []Server{testServer("s1", 5)},
			},
			want: []string{"unload a on s1"},
		},
		{
			name:   "an adapter's use keeps its base",
			policy: NameFixedKeepAlive,
			input: Input{
				Models: []Model{
					testModel("a", func(m *Model) { m.Replicas = []Replica{idleReplica("s1", time.Hour)} }),
					testModel("a:x", func(m *Model) {
						m.Base = "a"
						m.Demand.LastArrival = testNow.Add(-time.Minute)
					}),
				},
				Servers: []Server{testServer("s1", 5)},
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if test.input.LoadSlots == 0 {
				test.input.LoadSlots = 8
			}
			test.input.LoadRate = 4
			decider, ok := ByName(test.policy)
			if !ok {
				t.Fatalf("no decider %q", test.policy)
			}
			var got []string
			for _, action := range decider.Decide(testNow, test.input) {
				got = append(got, describe(action))
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func describe(action Action) string {
	verb := "load"
	if action.Kind == ActionUnload {
		verb = "unload"
	}
	text := fmt.Sprintf("%s %s on %s", verb, action.Model, action.Server)
	if action.Urgent {
		text += " urgent"
	}
	return text
}

// propertySeed makes the property tests reproducible; gopter prints it with a failure.
const propertySeed = 20260101

func TestDecideProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	for _, name := range Names() {
		decider, _ := ByName(name)
		properties.Property(name+" keeps the bounds", prop.ForAll(func(seed uint64) string {
			input := randomInput(rand.New(rand.NewPCG(seed, 0)))
			return checkActions(input, decider.Decide(testNow, input))
		}, gen.UInt64()))
	}
	properties.TestingRun(t)
}

// randomInput returns a cell with three servers, bases and adapters.
func randomInput(random *rand.Rand) Input {
	input := Input{LoadSlots: random.IntN(4), LoadRate: random.Float64() * 4}
	for i := range 3 {
		server := testServer(fmt.Sprintf("s%d", i), 80)
		server.Reachable = random.IntN(6) > 0
		server.Leaving = random.IntN(6) == 0
		server.Cached = map[string]engine.CacheTier{}
		input.Servers = append(input.Servers, server)
	}
	for i := range 8 {
		base := fmt.Sprintf("m%d", i)
		input.Models = append(input.Models, randomModel(random, &input, base, ""))
		for j := range random.IntN(3) {
			name := fmt.Sprintf("%s:%d", base, j)
			input.Models = append(input.Models, randomModel(random, &input, name, base))
		}
	}
	return input
}

func randomModel(random *rand.Rand, input *Input, name, base string) Model {
	return testModel(name, func(m *Model) {
		m.Base = api.ModelName(base)
		m.Settings.MemoryBytes = uint64(1+random.IntN(40)) * gigabyte
		m.Settings.MaxReplicas = random.IntN(4)
		m.Settings.MinReplicas = random.IntN(m.Settings.MaxReplicas + 1)
		m.Settings.ColdStartWeight = random.Float64()
		for range random.IntN(40) {
			m.History.Observe(testNow.Add(-time.Duration(random.IntN(90000)) * time.Second))
			m.History.Last = time.Time{}
		}
		for at := testNow.Add(-24 * time.Hour); at.Before(testNow); at = at.Add(time.Duration(random.IntN(20000)) * time.Second) {
			m.History.Observe(at)
		}
		if random.IntN(3) == 0 {
			m.Demand = waiting(random.IntN(20), time.Duration(random.IntN(60))*time.Second)
		}
		for i := range input.Servers {
			server := &input.Servers[i]
			if random.IntN(3) == 0 {
				server.Cached[name] = engine.TierDisk
			}
			if random.IntN(4) > 0 || server.FreeBytes < m.Settings.MemoryBytes {
				continue
			}
			server.FreeBytes -= m.Settings.MemoryBytes
			m.Replicas = append(m.Replicas, Replica{
				Server: server.ID, State: api.ReplicaState(1 + random.IntN(5)), InFlight: random.IntN(2) * random.IntN(3),
				Since:   testNow.Add(-time.Duration(random.IntN(4000)) * time.Second),
				LastUse: testNow.Add(-time.Duration(random.IntN(4000)) * time.Second),
			})
		}
	})
}

// checkActions returns the first rule that the actions violate; empty if there is none.
func checkActions(input Input, actions []Action) string {
	models := map[api.ModelName]*Model{}
	for i := range input.Models {
		models[input.Models[i].Name] = &input.Models[i]
	}
	servers := map[api.ServerID]*Server{}
	for i := range input.Servers {
		servers[input.Servers[i].ID] = &input.Servers[i]
	}
	loads := map[api.ModelName]int{}
	unloads := map[api.ModelName]int{}
	bytes := map[api.ServerID]uint64{}
	seen := map[replicaKey]bool{}
	remote := 0
	for _, action := range actions {
		model, server := models[action.Model], servers[action.Server]
		if model == nil || server == nil {
			return "an action names an unknown model or server"
		}
		key := replicaKey{action.Model, action.Server}
		if seen[key] {
			return "two actions on one replica"
		}
		seen[key] = true
		replica := findReplica(model, action.Server)
		switch action.Kind {
		case ActionUnload:
			unloads[action.Model]++
			if replica == nil || replica.State != api.ReplicaReady || replica.InFlight > 0 {
				return "an unload of a replica that is not ready or is in use"
			}
		case ActionLoad:
			loads[action.Model]++
			bytes[action.Server] += ReplicaBytes(model)
			if replica != nil || server.Leaving || !server.Reachable {
				return "a load on a server that holds the model, leaves or is unreachable"
			}
			if server.Cached[CheckpointName(model)] == "" {
				remote++
			}
			if model.Base != "" && (findReplica(models[model.Base], action.Server) == nil || findReplica(models[model.Base], action.Server).State != api.ReplicaReady) {
				return "a load of an adapter on a server where its base is not ready"
			}
		}
	}
	for _, action := range actions {
		if action.Kind != ActionUnload {
			continue
		}
		for name, model := range models {
			if model.Base == action.Model && (findReplica(model, action.Server) != nil || seen[replicaKey{name, action.Server}]) {
				return "an unload of a base whose adapter holds memory on the server"
			}
		}
	}
	if remote > input.LoadSlots {
		return "more loads from the weight store than slots"
	}
	for id, size := range bytes {
		if size > servers[id].FreeBytes {
			return "loads of more bytes than a server has free"
		}
	}
	for name, model := range models {
		if loads[name] > 0 && len(model.Replicas)+loads[name] > model.Settings.MaxReplicas {
			return "more replicas than decided"
		}
		if unloads[name] > 0 && readyReplicas(model)-unloads[name] < model.Settings.MinReplicas {
			return "fewer replicas than decided"
		}
	}
	return ""
}

func findReplica(model *Model, server api.ServerID) *Replica {
	for i := range model.Replicas {
		if model.Replicas[i].Server == server {
			return &model.Replicas[i]
		}
	}
	return nil
}

func readyReplicas(model *Model) int {
	count := 0
	for i := range model.Replicas {
		if model.Replicas[i].State == api.ReplicaReady {
			count++
		}
	}
	return count
}
