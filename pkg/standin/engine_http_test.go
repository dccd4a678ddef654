package standin

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

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// startLoaded starts an engine with the model "a" ready.
func startLoaded(t *testing.T, config EngineConfig) *EngineServer {
	t.Helper()
	server := startEngine(t, config)
	if result := server.Order(loadOrder(1, "a", gibibyte)); result.Status != engine.OrderAccepted {
		t.Fatalf("load: %+v", result)
	}
	waitReady(t, server.Engine, "a")
	return server
}

const streamBody = `{"model":"a","prompt":"p","max_tokens":200,"stream":true}`

func requestID(id string) map[string]string {
	return map[string]string{engine.HeaderRequestID: id}
}

// idle reports whether the engine has no requests at present.
func idle(e *Engine) bool {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	return e.WaitIdle(ended)
}

func TestCallerThatLeavesStopsItsRequest(t *testing.T) {
	server := startLoaded(t, testConfig())
	ctx, cancel := context.WithCancel(t.Context())
	response := post(t, ctx, server.Address(), "/v1/completions", strings.Replace(streamBody, "200", "8000", 1), requestID("r"))
	if _, err := response.Body.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	if idle(server.Engine) {
		t.Fatal("no request is running")
	}
	cancel()
	server.WaitIdle(t.Context())
	now := server.progress(server.state.batch.generations["r"])
	if now.phase != phaseCancelled || now.tokens >= 8000 {
		t.Errorf("the request is in phase %d with %d tokens, want it cancelled early", now.phase, now.tokens)
	}
}

func TestResumedStreamContinuesTheAnswer(t *testing.T) {
	for _, received := range []int{0, 1, 57, 200, 201} {
		t.Run(fmt.Sprint(received), func(t *testing.T) {
			server := startLoaded(t, testConfig())
			ctx, cancel := context.WithCancel(t.Context())
			first := post(t, ctx, server.Address(), "/v1/completions", streamBody, requestID("r"))
			if _, err := first.Body.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			cancel()
			server.WaitIdle(t.Context())
			headers := requestID("r")
			headers[engine.HeaderResumeFrom] = fmt.Sprint(received)
			events, done := readEvents(t, post(t, t.Context(), server.Address(), "/v1/completions", streamBody, headers).Body)
			want := strings.SplitAfter(AnswerText("a", "p", "r", 200), " ")
			want = want[:200] // without the empty string at the end
			rest := strings.Join(want[min(received, 200):], "")
			if got := textOf(t, events); got != rest || !done || len(events) != 201-received {
				t.Errorf("%d events, done %t, text %.60q, want %.60q", len(events), done, got, rest)
			}
			if executed := server.Executed(); executed["r"] != 1 {
				t.Errorf("executed %v, want one start", executed)
			}
		})
	}
}

func TestResumeTakesTheStreamOverFromAnOlderConnection(t *testing.T) {
	server := startLoaded(t, testConfig())
	long := strings.Replace(streamBody, "200", "2000", 1)
	older := post(t, t.Context(), server.Address(), "/v1/completions", long, requestID("r"))
	headers := requestID("r")
	headers[engine.HeaderResumeFrom] = "0"
	newer := post(t, t.Context(), server.Address(), "/v1/completions", long, headers)
	events, done := readEvents(t, newer.Body)
	if !done || textOf(t, events) != AnswerText("a", "p", "r", 2000) {
		t.Errorf("%d events, done %t", len(events), done)
	}
	if _, done := readEvents(t, older.Body); done {
		t.Error("the older connection got the end mark too")
	}
}

