package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
)

// minPublishInterval is the shortest time between two views published by an
// owner.
const minPublishInterval = 50 * time.Millisecond

// publishView passes a changed view to this node's routers and to all live nodes
// of the region.
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
	c.publishAt = c.machine.now.Add(minPublishInterval)
	c.machine.emit(PublishView{View: view})
	for _, node := range c.machine.liveNodes() {
		if !c.machine.isSelf(node) {
			c.machine.send(node, message)
		}
	}
}

// handleView replaces the view of a cell if the given one is newer.
func (m *Machine) handleView(view api.CellView) {
	c := m.ensureCell(view.Cell)
	c.group.Supersede(quorum.Epoch(view.Term))
	if !view.NewerThan(c.view) {
		return
	}
	newLeader := !sameNode(view.Leader, c.view.Leader) || view.Term != c.view.Term
	c.view = view
	m.emit(PublishView{View: view})
	m.updateDigest() // relays the version to nodes that the owner does not reach
	if newLeader {
		m.repeatDemand(c)
	}
}

// answerViewRequest sends the newest view of the cell, if there is one.
func (m *Machine) answerViewRequest(from api.NodeRef, request ViewRequest) {
	if c, known := m.cells[request.Cell]; known && c.view.Term > 0 {
		m.send(from, ViewPush{View: c.view})
	}
}
