package lab

import (
	"container/heap"
	"time"

	"martenwheel.dev/pkg/indexedheap"
)

// epoch is the virtual time at which each run begins: midnight on a Monday.
var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// clock is the virtual clock and event queue of a run. Events at the same time run in the order in
// which they were added.
type clock struct {
	elapsed  time.Duration
	sequence uint64
	queue    indexedheap.Heap[*event]
}

// event is a function scheduled for a point in virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
	index    int // position in the queue; negative if not queued
}

// now returns the current virtual time.
func (c *clock) now() time.Time { return epoch.Add(c.elapsed) }

// after schedules run after delay.
func (c *clock) after(delay time.Duration, run func()) *event {
	return c.at(c.elapsed+max(delay, 0), run)
}

// at schedules run for a point in virtual time, as the time since the start of the run; if that has
// passed, run is scheduled for the present.
func (c *clock) at(at time.Duration, run func()) *event {
	c.sequence++
	e := &event{at: max(at, c.elapsed), sequence: c.sequence, run: run}
	heap.Push(&c.queue, e)
	return e
}

// cancel removes an event that has not run yet; e may be nil.
func (c *clock) cancel(e *event) {
	if e != nil && e.index >= 0 {
		heap.Remove(&c.queue, e.index)
	}
}

// step runs the next event if it is due by end, and reports whether there was one. If not, it
// advances the clock to end.
func (c *clock) step(end time.Duration) bool {
	if len(c.queue) == 0 || c.queue[0].at > end {
		c.elapsed = max(c.elapsed, end)
		return false
	}
	next := heap.Pop(&c.queue).(*event)
	c.elapsed = next.at
	next.run()
	return true
}

// Before implements indexedheap.Entry.
func (e *event) Before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// SetPosition implements indexedheap.Entry.
func (e *event) SetPosition(position int) { e.index = position }
