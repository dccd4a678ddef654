package gateway

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// fakeCatalog is a fixed set of models.
type fakeCatalog []tree.Model

func (f fakeCatalog) Model(name api.ModelName) (tree.Model, bool) {
	for _, model := range f {
		if model.Name == name {
			return model, true
		}
	}
	return tree.Model{}, false
}

func (f fakeCatalog) Models() []tree.Model    { return f }
func (f fakeCatalog) Revision() tree.Revision { return 7 }

// testCatalog has a model, an adapter and a model whose requests are unsafe to
// repeat.
var testCatalog = fakeCatalog{
	{Name: "glaze-7b", Service: "assistant"},
	{Name: "glaze-7b:studio-3", Base: "glaze-7b", Service: "assistant"},
	{Name: "slots", Service: "booking", Settings: tree.Settings{UnsafeToRepeat: true, RepeatRetention: time.Minute}},
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// startGateway starts a gateway with config, completed by test defaults, and
// returns its URL.
func startGateway(t testing.TB, config Config) (*Gateway, string) {
	t.Helper()
	if config.Catalog == nil {
		config.Catalog = func() Catalog { return testCatalog }
	}
	config.Timeouts.ResumePause = time.Millisecond
	config.Timeouts.RefuseNew = cmp.Or(config.Timeouts.RefuseNew, time.Millisecond)
	config.Node = "node-1"
	config.Region = "uy-south"
	g, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	listener := listen(t)
	var group conc.WaitGroup
	group.Go(func() {
		if err := g.Serve(listener); err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := g.Drain(ctx); err != nil {
			t.Errorf("Drain: %v", err)
		}
		group.Wait()
	})
	return g, "http://" + listener.Addr().String()
}

// newClient returns a client with its own connection pool.
func newClient(t testing.TB) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 30 * time.Second}
}

func chatBody(model, mark string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, mark)
}

// boundedBody is chatBody with max_tokens.
func boundedBody(model, prompt string, stream bool, tokens int) string {
	return strings.Replace(chatBody(model, prompt, stream), "{", fmt.Sprintf(`{"max_tokens":%d,`, tokens), 1)
}

// reply is an answer as the caller receives it.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// post sends body to url and returns the whole answer.
func post(t testing.TB, client *http.Client, url, body string, header map[string]string) reply {
	t.Helper()
	got, err := tryPost(client, url, body, header)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// chat sends a chat completion on a new connection.
func chat(t testing.TB, url, body string, header map[string]string) reply {
	t.Helper()
	return post(t, newClient(t), url+"/v1/chat/completions", body, header)
}

func tryPost(client *http.Client, url, body string, header map[string]string) (reply, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: content}, err
}

// apiErrorOf decodes the error in an answer.
func apiErrorOf(t testing.TB, got reply) APIError {
	t.Helper()
	var envelope struct{ Error APIError }
	if err := json.Unmarshal(got.body, &envelope); err != nil {
		t.Fatalf("status %d, body %q: %v", got.status, got.body, err)
	}
	return envelope.Error
}

// streamResult is a stream as the caller receives it.
type streamResult struct {
	tokens []string
	done   bool
	broken *APIError
}

func readStream(body []byte) (streamResult, error) {
	var result streamResult
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if result.done || result.broken != nil {
			return result, fmt.Errorf("event after the end: %s", data)
		}
		if data == "[DONE]" {
			result.done = true
			continue
		}
		var event struct {
			Error   *APIError
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return result, err
		}
		if event.Error != nil {
			result.broken = event.Error
			continue
		}
		result.tokens = append(result.tokens, event.Choices[0].Delta.Content)
	}
	return result, scanner.Err()
}

// checkTokens checks that the stream is complete and consists of count tokens
// with the given mark.
func checkTokens(result streamResult, mark string, count int) error {
	if !result.done || result.broken != nil {
		return fmt.Errorf("stream of %s: done %t, error %v", mark, result.done, result.broken)
	}
	if len(result.tokens) != count {
		return fmt.Errorf("stream of %s: %d tokens, want %d", mark, len(result.tokens), count)
	}
	for i, token := range result.tokens {
		if want := fmt.Sprintf("%s/%d", mark, i); token != want {
			return fmt.Errorf("token %q, want %q", token, want)
		}
	}
	return nil
}

// checkStream checks that body is a complete stream of count tokens with the
// given mark.
func checkStream(t testing.TB, body []byte, mark string, count int) {
	t.Helper()
	result, err := readStream(body)
	if err != nil {
		t.Fatal(err)
	}
	if err := checkTokens(result, mark, count); err != nil {
		t.Error(err)
	}
}