func TestRequestMovesBetweenEnginesWithItsKVCache(t *testing.T) {
	from, to := startLoaded(t, testConfig()), startLoaded(t, testConfig())
	client := engine.NewHTTPClient(engine.HTTPClientConfig{})
	long := strings.Replace(streamBody, "200", "4000", 1)
	first := post(t, t.Context(), from.Address(), "/v1/completions", long, requestID("r"))
	if _, err := first.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	export, err := client.ExportKV(t.Context(), from.Address(), engine.KVExportRequest{RequestID: "r", Cancel: true})
	if err != nil {
		t.Fatal(err)
	}
	if err := client.ImportKV(t.Context(), to.Address(), export); err != nil {
		t.Fatal(err)
	}
	headers := requestID("r")
	headers[engine.HeaderResumeFrom] = "0"
	events, done := readEvents(t, post(t, t.Context(), to.Address(), "/v1/completions", long, headers).Body)
	if !done || textOf(t, events) != AnswerText("a", "p", "r", 4000) {
		t.Errorf("%d events, done %t", len(events), done)
	}
	if len(to.Executed()) != 0 || from.Executed()["r"] != 1 || !idle(from.Engine) {
		t.Errorf("executed %v at the source and %v at the target", from.Executed(), to.Executed())
	}
}

func TestLeavingEngineRefusesNewWorkAndFinishesItsStreams(t *testing.T) {
	server := startLoaded(t, testConfig())
	running := post(t, t.Context(), server.Address(), "/v1/completions", streamBody, requestID("r"))
	post(t, t.Context(), server.Address(), PathLeave, "", nil)
	refused := post(t, t.Context(), server.Address(), "/v1/completions", streamBody, requestID("s"))
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get(engine.HeaderLeaving) != "true" || refused.Header.Get(engine.HeaderNotRun) != "true" {
		t.Errorf("status %d, headers %v", refused.StatusCode, refused.Header)
	}
	if result := server.Order(loadOrder(2, "b", gibibyte)); result.Status != engine.OrderLeaving {
		t.Errorf("load: %+v", result)
	}
	if !server.Inventory(engine.InventoryRequest{}).Leaving {
		t.Error("the inventory does not report that the engine is leaving")
	}
	stopped := make(chan struct{})
	go func() {
		server.Stop(t.Context())
		close(stopped)
	}()
	if events, done := readEvents(t, running.Body); !done || textOf(t, events) != AnswerText("a", "p", "r", 200) {
		t.Errorf("%d events, done %t", len(events), done)
	}
	<-stopped
	if server.Executed()["s"] != 0 {
		t.Error("the refused request was executed")
	}
}

func TestAnswerFaultsShow(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		check  func(text string, done bool) bool // of the stream
	}{
		{"none", Faults{}, func(text string, done bool) bool { return done && text == AnswerText("a", "p", "r", 200) }},
		{"cut", Faults{CutAnswers: 1}, func(text string, done bool) bool { return !done }},
		{"truncated", Faults{TruncateAnswers: 1}, func(text string, done bool) bool {
			return !done && text == AnswerText("a", "p", "r", 100)
		}},
		{"mixed", Faults{MixAnswers: 1}, func(text string, done bool) bool {
			return done && strings.HasPrefix(text, AnswerText("a", "p", "r", 100)) && strings.Contains(text, Mark("a", "other p"))
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := startLoaded(t, testConfig())
			server.SetFaults(PartRequests, test.faults)
			events, done := readEvents(t, post(t, t.Context(), server.Address(), "/v1/completions", streamBody, requestID("r")).Body)
			if text := textOf(t, events); !test.check(text, done) {
				t.Errorf("done %t, text %.80q", done, text)
			}
			server.SetFaults(PartRequests, test.faults)
			whole := post(t, t.Context(), server.Address(), "/v1/completions", strings.Replace(streamBody, "true", "false", 1), requestID("r"))
			body, err := io.ReadAll(whole.Body)
			sound := err == nil && json.Valid(body) && strings.Contains(string(body), AnswerText("a", "p", "r", 200))
			if sound != (test.name == "none") {
				t.Errorf("whole answer %.80q, error %v", body, err)
			}
		})
	}
}

