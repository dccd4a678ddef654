package traffic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/api"
)

// In the tests with a flood, one caller sends 400 requests and another one sends a single
// request. There is one replica with two slots.
const (
	floodSize = 400
	floodHold = 100 * time.Millisecond // time that each request holds its slot
)

// floodWait returns how long the single request waits.
func floodWait(t *testing.T, off mechanisms, priority int) time.Duration {
	t.Helper()
	control := newStubControl(t, "max_concurrency", "2")
	var waited time.Duration
	inVirtualTime(t, Config{Control: control, off: off}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 1))
		flood := make([]<-chan result, floodSize)
		for index := range flood {
			request := ask(time.Hour)
			request.Caller = "flooder"
			flood[index] = serveLater(router, request, floodHold)
		}
		synctest.Wait()
		single := ask(time.Hour)
		single.Caller = "single"
		single.Priority = priority
		began := time.Now()
		ended := <-serveLater(router, single, floodHold)
		if ended.err != nil {
			t.Fatal(ended.err)
		}
		waited = ended.at.Sub(began)
		for _, end := range flood {
			<-end
		}
	})
	return waited
}

func TestFloodDoesNotStarveOthers(t *testing.T) {
	const most = 2 * floodHold
	fair := floodWait(t, mechanisms{}, 0)
	unfair := floodWait(t, mechanisms{fairness: true}, 0)
	t.Logf("the single request waits %v with fairness, %v without", fair, unfair)
	if fair > most {
		t.Errorf("waited %v beside a flood, want at most %v", fair, most)
	}
	if unfair <= most {
		t.Errorf("waited only %v with fairness off; the test does not test fairness", unfair)
	}
}

func TestUrgentRequestGoesFirst(t *testing.T) {
	if waited := floodWait(t, mechanisms{fairness: true}, 10); waited > floodHold {
		t.Errorf("an urgent request waited %v beside a flood, want at most %v", waited, floodHold)
	}
}

// TestFullQueueTakesInOtherCallers checks that a caller without waiting requests displaces
// one from a queue that another caller has filled.
func TestFullQueueTakesInOtherCallers(t *testing.T) {
	for _, off := range []bool{false, true} {
		control := newStubControl(t, "queue_requests", "10")
		inVirtualTime(t, Config{Control: control, off: mechanisms{displacement: off}}, func(t *testing.T, router *Router) {
			var flood []<-chan result
			for range 10 {
				request := ask(time.Minute)
				request.Caller = "flooder"
				flood = append(flood, serveLater(router, request, time.Millisecond))
			}
			synctest.Wait()
			single := serveLater(router, ask(time.Minute), time.Millisecond)
			synctest.Wait()
			control.publish(readyOn("m", 1))
			if ended := <-single; (ended.err != nil) != off {
				t.Errorf("single caller: got error %v with displacement off: %t", ended.err, off)
			}
			refused := 0
			for _, end := range flood {
				if ended := <-end; ended.err != nil {
					refused++
					refusalOf(t, ended.err, ReasonQueueFull)
				}
			}
			if want := map[bool]int{false: 1, true: 0}[off]; refused != want {
				t.Errorf("%d requests of the flood refused, want %d", refused, want)
			}
		})
	}
}

// TestQueueIsBoundedInTokens checks that the queue is also bounded in prompt tokens.
func TestQueueIsBoundedInTokens(t *testing.T) {
	control := newStubControl(t, "queue_tokens", "35")
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		for range 5 {
			request := ask(time.Minute)
			request.MaxTokens = 1000 // does not count while the request waits
			acquireLater(ctx, router, request)
		}
		synctest.Wait()
		if waiting := router.Stats().Waiting; waiting != 3 {
			t.Errorf("%d requests of 10 tokens wait in a queue of 35 tokens, want 3", waiting)
		}
		leave()
		synctest.Wait()
	})
}

// TestAdapterSharesThePlacesOfItsBase checks that requests for an adapter and for its base
// share the slots of the base.
func TestAdapterSharesThePlacesOfItsBase(t *testing.T) {
	control := newStubControl(t, "max_concurrency", "2")
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(makeDirectory(
			api.Replica{Model: "m", Server: "s0", State: api.ReplicaReady},
			api.Replica{Model: "m:a", Base: "m", Server: "s0", State: api.ReplicaReady},
		))
		adapted := ask(time.Minute)
		adapted.Model = "m:a"
		first := mustAcquire(t, router, adapted)
		second := mustAcquire(t, router, ask(time.Minute))
		later := serveLater(router, adapted, time.Millisecond)
		synctest.Wait()
		if waiting := router.Stats().Waiting; waiting != 1 {
			t.Fatalf("%d requests wait, want only the third one", waiting)
		}
		second.Done(served(time.Millisecond))
		if ended := <-later; ended.err != nil {
			t.Error(ended.err)
		}
		first.Done(served(time.Millisecond))
	})
}
