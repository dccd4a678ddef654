package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

func testConfig() EngineConfig {
	config := DefaultEngineConfig()
	config.ID = "a1"
	config.MemoryBytes = 10 * gibibyte
	config.KVReserveBytes = gibibyte
	config.Speed = 100
	return config
}

func startEngine(t *testing.T, config EngineConfig) *EngineServer {
	t.Helper()
	server, err := ListenEngine("127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

func loadOrder(fence api.Fence, model api.ModelName, bytes uint64) engine.Order {
	return engine.Order{
		ID: "o-" + string(model), Fence: fence, Kind: engine.OrderLoad,
		Model: model, Checkpoint: "c-" + string(model), MemoryBytes: bytes,
	}
}

func waitReady(t *testing.T, e *Engine, model api.ModelName) {
	t.Helper()
	if !e.WaitState(t.Context(), model, engine.ItemReady) {
		t.Fatal("the model did not become ready")
	}
}

func post(t *testing.T, ctx context.Context, address, path, body string, headers map[string]string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// readEvents returns the data of the events and whether the end mark followed.
func readEvents(t *testing.T, body io.Reader) (events []string, done bool) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			return events, true
		}
		if ok {
			events = append(events, data)
		}
	}
	return events, false
}

func textOf(t *testing.T, events []string) string {
	t.Helper()
	var text strings.Builder
	for _, event := range events {
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
				Text  string
			}
		}
		if err := json.Unmarshal([]byte(event), &chunk); err != nil {
			t.Fatalf("event %q: %v", event, err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content + choice.Text)
		}
	}
	return text.String()
}

func TestEngineServesStreamedAndWholeAnswersUntilUnloaded(t *testing.T) {
	server := startEngine(t, testConfig())
	client := engine.NewHTTPClient(engine.HTTPClientConfig{})
	result, err := client.Order(t.Context(), server.Address(), loadOrder(api.MakeFence(1, 1), "glaze-7b", gibibyte))
	if err != nil || result.Status != engine.OrderAccepted {
		t.Fatalf("load: %+v, %v", result, err)
	}
	waitReady(t, server.Engine, "glaze-7b")

	body := `{"model":"glaze-7b","messages":[{"role":"user","content":"cone 6?"}],"max_tokens":5,"stream":true,"stream_options":{"include_usage":true}}`
	streamed := post(t, t.Context(), server.Address(), "/v1/chat/completions", body, map[string]string{engine.HeaderRequestID: "r1"})
	events, done := readEvents(t, streamed.Body)
	if !done || len(events) != 7 { // five tokens, finish reason, usage
		t.Fatalf("events %q, done %t", events, done)
	}
	prompt := engine.ChatPrompt([]engine.ChatMessage{{Role: "user", Content: "cone 6?"}})
	if got, want := textOf(t, events), AnswerText("glaze-7b", prompt, "r1", 5); got != want {
		t.Errorf("text %q, want %q", got, want)
	}
	if !strings.Contains(events[6], `"completion_tokens":5`) {
		t.Errorf("usage event %s", events[6])
	}

	whole := post(t, t.Context(), server.Address(), "/v1/completions", `{"model":"glaze-7b","prompt":"cone 6?","max_tokens":3}`, map[string]string{engine.HeaderRequestID: "r2"})
	var answer struct {
		Choices []struct {
			Text         string
			FinishReason string `json:"finish_reason"`
		}
	}
	if err := json.NewDecoder(whole.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	if want := AnswerText("glaze-7b", "cone 6?", "r2", 3); answer.Choices[0].Text != want {
		t.Errorf("text %q, want %q", answer.Choices[0].Text, want)
	}

	unload := engine.Order{ID: "u", Fence: api.MakeFence(1, 2), Kind: engine.OrderUnload, Model: "glaze-7b"}
	if result, err = client.Order(t.Context(), server.Address(), unload); err != nil || result.Status != engine.OrderAccepted {
		t.Fatalf("unload: %+v, %v", result, err)
	}
	server.WaitGone(t.Context(), "glaze-7b")
	refused := post(t, t.Context(), server.Address(), "/v1/completions", `{"model":"glaze-7b","prompt":"x"}`, nil)
	if refused.StatusCode != http.StatusNotFound || refused.Header.Get(engine.HeaderNotRun) != "true" {
		t.Errorf("status %d, headers %v", refused.StatusCode, refused.Header)
	}
	if executed := server.Executed(); executed["r1"] != 1 || executed["r2"] != 1 || len(executed) != 2 {
		t.Errorf("executed %v, want r1 and r2 once each", executed)
	}
}
