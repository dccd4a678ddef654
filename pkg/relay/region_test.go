package relay

import (
	"math/rand/v2"
	"testing"

	"martenwheel.dev/pkg/affinity"
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic/routing"
)

// regionBuffers returns two servers in the node's region with the given load and two idle ones in
// another region.
func regionBuffers(load int) *choiceBuffers {
	p := &choiceBuffers{request: routing.Request{Zone: "a", Region: "near"}}
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

// TestServersOfTheOwnRegionGoFirst checks that servers of the own region are preferred until they
// are full.
func TestServersOfTheOwnRegionGoFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	chooser := newChooser()
	far := func(load int) int {
		p, n := regionBuffers(load), 0
		for range 100 {
			if i, found := chooser.Choose(random, &p.request, p.candidates); found && p.candidates[i].Region == "far" {
				n++
			}
		}
		return n
	}
	if n := far(3); n > 0 {
		t.Errorf("%d of 100 requests went to the other region while the own one had free capacity", n)
	}
	if n := far(12); n < 90 {
		t.Errorf("%d of 100 requests went to the other region when the own one was full", n)
	}
}

// TestSharedPartsAreKeptInEachRegion checks that a request prefers no replica of another region
// unless its own region has no usable one.
func TestSharedPartsAreKeptInEachRegion(t *testing.T) {
	p := regionBuffers(0)
	p.barRemoteRegions()
	if p.replicas[0].Excluded || p.replicas[1].Excluded || !p.replicas[2].Excluded || !p.replicas[3].Excluded {
		t.Errorf("the replicas are %+v, want exactly those of the other region barred", p.replicas)
	}
	p = regionBuffers(0)
	p.replicas[0].Excluded, p.replicas[1].Excluded = true, true
	p.barRemoteRegions()
	if p.replicas[2].Excluded || p.replicas[3].Excluded {
		t.Error("the replicas of the other region are barred although no other is usable")
	}
}
