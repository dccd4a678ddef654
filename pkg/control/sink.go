package control

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/engine"
)

// outbox collects the estimates for one node.
type outbox struct {
	to        api.NodeRef
	estimates []api.LoadEstimate
}

// OrderEngine implements cell.Sink.
func (c *cellControl) OrderEngine(server api.ServerID, address string, order engine.Order) {
	c.machine.emit(OrderEngine{Server: server, Address: address, Order: order})
}

// ReadInventory implements cell.Sink.
func (c *cellControl) ReadInventory(server api.ServerID, address string, request engine.InventoryRequest) {
	c.machine.emit(ReadInventory{Server: server, Address: address, Request: request})
}

// Estimate implements cell.Sink.
func (c *cellControl) Estimate(to api.NodeRef, estimate api.LoadEstimate) {
	if c.machine.isSelf(to) {
		c.machine.emit(PublishEstimate{Estimate: estimate})
		return
	}
	if c.estimates == nil {
		c.estimates = make(map[quorum.Member]*outbox)
	}
	member := quorum.MemberOf(to)
	if c.estimates[member] == nil {
		c.estimates[member] = &outbox{to: to}
		c.outboxes = append(c.outboxes, member)
	}
	c.estimates[member].estimates = append(c.estimates[member].estimates, estimate)
}

// flushEstimates sends the estimates collected by Estimate, in one message per
// node.
func (c *cellControl) flushEstimates() {
	for _, member := range c.outboxes {
		box := c.estimates[member]
		c.machine.send(box.to, Estimates{Cell: c.name, Estimates: box.estimates})
	}
	c.estimates, c.outboxes = nil, nil
}

// Log implements cell.Sink.
func (c *cellControl) Log(level, message string, fields ...any) {
	c.machine.emit(Log{Level: level, Message: message, Fields: append([]any{"cell", c.name}, fields...)})
}
