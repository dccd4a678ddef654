package fairqueue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// propertySeed makes the property tests reproducible.
const propertySeed = 1407

func check(t *testing.T, name string, property gopter.Prop) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property(name, property)
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Errorf("seed %d", propertySeed)
	}
}

// drawItems generates 60 items of two classes with four flows each.
func drawItems(priorities int) gopter.Gen {
	return gen.SliceOfN(60, gen.UInt32()).Map(func(numbers []uint32) []*Item[int] {
		items := make([]*Item[int], len(numbers))
		for index, number := range numbers {
			items[index] = &Item[int]{
				Value:    index,
				Class:    fmt.Sprint("class", number%2),
				Flow:     fmt.Sprint("flow", number/2%4),
				Priority: int(number / 8 % uint32(priorities)),
				Deadline: time.Unix(int64(number/64%100), 0),
				Cost:     float64(1 + number/8192%50),
			}
		}
		return items
	})
}

func pushAll(queue *Queue[int], items []*Item[int]) {
	for _, item := range items {
		queue.Push(item)
	}
}

func drain(queue *Queue[int]) []*Item[int] {
	var served []*Item[int]
	for item := queue.Next(); item != nil; item = queue.Next() {
		served = append(served, item)
		queue.Serve(item)
	}
	return served
}

func TestEveryItemIsServedOnceInOrderOfItsFlow(t *testing.T) {
	check(t, "order within a flow", prop.ForAll(func(items []*Item[int]) bool {
		queue := New[int](20)
		pushAll(queue, items)
		ordered := queue.Ordered()
		served := drain(queue)
		last := make(map[string]*Item[int])
		for index, item := range served {
			if ordered[index] != item {
				return false
			}
			key := item.Class + item.Flow
			if previous := last[key]; previous != nil && item.Before(previous) {
				return false
			}
			last[key] = item
		}
		return len(served) == len(items) && queue.Len() == 0
	}, drawItems(3)))
}

// TestFairnessBound checks that the service of two flows of a class that both always have
// waiting items differs by at most the sum of their largest costs (Goyal et al., theorem
// 1). Without fairness between flows the bound must be violated.
func TestFairnessBound(t *testing.T) {
	const largest = 50.0
	bound := func(queue *Queue[int], items []*Item[int]) bool {
		for _, item := range items {
			item.Class = "class"
			item.Flow = fmt.Sprint("flow", item.Value%2)
		}
		pushAll(queue, items)
		service := map[string]float64{}
		left := map[string]int{"flow0": 30, "flow1": 30}
		for _, item := range drain(queue) {
			service[item.Flow] += item.Cost
			left[item.Flow]--
			if left[item.Flow] == 0 {
				return true
			}
			if math.Abs(service["flow0"]-service["flow1"]) > 2*largest {
				return false
			}
		}
		return true
	}
	check(t, "fair", prop.ForAll(func(items []*Item[int]) bool {
		return bound(New[int](20), items)
	}, drawItems(1)))
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	unfair := prop.ForAll(func(items []*Item[int]) bool {
		return bound(NewUnfair[int](20), items)
	}, drawItems(1)).Check(parameters)
	if unfair.Status != gopter.TestFailed {
		t.Error("the bound also holds without fairness; the property does not test it")
	}
}

// serveCounting serves count items and returns how many there were of each name.
func serveCounting(queue *Queue[int], count int, name func(*Item[int]) string) map[string]int {
	served := map[string]int{}
	for range count {
		item := queue.Next()
		served[name(item)]++
		queue.Serve(item)
	}
	return served
}

func TestWeightsShareBetweenClasses(t *testing.T) {
	queue := New[int](0)
	for index := range 400 {
		queue.Push(&Item[int]{Class: fmt.Sprint(index % 2), Flow: "f", Cost: 10})
	}
	queue.SetWeight("0", 3)
	served := serveCounting(queue, 100, func(item *Item[int]) string { return item.Class })
	if served["0"] < 73 || served["0"] > 77 {
		t.Errorf("class of weight 3 got %d of 100 slots beside one of weight 1, want about 75", served["0"])
	}
}

func TestPriorityHeadStartIsBounded(t *testing.T) {
	queue := New[int](100)
	for range 200 {
		queue.Push(&Item[int]{Class: "c", Flow: "urgent", Priority: 1, Cost: 10})
		queue.Push(&Item[int]{Class: "c", Flow: "normal", Cost: 10})
	}
	served := serveCounting(queue, 100, func(item *Item[int]) string { return item.Flow })
	if served["urgent"] < 54 || served["urgent"] > 56 {
		t.Errorf("the urgent flow got %d of 100 slots, want about 55: half, and a head start of 10 items", served["urgent"])
	}
}

func TestBlockedClassLetsOthersPass(t *testing.T) {
	queue := New[int](0)
	queue.Push(&Item[int]{Class: "a", Flow: "f", Cost: 1})
	queue.Push(&Item[int]{Class: "b", Flow: "f", Cost: 1})
	queue.Block("a")
	if item := queue.Next(); item == nil || item.Class != "b" {
		t.Fatalf("got next item %+v, want class b", item)
	}
	queue.Block("b")
	if item := queue.Next(); item != nil {
		t.Fatalf("got next item %+v, want none", item)
	}
	queue.Unblock()
	if item := queue.Next(); item == nil || item.Class != "a" {
		t.Fatalf("got next item %+v, want class a", item)
	}
}

func TestIdleFlowsAreBounded(t *testing.T) {
	queue := New[int](0)
	queue.Push(&Item[int]{Class: "c", Flow: "stays", Cost: 1, Deadline: time.Unix(9, 0)})
	for index := range 10 * maxIdleFlows {
		item := &Item[int]{Class: "c", Flow: fmt.Sprint(index), Cost: 1}
		queue.Push(item)
		queue.Serve(item)
	}
	if flows := len(queue.find("c").flows); flows > maxIdleFlows+1 {
		t.Errorf("%d flows kept, want at most maxIdleFlows and one that waits", flows)
	}
}
