package standin

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
)

func TestWeightStoreLimitsStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := NewPlatform(DefaultPlatformConfig()).Weights()
		started := 0
		for range 100 { // ten seconds
			if _, err := weights.Start(t.Context(), "c", gibibyte); err == nil {
				started++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if started < 20 || started > 22 { // two per second and a burst of two
			t.Errorf("%d starts in 10 s with a limit of 2 per second, want 20 to 22", started)
		}
	})
}

func TestWeightStoreSlowsDownBeyondItsSlots(t *testing.T) {
	cases := []struct {
		transfers int
		faults    Faults
		slower    float64
	}{
		{1, Faults{}, 1},
		{8, Faults{}, 1},
		{16, Faults{}, 2},
		{1, Faults{SlowFactor: 10}, 10},
	}
	for _, test := range cases {
		synctest.Test(t, func(t *testing.T) {
			config := DefaultPlatformConfig()
			config.LoadStartsPerSecond = 100
			p := NewPlatform(config)
			p.SetFaults(PartWeights, test.faults)
			last := ""
			for range test.transfers {
				var err error
				if last, err = p.Weights().Start(t.Context(), "c", 100*gibibyte); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(10 * time.Second)
			fetched, err := p.Weights().Fetched(t.Context(), last)
			want := config.LoadBytesPerSecond * 10 / test.slower
			if err != nil || math.Abs(float64(fetched)-want) > want/1000 {
				t.Errorf("%d transfers: %d bytes in 10 s, want %.0f, error %v", test.transfers, fetched, want, err)
			}
		})
	}
}

func TestWeightStoreDropsATransferThatNobodyAsksAbout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := NewPlatform(DefaultPlatformConfig()).Weights()
		id, err := weights.Start(t.Context(), "c", 1000*gibibyte)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(transferIdleTimeout + time.Second)
		if _, err := weights.Fetched(t.Context(), id); err != ErrUnknownTransfer {
			t.Errorf("error %v, want ErrUnknownTransfer", err)
		}
	})
}

// runEngine calls test with a running engine that loads from a platform's weight
// store, in virtual time.
func runEngine(t *testing.T, config EngineConfig, test func(t *testing.T, e *Engine, p *Platform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := NewPlatform(DefaultPlatformConfig())
		e := NewEngine(config, p.Weights())
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		group.Go(func() { e.Run(ctx) })
		test(t, e, p)
		cancel()
		group.Wait()
	})
}

// timeLoad loads the model and returns how long that took.
func timeLoad(t *testing.T, e *Engine, order engine.Order) time.Duration {
	t.Helper()
	started := time.Now()
	if result := e.Order(order); result.Status != engine.OrderAccepted {
		t.Fatalf("load: %+v", result)
	}
	waitReady(t, e, order.Model)
	return time.Since(started)
}

func unloadNow(t *testing.T, e *Engine, fence api.Fence, model api.ModelName) {
	t.Helper()
	e.Order(engine.Order{ID: "u", Fence: fence, Kind: engine.OrderUnload, Model: model})
	e.WaitGone(t.Context(), model)
}

func TestLoadIsFasterFromDiskAndMemory(t *testing.T) {
	config := testConfig()
	config.Speed = 1
	config.HostCacheBytes = 4 * gibibyte
	config.DiskCacheBytes = 8 * gibibyte
	runEngine(t, config, func(t *testing.T, e *Engine, _ *Platform) {
		remote := timeLoad(t, e, loadOrder(1, "a", 4*gibibyte))
		unloadNow(t, e, 2, "a")
		memory := timeLoad(t, e, loadOrder(3, "a", 4*gibibyte))
		unloadNow(t, e, 4, "a")
		timeLoad(t, e, loadOrder(5, "b", 4*gibibyte)) // evicts a from the host's memory
		unloadNow(t, e, 6, "b")
		disk := timeLoad(t, e, loadOrder(7, "a", 4*gibibyte))
		if memory > 300*time.Millisecond || disk < 700*time.Millisecond || disk > time.Second || remote < 2*time.Second || remote > 3*time.Second {
			t.Errorf("load times: memory %v, disk %v, remote %v", memory, disk, remote)
		}
		cached := e.Inventory(engine.InventoryRequest{}).Cached
		want := []engine.CachedCheckpoint{{Checkpoint: "c-a", Tier: engine.TierMemory}, {Checkpoint: "c-b", Tier: engine.TierDisk}}
		if fmt.Sprint(cached) != fmt.Sprint(want) {
			t.Errorf("cached %v, want %v", cached, want)
		}
	})
}

