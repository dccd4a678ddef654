package standin

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

const propertySeed = 20260101

func fixedSeed() *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed) // printed on failure
	parameters.MinSuccessfulTests = 60
	return parameters
}

// engineEvent is a random event: an order, a finished load or a request.
type engineEvent struct {
	Kind    int
	Model   int
	Size    int
	Elapsed int
}

func genEngineEvents() gopter.Gen {
	return gen.SliceOfN(120, gen.Struct(reflect.TypeFor[engineEvent](), map[string]gopter.Gen{
		"Kind":    gen.IntRange(0, 5),
		"Model":   gen.IntRange(0, 9),
		"Size":    gen.IntRange(1, 40),
		"Elapsed": gen.IntRange(0, 400),
	}))
}

// apply applies the event to the state; sequence is the event's number.
func (s engineEvent) apply(state *engineState, sequence int) {
	state.advanceBy(time.Duration(s.Elapsed) * time.Millisecond)
	model := api.ModelName(fmt.Sprint("m", s.Model))
	fence := api.Fence(sequence + 1)
	switch s.Kind {
	case 0, 1:
		state.order(loadOrder(fence, model, uint64(s.Size)*gibibyte/10))
	case 2:
		state.order(engine.Order{ID: "u", Fence: fence, Kind: engine.OrderUnload, Model: model})
	case 3:
		if held := state.nextLoad(); held != nil {
			state.finishLoad(held, s.Size%7 != 0)
		}
	default:
		prompt := fmt.Sprintf("%0*d", s.Size*2000, s.Model)
		_, _ = state.submit(submission{id: fmt.Sprint(sequence), model: model, prompt: prompt, maxTokens: s.Size * 50, priority: s.Size % 3})
	}
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	properties := gopter.NewProperties(fixedSeed())
	properties.Property("used bytes stay within the capacity", prop.ForAll(func(stimuli []engineEvent) string {
		state := newTestState(testConfig())
		accepted := 0
		for i, next := range stimuli {
			next.apply(state, i)
			inventory := state.inventory(engine.InventoryRequest{})
			if inventory.UsedBytes > inventory.CapacityBytes {
				return fmt.Sprintf("step %d: %d of %d bytes used", i, inventory.UsedBytes, inventory.CapacityBytes)
			}
			accepted = max(accepted, len(inventory.Items))
		}
		if accepted == 0 {
			return "nothing was loaded"
		}
		return ""
	}, genEngineEvents()))
	properties.TestingRun(t)
}

func TestConcurrentOrdersNeverOvercommit(t *testing.T) {
	e := NewEngine(testConfig(), nil)
	var group conc.WaitGroup
	for owner := range 8 {
		group.Go(func() {
			for i := range 50 {
				model := api.ModelName(fmt.Sprint("m", owner, "-", i))
				e.Order(loadOrder(api.Fence(i*8+owner+1), model, 3*gibibyte))
				if inventory := e.Inventory(engine.InventoryRequest{}); inventory.UsedBytes > inventory.CapacityBytes {
					t.Errorf("%d of %d bytes used", inventory.UsedBytes, inventory.CapacityBytes)
				}
			}
		})
	}
	group.Wait()
	if items := e.Inventory(engine.InventoryRequest{}).Items; len(items) != 3 {
		t.Errorf("%d items of 3 GiB in 10 GiB of memory, want 3", len(items))
	}
}

// TestOrdersTakeEffectInTheOrderOfTheirFences sends repeated orders with random
// fences. An order must take effect only if its fence is higher than all before.
func TestOrdersTakeEffectInTheOrderOfTheirFences(t *testing.T) {
	properties := gopter.NewProperties(fixedSeed())
	properties.Property("accepted fences rise", prop.ForAll(func(fences []int) bool {
		state := newTestState(testConfig())
		last := engine.Order{}
		for _, fence := range fences {
			order := engine.Order{ID: fmt.Sprint(fence), Fence: api.Fence(fence), Kind: engine.OrderSetRole, Role: fmt.Sprint(fence)}
			result := state.order(order)
			expected := order.Fence > last.Fence || order == last
			if (result.Status == engine.OrderAccepted) != expected {
				return false
			}
			if expected {
				last = order
			}
			if state.role != last.Role {
				return false
			}
		}
		return true
	}, gen.SliceOfN(50, gen.IntRange(1, 30))))
	properties.TestingRun(t)
}
