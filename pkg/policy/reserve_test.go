package policy

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// waitingModel returns a model for which one request of a priority waits.
func waitingModel(name string, priority int) Model {
	return testModel(name, func(m *Model) {
		m.Demand = waiting(1, time.Minute)
		m.Demand.WaitingSince = testNow
		m.Demand.WaitingWeight = UrgencyWeight(priority)
	})
}

// TestFreedMemoryIsReserved checks that memory that was freed for one model is not taken
// by another one, unless the first is no longer needed or no memory is being freed.
func TestFreedMemoryIsReserved(t *testing.T) {
	reserved := func(free uint64, model string) Server {
		s := testServer("s1", free)
		s.Reserved = api.ModelName(model)
		return s
	}
	unloading := testModel("x", func(m *Model) {
		m.Replicas = []Replica{{Server: "s1", State: api.ReplicaUnloading, Since: testNow}}
	})
	cases := []struct {
		name  string
		input Input
		want  []string
	}{
		{
			"the model that memory was freed for goes first, whatever waits",
			Input{Models: []Model{waitingModel("a", 2), waitingModel("b", 0)}, Servers: []Server{reserved(30, "a")}},
			[]string{"load a on s1 urgent"},
		},
		{
			"while the memory is being freed nothing else takes the server",
			Input{Models: []Model{waitingModel("a", 2), waitingModel("b", 0), unloading}, Servers: []Server{reserved(5, "a")}},
			nil,
		},
		{
			"a reservation lapses when nothing waits for its model",
			Input{Models: []Model{testModel("a", nil), waitingModel("b", 0)}, Servers: []Server{reserved(30, "a")}},
			[]string{"load b on s1 urgent"},
		},
		{
			"a reservation lapses when no memory is being freed",
			Input{
				Models:  []Model{waitingModel("a", 2), waitingModel("b", 0)},
				Servers: []Server{reserved(5, "a"), testServer("s2", 50)},
			},
			[]string{"load b on s2 urgent", "load a on s2 urgent"},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			test.input.LoadSlots, test.input.LoadRate = 8, 4
			decider, _ := ByName(NameDemandFirst)
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

// TestSpareReplicasMakeWay checks that a spare replica is evicted for a waiting model, and
// that a replica that the demand needs, and is worth more than the waiting model, is not.
func TestSpareReplicasMakeWay(t *testing.T) {
	busy := func(inFlight int) Model {
		return testModel("busy", func(m *Model) {
			m.Demand = Demand{Rate: 5, WeightedRate: 5 * UrgencyWeight(1), InFlight: inFlight}
			m.Spares, m.Settings.MaxReplicas, m.Settings.MaxConcurrency = 2, 2, 4
			m.Replicas = []Replica{idleReplica("s1", 0), idleReplica("s2", 0)}
		})
	}
	for _, test := range []struct {
		name string
		busy Model
		want int
	}{
		{"a spare", busy(3), 1},
		{"two that the demand needs", busy(8), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			input := Input{Models: []Model{waitingModel("a", 0), test.busy}, Servers: []Server{testServer("s1", 5), testServer("s2", 5)}}
			input.LoadSlots, input.LoadRate = 8, 4
			decider, _ := ByName(NameDemandFirst)
			unloads := 0
			for _, action := range decider.Decide(testNow, input) {
				if action.Kind == ActionUnload && action.For == "a" {
					unloads++
				}
			}
			if unloads != test.want {
				t.Errorf("got %d replicas evicted for the waiting model, want %d", unloads, test.want)
			}
		})
	}
}

// TestModelsWaitForServersWithTheirCopy checks that a model waits for the server that has a
// copy of its checkpoint while all replicas there are in use, instead of being fetched from
// the weight store to another server, which takes longer.
func TestModelsWaitForServersWithTheirCopy(t *testing.T) {
	inUse := testModel("x", func(m *Model) {
		m.Replicas = []Replica{idleReplica("s1", 0)}
		m.Replicas[0].InFlight = 1
	})
	near := testServer("s1", 5)
	near.Cached = map[string]engine.CacheTier{"a": engine.TierDisk}
	input := Input{Models: []Model{waitingModel("a", 0), inUse}, Servers: []Server{near, testServer("s2", 50)}}
	input.LoadSlots, input.LoadRate = 8, 4
	input.Models[0].DiskTime = time.Second
	decider, _ := ByName(NameDemandFirst)
	if got := decider.Decide(testNow, input); len(got) != 0 {
		t.Errorf("got %+v, want to wait for the server with the copy", got)
	}
	input.Models[0].Demand.WaitingSince = testNow.Add(-2 * maxDefer)
	if got := decider.Decide(testNow, input); len(got) != 1 || got[0].Server != "s2" {
		t.Errorf("got %+v after a long wait, want a load on s2", got)
	}
}
