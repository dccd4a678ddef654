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
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic"
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

// testCatalog has a model, an adapter and a model that is unsafe to repeat.
var testCatalog = fakeCatalog{
	{Name: "glaze-7b", Service: "assistant"},
	{Name: "glaze-7b:studio-3", Base: "glaze-7b", Service: "assistant"},
	{Name: "slots", Service: "booking", Settings: tree.Settings{UnsafeToRepeat: true, RepeatRetention: time.Minute}},
}

// fakeDispatcher grants the targets in turn and records the outcomes.
type fakeDispatcher struct {
	targets []traffic.Target
	retries int // allowed per request
	acquire func(ctx context.Context, request traffic.Request) error

	mutex    sync.Mutex
	requests []traffic.Request
	outcomes []traffic.Outcome
}

func (d *fakeDispatcher) Acquire(ctx context.Context, request traffic.Request) (traffic.Grant, error) {
	if d.acquire != nil {
		if err := d.acquire(ctx, request); err != nil {
			return nil, err
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.requests = append(d.requests, request)
	return &fakeGrant{dispatcher: d, request: request}, nil
}

func (d *fakeDispatcher) record(outcome traffic.Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.outcomes = append(d.outcomes, outcome)
}

// kinds returns the kinds of the outcomes so far.
func (d *fakeDispatcher) kinds() []traffic.OutcomeKind {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	kinds := make([]traffic.OutcomeKind, len(d.outcomes))
	for i, outcome := range d.outcomes {
		kinds[i] = outcome.Kind
	}
	return kinds
}

type fakeGrant struct {
	dispatcher *fakeDispatcher
	request    traffic.Request
	attempt    int
}

func (g *fakeGrant) Target() traffic.Target {
	return g.dispatcher.targets[g.attempt%len(g.dispatcher.targets)]
}

func (g *fakeGrant) Done(outcome traffic.Outcome) { g.dispatcher.record(outcome) }

func (g *fakeGrant) Retry(ctx context.Context, outcome traffic.Outcome) (traffic.Grant, error) {
	g.dispatcher.record(outcome)
	if ctx.Err() != nil {
		return nil, &traffic.Refusal{Reason: traffic.ReasonCallerLeft, Message: "left", NotRun: true}
	}
	notRun := outcome.Kind == traffic.OutcomeNotRun
	if g.attempt >= g.dispatcher.retries || g.request.Unsafe && !notRun {
		reason := traffic.ReasonOutcomeUnknown
		if notRun {
			reason = traffic.ReasonEngineFailed
		}
		return nil, &traffic.Refusal{Reason: reason, Message: "no retry", NotRun: notRun}
	}
	return &fakeGrant{dispatcher: g.dispatcher, request: g.request, attempt: g.attempt + 1}, nil
}

// fakeEngine speaks the engine's completion API. Its answers repeat the mark
// in the prompt, so that a mix-up shows.
type fakeEngine struct {
	address string
	tokens  int
	// intercept may handle a request in place of the engine.
	intercept func(w http.ResponseWriter, r *http.Request, body []byte) bool
	// pause is called before each token of a stream.
	pause func(r *http.Request, token int)

	mutex     sync.Mutex
	received  int // requests, without resumptions
	resumed   int
	cancelled map[string]bool
	changed   chan struct{} // closed and replaced at each cancellation
}

func startEngine(t testing.TB, tokens int) *fakeEngine {
	t.Helper()
	e := &fakeEngine{tokens: tokens, cancelled: make(map[string]bool), changed: make(chan struct{})}
	listener := listen(t)
	e.address = listener.Addr().String()
	server := &http.Server{Handler: e}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Wait()
	})
	return e
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (e *fakeEngine) target() traffic.Target {
	return traffic.Target{Server: "server-1", Address: e.address}
}

// dispatcher returns a dispatcher whose only target is the engine.
func (e *fakeEngine) dispatcher() *fakeDispatcher {
	return &fakeDispatcher{targets: []traffic.Target{e.target()}}
}

// pauseAt calls hold before one token of each stream.
func (e *fakeEngine) pauseAt(at int, hold func(*http.Request)) {
	e.pause = func(r *http.Request, token int) {
		if token == at {
			hold(r)
		}
	}
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == engine.PathCancel {
		e.cancel(body)
		return
	}
	e.count(r)
	if e.intercept != nil && e.intercept(w, r, body) {
		return
	}
	e.answer(w, r, body)
}

// count counts a request or resumption.
func (e *fakeEngine) count(r *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if r.Header.Get(engine.HeaderResumeFrom) == "" {
		e.received++
	} else {
		e.resumed++
	}
}

func (e *fakeEngine) cancel(body []byte) {
	var request engine.CancelRequest
	_ = json.Unmarshal(body, &request)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cancelled[request.RequestID] = true
	close(e.changed)
	e.changed = make(chan struct{})
}

// waitCancelled waits until count requests were cancelled.
func (e *fakeEngine) waitCancelled(t *testing.T, count int) {
	t.Helper()
	for {
		e.mutex.Lock()
		done, changed := len(e.cancelled) >= count, e.changed
		e.mutex.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Second):
			t.Fatal("no cancellation at the engine")
		}
	}
}

func (e *fakeEngine) requests() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.received
}

// engineRequest is what a fakeEngine reads of a body.
type engineRequest struct {
	Model    string
	Stream   bool
	Messages []struct{ Content string }
}

func markOf(body []byte) (string, bool) {
	var request engineRequest
	_ = json.Unmarshal(body, &request)
	if len(request.Messages) == 0 {
		return "", request.Stream
	}
	return request.Messages[0].Content, request.Stream
}

func (e *fakeEngine) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	mark, stream := markOf(body)
	requestID := r.Header.Get(engine.HeaderRequestID)
	w.Header().Set(engine.HeaderRequestID, requestID)
	if !stream {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, wholeBody(requestID, mark, e.tokens))
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeFrom))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for token := from; token < e.tokens; token++ {
		if e.pause != nil {
			e.pause(r, token)
		}
		if _, err := io.WriteString(w, tokenEvent(requestID, mark, token)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func wholeBody(requestID, mark string, tokens int) string {
	return fmt.Sprintf(`{"id":"chatcmpl-%s","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":3}}}`,
		requestID, strings.Repeat(mark+" ", tokens), tokens)
}

func tokenEvent(requestID, mark string, token int) string {
	return fmt.Sprintf("data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
		requestID, fmt.Sprintf("%s/%d", mark, token))
}

// startGateway serves a gateway with config's gaps filled and returns its URL.
func startGateway(t testing.TB, config Config) (*Gateway, string) {
	t.Helper()
	if config.Catalog == nil {
		config.Catalog = func() Catalog { return testCatalog }
	}
	config.Timeouts.ResumePause = time.Millisecond
	config.Timeouts.TurnAway = cmp.Or(config.Timeouts.TurnAway, time.Millisecond)
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

// newClient returns a client with its own connections.
func newClient(t testing.TB) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 30 * time.Second}
}

func chatBody(model, mark string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, mark)
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// post sends body to the path and returns the whole answer.
func post(t testing.TB, client *http.Client, url, body string, header map[string]string) reply {
	t.Helper()
	got, err := tryPost(client, url, body, header)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// chat sends a chat completion on a connection of its own.
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

// streamResult is a stream as a caller sees it.
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

// checkTokens checks that the stream is whole and holds just mark's tokens.
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

// checkStream checks that body is a whole stream of just mark's tokens.
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