func TestSilentEngineBreaksItsAnswersOff(t *testing.T) {
	const silence = 400 * time.Millisecond
	for name, fault := range map[string]Faults{"silent": {SilentMilliseconds: int(silence.Milliseconds())}, "control": {}} {
		t.Run(name, func(t *testing.T) {
			config := testConfig()
			config.Speed = 2
			server := startLoaded(t, config)
			stream := post(t, t.Context(), server.Address(), "/v1/completions", streamBody, requestID("r")).Body
			firstLine := make([]byte, 1)
			if _, err := io.ReadFull(stream, firstLine); err != nil {
				t.Fatal(err)
			}
			set := time.Now()
			server.SetFaults(PartRequests, fault)
			server.Load() // answered meanwhile
			events, done := readEvents(t, io.MultiReader(bytes.NewReader(firstLine), stream))
			if !done || textOf(t, events) != AnswerText("a", "p", "r", 200) {
				t.Errorf("%d events, done %t", len(events), done)
			}
			if took := time.Since(set); took < time.Duration(fault.SilentMilliseconds)*time.Millisecond {
				t.Errorf("the stream ended after %v, within the silence", took)
			}
		})
	}
}

func TestLostAnswerOfAnOrderIsSettledByRepeatingIt(t *testing.T) {
	server := startEngine(t, testConfig())
	client := engine.NewHTTPClient(engine.HTTPClientConfig{})
	server.SetFaults(PartOrders, Faults{LoseAnswers: 1})
	order := loadOrder(1, "a", gibibyte)
	if _, err := client.Order(t.Context(), server.Address(), order); !errors.Is(err, engine.ErrUnknownOutcome) {
		t.Fatalf("error %v, want ErrUnknownOutcome", err)
	}
	result, err := client.Order(t.Context(), server.Address(), order)
	if err != nil || result.Status != engine.OrderAccepted {
		t.Errorf("repeated: %+v, %v", result, err)
	}
	if items := server.Inventory(engine.InventoryRequest{}).Items; len(items) != 1 {
		t.Errorf("items %+v", items)
	}
}

// cancelOnWrite is a connection that cancels a context once a request is sent.
type cancelOnWrite struct {
	net.Conn
	cancel context.CancelFunc
}

func (c cancelOnWrite) Write(data []byte) (int, error) {
	defer c.cancel()
	return c.Conn.Write(data)
}

func TestFrozenEngineExecutesItsBufferWhenThawedAndJudgesByFence(t *testing.T) {
	server := startLoaded(t, testConfig())
	ctx, cancel := context.WithCancel(t.Context())
	client := engine.NewHTTPClient(engine.HTTPClientConfig{Dial: func(address string) (net.Conn, error) {
		connection, err := net.Dial("tcp", address)
		return cancelOnWrite{connection, cancel}, err
	}})
	server.SetFaults(PartEngine, Faults{Freeze: true})
	if _, err := client.Order(ctx, server.Address(), loadOrder(5, "old", gibibyte)); !errors.Is(err, engine.ErrUnknownOutcome) {
		t.Fatalf("order to a frozen engine: %v", err)
	}
	server.SetFaults(PartEngine, Faults{})
	waitReady(t, server.Engine, "old")

	client = engine.NewHTTPClient(engine.HTTPClientConfig{})
	server.SetFaults(PartOrders, Faults{Freeze: true})
	results := make(chan engine.OrderResult, 1)
	go func() {
		result, _ := client.Order(t.Context(), server.Address(), loadOrder(6, "stale", gibibyte))
		results <- result
	}()
	server.Inventory(engine.InventoryRequest{Fence: 7}) // a new owner raises the fence directly, past the frozen HTTP handler
	server.SetFaults(PartOrders, Faults{})
	if result := <-results; result.Status != engine.OrderStaleFence {
		t.Errorf("order of the old owner: %+v", result)
	}
}

func TestOddNamesStayValidJSON(t *testing.T) {
	server := startEngine(t, testConfig())
	model := "ä\u0001\u200b\""
	server.Order(loadOrder(1, api.ModelName(model), gibibyte))
	waitReady(t, server.Engine, api.ModelName(model))
	quoted, err := json.Marshal(model)
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
		body := `{"model":` + string(quoted) + `,"prompt":"p","messages":[],"max_tokens":2,"stream":true}`
		events, done := readEvents(t, post(t, t.Context(), server.Address(), path, body, requestID("\xff\"")).Body)
		if !done || len(events) != 3 {
			t.Fatalf("events %q, want 3 and the end mark", events)
		}
		for _, event := range events {
			if !json.Valid([]byte(event)) {
				t.Errorf("event %s is not valid JSON", event)
			}
		}
	}
}

