package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
)

// benchConfig makes the simulated work small compared with the stand-in's own
// cost.
func benchConfig() EngineConfig {
	config := testConfig()
	config.MaxBatch = 1024
	config.MemoryBytes = 1000 * gibibyte
	config.Speed = 1000
	return config
}

func startBenchEngine(b *testing.B) *EngineServer {
	b.Helper()
	server, err := ListenEngine("127.0.0.1:0", benchConfig())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	server.Order(loadOrder(1, "a", gibibyte))
	server.WaitState(b.Context(), "a", engine.ItemReady)
	return server
}

func benchmarkRequests(b *testing.B, body string) (bytesRead int64) {
	server := startBenchEngine(b)
	url := "http://" + server.Address() + "/v1/completions"
	b.ReportAllocs()
	for b.Loop() {
		response, err := http.Post(url, "application/json", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		count, err := io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil || count == 0 {
			b.Fatal(count, err)
		}
		bytesRead += count
	}
	return bytesRead
}

func BenchmarkEngineWholeAnswer(b *testing.B) {
	benchmarkRequests(b, `{"model":"a","prompt":"p","max_tokens":16}`)
}

func BenchmarkEngineStream(b *testing.B) {
	const tokens = 1000
	started := time.Now()
	benchmarkRequests(b, fmt.Sprintf(`{"model":"a","prompt":"p","max_tokens":%d,"stream":true}`, tokens))
	b.ReportMetric(float64(b.N*tokens)/time.Since(started).Seconds(), "tokens/s")
}

// BenchmarkEngineParallel measures the stand-in's own throughput with parallel
// requests.
func BenchmarkEngineParallel(b *testing.B) {
	server := startBenchEngine(b)
	url := "http://" + server.Address() + "/v1/completions"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.Cleanup(client.CloseIdleConnections)
	b.SetParallelism(5)
	b.RunParallel(func(next *testing.PB) {
		for next.Next() {
			response, err := client.Post(url, "application/json", strings.NewReader(`{"model":"a","prompt":"p","max_tokens":16,"stream":true}`))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkEngineState measures the simulation steps of a full batch of 64.
func BenchmarkEngineState(b *testing.B) {
	state := newTestState(DefaultEngineConfig())
	state.order(loadOrder(1, "a", gibibyte))
	state.finishLoad(state.items["a"], true)
	prompt := string(bytes.Repeat([]byte("x"), 4000))
	sent := 0
	b.ReportAllocs()
	for b.Loop() {
		for len(state.batch.active) < 64 {
			sent++
			if _, err := state.submit(submission{id: fmt.Sprint(sent), model: "a", prompt: prompt, maxTokens: 100}); err != nil {
				b.Fatal(err)
			}
		}
		state.advanceBy(time.Millisecond)
	}
}
