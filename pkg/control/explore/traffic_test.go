package explore

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/policy"
)

// trafficMeter sums up the encoded sizes of messages. Like the transport it uses
// one gob stream per pair of nodes.
type trafficMeter struct {
	streams  map[string]*gobStream
	bytes    int
	messages int
}

type gobStream struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

func (m *trafficMeter) add(b *testing.B, from *node, e control.SendPeer) {
	link := from.address() + "|" + e.To.PeerAddress
	stream := m.streams[link]
	if stream == nil {
		stream = &gobStream{}
		stream.encoder = gob.NewEncoder(&stream.buffer)
		m.streams[link] = stream
	}
	envelope := struct{ Message any }{e.Message}
	if err := stream.encoder.Encode(envelope); err != nil {
		b.Fatal(err)
	}
	m.bytes += stream.buffer.Len()
	m.messages++
	stream.buffer.Reset()
}

// BenchmarkControlTraffic reports what a node sends to other nodes in a site of
// typical size: while idle, and with a load of an idle model every eight seconds
// and its unload after the keep-alive.
func BenchmarkControlTraffic(b *testing.B) {
	for _, message := range append(control.Messages(), membership.Messages()...) {
		gob.Register(message)
	}
	for _, busy := range []bool{false, true} {
		b.Run(fmt.Sprintf("busy %t", busy), func(b *testing.B) {
			for b.Loop() {
				measureTraffic(b, busy)
			}
		})
	}
}

func measureTraffic(b *testing.B, busy bool) {
	const nodes, seconds = 12, 60
	w := newSimulation(1)
	w.tracing = false
	w.ownMembership = true
	w.decider = func(string) policy.Decider { return waitingDecider{} }
	for index := range 50 {
		w.addModel(fmt.Sprint("m", index), "", 10, 1)
	}
	for index := range 12 {
		w.addServer(fmt.Sprint("s", index), 60)
	}
	w.seeds = []string{"node/n0", "node/n1"}
	w.addNodes(nodes)
	w.run(30 * time.Second)
	if busy {
		w.wakeModelsInTurn(0)
	}
	meter := &trafficMeter{streams: make(map[string]*gobStream)}
	w.onSend = func(from *node, e control.SendPeer) { meter.add(b, from, e) }
	w.run(10 * time.Second) // the streams' type descriptions, which are sent once, are not measured
	meter.bytes, meter.messages = 0, 0
	w.run(seconds * time.Second)
	b.ReportMetric(float64(meter.bytes)/nodes/seconds, "B/s/node")
	b.ReportMetric(float64(meter.messages)/nodes/seconds, "msg/s/node")
}

// wakeModelsInTurn reports a waiting request for one idle model after another.
// Each model is unloaded after its keep-alive.
func (w *simulation) wakeModelsInTurn(index int) {
	n := w.nodes[index%len(w.nodes)]
	n.report(w.models[index%len(w.models)], 1, 0)
	w.after(8*time.Second, func() { w.wakeModelsInTurn(index + 1) })
}
