package traffic

import (
	"context"
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic/prefixcache"
)

// benchmarkRouter returns a router with a model on twelve servers. It knows a load report
// of each server, and that each has cached the first half of the prompt.
func benchmarkRouter(b *testing.B, prompt []uint64) *Router {
	control := newStubControl(b, "max_concurrency", "10000")
	control.directory = readyOn("m", 12)
	router := New(Config{Control: control})
	b.Cleanup(router.Close)
	now := time.Now()
	for index := range 12 {
		server := api.ServerID(fmt.Sprintf("s%d", index))
		router.ObserveLoad(now, server, engine.LoadReport{AsOf: now, Models: []engine.ModelLoad{{Model: "m", Running: index}}})
		router.servers.get(server).prefixes.Hint(now, prefixcache.ModelSeed("m"), prompt[:len(prompt)/2])
	}
	return router
}

// BenchmarkDecision measures Acquire and Done for a loaded model.
func BenchmarkDecision(b *testing.B) {
	for _, blocks := range []int{0, 32} {
		prompt := make([]uint64, blocks)
		for index := range prompt {
			prompt[index] = uint64(index + 1)
		}
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			router := benchmarkRouter(b, prompt)
			request := ask(time.Hour)
			request.Prefixes = prompt
			b.ReportAllocs()
			for b.Loop() {
				granted, err := router.Acquire(context.Background(), request)
				if err != nil {
					b.Fatal(err)
				}
				granted.Done(Outcome{Kind: OutcomeServed})
			}
		})
	}
}

// BenchmarkQueued measures queueing a request behind others and removing it.
func BenchmarkQueued(b *testing.B) {
	for _, waiting := range []int{10, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			control := newStubControl(b, "max_concurrency", "1", "queue_requests", "100000")
			control.directory = readyOn("m", 1)
			router := New(Config{Control: control})
			b.Cleanup(router.Close)
			settings, _ := control.Tree()
			model, _ := settings.Model("m")
			pool := router.poolOf(&model)
			now := time.Now()
			mustAcquire(b, router, ask(time.Hour))
			for index := range waiting {
				request := ask(time.Hour)
				request.Caller = fmt.Sprint(index % 50)
				pool.arrive(now, model, &request, attempts{})
			}
			request := ask(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				answer := pool.arrive(now, model, &request, attempts{})
				pool.abandon(answer.waiter, callerLeft())
			}
		})
	}
}

// BenchmarkDecisionParallel measures Acquire and Done for one loaded model on all
// processors at once.
func BenchmarkDecisionParallel(b *testing.B) {
	router := benchmarkRouter(b, nil)
	request := ask(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			granted, err := router.Acquire(context.Background(), request)
			if err != nil {
				b.Error(err)
				return
			}
			granted.Done(Outcome{Kind: OutcomeServed})
		}
	})
}

// BenchmarkLeaving measures Leaving, which is called for each relayed event.
func BenchmarkLeaving(b *testing.B) {
	router := benchmarkRouter(b, nil)
	granted, err := router.Acquire(context.Background(), ask(time.Hour))
	if err != nil {
		b.Fatal(err)
	}
	defer granted.Done(Outcome{Kind: OutcomeServed})
	running := granted.(Movable)
	b.ReportAllocs()
	for b.Loop() {
		if running.Leaving() {
			b.Fatal("leaving")
		}
	}
}
