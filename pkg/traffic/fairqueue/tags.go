package fairqueue

// tags are the virtual times of a flow or class: when its next item starts and
// when its last served one ended.
type tags struct {
	start, finish float64
	weight        float64
}

// keyAt orders those that wait: the start tag less the head start of priority.
func (t *tags) keyAt(priority int, headStart float64) float64 {
	return t.start - headStart*float64(clampPriority(priority))
}

func clampPriority(priority int) int {
	return max(-maxPriority, min(priority, maxPriority))
}

// clock is the virtual time of the level that shares places among tags.
type clock struct {
	now float64
}

// begin sets the start of one that begins to wait: not before the present, so
// that nobody saves up unused shares, nor before its last item's end.
func (c *clock) begin(t *tags) {
	t.start = max(c.now, t.finish)
}

// charge bills a served item and moves the virtual time on.
func (c *clock) charge(t *tags, priority int, cost, headStart float64) {
	weight := t.weight
	if weight <= 0 {
		weight = 1
	}
	c.now = max(c.now, min(t.start, t.keyAt(priority, headStart)))
	t.finish = t.start + cost/weight
	t.start = t.finish
}
