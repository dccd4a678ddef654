package policy

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

// TestLoadsGoByGain checks that, of two models that wait for the same server, the one with
// the higher gain per second of its load is loaded first.
func TestLoadsGoByGain(t *testing.T) {
	rare := func(priority int) Demand {
		d := waiting(1, time.Minute)
		d.WaitingWeight = UrgencyWeight(priority)
		d.HighestPriority = 9 - priority
		d.Rate, d.WeightedRate = 0.1, 0.1*UrgencyWeight(priority)
		return d
	}
	busy := func(priority int) Demand {
		d := rare(priority)
		d.Rate, d.WeightedRate = 8, 8*UrgencyWeight(priority)
		return d
	}
	// held makes a busy model that has one replica and may have two.
	held := func(inFlight, concurrency, spares int) func(*Model) {
		return func(m *Model) {
			m.Demand = busy(1)
			m.Demand.WaitingWeight, m.Demand.InFlight = 0, inFlight
			m.Settings.MaxReplicas, m.Settings.MaxConcurrency, m.Spares = 2, concurrency, spares
			m.Replicas = []Replica{idleReplica("s2", 0)}
		}
	}
	cases := []struct {
		name  string
		a, b  func(*Model)
		first api.ModelName
	}{
		{
			"many requests go before a single one that is more urgent",
			func(m *Model) { m.Demand = rare(0) },
			func(m *Model) { m.Demand = busy(1) },
			"b",
		},
		{
			"of single requests the more urgent one goes first",
			func(m *Model) { m.Demand = rare(2) },
			func(m *Model) { m.Demand = rare(0) },
			"b",
		},
		{
			"of the same demand the shorter load goes first",
			func(m *Model) { m.Demand = rare(1) },
			func(m *Model) { m.Demand = rare(1); m.Settings.LoadTime = time.Second },
			"b",
		},
		{
			"a rare model goes before the spare replica of a busy one",
			func(m *Model) { m.Demand = rare(0) },
			held(0, 100, 2),
			"a",
		},
		{
			"a busy model that is overloaded goes before a rare one",
			func(m *Model) { m.Demand = rare(0) },
			held(40, 10, 0),
			"b",
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			full := testServer("s2", 0)
			input := Input{
				Models:    []Model{testModel("a", test.a), testModel("b", test.b)},
				Servers:   []Server{testServer("s1", 30), full},
				LoadSlots: 8, LoadRate: 4,
			}
			decider, _ := ByName(NameDemandFirst)
			actions := decider.Decide(testNow, input)
			if len(actions) == 0 || actions[0].Model != test.first || actions[0].Kind != ActionLoad {
				t.Errorf("got %+v, want a load of %s first", actions, test.first)
			}
		})
	}
}

// TestGainRateCountsTheLoad checks that the gain per second of the same demand is lower for
// a longer load.
func TestGainRateCountsTheLoad(t *testing.T) {
	m := testModel("a", func(m *Model) { m.Demand = Demand{WaitingWeight: 1, WeightedRate: 2} })
	if short, long := GainRate(&m, time.Second), GainRate(&m, 6*time.Second); short <= long || long <= 0 {
		t.Errorf("gain rate of a load of 1 s is %.2f, of 6 s %.2f; want the first higher, both positive", short, long)
	}
}
