package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/security"
	"martenwheel.dev/pkg/traffic"
)

var _ Authenticator = (*security.Keys)(nil)

// fakeKeys maps API keys to caller names.
type fakeKeys map[string]string

func (f fakeKeys) Authenticate(key []byte) (string, bool) {
	caller, known := f[string(key)]
	return caller, known
}

// TestBadRequestsGoNowhere checks that requests which are malformed, truncated,
// too large or not authorized are refused as not run, and reach neither the
// keepers, the dispatcher nor an engine.
func TestBadRequestsGoNowhere(t *testing.T) {
	good := chatBody("glaze-7b", "ash", false)
	key := "Authorization: Bearer k1\r\n"
	cases := []struct {
		name   string
		raw    string
		status int
		code   string
	}{
		{"no key", rawRequest(good, ""), 401, codeInvalidKey},
		{"wrong key", rawRequest(good, "Authorization: Bearer k2\r\n"), 401, codeInvalidKey},
		{"wrong scheme", rawRequest(good, "Authorization: Basic k1\r\n"), 401, codeInvalidKey},
		{"unknown model", rawRequest(chatBody("kiln", "ash", false), key), 404, "model_not_found"},
		{"cut JSON", rawRequest(good[:20], key), 400, codeInvalidBody},
		{"no body", rawRequest("", key), 400, codeInvalidBody},
		{"too large", rawRequest(chatBody("glaze-7b", strings.Repeat("x", 5000), false), key), 413, codeBodyTooLarge},
		{"declared too large", "POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\n" + key + "Content-Length: 99999999\r\n\r\n{", 413, codeBodyTooLarge},
		{"header too large", rawRequest(good, key+"X-Long: "+strings.Repeat("x", 5000)+"\r\n"), 431, codeHeaderTooLarge},
		{"compressed", rawRequest(good, key+"Content-Encoding: gzip\r\n"), 415, codeInvalidBody},
		{"bad header value", rawRequest(good, key+"X-Priority: high\r\n"), 400, codeInvalidHeader},
		{"header twice", rawRequest(good, key+"X-Priority: 1\r\nX-Priority: 2\r\n"), 400, codeInvalidHeader},
		{"unsafe without key", rawRequest(good, key+"X-Unsafe-To-Repeat: true\r\n"), 400, codeKeyMissing},
		{"model unsafe without key", rawRequest(chatBody("slots", "ash", false), key), 400, codeKeyMissing},
		{"unknown path", "POST /v1/embeddings HTTP/1.1\r\nHost: g\r\nContent-Length: 0\r\n\r\n", 404, codeNotFound},
		{"wrong method", "GET /v1/chat/completions HTTP/1.1\r\nHost: g\r\n\r\n", 405, codeNotFound},
		{"no HTTP", "kiln\r\n\r\n", 400, codeInvalidBody},
		{"cut body", "POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\n" + key + "Content-Length: 100\r\n\r\n" + good[:20], 400, codeInvalidBody},
		{"cut chunked body", "POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\n" + key + "Transfer-Encoding: chunked\r\n\r\nff\r\n" + good[:20], 400, codeInvalidBody},
		{"cut header", "POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\n" + key, 0, ""},
	}
	engineServer := startEngine(t, 3)
	claims := newGrantingClaims()
	dispatcher := engineServer.dispatcher()
	_, url := startGateway(t, Config{
		Dispatcher:    dispatcher,
		Claims:        claims,
		Authenticator: fakeKeys{"k1": "studio"},
		Limits:        Limits{BodyBytes: 4096, HeaderBytes: 4096},
	})
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			connection := dialRaw(t, url)
			_, _ = io.WriteString(connection, test.raw)
			_ = connection.(*net.TCPConn).CloseWrite()
			received, _ := io.ReadAll(connection) // a connection reset after the answer is harmless
			if test.status == 0 {
				if bytes.Contains(received, []byte("200")) {
					t.Errorf("answered %s", received)
				}
				return
			}
			if !bytes.HasPrefix(received, fmt.Appendf(nil, "HTTP/1.1 %d ", test.status)) {
				t.Fatalf("answered %s", received)
			}
			_, body, _ := bytes.Cut(received, []byte("\r\n\r\n"))
			if apiError := apiErrorOf(t, reply{body: body}); !apiError.NotRun || apiError.Code != test.code || apiError.Message == "" {
				t.Errorf("error %+v, want code %s", apiError, test.code)
			}
		})
	}
	if len(dispatcher.requests)+len(claims.claims)+engineServer.requests() != 0 {
		t.Errorf("%d dispatched, %d claimed, %d at the engine", len(dispatcher.requests), len(claims.claims), engineServer.requests())
	}
}

