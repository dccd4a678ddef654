package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic"
)

// benchDispatcher grants one target at minimal cost.
type benchDispatcher struct{ target traffic.Target }

func (d *benchDispatcher) Acquire(context.Context, traffic.Request) (traffic.Grant, error) {
	return d, nil
}
func (d *benchDispatcher) Target() traffic.Target { return d.target }
func (d *benchDispatcher) Done(traffic.Outcome)   {}
func (d *benchDispatcher) Retry(context.Context, traffic.Outcome) (traffic.Grant, error) {
	return nil, &traffic.Refusal{Reason: traffic.ReasonEngineFailed}
}

// benchEngine is an engine that answers with as little work as possible. At each
// tick it sends the next event to all its streams, like an engine that batches.
type benchEngine struct {
	address string

	mutex   sync.Mutex
	streams []*benchStream
}

type benchStream struct {
	connection net.Conn
	event      []byte // event with its HTTP chunk framing
}

func startBenchEngine(b *testing.B) *benchEngine {
	listener := listen(b)
	e := &benchEngine{address: listener.Addr().String()}
	var group conc.WaitGroup
	group.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { e.serve(connection) })
		}
	})
	b.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return e
}

func (e *benchEngine) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	var request fasthttp.Request
	var answer []byte
	for request.Read(reader) == nil {
		id := string(request.Header.Peek(engine.HeaderRequestID))
		if bytes.Contains(request.Body(), []byte(`"stream":true`)) {
			e.add(connection, id)
			continue
		}
		body := wholeBody(id, "ash", 50)
		answer = fmt.Appendf(answer[:0], "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		if _, err := connection.Write(answer); err != nil {
			return
		}
	}
}

// add starts a stream.
func (e *benchEngine) add(connection net.Conn, id string) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	event := tokenEvent(id, "ash", 1)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.streams = append(e.streams, &benchStream{connection: connection, event: chunk(event)})
}

func chunk(text string) []byte {
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text)
}

// tick sends the next event to all streams.
func (e *benchEngine) tick() {
	for _, stream := range e.streams {
		_, _ = stream.connection.Write(stream.event)
	}
}

// end sends the end of all streams.
func (e *benchEngine) end() {
	for _, stream := range e.streams {
		_, _ = stream.connection.Write(append(chunk("data: [DONE]\n\n"), "0\r\n\r\n"...))
	}
}

func benchGateway(b *testing.B, target string) string {
	_, url := startGateway(b, Config{
		Dispatcher: &benchDispatcher{target: traffic.Target{Server: "server-1", Address: target}},
		Logger:     hclog.New(&hclog.LoggerOptions{Output: io.Discard, JSONFormat: true}),
		Metrics:    prometheus.NewRegistry(),
	})
	return strings.TrimPrefix(url, "http://")
}

// benchPrompt has about the size of a short chat.
var benchPrompt = strings.Repeat("How long does a glaze firing to cone 6 take? ", 20)

// newBenchRequest returns a request that both the gateway and the engine accept.
func newBenchRequest(address string, stream bool) *fasthttp.Request {
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/chat/completions")
	request.Header.SetContentType("application/json")
	request.Header.Set(engine.HeaderRequestID, "bench")
	request.SetBodyString(chatBody("glaze-7b", benchPrompt, stream))
	return request
}

// BenchmarkWhole sends sequential requests on one connection, directly and
// through a gateway.
func BenchmarkWhole(b *testing.B) {
	for _, way := range []string{"direct", "gateway"} {
		b.Run(way, func(b *testing.B) {
			address := startBenchEngine(b).address
			if way == "gateway" {
				address = benchGateway(b, address)
			}
			client := &fasthttp.HostClient{Addr: address}
			defer client.CloseIdleConnections()
			request := newBenchRequest(address, false)
			var response fasthttp.Response
			b.ReportAllocs()
			before := cpuTime()
			for b.Loop() {
				if err := client.Do(request, &response); err != nil || response.StatusCode() != fasthttp.StatusOK {
					b.Fatal(err, response.StatusCode())
				}
			}
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N)/1000, "cpu-us/op")
		})
	}
}

// addedLatencyInterval is the interval between requests of BenchmarkAddedLatency:
// 500 per second.
const addedLatencyInterval = 2 * time.Millisecond

// BenchmarkAddedLatency sends requests at a fixed rate, both directly and through
// a gateway, and reports the latency percentiles of both.
func BenchmarkAddedLatency(b *testing.B) {
	address := startBenchEngine(b).address
	callers := []*fixedRateCaller{newFixedRateCaller(address), newFixedRateCaller(benchGateway(b, address))}
	defer func() {
		for _, way := range callers {
			way.client.CloseIdleConnections()
		}
	}()
	var group conc.WaitGroup
	start := time.Now()
	for number := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(number) * addedLatencyInterval)))
		for _, way := range callers {
			group.Go(way.call)
		}
	}
	group.Wait()
	direct50, direct99 := callers[0].percentiles()
	gateway50, gateway99 := callers[1].percentiles()
	b.ReportMetric(direct50, "direct-p50-us")
	b.ReportMetric(direct99, "direct-p99-us")
	b.ReportMetric(gateway50, "gateway-p50-us")
	b.ReportMetric(gateway99, "gateway-p99-us")
	b.ReportMetric(gateway50-direct50, "added-p50-us")
	b.ReportMetric(gateway99-direct99, "added-p99-us")
}

