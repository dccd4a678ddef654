package coordinator

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/admission"
	"martenwheel.dev/pkg/backend"
)

// BenchmarkOverloadOfManyModels measures the search for overloaded models among 150 models with one
// waiting request each, at 140 servers that hold three models each.
func BenchmarkOverloadOfManyModels(b *testing.B) {
	directory := &backend.Directory{}
	var servers []*backend.Server
	for i := range 140 {
		s := &backend.Server{ID: fmt.Sprint("s", i), Service: "s", Address: "127.0.0.1:1"}
		for j := range 3 {
			s.Models = append(s.Models, backend.Holding{Model: fmt.Sprint("m", (3*i+j)%150)})
		}
		servers = append(servers, s)
	}
	directory.Replace(servers, 1)
	h := &Holder{Servers: directory}
	model := &h.places.model
	model.Engine = func(string) (admission.Engine, bool) {
		return admission.Engine{Slots: 48, CacheTokens: 250_000, EventTokens: 6}, true
	}
	now := time.Unix(1_000_000, 0)
	model.Begin(now)
	for i := range 150 {
		model.AddReports(now, "n", []admission.Report{{ID: uint64(i), Key: admission.Key{Service: "s", Model: fmt.Sprint("m", i)}, Need: "m",
			Server: fmt.Sprint("s", i%140), Work: admission.Work{Tokens: 9000}, Target: time.Second, Left: 10 * time.Second}}, false)
	}
	for b.Loop() {
		model.Overloaded(now, h.replicas)
	}
}