func TestUrgentLoadGoesFirst(t *testing.T) {
	config := testConfig()
	config.Speed = 1
	config.ParallelLoads = 1
	runEngine(t, config, func(t *testing.T, e *Engine, _ *Platform) {
		for i := range 3 {
			order := loadOrder(api.Fence(i+1), api.ModelName(fmt.Sprint("m", i)), 2*gibibyte)
			order.Urgent = i == 2
			e.Order(order)
		}
		waitReady(t, e, "m2")
		ready := 0
		for _, item := range e.Inventory(engine.InventoryRequest{}).Items {
			if item.State == engine.ItemReady {
				ready++
			}
		}
		if ready > 2 { // the load of m0 may have started before the urgent order
			t.Errorf("%d models were ready when the urgent one became ready, want at most 2", ready)
		}
	})
}

func TestUnloadStopsALoad(t *testing.T) {
	config := testConfig()
	config.Speed = 1
	runEngine(t, config, func(t *testing.T, e *Engine, p *Platform) {
		e.Order(loadOrder(1, "a", 8*gibibyte))
		time.Sleep(time.Second)
		unloadNow(t, e, 2, "a")
		if used := e.Inventory(engine.InventoryRequest{}).UsedBytes; used != 0 {
			t.Errorf("%d bytes used after the unload", used)
		}
		time.Sleep(time.Second)
		p.weights.mutex.Lock()
		defer p.weights.mutex.Unlock()
		if len(p.weights.transfers) != 0 {
			t.Errorf("%d transfers continue after the unload", len(p.weights.transfers))
		}
	})
}

func TestFrozenEngineLoadsNothing(t *testing.T) {
	config := testConfig()
	config.Speed = 1
	runEngine(t, config, func(t *testing.T, e *Engine, _ *Platform) {
		e.Order(loadOrder(1, "a", 4*gibibyte))
		time.Sleep(time.Second)
		e.SetFaults(PartEngine, Faults{Freeze: true})
		time.Sleep(time.Minute)
		if item := e.Inventory(engine.InventoryRequest{}).Items[0]; item.State != engine.ItemLoading || item.Progress > 0.6 {
			t.Errorf("the frozen engine continued to load: %+v", item)
		}
		e.SetFaults(PartEngine, Faults{})
		waitReady(t, e, "a")
	})
}

func TestMachineListLagsAndKeepsGoneMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := DefaultPlatformConfig()
		p := NewPlatform(config)
		state := func() platform.MachineState {
			list := p.machines.list("r")
			if len(list.Machines) == 0 {
				return ""
			}
			return list.Machines[0].State
		}
		previous := platform.MachineState("")
		for _, next := range []platform.MachineState{platform.MachineLive, platform.MachineLeaving, platform.MachineGone} {
			p.PutMachine(platform.Machine{ID: "a1", Region: "r", State: next})
			time.Sleep(config.MachineListLag - time.Millisecond)
			if got := state(); got != previous {
				t.Errorf("state %q before the lag, want %q", got, previous)
			}
			time.Sleep(time.Millisecond)
			if got := state(); got != next {
				t.Errorf("state %q after the lag, want %q", got, next)
			}
			previous = next
		}
	})
}

func TestTableServiceForgetsTokensAndLimitsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewPlatform(DefaultPlatformConfig()).table
		key := recordKey{partition: "p", key: "k"}
		put := []action{{key: key, condition: condition{missing: true}, put: record{}}}
		if got := table.transact("t", 1, put); got.failed != nil || got.mismatch {
			t.Fatalf("first transaction: %+v", got)
		}
		time.Sleep(tokenRetention)
		if got := table.transact("t", 1, put); got.failed != nil {
			t.Errorf("repeat while the token is remembered: %+v", got)
		}
		time.Sleep(time.Second)
		if got := table.transact("t", 1, put); got.failed == nil {
			t.Errorf("repeat after the token was forgotten was not checked against its condition: %+v", got)
		}
		allowed := 0
		for range 10_000 { // ten seconds at a thousand per second
			if table.limiter.AllowN(table.clock.Now(), 1) {
				allowed++
			}
			time.Sleep(time.Millisecond)
		}
		if allowed < 2000 || allowed > 2210 {
			t.Errorf("%d requests in 10 s with a limit of 200 per second, want 2000 to 2210", allowed)
		}
	})
}
