package site

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/peer"
)

// Interval of the log lines on the traffic between nodes, and how many kinds of messages each lists.
const (
	trafficInterval = 10 * time.Second
	trafficKinds    = 6
)

// peerTraffic reports the traffic between nodes by kind of message, in metrics and the log.
type peerTraffic struct {
	counters *peer.Counters
	bytes    *prometheus.Desc
}

func newPeerTraffic(registry prometheus.Registerer) *peerTraffic {
	t := &peerTraffic{peer.NewCounters(), prometheus.NewDesc("martenwheel_peer_bytes_total",
		"Bytes of messages between nodes by kind and direction.", []string{"kind", "direction"}, nil)}
	registry.MustRegister(t)
	return t
}

// Describe implements prometheus.Collector.
func (t *peerTraffic) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- t.bytes }

// Collect implements prometheus.Collector.
func (t *peerTraffic) Collect(metrics chan<- prometheus.Metric) {
	for kind, n := range t.counters.ByType() {
		kind = shortKind(kind)
		metrics <- prometheus.MustNewConstMetric(t.bytes, prometheus.CounterValue, float64(n.BytesSent), kind, "sent")
		metrics <- prometheus.MustNewConstMetric(t.bytes, prometheus.CounterValue, float64(n.BytesReceived), kind, "received")
	}
}

// shortKind returns the name of a kind of message without its package path.
func shortKind(name string) string { return name[strings.LastIndex(name, "/")+1:] }

// kindTraffic is the traffic of one kind of message in the log.
type kindTraffic struct {
	Kind     string `json:"kind"`
	Sent     uint64 `json:"sent"` // bytes
	Received uint64 `json:"received"`
}

// trafficSince returns the traffic between two counts, the kinds with the most bytes first.
func trafficSince(before, now map[string]peer.Traffic) []kindTraffic {
	var list []kindTraffic
	for kind, n := range now {
		one := kindTraffic{shortKind(kind), n.BytesSent - before[kind].BytesSent, n.BytesReceived - before[kind].BytesReceived}
		if one.Sent+one.Received > 0 {
			list = append(list, one)
		}
	}
	slices.SortFunc(list, func(a, b kindTraffic) int {
		return cmp.Or(cmp.Compare(b.Sent+b.Received, a.Sent+a.Received), cmp.Compare(a.Kind, b.Kind))
	})
	return list[:min(len(list), trafficKinds)]
}

// summarize logs the traffic until ctx ends.
func (t *peerTraffic) summarize(ctx context.Context, logger hclog.Logger) {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	before := make(map[string]peer.Traffic)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := t.counters.ByType()
		logger.Info("peer traffic", "bytes", trafficSince(before, now))
		before = maps.Clone(now)
	}
}
