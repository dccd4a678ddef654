package traffic

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

func TestCollectorExportsStats(t *testing.T) {
	control := newStubControl(t)
	inVirtualTime(t, Config{Control: control}, func(t *testing.T, router *Router) {
		control.publish(readyOn("m", 1))
		mustAcquire(t, router, ask(time.Minute)).Done(served(time.Millisecond))
		_, err := router.Acquire(context.Background(), ask(0))
		refusalOf(t, err, ReasonDeadline)
		_, err = router.Acquire(context.Background(), Request{Model: "none"})
		refusalOf(t, err, ReasonUnknownModel)

		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(Collector{Router: router})
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		sums := make(map[string]float64)
		for _, family := range families {
			for _, metric := range family.GetMetric() {
				sums[family.GetName()] += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
			}
		}
		for name, want := range map[string]float64{
			"martenwheel_requests_waiting":     0,
			"martenwheel_requests_running":     0,
			"martenwheel_places_granted_total": 1,
			"martenwheel_retries_total":        0,
			"martenwheel_ejections_total":      0,
			"martenwheel_refusals_total":       2,
		} {
			if got, found := sums[name]; !found || got != want {
				t.Errorf("%s: %v (exported: %t), want %v", name, got, found, want)
			}
		}
	})
}
