package site

import (
	"math/rand/v2"
	"slices"

	"martenwheel.dev/pkg/coordinator"
)

// Bounds of the nodes that a caller is told of.
const (
	// mostEntrances is how many nodes one answer tells.
	mostEntrances = 64
	// leastNear is how many nodes a caller's zone, or else its region, has at least for most callers
	// to be sent there: the load of a few is not to grow with the callers of one place.
	leastNear = 8
	// farShare is the part of an answer for nodes elsewhere: callers whose zone is lost find one at
	// their next try.
	farShare = 0.25
)

// Entrances returns addresses of nodes for a caller in a zone: most of them near it, for its bytes
// cross zones or regions twice otherwise, on the way to the node and from there to a server near it.
// They are in no order, as callers take one by chance.
func (s *Site) Entrances(zone string) []string {
	return entrances(s.Nodes(), zone, s.Regions, rand.Perm)
}

// entrances is Entrances among some nodes. perm returns a permutation of so many.
func entrances(nodes []coordinator.Node, zone string, regions map[string]string, perm func(int) []int) []string {
	var here, region, all []string // of nodes that stay
	for _, i := range perm(len(nodes)) {
		n := &nodes[i]
		if n.Stopping {
			continue
		}
		all = append(all, n.Callers)
		if n.Zone == zone {
			here = append(here, n.Callers)
		}
		if regions[zone] != "" && regions[n.Zone] == regions[zone] {
			region = append(region, n.Callers)
		}
	}
	near := here
	if len(near) < leastNear {
		near = region
	}
	if len(near) < leastNear || len(near) == len(all) {
		return all[:min(len(all), mostEntrances)]
	}
	return mixed(near, all)
}

// mixed returns near addresses and, besides, a part of others.
func mixed(near, all []string) []string {
	near = near[:min(len(near), int((1-farShare)*mostEntrances))]
	list := slices.Clone(near)
	known := make(map[string]bool, len(near))
	for _, address := range near {
		known[address] = true
	}
	far := int(farShare / (1 - farShare) * float64(len(near)))
	for _, address := range all {
		if far == 0 {
			break
		}
		if !known[address] {
			list, far = append(list, address), far-1
		}
	}
	return list
}
