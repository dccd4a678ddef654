package lab

import (
	"container/heap"
	"time"

	"martenwheel.dev/pkg/indexedheap"
)

// sharedRate runs jobs concurrently (processor sharing): all advance at the same rate, which
// depends on the number of jobs. It models the batch of an engine and the transfers of the weight
// store.
type sharedRate struct {
	clock    *clock
	rate     func(jobs int) float64 // units per second for each job
	progress float64                // units that a job present from the start would have received
	paused   bool                   // jobs receive nothing
	updated  time.Duration          // when progress was last updated
	jobs     indexedheap.Heap[*job]
	next     *event // completion of the next job
}

// job is a job on a sharedRate.
type job struct {
	finish float64 // value of progress at which the job is complete
	number uint64  // breaks ties
	done   func()
	index  int
}

// add starts a job of the given units; done is called when it completes.
func (s *sharedRate) add(units float64, done func()) *job {
	s.advance()
	s.clock.sequence++
	j := &job{finish: s.progress + units, number: s.clock.sequence, done: done}
	heap.Push(&s.jobs, j)
	s.schedule()
	return j
}

// remove cancels a job; nil and completed jobs are ignored.
func (s *sharedRate) remove(j *job) {
	if j == nil || j.index < 0 {
		return
	}
	s.advance()
	heap.Remove(&s.jobs, j.index)
	s.schedule()
}

// clear cancels all jobs.
func (s *sharedRate) clear() {
	for _, j := range s.jobs {
		j.index = indexedheap.NoPosition
	}
	s.jobs = nil
	s.schedule()
}

// setPaused stops all jobs or lets them go on.
func (s *sharedRate) setPaused(paused bool) {
	s.advance()
	s.paused = paused
	s.schedule()
}

// advance updates progress to the present.
func (s *sharedRate) advance() {
	if len(s.jobs) > 0 && !s.paused {
		s.progress += s.rate(len(s.jobs)) * (s.clock.elapsed - s.updated).Seconds()
	}
	s.updated = s.clock.elapsed
}

// schedule reschedules the event of the next job to complete.
func (s *sharedRate) schedule() {
	s.clock.cancel(s.next)
	s.next = nil
	if len(s.jobs) == 0 || s.paused {
		return
	}
	left := max(s.jobs[0].finish-s.progress, 0)
	wait := time.Duration(left/s.rate(len(s.jobs))*float64(time.Second)) + 1
	s.next = s.clock.after(wait, s.finish)
}

// finish completes the next job.
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
