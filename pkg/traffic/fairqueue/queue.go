// Package fairqueue orders waiting requests. It shares the slots that become
// free between classes (models) and, within a class, between flows (callers)
// by start-time fair queueing (Goyal, Vin, Cheng 1996) on two levels. Priority
// gives a bounded head start, like the warp of borrowed virtual time (Duda,
// Cheriton 1999): an urgent request overtakes a flood, but a flood of urgent
// requests cannot starve the rest. Within a flow, requests are ordered by
// priority, then deadline, then arrival.
//
// A Queue reads no clock and is not safe for concurrent use.
package fairqueue

import "time"

// Item is a waiting request. The exported fields must not be changed while it is in a
// queue.
type Item[T any] struct {
	Value    T
	Class    string
	Flow     string
	Cost     float64 // cost of serving it, such as its tokens; must be above zero
	Size     int     // memory that it takes while it waits, such as its prompt tokens
	Priority int     // larger is more urgent
	Deadline time.Time

	sequence uint64 // order of arrival
	position int    // index in the flow's heap
	flow     *flow[T]
}

// Before reports whether the item is served before other within one flow.
func (i *Item[T]) Before(other *Item[T]) bool {
	if i.Priority != other.Priority {
		return i.Priority > other.Priority
	}
	if !i.Deadline.Equal(other.Deadline) {
		return i.Deadline.Before(other.Deadline)
	}
	return i.sequence < other.sequence
}

func (i *Item[T]) SetPosition(position int) { i.position = position }

// Queue holds the waiting items. Create it with New.
type Queue[T any] struct {
	headStart float64
	unfair    bool
	classes   []*class[T]
	clock     clock
	length    int
	sequence  uint64
}

// maxPriority bounds the priority that counts for the head start, above and below 0.
const maxPriority = 100

// New returns an empty queue. Each step of priority gives a head start of headStart, in
// units of cost.
func New[T any](headStart float64) *Queue[T] {
	return &Queue[T]{headStart: headStart}
}

