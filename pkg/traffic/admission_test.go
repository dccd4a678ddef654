package traffic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/api"
)

// waitFault is a case of what may go wrong while a request waits for a model without a
// replica.
type waitFault struct {
	name       string
	settings   []string
	before     func(*stubControl) // sets the owner's answer at the arrival
	after      func(*stubControl) // applied one second later; nil: nothing changes
	deadline   time.Duration
	reason     RefusalReason // expected reason; empty: served
	within     time.Duration // maximum time from the arrival to the refusal
	retryLeast time.Duration // minimum of RetryAfter
	retryMost  time.Duration // maximum of RetryAfter
}

func accept(after time.Duration) func(*stubControl) {
	return func(c *stubControl) {
		c.answer(api.LoadEstimate{Model: "m", Accepted: true, ReadyBy: time.Now().Add(after)})
	}
}

func reject(retryAfter time.Duration) func(*stubControl) {
	return func(c *stubControl) {
		c.answer(api.LoadEstimate{Model: "m", RetryAfter: retryAfter, Reason: "load failed: no checkpoint"})
	}
}

func ready(c *stubControl) { c.publish(readyOn("m", 1)) }

func forgetEstimate(c *stubControl) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.estimates, "m")
}

func unknownOwner(*stubControl) {}

var waitFaults = []waitFault{
	{name: "loaded in time", before: accept(2 * time.Second), after: ready, deadline: 5 * time.Second},
	{name: "owner silent, then loaded", before: unknownOwner, after: ready, deadline: 5 * time.Second},
	{name: "load too slow from the start", before: accept(20 * time.Second), deadline: 5 * time.Second,
		reason: ReasonDeadline, within: 0, retryLeast: 15 * time.Second, retryMost: 15 * time.Second},
	{name: "weight store slows ten times", before: accept(3 * time.Second), after: accept(30 * time.Second),
		deadline: 5 * time.Second, reason: ReasonDeadline, within: 1200 * time.Millisecond,
		retryLeast: 25 * time.Second, retryMost: 27 * time.Second},
	{name: "load fails midway", before: accept(3 * time.Second), after: reject(7 * time.Second),
		deadline: 20 * time.Second, reason: ReasonLoadFailed, within: 1200 * time.Millisecond,
		retryLeast: 6 * time.Second, retryMost: 7 * time.Second},
	{name: "owner has no room", before: reject(4 * time.Second), deadline: 5 * time.Second,
		reason: ReasonNoCapacity, within: 0, retryLeast: 4 * time.Second, retryMost: 4 * time.Second},
	{name: "owner dies, load moves to a new one", before: accept(2 * time.Second),
		after: forgetEstimate, deadline: 3 * time.Second,
		reason: ReasonDeadline, within: 3 * time.Second, retryLeast: time.Second, retryMost: time.Second},
	{name: "queue full", settings: []string{"queue_requests", "0"}, before: accept(2 * time.Second),
		deadline: 5 * time.Second, reason: ReasonQueueFull, within: 0,
		retryLeast: 2 * time.Second, retryMost: 2 * time.Second},
}

// runWaitFault returns the result of a request under the fault and the time until it
// came.
func runWaitFault(t *testing.T, fault waitFault, off mechanisms) (ended result, took time.Duration) {
	control := newStubControl(t, fault.settings...)
	inVirtualTime(t, Config{Control: control, off: off}, func(t *testing.T, router *Router) {
		fault.before(control)
		arrived := time.Now()
		later := acquireLater(context.Background(), router, ask(fault.deadline))
		time.Sleep(time.Second)
		if fault.after != nil {
			fault.after(control)
		}
		ended = <-later
		took = ended.at.Sub(arrived)
		if ended.grant != nil {
			ended.grant.Done(served(time.Millisecond))
		}
		if stats := router.Stats(); stats.Waiting != 0 || stats.Running != 0 {
			t.Errorf("requests left at the end: %+v", stats)
		}
	})
	return ended, took
}

func TestWaitingIsServedOrRefusedInTime(t *testing.T) {
	for _, fault := range waitFaults {
		t.Run(fault.name, func(t *testing.T) {
			ended, took := runWaitFault(t, fault, mechanisms{})
			if fault.reason == "" {
				if ended.err != nil {
					t.Fatalf("refused: %v", ended.err)
				}
				return
			}
			refusal := refusalOf(t, ended.err, fault.reason)
			if !refusal.NotRun {
				t.Error("the refusal does not say that the request was not run")
			}
			if took > fault.within {
				t.Errorf("refused after %v, want within %v", took, fault.within)
			}
			if refusal.RetryAfter < fault.retryLeast || refusal.RetryAfter > fault.retryMost {
				t.Errorf("RetryAfter %v, want %v to %v", refusal.RetryAfter, fault.retryLeast, fault.retryMost)
			}
		})
	}
}

// TestWaitingFailsWithoutEarlyRefusal verifies the cases of waitFaults: without early
// refusal, each request that can't be served in time is held too long.
func TestWaitingFailsWithoutEarlyRefusal(t *testing.T) {
	for _, fault := range waitFaults {
		if fault.reason != ReasonDeadline && fault.reason != ReasonLoadFailed || fault.within >= fault.deadline {
			continue
		}
		if _, took := runWaitFault(t, fault, mechanisms{earlyRefusal: true}); took <= fault.within {
			t.Errorf("%s: refused after %v with early refusal off; the case does not test early refusal", fault.name, took)
		}
	}
}

