package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"martenwheel.dev/pkg/api"
)

// ringCount is the number of rings: two within the region and one over all regions.
const ringCount = 3

// globalRing is the index of the ring over all regions.
const globalRing = ringCount - 1

// ringPositions returns the positions of a node on the rings.
func ringPositions(id api.NodeID) [ringCount]uint64 {
	var positions [ringCount]uint64
	for ring := range positions {
		positions[ring] = xxhash.Sum64String(string(rune('0'+ring)) + string(id))
	}
	return positions
}

// neighbours are the members next to this node on the rings.
type neighbours struct {
	subjects []api.NodeID // successors, which this node probes
	all      []api.NodeID // successors and predecessors, sorted; they get all updates
}

// findNeighbours returns the neighbours of self among live, which includes self. There are ringCount subjects
// if there are that many other members.
func findNeighbours(self *member, live []*member) neighbours {
	var found neighbours
	predecessors := make([]api.NodeID, 0, ringCount)
	for ring := range ringCount {
		candidates := live
		if ring != globalRing {
			candidates = sameRegion(self, live)
		}
		order := ringOrder(ring, candidates)
		place := slices.Index(order, self)
		last := len(order) - 1
		if last < 1 {
			continue
		}
		found.subjects = addNextUnchosen(found.subjects, order, place, 1)
		predecessors = addNextUnchosen(predecessors, order, place, -1)
	}
	order := ringOrder(globalRing, live)
	place := slices.Index(order, self)
	for len(found.subjects) < min(ringCount, len(live)-1) {
		found.subjects = addNextUnchosen(found.subjects, order, place, 1)
	}
	found.all = append(predecessors, found.subjects...)
	slices.Sort(found.all)
	found.all = slices.Compact(found.all)
	return found
}

// addNextUnchosen appends to chosen the first member after place, in the direction of step, that is not
// chosen yet.
func addNextUnchosen(chosen []api.NodeID, order []*member, place, step int) []api.NodeID {
	for offset := 1; offset < len(order); offset++ {
		index := (place + step*offset + len(order)*offset) % len(order)
		id := order[index].update.Ref.ID
		if !slices.Contains(chosen, id) {
			return append(chosen, id)
		}
	}
	return chosen
}

func sameRegion(self *member, members []*member) []*member {
	var found []*member
	for _, candidate := range members {
		if candidate.update.Ref.Region == self.update.Ref.Region {
			found = append(found, candidate)
		}
	}
	return found
}

func ringOrder(ring int, members []*member) []*member {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(a.positions[ring], b.positions[ring]),
			cmp.Compare(a.update.Ref.ID, b.update.Ref.ID),
		)
	})
	return order
}
