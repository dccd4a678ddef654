package fairqueue

import (
	"container/heap"

	"martenwheel.dev/pkg/indexedheap"
)

// maxIdleFlows bounds the number of flows without waiting items that a class keeps.
const maxIdleFlows = 1024

// class shares the slots of a model between its flows.
type class[T any] struct {
	tags
	name    string
	blocked bool
	flows   map[string]*flow[T]
	backlog indexedheap.Heap[*flow[T]] // the flows with waiting items
	clock   clock
	length  int
	size    int
}

// priority returns the priority of the flow that is served next.
func (c *class[T]) priority() int { return c.backlog[0].priority() }

func (c *class[T]) key(headStart float64) float64 {
	return c.keyAt(c.priority(), headStart)
}

func (c *class[T]) push(item *Item[T], name string, headStart float64) {
	target := c.flows[name]
	if target == nil {
		c.forgetIdle()
		target = &flow[T]{name: name, class: c}
		target.weight = 1
		c.flows[name] = target
	}
	item.flow = target
	if len(target.items) == 0 {
		c.clock.begin(&target.tags)
		heap.Push(&target.items, item)
		target.key = target.keyAt(target.priority(), headStart)
		heap.Push(&c.backlog, target)
	} else {
		heap.Push(&target.items, item)
		c.reorder(target, headStart)
	}
	target.cost += item.Cost
	c.length++
	c.size += item.Size
}

func (c *class[T]) remove(item *Item[T], headStart float64) {
	from := item.flow
	heap.Remove(&from.items, item.position)
	item.flow = nil
	from.cost -= item.Cost
	c.length--
	c.size -= item.Size
	if len(from.items) == 0 {
		heap.Remove(&c.backlog, from.position)
		return
	}
	c.reorder(from, headStart)
}

// reorder restores the order of the backlog after the head or the tags of a flow changed.
func (c *class[T]) reorder(changed *flow[T], headStart float64) {
	changed.key = changed.keyAt(changed.priority(), headStart)
	heap.Fix(&c.backlog, changed.position)
}

// forgetIdle deletes idle flows if there are too many: first those whose finish tag is
// in the virtual past, and, if that is not enough, all idle ones.
func (c *class[T]) forgetIdle() {
	if len(c.flows)-len(c.backlog) < maxIdleFlows {
		return
	}
	for name, idle := range c.flows {
		if len(idle.items) == 0 && idle.finish <= c.clock.now {
			delete(c.flows, name)
		}
	}
	if len(c.flows)-len(c.backlog) < maxIdleFlows {
		return
	}
	for name, idle := range c.flows {
		if len(idle.items) == 0 {
			delete(c.flows, name)
		}
	}
}

// ahead estimates how many items of the class are served before item: those before it in
// its own flow, all of each more urgent flow, and of each equally urgent flow as many as
// of its own, including itself.
func (c *class[T]) ahead(item *Item[T]) int {
	own := 0
	for _, other := range item.flow.items {
		if other != item && other.Before(item) {
			own++
		}
	}
	total := own
	for _, other := range c.backlog {
		switch {
		case other == item.flow || other.priority() < item.Priority:
		case other.priority() > item.Priority:
			total += len(other.items)
		default:
			total += min(len(other.items), own+1)
		}
	}
	return total
}

// flow holds the waiting items of one caller.
type flow[T any] struct {
	tags
	name     string
	class    *class[T]
	items    indexedheap.Heap[*Item[T]]
	cost     float64
	key      float64 // sort key in the class's backlog
	position int     // index in the class's backlog
}

func (f *flow[T]) priority() int { return f.items[0].Priority }

// Before reports whether the flow is served before other: flows are ordered by key, and
// at equal keys by the arrival of their first items.
func (f *flow[T]) Before(other *flow[T]) bool {
	if f.key != other.key {
		return f.key < other.key
	}
	return f.items[0].sequence < other.items[0].sequence
}

func (f *flow[T]) SetPosition(position int) { f.position = position }