// NewUnfair returns a queue that puts all items of a class into one flow. Tests use it
// to verify that fairness between flows is needed.
func NewUnfair[T any](headStart float64) *Queue[T] {
	return &Queue[T]{headStart: headStart, unfair: true}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// ClassLen returns the number of waiting items of a class.
func (q *Queue[T]) ClassLen(name string) int {
	if class := q.find(name); class != nil {
		return class.length
	}
	return 0
}

// ClassSize returns the sum of the sizes of a class's waiting items.
func (q *Queue[T]) ClassSize(name string) int {
	if class := q.find(name); class != nil {
		return class.size
	}
	return 0
}

// SetWeight sets the weight by which a class shares the slots with other classes. A
// weight that is not above zero counts as 1.
func (q *Queue[T]) SetWeight(name string, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	q.findOrAdd(name).weight = weight
}

// Push adds an item.
func (q *Queue[T]) Push(item *Item[T]) {
	q.sequence++
	item.sequence = q.sequence
	q.insert(item)
}

// insert adds an item whose sequence is set.
func (q *Queue[T]) insert(item *Item[T]) {
	class := q.findOrAdd(item.Class)
	if class.length == 0 {
		q.clock.begin(&class.tags)
	}
	class.push(item, q.flowName(item), q.headStart)
	q.length++
}

func (q *Queue[T]) flowName(item *Item[T]) string {
	if q.unfair {
		return ""
	}
	return item.Flow
}

// Next returns the item of the unblocked classes that is served next, without removing
// it; nil if there is none.
func (q *Queue[T]) Next() *Item[T] {
	class := q.nextClass()
	if class == nil {
		return nil
	}
	return class.backlog[0].items[0]
}

func (q *Queue[T]) nextClass() *class[T] {
	var best *class[T]
	for _, class := range q.classes {
		if class.length == 0 || class.blocked {
			continue
		}
		if best == nil || class.key(q.headStart) < best.key(q.headStart) {
			best = class
		}
	}
	return best
}

// Block excludes a class from Next until Unblock is called.
func (q *Queue[T]) Block(name string) {
	if class := q.find(name); class != nil {
		class.blocked = true
	}
}

// Unblock includes all classes in Next again.
func (q *Queue[T]) Unblock() {
	for _, class := range q.classes {
		class.blocked = false
	}
}

// Serve removes an item and charges its cost to its flow and its class.
func (q *Queue[T]) Serve(item *Item[T]) {
	class, flow := item.flow.class, item.flow
	q.clock.charge(&class.tags, class.priority(), item.Cost, q.headStart)
	class.clock.charge(&flow.tags, flow.priority(), item.Cost, q.headStart)
	q.Remove(item)
}

// Remove removes an item without charging its cost.
func (q *Queue[T]) Remove(item *Item[T]) {
	class := item.flow.class
	class.remove(item, q.headStart)
	q.length--
	if q.length == 0 {
		q.reset()
	}
}

// reset discards the tags of an empty queue, which are no longer needed.
func (q *Queue[T]) reset() {
	q.classes = nil
	q.clock = clock{}
}

// Last returns the item that a full class discards first: the last one of the flow with
// the highest total cost waiting. Among flows of equal cost it takes the preferred one.
func (q *Queue[T]) Last(name, preferred string) *Item[T] {
	class := q.find(name)
	if class == nil || class.length == 0 {
		return nil
	}
	largest := class.backlog[0]
	for _, flow := range class.backlog {
		if flow.cost > largest.cost || flow.cost == largest.cost && flow.name == preferred {
			largest = flow
		}
	}
	last := largest.items[0]
	for _, item := range largest.items {
		if last.Before(item) {
			last = item
		}
	}
	return last
}

// Ahead estimates how many items of its class are served before a waiting item.
func (q *Queue[T]) Ahead(item *Item[T]) int {
	return item.flow.class.ahead(item)
}

// Each calls visit for each item of a class, in no particular order.
func (q *Queue[T]) Each(name string, visit func(*Item[T])) {
	class := q.find(name)
	if class == nil {
		return
	}
	for _, flow := range class.backlog {
		for _, item := range flow.items {
			visit(item)
		}
	}
}

// Ordered returns all items in the order in which they would be served if
// nothing arrived and no class were blocked.
func (q *Queue[T]) Ordered() []*Item[T] {
	originals := make([]*Item[T], 0, q.length)
	trial := New[int](q.headStart) // its values are indices of originals
	for _, class := range q.classes {
		copied := trial.findOrAdd(class.name)
		for _, flow := range class.backlog {
			originals = append(originals, flow.items...)
			copyFlow(trial, flow, len(originals)-len(flow.items))
		}
		copied.tags = class.tags
	}
	ordered := make([]*Item[T], 0, q.length)
	for item := trial.Next(); item != nil; item = trial.Next() {
		ordered = append(ordered, originals[item.Value])
		trial.Serve(item)
	}
	return ordered
}

// copyFlow inserts copies of a flow's items, with consecutive values starting at first.
func copyFlow[T any](trial *Queue[int], from *flow[T], first int) {
	for index, item := range from.items {
		trial.insert(&Item[int]{
			Value: first + index, Class: item.Class, Flow: from.name, sequence: item.sequence,
			Cost: item.Cost, Priority: item.Priority, Deadline: item.Deadline,
		})
	}
	class := trial.find(from.class.name)
	copied := class.flows[from.name]
	copied.tags = from.tags
	class.reorder(copied, trial.headStart)
}

func (q *Queue[T]) find(name string) *class[T] {
	for _, class := range q.classes {
		if class.name == name {
			return class
		}
	}
	return nil
}

func (q *Queue[T]) findOrAdd(name string) *class[T] {
	if found := q.find(name); found != nil {
		return found
	}
	added := &class[T]{name: name, flows: make(map[string]*flow[T])}
	added.weight = 1
	q.classes = append(q.classes, added)
	return added
}
