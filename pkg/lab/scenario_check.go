package lab

import (
	"fmt"
	"slices"

	"martenwheel.dev/pkg/findings"
)

// check records values that make the scenario impossible to run.
func (s *Scenario) check(place string, found *findings.List) {
	positive := func(key string, value float64) {
		if !(value > 0) {
			found.Addf(place+" "+key, "%v is not above zero", value)
		}
	}
	positive("duration", s.Duration.Seconds())
	positive("zones", float64(len(s.Zones)))
	positive("nodes", float64(s.Nodes))
	positive("weight_store.loads_per_second", s.WeightStore.LoadsPerSecond)
	positive("weight_store.full_speed", float64(s.WeightStore.FullSpeed))
	positive("weight_store.gigabytes_per_second", s.WeightStore.GigabytesPerSecond)
	positive("fault_rate", s.FaultRate)
	positive("services", float64(len(s.Services)))
	for i := range s.Services {
		service := &s.Services[i]
		key := fmt.Sprintf("services.%s.", service.Name)
		positive(key+"servers", float64(service.Servers))
		positive(key+"accelerators", float64(service.Accelerators))
		positive(key+"accelerator_gigabytes", service.AcceleratorGigabytes)
		positive(key+"models", float64(service.Models))
		positive(key+"requests_per_second", service.RequestsPerSecond)
		positive(key+"sizes", float64(len(service.Sizes)))
		positive(key+"arrivals", float64(len(service.Arrivals)))
		positive(key+"settings.deadline", service.Settings.Deadline.Seconds())
		positive(key+"settings.maxReplicas", float64(service.Settings.MaxReplicas))
		positive(key+"settings.maxConcurrency", float64(service.Settings.MaxConcurrency))
		positive(key+"caches.memory_gigabytes_per_second", service.Caches.MemoryGigabytesPerSecond)
		positive(key+"caches.disk_gigabytes_per_second", service.Caches.DiskGigabytesPerSecond)
		if len(service.Day) != hoursPerDay {
			found.Addf(place+" "+key+"day", "has %d hours, not %d", len(service.Day), hoursPerDay)
		}
		for _, arrival := range service.Arrivals {
			arrival.check(place+" "+key+"arrivals."+string(arrival.Kind), found)
		}
	}
}

// hoursPerDay is the required length of Service.Day.
const hoursPerDay = 24

// check records invalid values of the arrival.
func (a Arrival) check(place string, found *findings.List) {
	kinds := []ArrivalKind{ArrivalSteady, ArrivalPeriodic, ArrivalSessions}
	if !slices.Contains(kinds, a.Kind) {
		found.Addf(place, "unknown kind; known are %v", kinds)
	}
	if a.Kind == ArrivalPeriodic && (a.ShortestPeriod <= 0 || a.LongestPeriod < a.ShortestPeriod) {
		found.Addf(place, "needs 0 < shortest_period <= longest_period")
	}
	if a.Kind == ArrivalSessions && (a.Requests < 1 || a.Pause <= 0) {
		found.Addf(place, "needs requests and pause above zero")
	}
	if a.Kind != ArrivalSteady && a.Burst < 1 {
		found.Addf(place, "needs a burst of at least one request")
	}
}