func TestDeadlineIsByTheWallClock(t *testing.T) {
	config := testConfig()
	config.MaxBatch = 1
	server := startLoaded(t, config)
	running := post(t, t.Context(), server.Address(), "/v1/completions", strings.Replace(streamBody, "200", "8000", 1), nil)
	if _, err := running.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	send := func(id string, deadline time.Time) *http.Response {
		headers := requestID(id)
		headers[engine.HeaderDeadline] = deadline.Format(time.RFC3339Nano)
		return post(t, t.Context(), server.Address(), "/v1/completions", `{"model":"a","prompt":"p","max_tokens":1}`, headers)
	}
	if refused := send("late", time.Now()); refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get(engine.HeaderNotRun) != "true" {
		t.Errorf("status %d, headers %v", refused.StatusCode, refused.Header)
	}
	if served := send("in time", time.Now().Add(time.Hour)); served.StatusCode != http.StatusOK {
		t.Errorf("status %d", served.StatusCode)
	}
	if executed := server.Executed(); executed["late"] != 0 || executed["in time"] != 1 {
		t.Errorf("executed %v, want only the request in time", executed)
	}
	if asOf := server.Load().AsOf; asOf.After(time.Now()) {
		t.Errorf("the load report is as of %v, later than now, %v", asOf, time.Now())
	}
}

func TestMalformedRequestsAreRefused(t *testing.T) {
	server := startLoaded(t, testConfig())
	cases := []struct {
		name, path, body string
		headers          map[string]string
		status           int
	}{
		{"no JSON", "/v1/chat/completions", "{", nil, http.StatusBadRequest},
		{"bad priority", "/v1/completions", streamBody, map[string]string{engine.HeaderPriority: "high"}, http.StatusBadRequest},
		{"bad deadline", "/v1/completions", streamBody, map[string]string{engine.HeaderDeadline: "soon"}, http.StatusBadRequest},
		{"bad resume", "/v1/completions", streamBody, map[string]string{engine.HeaderResumeFrom: "-1"}, http.StatusBadRequest},
		{"unknown resume", "/v1/completions", streamBody, map[string]string{engine.HeaderRequestID: "x", engine.HeaderResumeFrom: "1"}, http.StatusNotFound},
		{"unknown model", "/v1/completions", `{"model":"b","prompt":"p"}`, nil, http.StatusNotFound},
		{"too long", "/v1/completions", `{"model":"a","prompt":"` + strings.Repeat("x", 400_000) + `"}`, nil, http.StatusBadRequest},
		{"bad order", engine.PathOrders, `[]`, nil, http.StatusBadRequest},
		{"unknown cancel", engine.PathCancel, `{"request_id":"x"}`, nil, http.StatusNotFound},
	}
	for _, test := range cases {
		response := post(t, t.Context(), server.Address(), test.path, test.body, test.headers)
		if response.StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", test.name, response.StatusCode, test.status)
		}
	}
	if executed := server.Executed(); len(executed) != 0 {
		t.Errorf("executed %v, want no request", executed)
	}
}

func TestFailedLoadHoldsNoMemory(t *testing.T) {
	server := startEngine(t, testConfig())
	server.SetFaults(PartOrders, Faults{FailLoads: 1})
	server.Order(loadOrder(1, "a", 8*gibibyte))
	server.WaitState(t.Context(), "a", engine.ItemFailed)
	if used := server.Inventory(engine.InventoryRequest{}).UsedBytes; used != 0 {
		t.Errorf("%d bytes used after the failed load", used)
	}
	if result := server.Order(loadOrder(api.Fence(2), "a", 8*gibibyte)); result.Status != engine.OrderAccepted {
		t.Errorf("load again: %+v", result)
	}
	waitReady(t, server.Engine, "a")
}
