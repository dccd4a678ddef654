package lineage

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a node of the site.
type Node struct {
	Name     string
	Zone     string
	Address  string // IP:port for other nodes
	Stopping bool
}

// Number of keepers.
const (
	// copies is how many keepers are told of a stream: a zone, and another node, may be lost with the node
	// that began it.
	copies = 3
	// nodesPerKeeper limits how many nodes a keeper hears of, to copies times as many, whatever the size of
	// the site. Whoever looks for a stream asks all keepers.
	nodesPerKeeper = 32
	// minKeepers are the keepers of a small site. With only as many as copies, the loss of the same few nodes
	// would lose the streams of all others.
	minKeepers = 6
)

// keepersAmong returns the nodes that keep the streams of all others, in a fixed order. Nodes that join or
// leave change few of them.
func keepersAmong(nodes []Node) []Node {
	count := max(minKeepers, (len(nodes)+nodesPerKeeper-1)/nodesPerKeeper)
	ordered := orderByHash(nodes, "")
	return ordered[:min(count, len(ordered))]
}

// keepersOf returns the keepers that a node tells of its streams.
func keepersOf(self string, keepers []Node) []Node {
	others := slices.DeleteFunc(slices.Clone(keepers), func(n Node) bool { return n.Name == self })
	ordered := orderByHash(others, self)
	return ordered[:min(copies, len(ordered))]
}

// orderByHash returns the nodes ordered by a hash of their names and a salt, zones taken in turn.
func orderByHash(nodes []Node, salt string) []Node {
	hash := make(map[string]uint64, len(nodes))
	for i := range nodes {
		hash[nodes[i].Name] = xxhash.Sum64String(salt + keySeparator + nodes[i].Name)
	}
	sorted := slices.SortedFunc(slices.Values(nodes), func(a, b Node) int {
		return cmp.Or(cmp.Compare(hash[a.Name], hash[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return takeZonesInTurn(sorted)
}

// takeZonesInTurn reorders nodes so that zones alternate as long as all have nodes left. Nodes of one zone
// keep their order.
func takeZonesInTurn(nodes []Node) []Node {
	rank := make([]int, len(nodes)) // position among the nodes of its zone
	seen := make(map[string]int)
	for i := range nodes {
		rank[i] = seen[nodes[i].Zone]
		seen[nodes[i].Zone]++
	}
	order := make([]int, len(nodes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rank[a], rank[b]) })
	result := make([]Node, len(nodes))
	for i, from := range order {
		result[i] = nodes[from]
	}
	return result
}
