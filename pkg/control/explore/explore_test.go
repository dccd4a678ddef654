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
// the trace. The flags -explore.seed=N -explore.schedules=1 reproduce it.
func TestSchedules(t *testing.T) {
	runSchedules(t, *schedules, options{recovery: true})
}

// TestSchedulesWithMembership uses package membership instead of the oracle. It
// runs a fifth as many schedules, because each takes more steps.
func TestSchedulesWithMembership(t *testing.T) {
	runSchedules(t, *schedules/5, options{recovery: true, ownMembership: true})
}

// runSchedules runs schedules in batches up to the first violation, which it
// repeats with tracing.
func runSchedules(t *testing.T, count int, o options) {
	t.Helper()
	var failed *violation
	for first := 0; first < count && failed == nil; first += batch {
		var explored exploreStats
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

// foundSeeds are regression seeds: schedules that have violated an invariant or
// failed to recover. Each cause also has a test of its own.
var foundSeeds = []uint64{14, 31, 1024062, 3015782}

// TestFoundSchedules runs the schedules of foundSeeds.
func TestFoundSchedules(t *testing.T) {
	for _, seed := range foundSeeds {
		w := runSchedule(seed, options{}, false)
		if w.failure != "" || w.unrecoveredState != "" {
			t.Errorf("seed %d: violation %q, unrecovered %q", seed, w.failure, w.unrecoveredState)
		}
	}
}

// exploreStats counts what was explored.
type exploreStats struct {
	schedules int64
	steps     int64
}

// batch is the number of schedules after which a long run logs its progress.
const batch = 5000

// violation is a schedule in which an invariant was violated.
type violation struct {
	seed    uint64
	failure string
}

// explore runs schedules with consecutive seeds starting at first. It returns the
// violation with the smallest seed, if any, and what was explored. It starts no
// new schedule after a violation.
func explore(first uint64, count int, o options) (*violation, exploreStats) {
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
				w.failure = w.unrecoveredState
			}
			if w.failure != "" {
				found[index] = &violation{seed: seed, failure: w.failure}
				atomicMin(&stop, int64(index))
			}
		})
	}
	running.Wait()
	explored := exploreStats{schedules: run.Load(), steps: steps.Load()}
	for _, failed := range found {
		if failed != nil {
			return failed, explored
		}
	}
	return nil, explored
}

// atomicMin sets limit to value if value is less.
func atomicMin(limit *atomic.Int64, value int64) {
	for {
		current := limit.Load()
		if value >= current || limit.CompareAndSwap(current, value) {
			return
		}
	}
}
