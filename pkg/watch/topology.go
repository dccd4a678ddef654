package watch

import (
	"cmp"
	"slices"
)

// followersOfRelay is for how many nodes of a zone there is one relay: what it sends a second is
// some hundred messages, which the weakest machines bear.
const followersOfRelay = 32

// topology is who tells whom on a site. It follows from the list of nodes, so that all nodes that know
// the same list agree. It is immutable.
type topology struct {
	nodes    []Node
	watchers []string          // names, the readers first
	readers  []Node            // that may be followed
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
			return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(weight(a.Name), weight(b.Name)))
		})
		t.relays[zone] = able[:min((zones[zone]+followersOfRelay-1)/followersOfRelay, len(able))]
	}
	return t
}

// of tells whether the topology is that of a list of nodes, which is not changed.
func (t *topology) of(nodes []Node) bool {
	return t != nil && len(t.nodes) == len(nodes) && (len(nodes) == 0 || &t.nodes[0] == &nodes[0])
}

// relay tells whether a node passes on to others of its zone.
func (t *topology) relay(n Node) bool {
	return slices.ContainsFunc(t.relays[n.Zone], func(r Node) bool { return r.Name == n.Name })
}

// parents returns whom a node may follow, those first that it prefers. Nodes prefer different ones.
func (t *topology) parents(n Node) []Node {
	readers := preferredBy(n, t.readers)
	if t.relay(n) {
		return readers
	}
	list := append(preferredBy(n, t.relays[n.Zone]), readers...)
	for zone, relays := range t.relays {
		if zone != n.Zone {
			list = append(list, preferredBy(n, relays[:1])...)
		}
	}
	return list
}

// preferredBy returns other nodes in the order in which a node prefers them.
func preferredBy(n Node, others []Node) []Node {
	list := slices.DeleteFunc(slices.Clone(others), func(o Node) bool { return o.Name == n.Name })
	slices.SortFunc(list, func(a, b Node) int {
		return cmp.Compare(mix(weight(n.Name+"/"+a.Name)), mix(weight(n.Name+"/"+b.Name)))
	})
	return list
}

// topology returns who tells whom by the nodes that are known now.
func (h *Hub) topology() *topology {
	nodes := h.Nodes()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.top.of(nodes) {
		h.top = newTopology(nodes)
	}
	return h.top
}
