package telemetry

import (
	"runtime"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Namespace is the prefix of all metric names.
const Namespace = "martenwheel"

// BuildInfo describes the program and where it runs.
type BuildInfo struct {
	Version string
	Node    string
	Zone    string
	Region  string
}

// NewRegistry returns a registry with the metrics of the process and of the Go
// runtime, and with martenwheel_build_info, whose value is always 1.
func NewRegistry(build BuildInfo) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
		newBuildInfo(build),
	)
	return registry
}

func newBuildInfo(build BuildInfo) prometheus.Collector {
	info := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: Namespace,
		Name:      "build_info",
		Help:      "Version and place of this process; always 1.",
		ConstLabels: prometheus.Labels{
			"version":    build.Version,
			"go_version": runtime.Version(),
			"node":       build.Node,
			"zone":       build.Zone,
			"region":     build.Region,
		},
	})
	info.Set(1)
	return info
}