// fixedRateCaller sends requests to one address and measures their latency.
type fixedRateCaller struct {
	client  *fasthttp.HostClient
	request *fasthttp.Request

	mutex     sync.Mutex
	latencies []time.Duration
}

func newFixedRateCaller(address string) *fixedRateCaller {
	return &fixedRateCaller{client: &fasthttp.HostClient{Addr: address, MaxConns: 1024}, request: newBenchRequest(address, false)}
}

func (p *fixedRateCaller) call() {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	p.request.CopyTo(request)
	start := time.Now()
	err := p.client.Do(request, response)
	latency := time.Since(start)
	if err != nil || response.StatusCode() != fasthttp.StatusOK {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.latencies = append(p.latencies, latency)
}

// percentiles returns the median and the 99th percentile in microseconds.
func (p *fixedRateCaller) percentiles() (p50, p99 float64) {
	if len(p.latencies) == 0 {
		return 0, 0
	}
	sort.Slice(p.latencies, func(i, j int) bool { return p.latencies[i] < p.latencies[j] })
	at := func(share float64) float64 {
		return float64(p.latencies[int(share*float64(len(p.latencies)-1))].Nanoseconds()) / 1000
	}
	return at(0.50), at(0.99)
}

// benchStreams is the number of streams of BenchmarkStreamTokens.
const benchStreams = 500

// BenchmarkStreamTokens relays streams whose events come one by one, at a fixed
// rate or as fast as they are read. It reports the CPU time per token of the
// whole process: engine, callers and, in one of two variants, the gateway. The
// difference between the variants is the cost of the gateway.
func BenchmarkStreamTokens(b *testing.B) {
	b.Run("paced", func(b *testing.B) { benchmarkTokens(b, 20*time.Millisecond) })
	b.Run("saturated", func(b *testing.B) { benchmarkTokens(b, 0) })
}

// benchmarkTokens sends an event on each stream at the given interval.
func benchmarkTokens(b *testing.B, interval time.Duration) {
	for _, way := range []string{"direct", "gateway"} {
		b.Run(way, func(b *testing.B) {
			e := startBenchEngine(b)
			address := e.address
			if way == "gateway" {
				address = benchGateway(b, address)
			}
			readers := openStreams(b, e, address)
			b.ResetTimer()
			before := cpuTime()
			start := time.Now()
			for number := range b.N {
				time.Sleep(time.Until(start.Add(time.Duration(number) * interval)))
				e.tick()
			}
			e.end()
			readers.Wait()
			tokens := float64(b.N * benchStreams)
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/tokens/1000, "cpu-us/token")
			b.ReportMetric(tokens/time.Since(start).Seconds(), "tokens/s")
		})
	}
}

// openStreams opens the streams, sends the first event on each and starts to read
// them until they end. The returned group waits for that.
func openStreams(b *testing.B, e *benchEngine, address string) *conc.WaitGroup {
	request := newBenchRequest(address, true)
	connections := make([]net.Conn, benchStreams)
	for i := range connections {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = connection.Close() })
		if _, err := request.WriteTo(connection); err != nil {
			b.Fatal(err)
		}
		connections[i] = connection
	}
	for {
		e.mutex.Lock()
		begun := len(e.streams)
		e.mutex.Unlock()
		if begun == benchStreams {
			break
		}
		time.Sleep(time.Millisecond)
	}
	e.tick()
	var group conc.WaitGroup
	for _, connection := range connections {
		group.Go(func() {
			buffer := make([]byte, 4096)
			for {
				n, err := connection.Read(buffer)
				if err != nil || bytes.HasSuffix(buffer[:n], []byte("0\r\n\r\n")) {
					return
				}
			}
		})
	}
	return &group
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkDecodeBody decodes the body of a short chat.
func BenchmarkDecodeBody(b *testing.B) {
	body := []byte(chatBody("glaze-7b", benchPrompt, true))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeBody(body, chatCompletions.promptField); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodeManyFields decodes a body of 4 MiB that consists of tiny fields,
// the body for which a node needs the most memory.
func BenchmarkDecodeManyFields(b *testing.B) {
	body := []byte(`{"model":"glaze-7b","messages":[]` + strings.Repeat(`,"":0`, DefaultBodyBytes/len(`,"":0`)-10) + "}")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeBody(body, chatCompletions.promptField); err != nil {
			b.Fatal(err)
		}
	}
}
