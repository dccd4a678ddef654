package lab

import (
	"container/heap"
	"time"

	"martenwheel.dev/pkg/indexedheap"
)

// sharedRate serves jobs at the same time (processor sharing): each advances
// with the same rate, which depends on how many there are. It models a batch
// of an engine and the transfers of the weight store.
type sharedRate struct {
	clock    *clock
	rate     func(jobs int) float64 // units a second for each job
	progress float64                // units that a job has got which was there from the start
	updated  time.Duration
	jobs     indexedheap.Heap[*job]
	next     *event
}

// job is a piece of work on a sharedRate.
type job struct {
	finish float64 // progress at which it is done
	number uint64  // breaks ties
	done   func()
	index  int
}

// add starts a job of units; done is called when it is finished.
func (s *sharedRate) add(units float64, done func()) *job {
	s.advance()
	s.clock.sequence++
	j := &job{finish: s.progress + units, number: s.clock.sequence, done: done}
	heap.Push(&s.jobs, j)
	s.schedule()
	return j
}

// remove ends a job before it is done.
func (s *sharedRate) remove(j *job) {
	if j == nil || j.index < 0 {
		return
	}
	s.advance()
	heap.Remove(&s.jobs, j.index)
	s.schedule()
}

// clear ends all jobs.
func (s *sharedRate) clear() {
	for _, j := range s.jobs {
		j.index = indexedheap.NoPosition
	}
	s.jobs = nil
	s.schedule()
}

// advance brings progress up to the present.
func (s *sharedRate) advance() {
	if len(s.jobs) > 0 {
		s.progress += s.rate(len(s.jobs)) * (s.clock.elapsed - s.updated).Seconds()
	}
	s.updated = s.clock.elapsed
}

// schedule sets the event of the next job to finish.
func (s *sharedRate) schedule() {
	s.clock.cancel(s.next)
	s.next = nil
	if len(s.jobs) == 0 {
		return
	}
	left := max(s.jobs[0].finish-s.progress, 0)
	wait := time.Duration(left/s.rate(len(s.jobs))*float64(time.Second)) + 1
	s.next = s.clock.after(wait, s.finish)
}

// finish ends the job that is done.
func (s *sharedRate) finish() {
	s.next = nil
	s.advance()
	j := heap.Pop(&s.jobs).(*job)
	s.progress = max(s.progress, j.finish)
	s.schedule()
	j.done()
}

// Before implements indexedheap.Entry.
func (j *job) Before(other *job) bool {
	if j.finish != other.finish {
		return j.finish < other.finish
	}
	return j.number < other.number
}

// SetPosition implements indexedheap.Entry.
func (j *job) SetPosition(position int) { j.index = position }
