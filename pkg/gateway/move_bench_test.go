package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/standin"
)

// BenchmarkMoveStream measures how long a running stream pauses when it moves to
// another engine: by export, import and resumption ("move-ms"), with the export
// padded to the size of a real KV cache, or as a new request whose prompt includes
// the text so far ("recompute-ms"). "finish-ms" is the time for 1,000 more tokens
// at the old engine.
func BenchmarkMoveStream(b *testing.B) {
	for _, promptTokens := range []int{500, 8000, 32000} {
		for _, soFar := range []int{30, 240} {
			for _, mebibytes := range []int{0, 4, 16, 45} {
				name := fmt.Sprintf("prompt=%d/tokens=%d/transfer=%dMiB", promptTokens, soFar, mebibytes)
				b.Run(name, func(b *testing.B) { benchmarkMove(b, promptTokens, soFar, mebibytes<<20, 0) })
			}
		}
	}
	for _, others := range []int{7, 15} {
		b.Run(fmt.Sprintf("prompt=8000/tokens=240/transfer=45MiB/others=%d", others), func(b *testing.B) {
			benchmarkMove(b, 8000, 240, 45<<20, others)
		})
	}
}

// benchmarkMove moves a stream from an engine that runs the given number of other
// streams.
func benchmarkMove(b *testing.B, promptTokens, soFar, padding, others int) {
	from, to, other := startRealTimeStandIn(b), startRealTimeStandIn(b), startRealTimeStandIn(b)
	for number := range others {
		beside := openStandInStream(b, from, fmt.Sprint("beside-", number), "ash", -1)
		defer func() { _ = beside.response.Body.Close() }()
		beside.skip(b, 1)
	}
	client := engine.NewHTTPClient(engine.HTTPClientConfig{})
	exporter := startPaddedExporter(b, client, from.Address(), padding)
	var move, recompute, perToken time.Duration
	for b.Loop() {
		prompt := strings.Repeat("ash ", promptTokens)
		old := openStandInStream(b, from, "moved", prompt, -1)
		old.skip(b, soFar/2)
		halfway := time.Now()
		old.skip(b, soFar/2)
		perToken += time.Since(halfway) / time.Duration(soFar/2)

		start := time.Now()
		export, err := client.ExportKV(context.Background(), exporter, engine.KVExportRequest{RequestID: "moved", Cancel: true})
		if err != nil {
			b.Fatal(err)
		}
		if err := client.ImportKV(context.Background(), to.Address(), export); err != nil {
			b.Fatal(err)
		}
		resumed := openStandInStream(b, to, "moved", prompt, soFar)
		resumed.skip(b, 1)
		move += time.Since(start)

		start = time.Now()
		again := openStandInStream(b, other, "again", prompt+strings.Repeat("ash ", soFar), -1)
		again.skip(b, 1)
		recompute += time.Since(start)
		for _, stream := range []*standInStream{old, resumed, again} {
			_ = stream.response.Body.Close()
		}
	}
	milliseconds := func(total time.Duration) float64 { return total.Seconds() * 1000 / float64(b.N) }
	b.ReportMetric(milliseconds(move), "move-ms")
	b.ReportMetric(milliseconds(recompute), "recompute-ms")
	b.ReportMetric(1000*milliseconds(perToken), "finish-ms")
	b.ReportMetric(0, "ns/op")
}

// startPaddedExporter starts a proxy that adds padding to an engine's exports,
// which the stand-in ignores on import, and returns its address.
func startPaddedExporter(b *testing.B, client engine.Client, from string, padding int) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request engine.KVExportRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			return
		}
		export, err := client.ExportKV(r.Context(), from, request)
		if err != nil {
			return
		}
		export.Data = append(export.Data, make([]byte, padding)...)
		_ = json.NewEncoder(w).Encode(export)
	}))
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startRealTimeStandIn starts an engine stand-in that runs in real time without a
// prompt cache.
func startRealTimeStandIn(b *testing.B) *standin.EngineServer {
	config := standin.DefaultEngineConfig()
	config.ID = "server"
	config.PrefixCacheBytes = 0
	server, err := standin.ListenEngine("127.0.0.1:0", config)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	server.Order(engine.Order{ID: "load", Fence: api.MakeFence(1, 1), Kind: engine.OrderLoad, Model: "glaze-7b", Checkpoint: "glaze-7b", MemoryBytes: 1 << 20})
	for !allReady(server) {
		time.Sleep(time.Millisecond)
	}
	return server
}

// standInStream is a stream read directly from an engine stand-in.
type standInStream struct {
	response *http.Response
	lines    *bufio.Scanner
}

func openStandInStream(b *testing.B, server *standin.EngineServer, id, prompt string, resumeFrom int) *standInStream {
	body := fmt.Sprintf(`{"model":"glaze-7b","stream":true,"max_tokens":2000,"prompt":%q}`, prompt)
	request, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+completions.path, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set(engine.HeaderRequestID, id)
	if resumeFrom >= 0 {
		request.Header.Set(engine.HeaderResumeFrom, fmt.Sprint(resumeFrom))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatal(err, response)
	}
	return &standInStream{response: response, lines: bufio.NewScanner(response.Body)}
}

// skip reads and discards the given number of events.
func (s *standInStream) skip(b *testing.B, events int) {
	for events > 0 {
		if !s.lines.Scan() {
			b.Fatal("stream ended", s.lines.Err())
		}
		if strings.HasPrefix(s.lines.Text(), "data: ") {
			events--
		}
	}
}
