package traffic

import (
	"context"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// attemptFault is a case of how the first attempt of a request ends.
type attemptFault struct {
	name    string
	unsafe  bool
	outcome Outcome
	reason  RefusalReason // expected reason; empty: retried
}

var attemptFaults = []attemptFault{
	{name: "not connected", outcome: Outcome{Kind: OutcomeNotRun}},
	{name: "not connected, unsafe", unsafe: true, outcome: Outcome{Kind: OutcomeNotRun}},
	{name: "sent, no answer", outcome: Outcome{Kind: OutcomeUnknown}},
	{name: "sent, no answer, unsafe", unsafe: true, outcome: Outcome{Kind: OutcomeUnknown},
		reason: ReasonOutcomeUnknown},
	{name: "broke after the first token", outcome: Outcome{Kind: OutcomeUnknown, FirstToken: 1, Tokens: 3},
		reason: ReasonOutcomeUnknown},
	{name: "caller left", outcome: Outcome{Kind: OutcomeCancelled}, reason: ReasonCallerLeft},
	{name: "served", outcome: served(time.Millisecond), reason: ReasonEngineFailed},
}

func TestRetryOnlyWhereSafe(t *testing.T) {
	for _, fault := range attemptFaults {
		t.Run(fault.name, func(t *testing.T) {
			control := newStubControl(t)
			inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
				control.publish(readyOn("m", 3))
				request := ask(time.Minute)
				request.Unsafe = fault.unsafe
				first := mustAcquire(t, router, request)
				second, err := first.Retry(context.Background(), fault.outcome)
				if fault.reason != "" {
					if refusal := refusalOf(t, err, fault.reason); refusal.NotRun {
						t.Error("the refusal says that the request was not run")
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				second.Done(served(time.Millisecond))
			})
		})
	}
}

func TestUnsafeRepeatsWithoutTheChecks(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control, off: mechanisms{retryChecks: true}}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 2))
		request := ask(time.Minute)
		request.Unsafe = true
		second, err := mustAcquire(t, router, request).Retry(context.Background(), Outcome{Kind: OutcomeUnknown})
		if err != nil {
			t.Fatal("not retried with retryChecks off; TestRetryOnlyWhereSafe does not test them")
		}
		second.Done(served(time.Millisecond))
	})
}

// TestRefusalRemembersEarlierAttempts checks that a refusal after a retry is not marked as
// not run if an earlier attempt may have run.
func TestRefusalRemembersEarlierAttempts(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 2))
		first := mustAcquire(t, router, ask(time.Second))
		second, err := first.Retry(context.Background(), Outcome{Kind: OutcomeUnknown})
		if err != nil {
			t.Fatal(err)
		}
		control.publish(makeDirectory())
		_, err = second.Retry(context.Background(), Outcome{Kind: OutcomeNotRun})
		if refusal := refusalOf(t, err, ReasonDeadline); refusal.NotRun {
			t.Error("the refusal says that the request was not run, but the outcome of the first attempt is unknown")
		}
	})
}

func TestRetryGoesToAnotherServer(t *testing.T) {
	control := newStubControl(t, "retry_budget", "1")
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 3))
		for range 30 {
			first := mustAcquire(t, router, ask(time.Minute))
			second, err := first.Retry(context.Background(), Outcome{Kind: OutcomeNotRun})
			if err != nil {
				t.Fatal(err)
			}
			if second.Target() == first.Target() {
				t.Fatalf("retried on %s, where the first attempt failed", first.Target().Server)
			}
			second.Done(served(time.Millisecond))
		}
	})
}

func TestRetryGoesToTheSameServerOnlyIfThereIsNoOther(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 1))
		second, err := mustAcquire(t, router, ask(time.Minute)).Retry(context.Background(), Outcome{Kind: OutcomeNotRun})
		if err != nil {
			t.Fatal(err)
		}
		second.Done(served(time.Millisecond))
	})
}

