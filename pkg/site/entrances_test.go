package site

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"martenwheel.dev/pkg/coordinator"
)

// entranceNodes are so many nodes in each of six zones of two regions; callers reach them at their names.
func entranceNodes(each int) ([]coordinator.Node, map[string]string) {
	regions := make(map[string]string)
	var nodes []coordinator.Node
	for z := range 6 {
		zone := fmt.Sprint("zone-", z)
		regions[zone] = fmt.Sprint("region-", z%2)
		for i := range each {
			nodes = append(nodes, coordinator.Node{Name: fmt.Sprint(zone, "/", i), Callers: fmt.Sprint(zone, "/", i), Zone: zone})
		}
	}
	return nodes, regions
}

func TestCallersAreSentNear(t *testing.T) {
	for _, c := range []struct {
		each, total, near int // nodes of a zone, addresses told, of those in the zone
		place             string
	}{
		{1, 6, 1, "zone-0"},
		{3, 12, 9, "region-0"}, // the region's nine and a part of others
		{12, 16, 12, "zone-0"},
		{200, 64, 48, "zone-0"},
	} {
		nodes, regions := entranceNodes(c.each)
		list := entrances(nodes, "zone-0", regions, rand.Perm)
		near := 0
		for _, address := range list {
			zone, _, _ := strings.Cut(address, "/")
			if zone == c.place || regions[zone] == c.place {
				near++
			}
		}
		if len(list) != c.total || near != c.near {
			t.Errorf("%d nodes a zone: %d addresses, %d in %s; want %d and %d", c.each, len(list), near, c.place, c.total, c.near)
		}
		slices.Sort(list)
		if len(slices.Compact(list)) != c.total {
			t.Errorf("%d nodes a zone: an address is told twice", c.each)
		}
	}
}

func TestNodesThatStopAreNoEntrances(t *testing.T) {
	nodes, regions := entranceNodes(12)
	for i := range nodes {
		nodes[i].Stopping = nodes[i].Zone == "zone-0"
	}
	for _, address := range entrances(nodes, "zone-0", regions, rand.Perm) {
		if strings.HasPrefix(address, "zone-0/") {
			t.Errorf("%s stops and is told", address)
		}
	}
	if list := entrances(nodes, "zone-9", nil, rand.Perm); len(list) != 60 {
		t.Errorf("a caller of no known zone is told of %d nodes", len(list))
	}
}
