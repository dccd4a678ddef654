package explore

import (
	"flag"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc/pool"
)

var (
	firstSeed = flag.Uint64("explore.seed", 1, "seed of the first schedule")
	schedules = flag.Int("explore.schedules", 200, "number of schedules, each with the next seed")
	workers   = flag.Int("explore.workers", 4, "schedules run at once")
)

// TestSchedules runs random schedules of faults. A failure prints the seed and
// the steps; -explore.seed=N -explore.schedules=1 repeats it.
func TestSchedules(t *testing.T) {
	runSchedules(t, *schedules, options{recovery: true})
}

// TestSchedulesWithMembership runs a fifth as many with package membership,
// which costs more steps, in place of the oracle.
func TestSchedulesWithMembership(t *testing.T) {
	runSchedules(t, *schedules/5, options{recovery: true, ownMembership: true})
}

func runSchedules(t *testing.T, count int, o options) {
	t.Helper()
	var failed *violation
	for first := 0; first < count && failed == nil; first += batch {
		var explored extent
		seed := *firstSeed + uint64(first)
		failed, explored = explore(seed, min(batch, count-first), o)
		t.Logf("%d schedules from seed %d, %d steps", explored.schedules, seed, explored.steps)
	}
	if failed == nil {
		return
	}
	again := runSchedule(failed.seed, o, true)
	t.Errorf("seed %d: %s", failed.seed, failed.failure)
	t.Log("\n" + strings.Join(again.trace, "\n"))
}

// foundSeeds are schedules that broke a promise or did not recover at some time.
// The causes have tests of their own; see docs/proposals/0033.
var foundSeeds = []uint64{14, 31, 1024062, 3015782}

// TestFoundSchedules runs the schedules that once failed.
func TestFoundSchedules(t *testing.T) {
	for _, seed := range foundSeeds {
		w := runSchedule(seed, options{}, false)
		if w.failure != "" || w.stuck != "" {
			t.Errorf("seed %d: %s%s", seed, w.failure, w.stuck)
		}
	}
}

// extent tells how much was explored.
type extent struct {
	schedules int64
	steps     int64
}

// batch is the number of schedules after which a long run tells how far it is.
const batch = 5000

// violation is a schedule in which a promise was broken.
type violation struct {
	seed    uint64
	failure string
}

// explore runs schedules with the seeds from first and returns the violation
// with the smallest seed, if any, and what was explored. It begins no schedule
// after a violation.
func explore(first uint64, count int, o options) (*violation, extent) {
	found := make([]*violation, count)
	var steps, run atomic.Int64
	var stop atomic.Int64
	stop.Store(int64(count))
	running := pool.New().WithMaxGoroutines(*workers)
	for index := range count {
		running.Go(func() {
			if int64(index) >= stop.Load() {
				return
			}
			seed := first + uint64(index)
			w := runSchedule(seed, o, false)
			steps.Add(int64(w.steps))
			run.Add(1)
			if w.failure == "" && o.recovery {
				w.failure = w.stuck
			}
			if w.failure != "" {
				found[index] = &violation{seed: seed, failure: w.failure}
				lower(&stop, int64(index))
			}
		})
	}
	running.Wait()
	explored := extent{schedules: run.Load(), steps: steps.Load()}
	for _, failed := range found {
		if failed != nil {
			return failed, explored
		}
	}
	return nil, explored
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
