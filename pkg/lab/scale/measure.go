package scale

import (
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/peer"
)

// reading is the state of all counters at a time.
type reading struct {
	at          time.Time
	processor   time.Duration // of the whole process, user and system
	total       peer.Traffic
	byType      map[string]peer.Traffic
	engineCalls uint64
	engineBytes uint64
}

// read reads the counters of the running nodes.
func (s *site) read() (reading, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return reading{}, errors.WithStack(err)
	}
	r := reading{
		at:          time.Now(),
		processor:   time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		byType:      make(map[string]peer.Traffic),
		engineCalls: s.engines.calls.Load(),
		engineBytes: s.engines.bytes.Load(),
	}
	for _, node := range s.nodes {
		r.total = add(r.total, node.counters.Total())
		for name, traffic := range node.counters.ByType() {
			r.byType[name] = add(r.byType[name], traffic)
		}
	}
	return r, nil
}

func add(a, b peer.Traffic) peer.Traffic {
	return peer.Traffic{
		MessagesSent:     a.MessagesSent + b.MessagesSent,
		MessagesReceived: a.MessagesReceived + b.MessagesReceived,
		BytesSent:        a.BytesSent + b.BytesSent,
		BytesReceived:    a.BytesReceived + b.BytesReceived,
	}
}

// Usage is what a phase cost per node. A message counts where it is sent and
// where it is received, so that the sum over nodes is twice what was sent.
type Usage struct {
	Seconds                 float64               `json:"seconds"`
	ProcessorShare          float64               `json:"processor_share"` // of one core
	BytesPerSecond          float64               `json:"bytes_per_second"`
	MessagesPerSecond       float64               `json:"messages_per_second"`
	EngineCallsPerSecond    float64               `json:"engine_calls_per_second"`
	EngineBytesPerSecond    float64               `json:"engine_bytes_per_second"`
	ByType                  map[string]TypedUsage `json:"by_type"`
	processorTime           time.Duration         // of all nodes
	bytes, engineBytesTotal float64               // of all nodes
}

// TypedUsage is the part of one message type.
type TypedUsage struct {
	BytesPerSecond    float64 `json:"bytes_per_second"`
	MessagesPerSecond float64 `json:"messages_per_second"`
}

// usageBetween returns the usage per node between two readings.
func usageBetween(before, after reading, nodes int) Usage {
	seconds := after.at.Sub(before.at).Seconds()
	perNode := seconds * float64(nodes)
	usage := Usage{
		Seconds:              seconds,
		ProcessorShare:       (after.processor - before.processor).Seconds() / perNode,
		EngineCallsPerSecond: float64(after.engineCalls-before.engineCalls) / perNode,
		EngineBytesPerSecond: float64(after.engineBytes-before.engineBytes) / perNode,
		ByType:               make(map[string]TypedUsage),
		processorTime:        after.processor - before.processor,
		bytes:                float64(bytesOf(after.total) - bytesOf(before.total)),
		engineBytesTotal:     float64(after.engineBytes - before.engineBytes),
	}
	usage.BytesPerSecond = usage.bytes / perNode
	usage.MessagesPerSecond = float64(messagesOf(after.total)-messagesOf(before.total)) / perNode
	for name, traffic := range after.byType {
		earlier := before.byType[name]
		if bytesOf(traffic) == bytesOf(earlier) {
			continue
		}
		usage.ByType[name] = TypedUsage{
			BytesPerSecond:    float64(bytesOf(traffic)-bytesOf(earlier)) / perNode,
			MessagesPerSecond: float64(messagesOf(traffic)-messagesOf(earlier)) / perNode,
		}
	}
	return usage
}

func bytesOf(t peer.Traffic) uint64 {
	return t.BytesSent + t.BytesReceived
}

func messagesOf(t peer.Traffic) uint64 {
	return t.MessagesSent + t.MessagesReceived
}

// memoryInUse returns the bytes of heap and stacks after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC() // the first only queues finalizers
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
