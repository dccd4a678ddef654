package quorum

import (
	"martenwheel.dev/pkg/api"
)

// Member identifies one incarnation of a node.
type Member struct {
	ID          api.NodeID
	Incarnation uint64
}

// MemberOf returns the member identity of a node reference.
func MemberOf(node api.NodeRef) Member {
	return Member{ID: node.ID, Incarnation: node.Incarnation}
}

// majority reports whether has is true for more than half of the members.
func majority(members []api.NodeRef, has func(Member) bool) bool {
	count := 0
	for _, node := range members {
		if has(MemberOf(node)) {
			count++
		}
	}
	return 2*count > len(members)
}

// Contains reports whether nodes has an entry with the ID and incarnation of
// node.
func Contains(nodes []api.NodeRef, node api.NodeRef) bool {
	for _, other := range nodes {
		if MemberOf(other) == MemberOf(node) {
			return true
		}
	}
	return false
}

// Without returns the nodes that are not among others.
func Without(nodes, others []api.NodeRef) []api.NodeRef {
	var left []api.NodeRef
	for _, node := range nodes {
		if !Contains(others, node) {
			left = append(left, node)
		}
	}
	return left
}
