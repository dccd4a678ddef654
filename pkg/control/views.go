package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
)

// publishPause is the shortest time between two views of an owner.
const publishPause = 50 * time.Millisecond

// publishView hands a changed view to this node's routers and to all nodes of
// the region.
func (c *cellControl) publishView() {
	if c.machine.now.Before(c.publishAt) {
		return
	}
	committed := c.group.Committed()
	if committed.ConfigVersion() != c.view.ConfigVersion {
		c.owner.MarkChanged()
	}
	view, changed := c.owner.TakeView()
	if !changed {
		return
	}
	view.Members = committed.Members
	view.PreviousMembers = committed.Previous
	view.ConfigVersion = committed.ConfigVersion()
	var message any = ViewPush{View: view}
	if delta, ok := makeDelta(c.view, view); ok {
		message = delta
	}
	c.view = view
	c.publishAt = c.machine.now.Add(publishPause)
	c.machine.emit(PublishView{View: view})
	for _, node := range c.machine.liveNodes() {
		if !c.machine.isSelf(node) {
			c.machine.send(node, message)
		}
	}
}

// takeView takes over a newer view of a cell.
func (m *Machine) takeView(view api.CellView) {
	c := m.ensureCell(view.Cell)
	c.group.Supersede(quorum.Epoch(view.Term))
	if !view.NewerThan(c.view) {
		return
	}
	newLeader := !sameNode(view.Leader, c.view.Leader) || view.Term != c.view.Term
	c.view = view
	m.emit(PublishView{View: view})
	m.updateDigest() // for nodes that the owner does not reach
	if newLeader {
		m.repeatDemand(c)
	}
}

func (m *Machine) answerViewRequest(from api.NodeRef, request ViewRequest) {
	if c, known := m.cells[request.Cell]; known && c.view.Term > 0 {
		m.send(from, ViewPush{View: c.view})
	}
}
