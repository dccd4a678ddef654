package policy

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
)

// benchInput returns a site with three replicas per server, a tenth of them in use. The
// checkpoint of each model is on the disks of three servers, and wait models wait for a
// replica.
func benchInput(servers, models, wait int) Input {
	input := Input{LoadSlots: 4, LoadRate: 15}
	for i := range servers {
		s := testServer(fmt.Sprintf("s%03d", i), 20)
		s.Cached = make(map[string]engine.CacheTier)
		input.Servers = append(input.Servers, s)
	}
	for i := range models {
		m := testModel(fmt.Sprintf("m%04d", i), nil)
		m.Settings.MemoryBytes = 70 * gigabyte
		m.Settings.MaxReplicas = servers
		m.DiskTime, m.MemoryTime = time.Second, time.Second/2
		m.Demand.Rate, m.Demand.WeightedRate = 0.07, 0.07
		for k := range 3 {
			input.Servers[(i+k)%servers].Cached[string(m.Name)] = engine.TierDisk
		}
		if i < 3*servers {
			r := idleReplica(string(input.Servers[i%servers].ID), time.Second)
			if i%10 == 0 {
				r.InFlight, m.Demand.InFlight = 2, 2
			}
			m.Replicas = []Replica{r}
		} else if i < 3*servers+wait {
			m.Demand.Waiting, m.Demand.WaitingWeight, m.Demand.WaitingSince = 1, 1, testNow
		}
		input.Models = append(input.Models, m)
	}
	return input
}

// BenchmarkPlanOfASite measures one plan for a whole site, as the coordinator makes it.
func BenchmarkPlanOfASite(b *testing.B) {
	for _, size := range []struct{ servers, models, wait int }{{9, 50, 0}, {9, 50, 8}, {90, 481, 0}, {90, 481, 60}} {
		b.Run(fmt.Sprintf("%d servers, %d models, %d wait", size.servers, size.models, size.wait), func(b *testing.B) {
			input := benchInput(size.servers, size.models, size.wait)
			decider, _ := ByName(NameDemandFirst)
			for b.Loop() {
				decider.Decide(testNow, input)
			}
		})
	}
}
