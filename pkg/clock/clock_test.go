package clock

import (
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"
)

// machine simulates the clocks of a machine. The test sets its monotonic clock and its time of
// suspension.
type machine struct {
	monotonic time.Duration
	slept     time.Duration
	err       error
}

// reader returns a reader of the machine's clocks. Its time of day always equals the monotonic
// clock, so that it detects a suspension only by reading the count.
func (m *machine) reader() *reader {
	return newReader(
		func() time.Time { return time.Unix(1000, 0).Add(m.monotonic) },
		func() (time.Duration, error) { return m.slept, m.err })
}

func TestTimeCountsSuspension(t *testing.T) {
	m := &machine{}
	r := m.reader()
	before := r.now()
	m.monotonic += time.Second
	if got := r.now().Sub(before); got != time.Second {
		t.Errorf("a second without suspension counts as %v", got)
	}
	m.slept += 10 * time.Second
	m.monotonic += refreshInterval + 1
	if got, want := r.now().Sub(before), 11*time.Second+refreshInterval+1; got != want {
		t.Errorf("%v passed including ten seconds of suspension, want %v", got, want)
	}
}

// TestASuspensionIsSeenAtOnce checks that a time of day ahead of the monotonic clock causes a
// reading before the next one is due. Otherwise a node that resumes could use expired data.
func TestASuspensionIsSeenAtOnce(t *testing.T) {
	slept := time.Duration(0)
	r := newReader(time.Now, func() (time.Duration, error) { return slept, nil })
	before := r.now()
	slept = time.Minute
	r.last.Store(&reading{elapsed: r.last.Load().elapsed, wallElapsed: r.last.Load().wallElapsed - time.Minute}) // as if the time of day had advanced by a minute
	if got := r.now().Sub(before); got < time.Minute {
		t.Errorf("%v passed including a minute of suspension, want a minute or more", got)
	}
}

// TestStepsOfTheTimeOfDayAreNoSuspension checks that a step of the time of day alone does not count
// as a suspension.
func TestStepsOfTheTimeOfDayAreNoSuspension(t *testing.T) {
	r := newReader(time.Now, func() (time.Duration, error) { return 0, nil })
	before := r.now()
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		r.last.Store(&reading{elapsed: r.last.Load().elapsed, wallElapsed: r.last.Load().wallElapsed + step})
		if got := r.now().Sub(before); got > time.Minute {
			t.Errorf("after a step of the time of day by %v, %v passed", step, got)
		}
	}
}

// TestBadClocks checks that a count that goes back, stops or can't be read never reduces the time
// that has passed or the time of suspension known before.
func TestBadClocks(t *testing.T) {
	m := &machine{}
	r := m.reader()
	m.slept, m.monotonic = time.Minute, time.Second
	before := r.now()
	for name, breakClock := range map[string]func(){
		"goes back":     func() { m.slept = 0 },
		"stands":        func() { m.slept = time.Minute },
		"can't be read": func() { m.err = errors.New("no such clock") },
	} {
		breakClock()
		m.monotonic += time.Second
		if got := r.now().Sub(before); got < time.Second {
			t.Errorf("a clock that %s: %v passed, want a second or more", name, got)
		}
		if got := time.Duration(r.slept.Load()); got < time.Minute {
			t.Errorf("a clock that %s: the time of suspension is %v, it was a minute before", name, got)
		}
	}
	if r.err() == nil {
		t.Error("no error is reported for a clock that can't be read")
	}
}

// TestAClockThatIsReadLateCountsFromThen checks that, if the first reading fails, suspension counts
// from the first successful one.
func TestAClockThatIsReadLateCountsFromThen(t *testing.T) {
	m := &machine{slept: time.Hour, err: errors.New("not yet")}
	r := m.reader()
	before := r.now()
	m.err = nil
	m.monotonic += time.Second
	if got := r.now().Sub(before); got != time.Second {
		t.Errorf("%v passed, want a second", got)
	}
	m.slept += time.Minute
	m.monotonic += time.Second
	if got := r.now().Sub(before); got != time.Minute+2*time.Second {
		t.Errorf("%v passed, want a minute and two seconds", got)
	}
}

// TestTimeNeverGoesBack uses random counts, some of which can't be read.
func TestTimeNeverGoesBack(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("no reading is before the last one", prop.ForAll(func(steps []int64) bool {
		m := &machine{}
		r := m.reader()
		last := r.now()
		for i, step := range steps {
			m.slept = time.Duration(step)
			m.monotonic += time.Duration(i) * refreshInterval / 3
			if i%5 == 4 {
				m.err = errors.New("failed")
			} else {
				m.err = nil
			}
			now := r.now()
			if now.Before(last) {
				return false
			}
			last = now
		}
		return true
	}, gen.SliceOf(gen.OneGenOf(gen.Int64(), gen.Int64Range(0, int64(time.Hour))))))
	properties.TestingRun(t)
}

// TestTheSystemsClock reads the system's real clocks in parallel.
func TestTheSystemsClock(t *testing.T) {
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			last := Now()
			for range 20000 {
				now := Now()
				if now.Before(last) {
					t.Errorf("the time went back by %v", last.Sub(now))
					return
				}
				last = now
			}
		})
	}
	group.Wait()
	if err := Err(); err != nil {
		t.Logf("the time of suspension can't be read on this system: %v", err)
	}
	if Slept() > time.Minute {
		t.Errorf("%v of suspension were counted during this test", Slept())
	}
}

// BenchmarkNow measures Now, which should cost little more than time.Now: 69 ns against 62 ns. The
// system's clock that includes suspension takes 147 ns.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

// TestOnWakeIsCalledForEachSuspension checks that a callback is called once for each suspension, with its length,
// and not after it was unregistered.
func TestOnWakeIsCalledForEachSuspension(t *testing.T) {
	m := &machine{}
	r := m.reader()
	reported := make(chan time.Duration, 10)
	stop := r.onWake(func(d time.Duration) { reported <- d })
	sleep := func(d time.Duration) {
		m.slept += d
		m.monotonic += refreshInterval + 1
		r.now()
	}
	sleep(3 * time.Second)
	if d := <-reported; d != 3*time.Second {
		t.Errorf("callback with %v, want 3 s", d)
	}
	sleep(minSuspension / 2) // too short to count until there is more
	if slept := time.Duration(r.slept.Load()); slept != 3*time.Second {
		t.Errorf("the time of suspension is %v after a small difference between readings, want 3 s", slept)
	}
	sleep(time.Minute)
	if d := <-reported; d != time.Minute+minSuspension/2 {
		t.Errorf("callback with %v, want a minute plus the difference not counted before", d)
	}
	stop()
	sleep(time.Hour)
	if len(reported) != 0 {
		t.Errorf("callback with %v after it was unregistered", <-reported)
	}
}