// burstWakes returns the number of immediate reports that a burst of 1000 requests for a
// model without a replica causes, before the first periodic report is due.
func burstWakes(t *testing.T, off mechanisms) int {
	control := newStubControl(t)
	wakes := 0
	inVirtualTime(t, Config{Control: control, off: off}, func(t *testing.T, router *Router) {
		const burst = 1000
		ends := make([]<-chan result, burst)
		for index := range ends {
			ends[index] = serveLater(router, ask(20*time.Second), time.Millisecond)
		}
		synctest.Wait()
		wakes = len(control.reported())
		control.publish(readyOn("m", 2))
		for _, end := range ends {
			ended := <-end
			if ended.err != nil {
				t.Fatalf("request of the burst was refused: %v", ended.err)
			}
		}
	})
	return wakes
}

func TestBurstForIdleModelWakesOnce(t *testing.T) {
	if wakes := burstWakes(t, mechanisms{}); wakes != 1 {
		t.Errorf("%d immediate reports, want 1", wakes)
	}
	if wakes := burstWakes(t, mechanisms{wakeOnce: true}); wakes != 1000 {
		t.Errorf("%d immediate reports with wakeOnce off, want 1000", wakes)
	}
}

func TestCallerThatLeavesNeverRuns(t *testing.T) {
	for _, off := range []bool{false, true} {
		control := newStubControl(t, "max_concurrency", "1")
		inVirtualTime(t, Config{Control: control, off: mechanisms{callerCheck: off}}, func(t *testing.T, router *Router) {
			control.publish(readyOn("m", 1))
			first := mustAcquire(t, router, ask(time.Minute))
			ctx, leave := context.WithCancel(context.Background())
			later := acquireLater(ctx, router, ask(time.Minute))
			synctest.Wait()
			leave()
			first.Done(served(time.Millisecond)) // the slot becomes free just as the caller leaves
			ended := <-later
			if ran := ended.grant != nil; ran != off {
				t.Fatalf("granted: %t with callerCheck off: %t", ran, off)
			}
			if ended.grant != nil {
				ended.grant.Done(served(time.Millisecond))
				return
			}
			if refusal := refusalOf(t, ended.err, ReasonCallerLeft); !refusal.NotRun {
				t.Error("the refusal is not marked as not run")
			}
			if running := router.Stats().Running; running != 0 {
				t.Errorf("%d slots not released", running)
			}
		})
	}
}

func TestRejectedModelIsAskedForAgain(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		reject(4 * time.Second)(control)
		_, err := router.Acquire(context.Background(), ask(time.Minute))
		refusal := refusalOf(t, err, ReasonNoCapacity)
		time.Sleep(refusal.RetryAfter)
		later := acquireLater(context.Background(), router, ask(time.Minute))
		time.Sleep(500 * time.Millisecond)
		ready(control)
		ended := <-later
		if ended.err != nil {
			t.Fatalf("request after RetryAfter was refused: %v", ended.err)
		}
		ended.grant.Done(served(time.Millisecond))
	})
}

func TestRatesSharedByAllCallers(t *testing.T) {
	for _, key := range []string{"model_rate", "service_rate"} {
		t.Run(key, func(t *testing.T) {
			control := newStubControl(t, key, "1")
			inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
				control.publish(readyOn("m", 1))
				mustAcquire(t, router, ask(time.Minute)).Done(served(time.Millisecond))

				other := ask(time.Minute)
				other.Caller = "another caller"
				_, err := router.Acquire(context.Background(), other)
				limited := refusalOf(t, err, ReasonRateLimited)
				time.Sleep(limited.RetryAfter)
				mustAcquire(t, router, other).Done(served(time.Millisecond))
			})
		})
	}
}

func TestRequestsThatNeverQueue(t *testing.T) {
	control := newStubControl(t, "caller_rate", "1", "max_tokens", "1000")
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 1))
		large := ask(time.Minute)
		large.MaxTokens = 1000
		_, err := router.Acquire(context.Background(), large)
		refusalOf(t, err, ReasonNoCapacity)

		_, err = router.Acquire(context.Background(), ask(time.Minute))
		limited := refusalOf(t, err, ReasonRateLimited)
		time.Sleep(limited.RetryAfter)
		mustAcquire(t, router, ask(time.Minute)).Done(served(time.Millisecond))

		other := ask(time.Minute)
		other.Model = "none"
		_, err = router.Acquire(context.Background(), other)
		refusalOf(t, err, ReasonUnknownModel)

		_, err = router.Acquire(context.Background(), ask(0))
		refusalOf(t, err, ReasonDeadline)

		left, leave := context.WithCancel(context.Background())
		leave()
		_, err = router.Acquire(left, ask(time.Minute))
		refusalOf(t, err, ReasonCallerLeft)
	})
}

func TestServiceCannotFillTheNodesQueues(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control, MaxWaiting: 100}, func(t *testing.T, router *Router) {
		ctx, cancel := context.WithCancel(context.Background())
		for range 200 {
			acquireLater(ctx, router, ask(time.Minute))
		}
		synctest.Wait()
		if waiting := router.Stats().Waiting; waiting != 50 {
			t.Errorf("%d requests of the flooding service wait, want 50, half of MaxWaiting", waiting)
		}
		pump := ask(time.Minute)
		pump.Model = "p"
		acquireLater(ctx, router, pump)
		synctest.Wait()
		if waiting := router.Stats().Waiting; waiting != 51 {
			t.Errorf("%d requests wait, want 51, including the other service's request", waiting)
		}
		cancel()
		synctest.Wait()
	})
}
