package node

import (
	"context"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/telemetry"
)

// Descriptions of the metrics of the control machine and the transport.
var (
	treeRevisionMetric = newMetric("tree_revision", "Revision of the settings tree in force.")
	treeSeenMetric     = newMetric("tree_revision_seen", "Highest revision known from any node.")
	membersMetric      = newMetric("members", "Other nodes by their state as seen here.", "state")
	ownedMetric        = newMetric("cell_owned", "1 if this node owns the cell, else 0.", "cell")
	replicasMetric     = newMetric("cell_replicas", "Replicas of the cell by state, as this node knows them.", "cell", "state")
	unreachableMetric  = newMetric("cell_servers_unreachable", "Servers of the cell that its owner cannot ask.", "cell")
	unknownMetric      = newMetric("cell_servers_unknown", "Servers of the cell that may hold anything, at its owner.", "cell")
	recordMetric       = newMetric("cell_record_failures", "Failed calls in a row of the cell's record in the table service, at its owner.", "cell")
	peerBytesMetric    = newMetric("peer_bytes_total", "Bytes of messages between nodes.", "direction", "type")
	peerMessagesMetric = newMetric("peer_messages_total", "Messages between nodes.", "direction", "type")
)

func newMetric(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(telemetry.Namespace, "", name), help, labels, nil)
}

// collector collects the metrics of the control machine and the transport on each
// scrape.
type collector struct {
	loop     *loop
	counters *peer.Counters
}

// Describe implements prometheus.Collector.
func (c collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, metric := range []*prometheus.Desc{
		treeRevisionMetric, treeSeenMetric, membersMetric, ownedMetric,
		replicasMetric, unreachableMetric, unknownMetric, recordMetric, peerBytesMetric, peerMessagesMetric,
	} {
		descriptions <- metric
	}
}

// Collect implements prometheus.Collector. If the control loop does not answer in
// time, it returns only the transport's counters.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	c.collectTransport(metrics)
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	var status control.Status
	if !c.loop.inspect(ctx, func(machine *control.Machine) { status = machine.Status() }) {
		return
	}
	gauge(metrics, treeRevisionMetric, float64(status.TreeRevision))
	gauge(metrics, treeSeenMetric, float64(status.TreeSeen))
	collectMembers(metrics, status.Members)
	for _, cell := range status.Cells {
		collectCell(metrics, cell)
	}
}

func collectMembers(metrics chan<- prometheus.Metric, members []membership.Member) {
	counts := make(map[membership.State]int)
	for _, member := range members {
		counts[member.State]++
	}
	for state, count := range counts {
		gauge(metrics, membersMetric, float64(count), state.String())
	}
}

func collectCell(metrics chan<- prometheus.Metric, cell control.CellStatus) {
	name := string(cell.Cell)
	owned := 0.0
	if cell.Role == control.RoleOwner {
		owned = 1
	}
	gauge(metrics, ownedMetric, owned, name)
	gauge(metrics, replicasMetric, float64(cell.Ready), name, "ready")
	gauge(metrics, replicasMetric, float64(cell.Loading), name, "loading")
	gauge(metrics, replicasMetric, float64(cell.InDoubt), name, "in_doubt")
	gauge(metrics, unreachableMetric, float64(cell.Unreachable), name)
	gauge(metrics, unknownMetric, float64(cell.UnknownServer), name)
	gauge(metrics, recordMetric, float64(cell.RecordFailed), name)
}

func (c collector) collectTransport(metrics chan<- prometheus.Metric) {
	for name, counted := range c.counters.ByType() {
		kind := name[strings.LastIndex(name, "/")+1:]
		count(metrics, peerBytesMetric, counted.BytesSent, "sent", kind)
		count(metrics, peerBytesMetric, counted.BytesReceived, "received", kind)
		count(metrics, peerMessagesMetric, counted.MessagesSent, "sent", kind)
		count(metrics, peerMessagesMetric, counted.MessagesReceived, "received", kind)
	}
}

func gauge(metrics chan<- prometheus.Metric, description *prometheus.Desc, value float64, labels ...string) {
	metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
}

func count(metrics chan<- prometheus.Metric, description *prometheus.Desc, value uint64, labels ...string) {
	metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
}
