package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// gigabyte is the unit of sizes in scenarios, in bytes.
const gigabyte = 1e9

// model is a model or an adapter in a run.
type model struct {
	index       int
	name        api.ModelName
	base        int // index of the base model; -1 for a base model
	adapters    []int
	service     int
	settings    tree.Settings
	weightBytes uint64 // size of the checkpoint
	holdBytes   uint64 // accelerator memory of a replica, KV cache included
	unsafe      bool
	arrival     *Arrival
	rate        float64 // mean requests per second over the day
}

// generateCatalog generates the models and adapters of the scenario, bases before their adapters.
func generateCatalog(scenario *Scenario, random *rand.Rand) []*model {
	var models []*model
	for i := range scenario.Services {
		service := &scenario.Services[i]
		first := len(models)
		for j := range service.Models {
			models = append(models, makeBase(scenario, i, j, len(models)))
		}
		for j := range service.Adapters {
			base := models[first+random.IntN(service.Models)]
			models = append(models, makeAdapter(scenario, base, j, len(models)))
		}
		assignArrivals(service, models[first:], random)
	}
	return models
}

// makeBase returns the base model with a number within its service. Sizes are assigned by their
// shares without randomness, so that the total is the same for each seed.
func makeBase(scenario *Scenario, serviceIndex, number, index int) *model {
	service := &scenario.Services[serviceIndex]
	size := pickByShare(service.Sizes, func(s Size) float64 { return s.Share }, lowDiscrepancy(number))
	m := &model{
		index: index, base: -1, service: serviceIndex,
		name:        api.ModelName(fmt.Sprintf("%s-m%02d", service.Name, number)),
		weightBytes: uint64(size.WeightsGigabytes * gigabyte),
		holdBytes:   uint64((size.WeightsGigabytes + size.KVGigabytes) * gigabyte),
	}
	m.settings = service.treeSettings(m.weightBytes, m.holdBytes-m.weightBytes)
	m.settings.LoadTime = scenario.storeLoadTime(m.weightBytes, true)
	return m
}

// makeAdapter returns the adapter with a number within its service, on base.
func makeAdapter(scenario *Scenario, base *model, number, index int) *model {
	service := &scenario.Services[base.service]
	bytes := uint64(service.AdapterGigabytes * gigabyte)
	m := &model{
		index: index, base: base.index, service: base.service,
		name:        api.ModelName(fmt.Sprintf("%s:a%02d", base.name, number)),
		weightBytes: bytes,
		holdBytes:   bytes,
	}
	m.settings = service.treeSettings(bytes, 0)
	m.settings.LoadTime = scenario.storeLoadTime(bytes, false)
	base.adapters = append(base.adapters, index)
	return m
}

// treeSettings returns the effective tree settings of a model of the service.
func (s *Service) treeSettings(weights, kv uint64) tree.Settings {
	return tree.Settings{
		MemoryBytes:     weights,
		KVBytes:         kv,
		MinReplicas:     s.Settings.MinReplicas,
		MaxReplicas:     s.Settings.MaxReplicas,
		KeepAlive:       s.Settings.KeepAlive,
		ColdStartWeight: s.Settings.ColdStartWeight,
		Prewarm:         s.Settings.Prewarm == nil || *s.Settings.Prewarm,
		Priority:        s.Settings.Priority,
		Deadline:        s.Settings.Deadline,
		MaxConcurrency:  s.Settings.MaxConcurrency,
	}
}

// adapterStartup is the time to attach an adapter's weights to its base.
const adapterStartup = 100 * time.Millisecond

// storeLoadTime returns how long a load from an idle weight store takes.
func (s *Scenario) storeLoadTime(bytes uint64, base bool) time.Duration {
	return transferTime(bytes, s.WeightStore.GigabytesPerSecond) + s.startup(base)
}

// startup returns how long a load takes once the checkpoint has arrived.
func (s *Scenario) startup(base bool) time.Duration {
	if base {
		return s.WeightStore.Startup
	}
	return adapterStartup
}

// transferTime returns how long the transfer of a number of bytes takes.
func transferTime(bytes uint64, gigabytesPerSecond float64) time.Duration {
	return time.Duration(float64(bytes) / gigabyte / gigabytesPerSecond * float64(time.Second))
}

// assignArrivals assigns each model its popularity, by Zipf's law in random order, and its arrival
// pattern and unsafe requests by their shares.
func assignArrivals(service *Service, models []*model, random *rand.Rand) {
	total := 0.0
	for rank := range models {
		total += math.Pow(float64(rank+1), -service.PopularityExponent)
	}
	for rank, position := range random.Perm(len(models)) {
		m := models[position]
		share := math.Pow(float64(rank+1), -service.PopularityExponent) / total
		m.rate = service.RequestsPerSecond * share
		m.arrival = pickByShare(service.Arrivals, func(a Arrival) float64 { return a.Share }, lowDiscrepancy(rank))
		m.unsafe = random.Float64() < service.UnsafeShare
		m.settings.UnsafeToRepeat = m.unsafe
	}
}

// lowDiscrepancy returns an element of a low-discrepancy sequence between 0 and 1.
func lowDiscrepancy(number int) float64 {
	_, fraction := math.Modf(float64(number+1) * math.Phi)
	return fraction
}

// pickByShare returns the item at position (0 to 1) if the items are laid side by side with widths in
// proportion to their shares.
func pickByShare[T any](items []T, share func(T) float64, position float64) *T {
	total := 0.0
	for _, item := range items {
		total += share(item)
	}
	sum := 0.0
	for i := range items {
		sum += share(items[i])
		if position*total < sum {
			return &items[i]
		}
	}
	return &items[len(items)-1]
}
