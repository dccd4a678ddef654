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

// How often, and of how many kinds of messages, the traffic between nodes is summed up in the log.
const (
	trafficInterval = 10 * time.Second
	trafficKinds    = 6
)

// peerTraffic tells what nodes say to one another, by kind of message, in metrics and the log.
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

// shortKind is the name of a kind of message without the path of its package.
func shortKind(name string) string { return name[strings.LastIndex(name, "/")+1:] }

// kindTraffic is one kind of message in the log.
type kindTraffic struct {
	Kind     string `json:"kind"`
	Sent     uint64 `json:"sent"` // bytes
	Received uint64 `json:"received"`
}

// since returns what was said since earlier counts, the kinds with the most bytes first.
func since(before, now map[string]peer.Traffic) []kindTraffic {
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
		logger.Info("peer traffic", "bytes", since(before, now))
		before = maps.Clone(now)
	}
}
