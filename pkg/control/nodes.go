package control

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/membership"
)

// isSelf reports whether node is this node with its current incarnation.
func (m *Machine) isSelf(node api.NodeRef) bool {
	return sameNode(node, m.config.Self)
}

// sameNode reports whether two references have the same node ID and incarnation.
func sameNode(a, b api.NodeRef) bool {
	return quorum.MemberOf(a) == quorum.MemberOf(b)
}

// liveNodes returns the nodes of this region that are not known to be dead. It
// includes this node unless it is stopping.
func (m *Machine) liveNodes() []api.NodeRef {
	if m.liveNodesCache != nil {
		return m.liveNodesCache
	}
	live := []api.NodeRef{}
	for _, member := range m.membership.Members() {
		if member.Ref.Region != m.config.Self.Region || member.State > membership.StateSuspect {
			continue
		}
		if m.stopping && m.isSelf(member.Ref) {
			continue
		}
		live = append(live, member.Ref)
	}
	m.liveNodesCache = live
	return live
}