// TestAllFindingsAtOnce checks that an error lists all faults of a request.
func TestAllFindingsAtOnce(t *testing.T) {
	_, url := startGateway(t, Config{Dispatcher: &fakeDispatcher{}})
	got := post(t, newClient(t), url+"/v1/completions", `{"model":"glaze-7b","prompt":"a"}`,
		map[string]string{HeaderPriority: "x", HeaderUnsafe: "maybe", HeaderDeadlineMillis: "0"})
	message := apiErrorOf(t, got).Message
	for _, header := range []string{HeaderPriority, HeaderUnsafe, HeaderDeadlineMillis} {
		if !strings.Contains(message, header) {
			t.Errorf("%s is missing in the message %q", header, message)
		}
	}
}

// TestWhatTheEngineReceives checks that the engine gets the body unchanged and
// only the headers meant for it.
func TestWhatTheEngineReceives(t *testing.T) {
	engineServer := startEngine(t, 1)
	var header http.Header
	var received string
	engineServer.intercept = func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
		header, received = r.Header.Clone(), string(body)
		return false
	}
	dispatcher := engineServer.dispatcher()
	_, url := startGateway(t, Config{Dispatcher: dispatcher, Authenticator: fakeKeys{"k1": "studio"}})
	body := `{ "model":"glaze-7b", "unknown":[1, 2],"max_tokens":7, "messages":[{"role":"user","content":"` + strings.Repeat("kiln", 200) + `"}] }`
	got := chat(t, url, body, map[string]string{
		"Authorization":     "Bearer k1",
		HeaderRequestID:     "req-1",
		HeaderPriority:      "9",
		HeaderDeadline:      "2126-12-02T08:00:00.25Z",
		"X-Resume-From":     "3",
		"X-Forwarded-Stuff": "a",
	})
	if got.status != http.StatusOK {
		t.Fatalf("status %d, body %s", got.status, got.body)
	}
	if received != body {
		t.Errorf("engine received %q", received)
	}
	if !strings.HasPrefix(header.Get(engine.HeaderRequestID), "req-1.") {
		t.Errorf("request ID %q", header.Get(engine.HeaderRequestID))
	}
	if header.Get(engine.HeaderPriority) != "9" || header.Get(engine.HeaderDeadline) != "2126-12-02T08:00:00.25Z" {
		t.Errorf("header %v", header)
	}
	for _, name := range []string{"Authorization", "X-Resume-From", "X-Forwarded-Stuff"} {
		if header.Get(name) != "" {
			t.Errorf("%s reached the engine", name)
		}
	}
	request := dispatcher.requests[0]
	if request.Caller != "studio" || request.Priority != 9 || request.MaxTokens != 7 || request.Unsafe || len(request.Prefixes) != 3 || request.PromptTokens < 200 {
		t.Errorf("dispatched %+v", request)
	}
}

// TestSameRequestID checks that requests with the same ID from callers get
// different IDs at engines.
func TestSameRequestID(t *testing.T) {
	engineServer := startEngine(t, 1)
	dispatcher := engineServer.dispatcher()
	_, url := startGateway(t, Config{Dispatcher: dispatcher})
	for range 2 {
		chat(t, url, chatBody("glaze-7b", "a", false), map[string]string{HeaderRequestID: "same"})
	}
	if dispatcher.requests[0].ID == dispatcher.requests[1].ID {
		t.Errorf("both requests have the ID %s", dispatcher.requests[0].ID)
	}
}

func TestWholeAnswerTimeFollowsTheTokens(t *testing.T) {
	c := &call{gateway: &Gateway{config: Config{}.withDefaults()}}
	for tokens, want := range map[int]time.Duration{
		0:       DefaultWholeAnswer,
		12:      DefaultWholeAnswerBase + 12*DefaultWholeAnswerPerToken,
		100_000: DefaultWholeAnswer,
	} {
		c.request.MaxTokens = tokens
		if got := c.wholeAnswerTimeout(); got != want {
			t.Errorf("%d tokens: %s, want %s", tokens, got, want)
		}
	}
}