func TestRetryBudget(t *testing.T) {
	control := newStubControl(t, "retry_budget", "0.1")
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 4))
		const requests = 200
		retried := 0
		for range requests {
			granted := mustAcquire(t, router, ask(time.Minute))
			second, err := granted.Retry(context.Background(), Outcome{Kind: OutcomeNotRun})
			if err != nil {
				if refusal := refusalOf(t, err, ReasonEngineFailed); !refusal.NotRun {
					t.Error("no attempt ran, but the refusal does not say so")
				}
				continue
			}
			retried++
			second.Done(Outcome{Kind: OutcomeNotRun})
		}
		if most := requests/10 + initialRetries; retried < requests/10 || retried > most {
			t.Errorf("%d retries, want %d to %d", retried, requests/10, most)
		}
	})
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for _, off := range []bool{false, true} {
		control := newStubControl(t)
		inVirtualTime(t, Config{Control: control, off: mechanisms{leaving: off}}, func(t *testing.T, router *Router) {
			control.publish(readyOn("m", 2))
			running := mustAcquire(t, router, ask(time.Minute))
			other := mustAcquire(t, router, ask(time.Minute)) // load on the other server, which would be preferred otherwise
			leaving := running.Target().Server
			router.ObserveLeaving(leaving, "one")
			chosen := 0
			for range 50 {
				granted := mustAcquire(t, router, ask(time.Minute))
				if granted.Target().Server == leaving {
					chosen++
				}
				granted.Done(served(time.Millisecond))
			}
			if (chosen > 0) != off {
				t.Errorf("leaving server chosen %d times with its exclusion off: %t", chosen, off)
			}
			late := engine.LoadReport{Instance: "one", AsOf: time.Now()}
			router.ObserveLoad(time.Now(), leaving, late)
			if router.servers.get(leaving).leaving.Load() == nil {
				t.Error("a late report of the leaving instance ended the exclusion of its server")
			}
			router.ObserveLoad(time.Now(), leaving, engine.LoadReport{Instance: "two", AsOf: time.Now()})
			if router.servers.get(leaving).leaving.Load() != nil {
				t.Error("the engine's next instance is still excluded")
			}
			running.Done(served(time.Second))
			other.Done(served(time.Second))
		})
	}
}

// TestUnreachableServerGetsNoNewWork checks that a server that its owner can't reach gets
// new requests only while it answers this node itself.
func TestUnreachableServerGetsNoNewWork(t *testing.T) {
	for _, off := range []bool{false, true} {
		control := newStubControl(t)
		inVirtualTime(t, Config{Control: control, off: mechanisms{unreachable: off}}, func(t *testing.T, router *Router) {
			directory := readyOn("m", 1)
			lost := directory.Servers["s0"]
			lost.Reachable = false
			directory.Servers["s0"] = lost
			control.publish(directory)

			router.ObserveLoad(time.Now(), "s0", engine.LoadReport{Instance: "one", AsOf: time.Now()})
			mustAcquire(t, router, ask(time.Minute)).Done(served(time.Millisecond))

			time.Sleep(answerValidity)
			grant, err := router.Acquire(context.Background(), ask(2*time.Second))
			if off {
				grant.Done(served(time.Millisecond))
				return
			}
			if refusal := refusalOf(t, err, ReasonDeadline); !refusal.NotRun {
				t.Errorf("got refusal %v, want it not run", refusal)
			}
		})
	}
}

// TestRefusalOfLeavingEngineExcludesIt checks that an engine that refuses a request
// because it leaves is excluded at once, without a load report.
func TestRefusalOfLeavingEngineExcludesIt(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 2))
		first := mustAcquire(t, router, ask(time.Minute))
		leaving := first.Target().Server
		router.ObserveLoad(time.Now(), leaving, engine.LoadReport{Instance: "one"})
		next, err := first.Retry(context.Background(), Outcome{Kind: OutcomeNotRun, Leaving: true})
		for range 50 {
			if err != nil {
				t.Fatal(err)
			}
			if next.Target().Server == leaving {
				t.Fatal("the leaving server was chosen again")
			}
			next.Done(served(time.Millisecond))
			next, err = router.Acquire(context.Background(), ask(time.Minute))
		}
		next.Done(served(time.Millisecond))
		router.ObserveLoad(time.Now(), leaving, engine.LoadReport{Instance: "two", AsOf: time.Now()})
		if router.servers.get(leaving).leaving.Load() != nil {
			t.Error("the engine's next instance is still excluded")
		}
	})
}

func TestFailingServerIsEjectedButTheLastIsKept(t *testing.T) {
	control := newStubControl(t, "retry_budget", "0")
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 3))
		bad := api.ServerID("s0")
		onBad := 0
		for range 300 {
			granted := mustAcquire(t, router, ask(time.Minute))
			if granted.Target().Server == bad {
				onBad++
				granted.Done(Outcome{Kind: OutcomeNotRun})
				continue
			}
			granted.Done(served(time.Millisecond))
		}
		if onBad != 5 {
			t.Errorf("%d requests on the failing server, want 5", onBad)
		}
		control.publish(readyOn("m", 1))
		began := time.Now()
		mustAcquire(t, router, ask(time.Minute)).Done(served(time.Millisecond))
		if waited := time.Since(began); waited > 0 {
			t.Errorf("waited %v for the last replica, which must not be ejected", waited)
		}
	})
}
