package watch

import (
	"cmp"
	"slices"
)

// nodesPerRelay is the number of nodes of a zone for each relay. A relay then sends some hundred messages a
// second, which the weakest machines can bear.
const nodesPerRelay = 32

// topology says which nodes send changes to which. It depends on the list of nodes alone, so that all nodes
// with the same list agree. It is immutable.
type topology struct {
	nodes    []Node
	watchers []string          // names, the readers first
	readers  []Node            // those that can be followed
	relays   map[string][]Node // by zone, the strongest first
}

func newTopology(nodes []Node) *topology {
	t := &topology{nodes: nodes, watchers: watchers(nodes), relays: make(map[string][]Node)}
	zones := make(map[string]int)
	for _, n := range nodes {
		zones[n.Zone]++
		switch place := slices.Index(t.watchers, n.Name); {
		case !n.Follows || n.Leaving:
		case place < 0:
			t.relays[n.Zone] = append(t.relays[n.Zone], n)
		case place < Readers:
			t.readers = append(t.readers, n)
		}
	}
	for zone, able := range t.relays {
		slices.SortFunc(able, func(a, b Node) int {
			return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(nameHash(a.Name), nameHash(b.Name)))
		})
		t.relays[zone] = able[:min((zones[zone]+nodesPerRelay-1)/nodesPerRelay, len(able))]
	}
	return t
}

// isFor reports whether the topology was made for this list of nodes. A list is never changed in place.
func (t *topology) isFor(nodes []Node) bool {
	return t != nil && len(t.nodes) == len(nodes) && (len(nodes) == 0 || &t.nodes[0] == &nodes[0])
}

// isRelay reports whether a node passes changes on to others of its zone.
func (t *topology) isRelay(n Node) bool {
	return slices.ContainsFunc(t.relays[n.Zone], func(r Node) bool { return r.Name == n.Name })
}

// parents returns the nodes that a node may follow, in its order of preference. The order differs between
// nodes.
func (t *topology) parents(n Node) []Node {
	readers := preferredOrder(n, t.readers)
	if t.isRelay(n) {
		return readers
	}
	var others []Node
	for zone, relays := range t.relays {
		if zone != n.Zone && len(relays) > 0 {
			others = append(others, relays[0])
		}
	}
	list := append(preferredOrder(n, t.relays[n.Zone]), readers...)
	return append(list, preferredOrder(n, others)...)
}

// preferredOrder returns the other nodes in the order in which a node prefers them.
func preferredOrder(n Node, others []Node) []Node {
	list := slices.DeleteFunc(slices.Clone(others), func(o Node) bool { return o.Name == n.Name })
	slices.SortFunc(list, func(a, b Node) int {
		return cmp.Compare(mixHash(nameHash(n.Name+"/"+a.Name)), mixHash(nameHash(n.Name+"/"+b.Name)))
	})
	return list
}

// topology returns the topology of the nodes that are known now.
func (h *Hub) topology() *topology {
	nodes := h.Nodes()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.top.isFor(nodes) {
		h.top = newTopology(nodes)
	}
	return h.top
}

// role is what a node does for the other nodes of its site.
type role string

const (
	roleAlone   role = "alone"   // knows no other nodes yet
	roleLeaf    role = "leaf"    // gets changes from a node that it follows
	roleRelay   role = "relay"   // follows a reader and passes changes on to nodes of its zone
	roleStandby role = "standby" // gets changes from the readers, and asks the store if they fail
	roleReader  role = "reader"  // asks the store
)

// watches reports whether the node watches the store for others.
func (r role) watches() bool { return r == roleReader || r == roleStandby }

// hasDependents reports whether other nodes depend on the node for changes.
func (r role) hasDependents() bool { return r.watches() || r == roleRelay }

// roleIn returns this node's role in a topology.
func (h *Hub) roleIn(top *topology) role {
	switch {
	case !h.Known():
		return roleAlone
	case len(top.nodes) <= SmallSite:
		return roleReader
	case h.onStandby():
		return roleStandby
	case h.Watching():
		return roleReader
	case top.isRelay(h.Self):
		return roleRelay
	}
	return roleLeaf
}
