package storeclock

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

func TestLatestWithoutAnObservation(t *testing.T) {
	var c Clock
	if latest, known := c.Latest(); known || latest != 0 {
		t.Errorf("without an observation the bound is %v, known %t", latest, known)
	}
}

// TestLatestIsNeverBehindTheStore delays requests and answers at random, directly from the
// store and through another node. A bound below the store's clock would make old data look
// fresh.
func TestLatestIsNeverBehindTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		start := time.Now()
		truth := func() time.Duration { return 7*time.Hour + time.Since(start) }
		stamp := func() time.Duration { return truth().Truncate(time.Millisecond) }
		pause := func() { time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second)))) }
		var near, far Clock
		for range 5000 {
			sent := time.Now()
			pause()
			s := stamp()
			pause()
			near.Observe(sent, s)
			sent = time.Now()
			pause()
			latest, _ := near.Latest()
			pause()
			far.ObserveLatest(sent, latest)
			for name, c := range map[string]*Clock{"near": &near, "far": &far} {
				if latest, known := c.Latest(); !known || latest < truth() {
					t.Fatalf("the bound of the %s clock is %v, the store's clock shows %v", name, latest, truth())
				}
			}
		}
	})
}

// TestLatestIsCloseAfterAQuickAnswer checks that slow answers before and after a quick one
// do not loosen the bound.
func TestLatestIsCloseAfterAQuickAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Clock
		start := time.Now()
		for _, delay := range []time.Duration{2 * time.Second, 4 * time.Millisecond, 5 * time.Second} {
			sent := time.Now()
			stamp := time.Since(start) + delay
			time.Sleep(delay)
			c.Observe(sent, stamp)
		}
		latest, _ := c.Latest()
		if over := latest - time.Since(start); over > 10*time.Millisecond {
			t.Errorf("the bound is %v ahead of the store's clock after an answer within 4 ms", over)
		}
	})
}

// TestAStoreWhoseClockIsSetAhead checks that the bound is raised when the store's clock jumps
// forward.
func TestAStoreWhoseClockIsSetAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Clock
		c.Observe(time.Now(), time.Second)
		time.Sleep(time.Second)
		c.Observe(time.Now(), time.Hour)
		if latest, _ := c.Latest(); latest < time.Hour {
			t.Errorf("the bound is %v, the store's clock shows an hour", latest)
		}
	})
}
