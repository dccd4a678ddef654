package keeper

import "github.com/prometheus/client_golang/prometheus"

var (
	recordsMetric = prometheus.NewDesc("martenwheel_keeper_records",
		"Keys of unsafe requests that this node remembers as a keeper.", []string{"cell"}, nil)
	grantingMetric = prometheus.NewDesc("martenwheel_keeper_granting",
		"1 if this keeper grants claims, 0 while it abstains.", []string{"cell"}, nil)
)

// Describe implements prometheus.Collector.
func (k *Keeper) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- recordsMetric
	descriptions <- grantingMetric
}

// Collect implements prometheus.Collector.
func (k *Keeper) Collect(metrics chan<- prometheus.Metric) {
	for _, status := range k.Status() {
		granting := 0.0
		if status.Granting {
			granting = 1
		}
		cell := string(status.Cell)
		metrics <- prometheus.MustNewConstMetric(recordsMetric, prometheus.GaugeValue, float64(status.Records), cell)
		metrics <- prometheus.MustNewConstMetric(grantingMetric, prometheus.GaugeValue, granting, cell)
	}
}
