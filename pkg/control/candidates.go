package control

import (
	"hash/fnv"
	"sort"
	"strconv"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/membership"
)

// majorityAlive reports whether a majority of the members is alive with the same
// incarnation.
func (c *cellControl) majorityAlive(members []api.NodeRef) bool {
	live := c.machine.liveNodes()
	count := 0
	for _, member := range members {
		if quorum.Contains(live, member) {
			count++
		}
	}
	return 2*count > len(members)
}

// rank is this node's position among the live nodes. The order differs from cell
// to cell.
func (c *cellControl) rank() int {
	for index, node := range c.ranked(c.machine.liveNodes()) {
		if c.machine.isSelf(node) {
			return index
		}
	}
	return 0
}

// ranked sorts nodes by a hash of the cell name, the node ID and its incarnation.
func (c *cellControl) ranked(nodes []api.NodeRef) []api.NodeRef {
	sorted := append([]api.NodeRef(nil), nodes...)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := c.hash(sorted[i]), c.hash(sorted[j])
		if a != b {
			return a < b
		}
		return sorted[i].ID < sorted[j].ID
	})
	return sorted
}

func (c *cellControl) hash(node api.NodeRef) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(string(c.name) + "/" + string(node.ID) + "/" + strconv.FormatUint(node.Incarnation, 10)))
	return sum.Sum64()
}

// chooseMembers returns up to quorum.Size nodes: the given first ones, then nodes
// in zones that are not used yet, then any others.
func (c *cellControl) chooseMembers(first, nodes []api.NodeRef) []api.NodeRef {
	chosen := append([]api.NodeRef(nil), first...)
	zones := make(map[string]bool)
	for _, node := range chosen {
		zones[node.Zone] = true
	}
	ranked := c.ranked(nodes)
	for _, otherZonesOnly := range []bool{true, false} {
		for _, node := range ranked {
			if len(chosen) >= quorum.Size {
				return chosen
			}
			if quorum.Contains(chosen, node) || otherZonesOnly && zones[node.Zone] {
				continue
			}
			chosen = append(chosen, node)
			zones[node.Zone] = true
		}
	}
	return chosen
}

// deadNodeRetention is how long a dead node still counts as known when this node
// checks whether it is in a minority partition.
const deadNodeRetention = 10 * time.Minute

// inMinority reports whether fewer than half of the region's known nodes are
// alive. Nodes that died within deadNodeRetention count as known.
func (m *Machine) inMinority() bool {
	known := 0
	for _, member := range m.membership.Members() {
		old := member.State == membership.StateDead && m.now.Sub(member.Since) >= deadNodeRetention
		if member.Ref.Region == m.config.Self.Region && member.State != membership.StateLeft && !old {
			known++
		}
	}
	return 2*len(m.liveNodes()) < known
}

// majorityMayBeAlive reports whether a majority of the members is alive or not
// known to this node.
func (c *cellControl) majorityMayBeAlive(members []api.NodeRef) bool {
	known := make(map[api.NodeID]bool)
	for _, member := range c.machine.membership.Members() {
		known[member.Ref.ID] = true
	}
	live := c.machine.liveNodes()
	count := 0
	for _, member := range members {
		if quorum.Contains(live, member) || !known[member.ID] {
			count++
		}
	}
	return 2*count > len(members)
}
