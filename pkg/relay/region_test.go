package relay

import (
	"math/rand/v2"
	"testing"

	"martenwheel.dev/pkg/affinity"
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic/routing"
)

// regionPicking has two servers in the node's region and two in another one, the latter idle.
func regionPicking(load int) *picking {
	p := &picking{asked: routing.Request{Zone: "a", Region: "near"}}
	for i, region := range []string{"near", "near", "far", "far"} {
		c := routing.Candidate{Server: api.ServerID(rune('a' + i)), Zone: region, Region: region, State: api.ReplicaReady, Share: 1}
		c.Usage = routing.Usage{MaxRequests: 12}
		if region == "near" {
			c.Usage.Requests = load
		}
		p.candidates = append(p.candidates, c)
		p.replicas = append(p.replicas, affinity.Replica{})
	}
	return p
}

// TestServersOfTheOwnRegionGoFirst: while they have room; a region whose servers are full sends
// requests to the other one.
func TestServersOfTheOwnRegionGoFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	chooser := newChooser()
	far := func(load int) int {
		p, n := regionPicking(load), 0
		for range 100 {
			if i, found := chooser.Choose(random, &p.asked, p.candidates); found && p.candidates[i].Region == "far" {
				n++
			}
		}
		return n
	}
	if n := far(3); n > 0 {
		t.Errorf("%d of 100 requests go to the other region while the own one has room", n)
	}
	if n := far(12); n < 90 {
		t.Errorf("%d of 100 requests go to the other region when the own one is full", n)
	}
}

// TestSharedPartsAreKeptInEachRegion: a request prefers no replica of another region unless its own
// has none that it may go to.
func TestSharedPartsAreKeptInEachRegion(t *testing.T) {
	p := regionPicking(0)
	p.barFar()
	if p.replicas[0].Barred || p.replicas[1].Barred || !p.replicas[2].Barred || !p.replicas[3].Barred {
		t.Errorf("barred: %+v", p.replicas)
	}
	p = regionPicking(0)
	p.replicas[0].Barred, p.replicas[1].Barred = true, true
	p.barFar()
	if p.replicas[2].Barred || p.replicas[3].Barred {
		t.Error("no replica is left")
	}
}
