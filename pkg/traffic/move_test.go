package traffic

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
)

// TestMove: a running request of a server that leaves gets a second place on
// another ready replica at once, or is told that there is none.
func TestMove(t *testing.T) {
	control := newStubControl(t)
	virtually(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 2))
		running := mustAcquire(t, router, ask(time.Second)).(Movable)
		time.Sleep(time.Minute) // long past the deadline of its first token
		if running.Leaving() {
			t.Error("leaving before anything said so")
		}
		router.ObserveLoad(time.Now(), running.Target().Server, engine.LoadReport{Instance: "one", Leaving: true})
		if !running.Leaving() {
			t.Error("not leaving after its engine said so")
		}
		moved, err := running.Move()
		if err != nil {
			t.Fatal(err)
		}
		if moved.Target().Server == running.Target().Server || moved.Leaving() {
			t.Errorf("moved from %v to %v", running.Target(), moved.Target())
		}
		running.Done(Outcome{Kind: OutcomeCancelled})
		router.ObserveLeaving(moved.Target().Server, "one")
		_, err = moved.Move()
		if refusal := refusalOf(t, err, ReasonNoCapacity); refusal.NotRun {
			t.Error("a running request is said not to have run")
		}
		moved.Done(served(time.Second))
		if held := router.running.Load(); held != 0 {
			t.Errorf("%d places held at the end", held)
		}
	})
}

// TestMoveByDirectory: the platform's word that a machine goes counts too.
func TestMoveByDirectory(t *testing.T) {
	control := newStubControl(t)
	virtually(t, Config{Control: control}, func(t *testing.T, router *Router) {
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
			t.Error("not leaving although its machine is")
		}
		moved, err := running.Move()
		if err != nil || moved.Target().Server != "s1" {
			t.Fatalf("moved to %v, %v", moved, err)
		}
		moved.Done(served(time.Second))
		running.Done(Outcome{Kind: OutcomeCancelled})
	})
}
