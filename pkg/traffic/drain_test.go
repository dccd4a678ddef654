package traffic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestDrain checks that a planned stop waits for running requests, serves those that can
// start by its deadline, and refuses the others and all new ones as not run.
func TestDrain(t *testing.T) {
	control := newStubControl(t, "max_concurrency", "1")
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 1))
		first := serveLater(router, ask(time.Hour), 2*time.Second)
		<-first // the mean hold time is known now
		running := serveLater(router, ask(time.Hour), 2*time.Second)
		synctest.Wait()
		soon := serveLater(router, ask(time.Hour), 2*time.Second)
		synctest.Wait()
		late := serveLater(router, ask(time.Hour), 2*time.Second)
		synctest.Wait()
		began := time.Now()
		drained := make(chan Leftover, 1)
		go func() { drained <- router.Drain(began.Add(5 * time.Second)) }()
		synctest.Wait()

		_, err := router.Acquire(context.Background(), ask(time.Hour))
		if refusal := refusalOf(t, err, ReasonStopping); !refusal.NotRun || refusal.RetryAfter == 0 {
			t.Errorf("new request: got refusal %+v, want it not run and with RetryAfter", refusal)
		}
		ended := <-late
		if refusal := refusalOf(t, ended.err, ReasonStopping); !refusal.NotRun {
			t.Errorf("waiting request: got refusal %+v, want it not run", refusal)
		}
		if held := ended.at.Sub(began); held > 0 {
			t.Errorf("the request that can't start by the deadline was refused only after %v", held)
		}
		for name, end := range map[string]<-chan result{"running": running, "soon": soon} {
			if ended := <-end; ended.err != nil {
				t.Errorf("%s: %v", name, ended.err)
			}
		}
		if left := <-drained; left.Running != 0 {
			t.Errorf("%d requests still running at the end of the stop", left.Running)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("the stop took %v, want at most 5s", took)
		}
	})
}

func TestDrainEndsAtItsDeadline(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 1))
		stuck := mustAcquire(t, router, ask(time.Hour))
		began := time.Now()
		drained := make(chan Leftover, 1)
		go func() { drained <- router.Drain(began.Add(time.Second)) }()
		synctest.Wait()
		_, err := router.Acquire(context.Background(), ask(time.Hour))
		refusalOf(t, err, ReasonStopping) // although a slot is free
		left := <-drained
		if left.Running != 1 || time.Since(began) != time.Second {
			t.Errorf("%d requests left after %v, want 1 after 1s", left.Running, time.Since(began))
		}
		stuck.Done(served(time.Second))
	})
}