// TestDispatcherRefusal checks that the reason, Retry-After and "not run" of a
// refusal reach the caller.
func TestDispatcherRefusal(t *testing.T) {
	dispatcher := &fakeDispatcher{acquire: func(ctx context.Context, _ traffic.Request) error {
		return &traffic.Refusal{Reason: traffic.ReasonQueueFull, Message: "the queue is full", NotRun: true, RetryAfter: 2200 * time.Millisecond}
	}}
	_, url := startGateway(t, Config{Dispatcher: dispatcher})
	got := chat(t, url, chatBody("glaze-7b", "a", true), nil)
	apiError := apiErrorOf(t, got)
	if got.status != 429 || got.header.Get("Retry-After") != "3" || got.header.Get(HeaderNotRun) != "true" {
		t.Errorf("status %d, header %v", got.status, got.header)
	}
	if apiError.Code != "queue_full" || apiError.Type != typeRateLimit || !apiError.NotRun {
		t.Errorf("error %+v", apiError)
	}
}

// TestPanicEndsOneRequest checks that a panic while a request is handled fails
// only this request.
func TestPanicEndsOneRequest(t *testing.T) {
	engineServer := startEngine(t, 1)
	dispatcher := engineServer.dispatcher()
	dispatcher.acquire = func(_ context.Context, request traffic.Request) error {
		if request.MaxTokens == 13 {
			panic("thirteen")
		}
		return nil
	}
	_, url := startGateway(t, Config{Dispatcher: dispatcher})
	client := newClient(t)
	got := post(t, client, url+"/v1/completions", `{"model":"glaze-7b","prompt":"a","max_tokens":13}`, nil)
	if apiError := apiErrorOf(t, got); got.status != 500 || !apiError.NotRun {
		t.Errorf("status %d, error %+v", got.status, apiError)
	}
	if got := post(t, client, url+"/v1/completions", `{"model":"glaze-7b","prompt":"a"}`, nil); got.status != 200 {
		t.Errorf("the next request: status %d", got.status)
	}
}

// TestRecords checks that each request is logged in one line and counted once.
func TestRecords(t *testing.T) {
	engineServer := startEngine(t, 4)
	var output bytes.Buffer
	registry := prometheus.NewRegistry()
	g, url := startGateway(t, Config{
		Dispatcher: engineServer.dispatcher(),
		Metrics:    registry,
		Logger:     hclog.New(&hclog.LoggerOptions{Output: &output, JSONFormat: true}),
	})
	client := newClient(t)
	post(t, client, url+"/v1/chat/completions", chatBody("glaze-7b", "a", true), map[string]string{HeaderRequestID: "r-1"})
	post(t, client, url+"/v1/chat/completions", chatBody("made-up", "a", true), nil)
	if err := g.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	line, rest, _ := bytes.Cut(output.Bytes(), []byte("\n"))
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		t.Fatalf("%v in %s", err, line)
	}
	for name, want := range map[string]any{
		"request_id": "r-1", "caller": anonymous, "model": "glaze-7b", "node": "node-1", "server": "server-1",
		"revision": 7.0, "outcome": outcomeServed, "tokens": 4.0, "attempts": 1.0,
	} {
		if fields[name] != want {
			t.Errorf("%s is %v, want %v", name, fields[name], want)
		}
	}
	if bytes.Count(rest, []byte("\n")) != 1 || !bytes.Contains(rest, []byte("model_not_found")) {
		t.Errorf("second line %s", rest)
	}
	if count := testutil.ToFloat64(g.metrics.requests.WithLabelValues("glaze-7b", outcomeServed)); count != 1 {
		t.Errorf("%v requests served, want 1", count)
	}
	if count := testutil.ToFloat64(g.metrics.requests.WithLabelValues("", outcomeInvalid)); count != 1 {
		t.Errorf("%v requests invalid, want 1", count)
	}
	if inFlight := testutil.ToFloat64(g.metrics.inFlight); inFlight != 0 {
		t.Errorf("%v requests in flight, want 0", inFlight)
	}
}

func TestNewReportsAllFindings(t *testing.T) {
	_, err := New(Config{})
	for _, field := range []string{"Dispatcher", "Catalog", "Region"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s is missing in the error %v", field, err)
		}
	}
}
