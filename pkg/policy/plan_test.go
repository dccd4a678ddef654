package policy

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/tree"
)

// largeInput returns a fleet of n servers, each with replicas of two of the models and with the
// checkpoints of eight on its disk. Ten models wait for a replica.
func largeInput(now time.Time, n, models int) Input {
	const waiting = 10
	in := Input{LoadSlots: 400, LoadRate: 2800}
	for i := range models {
		in.Models = append(in.Models, Model{
			Name: api.ModelName(fmt.Sprintf("m%04d", i)), History: &History{},
			Settings: tree.Settings{MemoryBytes: 70, LoadTime: 6 * time.Second, MaxReplicas: n, MaxConcurrency: 6, KeepAlive: time.Hour, ColdStartWeight: 1},
			Demand:   Demand{Rate: 0.5, WeightedRate: 0.2, LastArrival: now},
		})
	}
	held := models - waiting // number of models that have a replica
	for i := range n {
		id := api.ServerID(fmt.Sprintf("i-%06d", i))
		s := Server{ID: id, Zone: fmt.Sprint("zone-", i%5), CapacityBytes: 200, FreeBytes: 60, Reachable: true, Cached: make(map[string]engine.CacheTier)}
		for k := range 8 {
			s.Cached[string(in.Models[(i*7+k*31)%models].Name)] = engine.TierDisk
		}
		in.Servers = append(in.Servers, s)
		for k := range 2 {
			m := &in.Models[(2*i+k)%held]
			m.Replicas = append(m.Replicas, Replica{Server: id, State: api.ReplicaReady, Since: now.Add(-time.Minute)})
		}
	}
	for i := range waiting {
		m := &in.Models[held+i]
		m.Demand.Waiting, m.Demand.WaitingWeight, m.Demand.WaitingSince = 1, 1, now
	}
	return in
}

// TestAPlanGrowsWithTheServers checks that the work of a plan grows linearly with the number of
// servers. If each load looked at all replicas or models for each server, three times as many servers
// (and so replicas) would take far more than three times as many steps.
func TestAPlanGrowsWithTheServers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	examined := func(n int) int {
		in := largeInput(now, n, 60)
		d, _ := ByName(NameDemandFirst)
		p := newPlan(now, &in)
		p.scarce = true
		for _, want := range p.wanted(byGain) {
			d.(decider).loadWanted(p, want)
		}
		d.(decider).unloadIdle(p)
		if len(p.actions) < 10 {
			t.Fatalf("got %d actions for 10 waiting models, want at least 10", len(p.actions))
		}
		return p.examined
	}
	small, large := examined(300), examined(900)
	if growth := float64(large) / float64(small); growth > 3.3 {
		t.Errorf("a plan takes %d steps for 300 servers and %d for 900: %.1f times as many", small, large, growth)
	}
}

// BenchmarkPlanOfALargeFleet measures a plan for 10,000 servers and 574 models. It takes 905 ms if
// each load examines all replicas of its model for each server, 264 ms if it examines what each server
// holds, and 41 ms if it only compares maxCandidates servers.
func BenchmarkPlanOfALargeFleet(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	in := largeInput(now, 10000, 574)
	d, _ := ByName(NameDemandFirst)
	b.ReportAllocs()
	for b.Loop() {
		d.Decide(now, in)
	}
}
