package traffic

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
)

// TestMove checks that a running request on a leaving server immediately gets a slot on
// another ready replica, or a refusal if there is none.
func TestMove(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 2))
		running := mustAcquire(t, router, ask(time.Second)).(Movable)
		time.Sleep(time.Minute) // long past the deadline of its first token
		if running.Leaving() {
			t.Error("leaving before anything reported it")
		}
		router.ObserveLoad(time.Now(), running.Target().Server, engine.LoadReport{Instance: "one", Leaving: true})
		if !running.Leaving() {
			t.Error("not leaving after its engine reported it")
		}
		moved, err := running.Move()
		if err != nil {
			t.Fatal(err)
		}
		if moved.Target().Server == running.Target().Server || moved.Leaving() {
			t.Errorf("moved from %v to %v, want another server that is not leaving", running.Target(), moved.Target())
		}
		running.Done(Outcome{Kind: OutcomeCancelled})
		router.ObserveLeaving(moved.Target().Server, "one")
		_, err = moved.Move()
		if refusal := refusalOf(t, err, ReasonNoCapacity); refusal.NotRun {
			t.Error("the refusal says that a running request was not run")
		}
		moved.Done(served(time.Second))
		if held := router.running.Load(); held != 0 {
			t.Errorf("%d slots held at the end, want 0", held)
		}
	})
}

// TestMoveByDirectory checks that a request can also move off a server that only the
// directory lists as leaving.
func TestMoveByDirectory(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 1))
		running := mustAcquire(t, router, ask(time.Minute)).(Movable)
		_, err := running.Move()
		refusalOf(t, err, ReasonNoCapacity) // its own server is no other replica
		directory := readyOn("m", 2)
		view := directory.Servers["s0"]
		view.Leaving = true
		directory.Servers["s0"] = view
		control.publish(directory)
		if !running.Leaving() {
			t.Error("not leaving although the directory lists its server as leaving")
		}
		moved, err := running.Move()
		if err != nil || moved.Target().Server != "s1" {
			t.Fatalf("got grant %v and error %v, want a slot on s1", moved, err)
		}
		moved.Done(served(time.Second))
		running.Done(Outcome{Kind: OutcomeCancelled})
	})
}
