package control

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/membership"
)

// isSelf tells whether node is this life of this node.
func (m *Machine) isSelf(node api.NodeRef) bool {
	return sameNode(node, m.config.Self)
}

// sameNode tells whether two references name the same life of a node.
func sameNode(a, b api.NodeRef) bool {
	return quorum.MemberOf(a) == quorum.MemberOf(b)
}

// liveNodes returns the nodes of this region that are not known to be dead,
// with this node among them unless it stops.
func (m *Machine) liveNodes() []api.NodeRef {
	if m.live != nil {
		return m.live
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
	m.live = live
	return live
}
