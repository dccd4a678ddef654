package traffic

import "github.com/prometheus/client_golang/prometheus"

// Metrics of a node's traffic, by model.
var (
	waitingDesc = prometheus.NewDesc("martenwheel_requests_waiting",
		"Requests that wait for a slot on a replica.", []string{"model"}, nil)
	runningDesc = prometheus.NewDesc("martenwheel_requests_running",
		"Requests of this node that run on a replica.", []string{"model"}, nil)
	grantedDesc = prometheus.NewDesc("martenwheel_places_granted_total",
		"Places given on replicas, retries included.", []string{"model"}, nil)
	retriesDesc = prometheus.NewDesc("martenwheel_retries_total",
		"Attempts after the first.", []string{"model"}, nil)
	ejectionsDesc = prometheus.NewDesc("martenwheel_ejections_total",
		"Ejections of servers that failed requests of the model.", []string{"model"}, nil)
	refusalsDesc = prometheus.NewDesc("martenwheel_refusals_total",
		"Requests that were refused before an engine answered them.", []string{"model", "reason"}, nil)
)

// Collector exports the Stats of a router to Prometheus.
type Collector struct {
	Router *Router
}

// Describe sends the descriptions of the metrics.
func (c Collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		waitingDesc, runningDesc, grantedDesc, retriesDesc, ejectionsDesc, refusalsDesc,
	} {
		descriptions <- description
	}
}

// Collect sends a snapshot of the metrics.
func (c Collector) Collect(metrics chan<- prometheus.Metric) {
	stats := c.Router.Stats()
	for _, model := range stats.Models {
		name := string(model.Model)
		gauge := func(description *prometheus.Desc, value int) {
			metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value), name)
		}
		counter := func(description *prometheus.Desc, value uint64, labels ...string) {
			metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
		}
		gauge(waitingDesc, model.Waiting)
		gauge(runningDesc, model.Running)
		counter(grantedDesc, model.Granted, name)
		counter(retriesDesc, model.Retries, name)
		counter(ejectionsDesc, model.Ejections, name)
		for reason, count := range model.Refusals {
			counter(refusalsDesc, count, name, string(reason))
		}
	}
	metrics <- prometheus.MustNewConstMetric(refusalsDesc, prometheus.CounterValue,
		float64(stats.UnknownModel), "", string(ReasonUnknownModel))
}
