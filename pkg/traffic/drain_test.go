package traffic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A planned stop lets what runs end, serves what can begin by its deadline, and
// refuses the rest and all new ones as not run.
func TestDrain(t *testing.T) {
	control := newStubControl(t, "max_concurrency", "1")
	virtually(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 1))
		first := serveLater(router, ask(time.Hour), 2*time.Second)
		<-first // the pace is known now
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
			t.Errorf("new request: %+v", refusal)
		}
		ended := <-late
		if refusal := refusalOf(t, ended.err, ReasonStopping); !refusal.NotRun {
			t.Errorf("waiting request: %+v", refusal)
		}
		if held := ended.at.Sub(began); held > 0 {
			t.Errorf("the request that can't begin was held for %v", held)
		}
		for name, end := range map[string]<-chan result{"running": running, "soon": soon} {
			if ended := <-end; ended.err != nil {
				t.Errorf("%s: %v", name, ended.err)
			}
		}
		if left := <-drained; left.Running != 0 {
			t.Errorf("%d requests cut off", left.Running)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("the stop took %v", took)
		}
	})
}

func TestDrainEndsAtItsDeadline(t *testing.T) {
	control := newStubControl(t)
	virtually(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 1))
		stuck := mustAcquire(t, router, ask(time.Hour))
		began := time.Now()
		drained := make(chan Leftover, 1)
		go func() { drained <- router.Drain(began.Add(time.Second)) }()
		synctest.Wait()
		_, err := router.Acquire(context.Background(), ask(time.Hour))
		refusalOf(t, err, ReasonStopping) // though a place is free
		left := <-drained
		if left.Running != 1 || time.Since(began) != time.Second {
			t.Errorf("left %d after %v, want 1 after 1s", left.Running, time.Since(began))
		}
		stuck.Done(served(time.Second))
	})
}
