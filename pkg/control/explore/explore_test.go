package explore

import (
	"flag"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/control/internal/switches"
)

var (
	firstSeed = flag.Uint64("explore.seed", 1, "seed of the first schedule")
	schedules = flag.Int("explore.schedules", 200, "number of schedules, each with the next seed")
	workers   = flag.Int("explore.workers", 4, "schedules run at once")
)

// TestSchedules runs random schedules of faults. A failure prints the seed and
// the steps; -explore.seed=N -explore.schedules=1 repeats it.
func TestSchedules(t *testing.T) {
	failed, steps := explore(*firstSeed, *schedules, switches.Set{}, true)
	t.Logf("%d schedules from seed %d, %d steps", *schedules, *firstSeed, steps)
	if failed == nil {
		return
	}
	again := runSchedule(failed.seed, switches.Set{}, true)
	t.Errorf("seed %d: %s", failed.seed, failed.failure)
	t.Log("\n" + strings.Join(again.trace, "\n"))
}

// violation is a schedule in which a promise was broken.
type violation struct {
	seed    uint64
	failure string
}

// explore runs schedules with the seeds from first and returns the violation
// with the smallest seed, if any, and the number of steps. With recovery, a cell
// that does not work again after the faults counts as a violation too.
func explore(first uint64, count int, unsafe switches.Set, recovery bool) (*violation, int64) {
	found := make([]*violation, count)
	var steps atomic.Int64
	var stop atomic.Int64
	stop.Store(int64(count))
	running := pool.New().WithMaxGoroutines(*workers)
	for index := range count {
		running.Go(func() {
			if int64(index) >= stop.Load() {
				return
			}
			seed := first + uint64(index)
			w := runSchedule(seed, unsafe, false)
			steps.Add(int64(w.steps))
			if w.failure == "" && recovery {
				w.failure = w.stuck
			}
			if w.failure != "" {
				found[index] = &violation{seed: seed, failure: w.failure}
				lower(&stop, int64(index))
			}
		})
	}
	running.Wait()
	for _, failed := range found {
		if failed != nil {
			return failed, steps.Load()
		}
	}
	return nil, steps.Load()
}

// lower sets limit to value if that is less.
func lower(limit *atomic.Int64, value int64) {
	for {
		current := limit.Load()
		if value >= current || limit.CompareAndSwap(current, value) {
			return
		}
	}
}
