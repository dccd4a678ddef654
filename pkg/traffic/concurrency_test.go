package traffic

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/tree"
)

// TestConcurrentUse runs requests, observations, directory changes and snapshots at once.
// No request may be lost, and the race detector must find no unsynchronized access.
func TestConcurrentUse(t *testing.T) {
	const workers, rounds = 8, 300
	control := newStubControl(t, "max_concurrency", "2")
	control.publish(readyOn("m", 3))
	router := New(Config{Control: control})
	defer router.Close()
	var group conc.WaitGroup
	for worker := range workers {
		server := api.ServerID(fmt.Sprintf("s%d", worker%3))
		group.Go(func() {
			for round := range rounds {
				request := ask(time.Hour)
				request.Prefixes = []uint64{uint64(round), uint64(worker)}
				granted, err := router.Acquire(context.Background(), request)
				if err != nil {
					t.Errorf("request was refused: %v", err)
					return
				}
				router.ObserveLoad(time.Now(), server, engine.LoadReport{Instance: "i", AsOf: time.Now()})
				router.ObserveCacheEvents(time.Now(), server, engine.CacheEvents{Instance: "i",
					Events: []engine.CacheEvent{{Sequence: uint64(round + 1), Model: "m", Prefix: uint64(round), Stored: true}}})
				granted.Done(served(time.Microsecond))
			}
		})
	}
	group.Go(func() {
		for round := range rounds {
			control.publish(readyOn("m", 1+round%3))
			router.Stats()
		}
	})
	group.Wait()
	stats := router.Stats()
	if len(stats.Models) != 1 || stats.Models[0].Granted != workers*rounds || stats.Running != 0 || stats.Waiting != 0 {
		t.Errorf("after %d requests: got %+v, want all granted and none left", workers*rounds, stats)
	}
}

// TestSettingsNeverRevert checks that a request that resolved its model before an edit does
// not restore the older settings.
func TestSettingsNeverRevert(t *testing.T) {
	control := newStubControl(t, "max_concurrency", "1")
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		before, _ := control.tree.Model("m")
		edited, err := control.tree.Apply(tree.Change{ID: "edit", Edits: []tree.Edit{
			{Path: "/desk", Key: "max_concurrency", Value: "2"},
		}})
		if err != nil {
			t.Fatal(err)
		}
		control.tree = edited
		control.publish(readyOn("m", 1))
		mustAcquire(t, router, ask(time.Minute)).Done(served(time.Millisecond))
		pool := router.poolOf(&before)
		request := ask(time.Minute)
		for slot := range 2 {
			answer := pool.arrive(time.Now(), before, &request, attempts{})
			if answer.grant == nil {
				t.Fatalf("slot %d of 2 not granted; the settings before the edit are in force", slot+1)
			}
			defer answer.grant.Done(served(time.Millisecond))
		}
	})
}
