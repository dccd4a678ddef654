package traffic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/api"
)

// TestDemandIsReportedUntilServed checks that the demand of a waiting request is reported
// each second, so that a new owner learns of it if the first report was lost with the old
// one.
func TestDemandIsReportedUntilServed(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		urgent := ask(5 * time.Second)
		urgent.Priority = 7
		waiting := serveLater(router, ask(time.Minute), 1500*time.Millisecond)
		synctest.Wait()
		later := serveLater(router, urgent, 1500*time.Millisecond)
		synctest.Wait()
		if first := control.reported(); len(first) != 1 || first[0].Waiting != 1 || first[0].Arrivals != 1 {
			t.Fatalf("got first reports %+v, want one with one waiting request", first)
		}
		time.Sleep(2100 * time.Millisecond)
		reports := control.reported()
		if len(reports) != 3 {
			t.Fatalf("%d reports after two seconds, want 3", len(reports))
		}
		want := api.ModelDemand{
			Model: "m", Waiting: 2, HighestPriority: 7,
			EarliestDeadline: urgent.Deadline, LastArrival: urgent.Arrived,
		}
		if reports[2] != want {
			t.Errorf("got report %+v, want %+v", reports[2], want)
		}
		control.publish(readyOn("m", 1))
		<-waiting
		<-later
		time.Sleep(3 * time.Second)
		reports = control.reported()
		last := reports[len(reports)-1]
		if last.Waiting != 0 || last.InFlight != 0 {
			t.Errorf("got last report %+v, want one without demand", last)
		}
		time.Sleep(3 * time.Second)
		if idle := len(control.reported()) - len(reports); idle != 0 {
			t.Errorf("%d reports of an idle model, want 0", idle)
		}
	})
}

// TestPrefixAffinityGivesWayToLoad checks that prompts with a common prefix go to the
// replica that has cached it, until that one is much more loaded than others.
func TestPrefixAffinityGivesWayToLoad(t *testing.T) {
	control := newStubControl(t, "max_concurrency", "10")
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 4))
		request := ask(time.Minute)
		request.Prefixes = []uint64{1, 2, 3, 4}
		first := mustAcquire(t, router, request)
		home := first.Target()
		first.Done(served(time.Millisecond))
		var grants []Grant
		onHome := 0
		for range 16 {
			granted := mustAcquire(t, router, request)
			grants = append(grants, granted)
			if len(grants) <= 4 && granted.Target() != home {
				t.Errorf("request %d went to %s, want %s", len(grants), granted.Target().Server, home.Server)
			}
			if granted.Target() == home {
				onHome++
			}
		}
		if onHome == len(grants) {
			t.Error("all requests went to the replica with the prefix, regardless of its load")
		}
		for _, granted := range grants {
			granted.Done(served(time.Millisecond))
		}
	})
}

// TestWaitingIsHandedOnWhenTheReplicaGoes checks that requests that wait for a replica that
// is drained are served by another replica.
func TestWaitingIsHandedOnWhenTheReplicaGoes(t *testing.T) {
	control := newStubControl(t, "max_concurrency", "1")
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 1))
		running := mustAcquire(t, router, ask(time.Minute))
		waiting := acquireLater(context.Background(), router, ask(time.Minute))
		synctest.Wait()
		control.publish(makeDirectory(
			api.Replica{Model: "m", Server: "s0", State: api.ReplicaDraining},
			api.Replica{Model: "m", Server: "s1", State: api.ReplicaReady},
		))
		ended := <-waiting
		if ended.err != nil || ended.grant.Target().Server != "s1" {
			t.Fatalf("waiting request: got %+v, want a slot on s1", ended)
		}
		running.Done(served(time.Millisecond))
		running.Done(served(time.Millisecond)) // a second Done has no effect
		next := acquireLater(context.Background(), router, ask(time.Minute))
		synctest.Wait() // the draining replica has a free slot, which must not be granted
		ended.grant.Done(served(time.Millisecond))
		if ended = <-next; ended.err != nil || ended.grant.Target().Server != "s1" {
			t.Fatalf("next request: got %+v, want a slot on s1", ended)
		}
		ended.grant.Done(served(time.Millisecond))
		if running := router.Stats().Running; running != 0 {
			t.Errorf("%d requests running, want 0", running)
		}
	})
}
