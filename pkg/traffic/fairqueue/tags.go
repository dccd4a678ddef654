package fairqueue

// tags holds the virtual times of a flow or class: the start of its next item and the
// finish of the last item served.
type tags struct {
	start, finish float64
	weight        float64
}

// keyAt returns the sort key of a waiting flow or class: its start tag minus the head
// start of the priority.
func (t *tags) keyAt(priority int, headStart float64) float64 {
	return t.start - headStart*float64(clampPriority(priority))
}

func clampPriority(priority int) int {
	return max(-maxPriority, min(priority, maxPriority))
}

// clock is the virtual time of one level of fair queueing.
type clock struct {
	now float64
}

// begin sets the start tag of a flow or class that begins to wait. It is not before the
// current virtual time, so that unused shares are not saved up, and not before the
// finish of its last item.
func (c *clock) begin(t *tags) {
	t.start = max(c.now, t.finish)
}

// charge charges the cost of a served item and advances the virtual time.
func (c *clock) charge(t *tags, priority int, cost, headStart float64) {
	weight := t.weight
	if weight <= 0 {
		weight = 1
	}
	c.now = max(c.now, min(t.start, t.keyAt(priority, headStart)))
	t.finish = t.start + cost/weight
	t.start = t.finish
}
