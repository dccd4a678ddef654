package control

import (
	"slices"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
)

// tickMembers lets the leader of a group replace members that are dead or
// leaving, add missing ones and spread them over the zones.
func (c *cellControl) tickMembers() {
	m := c.machine
	if c.owner == nil || m.now.Before(c.reconfigureAt) {
		return
	}
	c.reconfigureAt = m.now.Add(m.timing.ReconfigureInterval)
	current := c.group.Committed().Members
	wanted := c.wantedMembers(current)
	if sameMembers(current, wanted) {
		return
	}
	c.Log("info", "group members change", "from", nodeIDs(current), "to", nodeIDs(wanted))
	c.sendGroup(c.group.Reconfigure(m.now, wanted))
}

// wantedMembers keeps the members that are alive and not leaving, and adds others
// up to quorum.Size. A dead member without a replacement is kept, because a
// smaller group would be no safer. A leaving member is removed as long as another
// member remains.
func (c *cellControl) wantedMembers(current []api.NodeRef) []api.NodeRef {
	m := c.machine
	live := quorum.Without(m.liveNodes(), c.leaving)
	var staying, dead []api.NodeRef
	for _, member := range current {
		switch {
		case quorum.Contains(live, member):
			staying = append(staying, member)
		case !quorum.Contains(c.leaving, member) && !(m.stopping && m.isSelf(member)):
			dead = append(dead, member)
		}
	}
	wanted := c.chooseMembers(c.dropDuplicateZone(staying, live), live)
	for _, member := range dead {
		if len(wanted) < quorum.Size && len(wanted) < len(current) {
			wanted = append(wanted, member)
		}
	}
	if len(wanted) == 0 {
		return current
	}
	return wanted
}

// dropDuplicateZone removes one member that shares its zone with another member
// if a live node in an unused zone could replace it. It never removes this node,
// which leads the group.
func (c *cellControl) dropDuplicateZone(staying, live []api.NodeRef) []api.NodeRef {
	if len(staying) < quorum.Size {
		return staying
	}
	taken := make(map[string]int)
	for _, member := range staying {
		taken[member.Zone]++
	}
	free := false
	for _, node := range live {
		free = free || taken[node.Zone] == 0
	}
	for index, member := range staying {
		if free && taken[member.Zone] > 1 && !c.machine.isSelf(member) {
			return append(append([]api.NodeRef(nil), staying[:index]...), staying[index+1:]...)
		}
	}
	return staying
}

// memberLeaving records that a member asks to be replaced. Members that do not
// lead record it too, since any of them may lead next and must not add the
// leaving node again.
func (c *cellControl) memberLeaving(node api.NodeRef) {
	if quorum.Contains(c.leaving, node) {
		return
	}
	c.leaving = append(c.stillLeaving(), node)
	c.reconfigureAt = c.machine.now
}

// stillLeaving returns the leaving nodes that the membership still reports as
// live.
func (c *cellControl) stillLeaving() []api.NodeRef {
	return slices.DeleteFunc(c.leaving, func(node api.NodeRef) bool {
		return !quorum.Contains(c.machine.liveNodes(), node)
	})
}

func sameMembers(a, b []api.NodeRef) bool {
	if len(a) != len(b) {
		return false
	}
	for _, node := range a {
		if !quorum.Contains(b, node) {
			return false
		}
	}
	return true
}

func nodeIDs(nodes []api.NodeRef) []api.NodeID {
	ids := make([]api.NodeID, len(nodes))
	for index, node := range nodes {
		ids[index] = node.ID
	}
	return ids
}
