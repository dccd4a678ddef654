package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/traffic"
)

// fakeClaims gives a fixed decision and records what it is told.
type fakeClaims struct {
	decision keeper.Decision

	mutex     sync.Mutex
	claims    []keeper.Claim
	completed []keeper.Answer
	released  int
	told      chan struct{} // one item for each completion or release
}

func newFakeClaims(decision keeper.Decision) *fakeClaims {
	return &fakeClaims{decision: decision, told: make(chan struct{}, 1000)}
}

func granted() *fakeClaims {
	return newFakeClaims(keeper.Decision{Verdict: keeper.VerdictGranted, DispatchBefore: time.Now().Add(time.Hour)})
}

func (f *fakeClaims) Claim(_ context.Context, claim keeper.Claim) keeper.Decision {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.claims = append(f.claims, claim)
	return f.decision
}

func (f *fakeClaims) Complete(_ context.Context, _ keeper.Claim, answer keeper.Answer) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.completed = append(f.completed, answer)
	f.told <- struct{}{}
}

func (f *fakeClaims) Release(context.Context, keeper.Claim) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.released++
	f.told <- struct{}{}
}

// abort breaks the connection of a request.
func abort() { panic(http.ErrAbortHandler) }

// answerError is an engine's error without a word on whether it ran.
func answerError(status int, header ...string) func(http.ResponseWriter, *http.Request, []byte) bool {
	return func(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
		for _, name := range header {
			w.Header().Set(name, "true")
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"error":{"message":"no"}}`)
		return true
	}
}

// answerText is a success with the given content type and body, in which ID
// stands for the request's.
func answerText(contentType, body string) func(http.ResponseWriter, *http.Request, []byte) bool {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
		id := r.Header.Get(engine.HeaderRequestID)
		w.Header().Set(engine.HeaderRequestID, id)
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, strings.ReplaceAll(body, "ID", id))
		return true
	}
}

// faultCases are the steps at which a request can fail before its caller gets
// any part of an answer.
var faultCases = []struct {
	name      string
	stream    bool
	intercept func(http.ResponseWriter, *http.Request, []byte) bool
	status    int
	notRun    bool
}{
	{"engine leaves", false, answerError(503, engine.HeaderLeaving), 502, true},
	{"engine says not run", false, answerError(404, engine.HeaderNotRun), 502, true},
	{"engine refuses the body, not run", false, answerError(400, engine.HeaderNotRun), 400, true},
	{"engine refuses the body, silent", false, answerError(400), 400, false},
	{"engine fails", false, answerError(500), 502, false},
	{"engine overloaded, silent", false, answerError(503), 502, false},
	{"after the request, before an answer", false, func(http.ResponseWriter, *http.Request, []byte) bool {
		abort()
		return true
	}, 502, false},
	{"within the answer", false, func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
		answerHeader(w, r, "application/json")
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, `{"id":"`)
		abort()
		return true
	}, 502, false},
	{"truncated answer", false, answerText("application/json", `{"id":"chatcmpl-ID","choices":[{"mess`), 502, false},
	{"answer without ID", false, answerText("application/json", `{"choices":[]}`), 502, false},
	{"answer to another request", false, answerText("application/json", `{"id":"chatcmpl-other","choices":[]}`), 502, false},
	{"header of another request", false, func(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
		w.Header().Set(engine.HeaderRequestID, "other")
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"id":"chatcmpl-other","choices":[]}`)
		return true
	}, 502, false},
	{"refusal of another request", false, func(w http.ResponseWriter, r *http.Request, body []byte) bool {
		w.Header().Set(engine.HeaderRequestID, "other")
		return answerError(503, engine.HeaderLeaving)(w, r, body)
	}, 502, false},
	{"no JSON", false, answerText("text/html", "<p>"), 502, false},
	{"stream of no events", true, answerText("text/event-stream", ""), 502, false},
	{"stream cut in its first event", true, answerText("text/event-stream", `data: {"id":"chatcmpl-ID"`), 502, false},
	{"stream of another request", true, answerText("text/event-stream", "data: {\"id\":\"chatcmpl-other\"}\n\n"), 502, false},
	{"stream that begins with an error", true, answerText("text/event-stream", "data: {\"error\":{\"message\":\"no\"}}\n\n"), 502, false},
	{"stream cut after a comment", true, answerText("text/event-stream", ": wait\n\n"), 502, false},
	{"two answers in one event", true, answerText("text/event-stream", "data: {\"id\":\"chatcmpl-other\"}\ndata: {\"id\":\"chatcmpl-ID\"}\n\n"), 502, false},
	{"JSON in place of a stream", true, answerText("application/json", `{"id":"chatcmpl-ID"}`), 502, false},
}

func answerHeader(w http.ResponseWriter, r *http.Request, contentType string) {
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	w.Header().Set("Content-Type", contentType)
}

// TestNotRunIsTrue: an error says "not run" only if the engine did not get the
// request or says so itself. The claim of an unsafe request is given back in
// just these cases, and only then the dispatcher learns of a sure "not run".
func TestNotRunIsTrue(t *testing.T) {
	for _, test := range faultCases {
		t.Run(test.name, func(t *testing.T) {
			engine := startEngine(t, 3)
			engine.intercept = test.intercept
			claims := granted()
			_, url := startGateway(t, Config{Dispatcher: engine.dispatcher(), Claims: claims})
			client := newClient(t)

			for _, model := range []string{"glaze-7b", "slots"} {
				got := post(t, client, url+"/v1/chat/completions", chatBody(model, "ash", test.stream),
					map[string]string{HeaderIdempotencyKey: "key"})
				apiError := apiErrorOf(t, got)
				if got.status != test.status || apiError.NotRun != test.notRun {
					t.Errorf("%s: status %d, error %+v; want %d, not run %t", model, got.status, apiError, test.status, test.notRun)
				}
				if want := notRunValue(test.notRun); got.header.Get(HeaderNotRun) != want {
					t.Errorf("%s: %s is %q, want %q", model, HeaderNotRun, got.header.Get(HeaderNotRun), want)
				}
				if strings.Contains(string(got.body), "chatcmpl-other") || strings.Contains(string(got.body), "127.0.0.1") {
					t.Errorf("%s: another request's answer, or an address: %s", model, got.body)
				}
			}
			if engine.requests() != 2 {
				t.Errorf("%d requests at the engine, want 2", engine.requests())
			}
			checkReleased(t, claims, test.notRun)
		})
	}
}

// checkReleased checks that the one claim was released, or that it stands.
func checkReleased(t *testing.T, claims *fakeClaims, want bool) {
	t.Helper()
	if want {
		<-claims.told
	}
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if got := claims.released == 1; got != want || len(claims.completed) != 0 {
		t.Errorf("claim released %t (%d times), want %t; completed %d times", got, claims.released, want, len(claims.completed))
	}
}

// TestNotRunAtConnection has the faults below HTTP.
func TestNotRunAtConnection(t *testing.T) {
	refusing := listen(t)
	refusingAddress := refusing.Addr().String()
	_ = refusing.Close()
	cases := []struct {
		name    string
		address string
		body    string
		notRun  bool
	}{
		{"connection refused", refusingAddress, "ash", true},
		{"reset within the request", startResetting(t), strings.Repeat("x", 3<<20), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			claims := granted()
			dispatcher := &fakeDispatcher{targets: []traffic.Target{{Server: "server-1", Address: test.address}}}
			_, url := startGateway(t, Config{Dispatcher: dispatcher, Claims: claims})
			got := chat(t, url, chatBody("slots", test.body, false),
				map[string]string{HeaderIdempotencyKey: "key"})
			if apiError := apiErrorOf(t, got); got.status != 502 || apiError.NotRun != test.notRun {
				t.Errorf("status %d, error %+v", got.status, apiError)
			}
			checkReleased(t, claims, test.notRun)
		})
	}
}

// startResetting accepts connections and resets them in the middle of a large
// request.
func startResetting(t *testing.T) string {
	listener := listen(t)
	group := pool.New()
	group.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = connection.Read(make([]byte, 1000))
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// TestUncertaintyStays: once an attempt may have been run, no later "not run"
// makes the request not run; and an unsafe request is not sent again.
func TestUncertaintyStays(t *testing.T) {
	failing, leaving, healthy := startEngine(t, 2), startEngine(t, 2), startEngine(t, 2)
	failing.intercept = answerError(500)
	leaving.intercept = answerError(503, engine.HeaderLeaving)
	cases := []struct {
		name    string
		model   string
		engines []*fakeEngine
		status  int
		notRun  bool
	}{
		{"unknown, then not run", "glaze-7b", []*fakeEngine{failing, leaving}, 502, false},
		{"not run twice", "glaze-7b", []*fakeEngine{leaving, leaving}, 502, true},
		{"unknown, then served", "glaze-7b", []*fakeEngine{failing, healthy}, 200, false},
		{"unsafe: not run, then served", "slots", []*fakeEngine{leaving, healthy}, 200, false},
		{"unsafe: unknown", "slots", []*fakeEngine{failing, healthy}, 502, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{retries: 1}
			for _, engine := range test.engines {
				dispatcher.targets = append(dispatcher.targets, engine.target())
			}
			_, url := startGateway(t, Config{Dispatcher: dispatcher, Claims: granted()})
			served := healthy.requests()
			got := chat(t, url, chatBody(test.model, "ash", false),
				map[string]string{HeaderIdempotencyKey: "key"})
			if got.status != test.status {
				t.Fatalf("status %d, body %s", got.status, got.body)
			}
			if test.status != 200 {
				if apiError := apiErrorOf(t, got); apiError.NotRun != test.notRun {
					t.Errorf("error %+v", apiError)
				}
				if healthy.requests() != served {
					t.Error("sent again")
				}
			}
		})
	}
}

// TestAnswerIsTakenUpAgain: when the connection breaks before the caller got
// any byte, the engine is asked for the answer to the same request, also if
// that is unsafe to repeat. A refusal of that proves nothing about the request.
func TestAnswerIsTakenUpAgain(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for _, refuse := range []bool{false, true} {
			engineServer := startEngine(t, 5)
			engineServer.intercept = func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				if r.Header.Get(engine.HeaderResumeFrom) == "" {
					abort()
				}
				return refuse && answerError(404, engine.HeaderNotRun)(w, r, body)
			}
			claims := granted()
			_, url := startGateway(t, Config{Dispatcher: engineServer.dispatcher(), Claims: claims})
			got := chat(t, url, chatBody("slots", "ash", stream), map[string]string{HeaderIdempotencyKey: "k"})
			if engineServer.requests() != 1 || engineServer.resumed != 1 {
				t.Errorf("%d requests, %d resumptions", engineServer.requests(), engineServer.resumed)
			}
			if !refuse {
				if got.status != 200 || !strings.Contains(string(got.body), "ash") {
					t.Errorf("stream %t: status %d, body %s", stream, got.status, got.body)
				}
				continue
			}
			if apiError := apiErrorOf(t, got); got.status != 502 || apiError.NotRun {
				t.Errorf("stream %t: status %d, error %+v", stream, got.status, apiError)
			}
			checkReleased(t, claims, false)
		}
	}
}

// TestStreamFaults: a stream that breaks is resumed, or ends with an error and
// no end mark; never with another request's events.
func TestStreamFaults(t *testing.T) {
	const tokens = 20
	events := func(w http.ResponseWriter, id, mark string, from, to int) {
		for token := from; token < to; token++ {
			_, _ = io.WriteString(w, tokenEvent(id, mark, token))
		}
		w.(http.Flusher).Flush()
	}
	rest := func(w http.ResponseWriter, id string, from int) {
		events(w, id, "ash", from, tokens)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	cases := []struct {
		name    string
		fault   func(w http.ResponseWriter, id string, from int)
		resumes int // at the engine; negative: the stream ends with an error
	}{
		{"cut once", func(w http.ResponseWriter, id string, from int) {
			if from == 0 {
				events(w, id, "ash", 0, 7)
				abort()
			}
			rest(w, id, from)
		}, 1},
		{"cut in an event, three times", func(w http.ResponseWriter, id string, from int) {
			if from < 9 {
				events(w, id, "ash", from, from+3)
				_, _ = io.WriteString(w, `data: {"id":"chatcm`)
				w.(http.Flusher).Flush()
				abort()
			}
			rest(w, id, from)
		}, 3},
		{"ends without its end mark", func(w http.ResponseWriter, id string, from int) {
			to := min(from+10, tokens)
			events(w, id, "ash", from, to)
			if to == tokens {
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
			}
		}, 1},
		{"another request's event", func(w http.ResponseWriter, id string, from int) {
			if from == 0 {
				events(w, id, "ash", 0, 7)
				events(w, "other", "clay", 7, 9)
			}
			rest(w, id, from)
		}, 1},
		{"events after the end", func(w http.ResponseWriter, id string, _ int) {
			rest(w, id, 0)
			events(w, id, "ash", 0, 2)
		}, 0},
		{"comments between events", func(w http.ResponseWriter, id string, from int) {
			if from == 0 {
				events(w, id, "ash", 0, 7)
				_, _ = io.WriteString(w, ": still here\n\n")
				w.(http.Flusher).Flush()
				abort()
			}
			rest(w, id, from)
		}, 1},
		{"cut again and again", func(w http.ResponseWriter, id string, from int) {
			events(w, id, "ash", from, from+1)
			abort()
		}, -1},
		{"resumption refused", func(w http.ResponseWriter, id string, from int) {
			if from > 0 {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			events(w, id, "ash", 0, 7)
			abort()
		}, -1},
		{"error within the stream", func(w http.ResponseWriter, id string, _ int) {
			events(w, id, "ash", 0, 7)
			_, _ = io.WriteString(w, "data: {\"error\":{\"message\":\"cancelled\"}}\n\n")
		}, -1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			engineServer := startEngine(t, tokens)
			engineServer.intercept = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
				answerHeader(w, r, "text/event-stream")
				from, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeFrom))
				test.fault(w, r.Header.Get(engine.HeaderRequestID), from)
				return true
			}
			dispatcher := &fakeDispatcher{targets: []traffic.Target{engineServer.target()}, retries: 1}
			_, url := startGateway(t, Config{Dispatcher: dispatcher})
			got := chat(t, url, chatBody("glaze-7b", "ash", true), nil)
			result, err := readStream(got.body)
			if err != nil {
				t.Fatal(err)
			}
			for i, token := range result.tokens {
				if token != fmt.Sprintf("ash/%d", i) {
					t.Fatalf("tokens %v", result.tokens)
				}
			}
			if test.resumes < 0 {
				if result.done || result.broken == nil || result.broken.NotRun || result.broken.Code != codeStreamBroken {
					t.Errorf("done %t, error %+v", result.done, result.broken)
				}
				return
			}
			if err := checkTokens(result, "ash", tokens); err != nil {
				t.Error(err)
			}
			if engineServer.resumed != test.resumes || engineServer.requests() != 1 {
				t.Errorf("%d requests, resumed %d times, want %d", engineServer.requests(), engineServer.resumed, test.resumes)
			}
		})
	}
}

// TestStalledStreamIsResumed: an engine that stops sending is asked again.
func TestStalledStreamIsResumed(t *testing.T) {
	engineServer := startEngine(t, 10)
	var stalled atomic.Bool
	engineServer.pause = func(r *http.Request, token int) {
		if token == 4 && stalled.CompareAndSwap(false, true) {
			<-r.Context().Done()
		}
	}
	_, url := startGateway(t, Config{
		Dispatcher: engineServer.dispatcher(),
		Timeouts:   Timeouts{EngineStall: 200 * time.Millisecond},
	})
	got := chat(t, url, chatBody("glaze-7b", "ash", true), nil)
	checkStream(t, got.body, "ash", 10)
}

// TestMarkedContents: many callers at once on reused connections, streamed and
// not, with streams that break and are resumed, answers that are mixed up or
// late, and callers that leave. Each gets its own whole answer or an error.
func TestMarkedContents(t *testing.T) {
	const (
		callers  = 64
		requests = 25
		tokens   = 12
	)
	engineServer := startEngine(t, tokens)
	var serial atomic.Int64
	engineServer.intercept = func(w http.ResponseWriter, r *http.Request, body []byte) bool {
		mark, stream := markOf(body)
		id := r.Header.Get(engine.HeaderRequestID)
		fault := serial.Add(1) % 10
		switch {
		case fault == 1 && stream && r.Header.Get(engine.HeaderResumeFrom) == "":
			answerHeader(w, r, "text/event-stream")
			_, _ = io.WriteString(w, tokenEvent(id, mark, 0)+tokenEvent(id, mark, 1))
			w.(http.Flusher).Flush()
			abort()
		case fault == 2 && !stream:
			answerHeader(w, r, "application/json")
			_, _ = io.WriteString(w, wholeBody("other", "clay", tokens))
			return true
		case fault == 3 && !stream:
			answerHeader(w, r, "application/json")
			_, _ = io.WriteString(w, wholeBody(id, mark, tokens)[:60])
			return true
		}
		return false
	}
	dispatcher := &fakeDispatcher{targets: []traffic.Target{engineServer.target()}, retries: 3}
	_, url := startGateway(t, Config{Dispatcher: dispatcher})
	client := newClient(t)

	group := pool.New().WithErrors()
	for caller := range callers {
		group.Go(func() error {
			for number := range requests {
				mark := fmt.Sprintf("m%d-%d", caller, number)
				if err := markedRequest(client, url, mark, number); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	served := 0
	for _, kind := range dispatcher.kinds() {
		if kind == traffic.OutcomeServed {
			served++
		}
	}
	t.Logf("%d attempts, %d served", len(dispatcher.kinds()), served)
}

// markedRequest sends the caller's next request and checks its answer.
func markedRequest(client *http.Client, url, mark string, number int) error {
	url += "/v1/chat/completions"
	if number%5 == 4 {
		return leaveEarly(client, url, mark)
	}
	stream := number%2 == 0
	got, err := tryPost(client, url, chatBody("glaze-7b", mark, stream), nil)
	if err != nil {
		return err
	}
	if got.status != http.StatusOK {
		if strings.Contains(string(got.body), "no retry") {
			return nil // an honest error after as many faults as there are retries
		}
		return fmt.Errorf("status %d: %s", got.status, got.body)
	}
	if !stream {
		if want := strings.Repeat(mark+" ", 12); !strings.Contains(string(got.body), `"`+want+`"`) {
			return fmt.Errorf("answer to %s: %s", mark, got.body)
		}
		return nil
	}
	result, err := readStream(got.body)
	if err != nil {
		return err
	}
	return checkTokens(result, mark, 12)
}

// leaveEarly hangs up in the middle of a stream.
func leaveEarly(client *http.Client, url, mark string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(chatBody("glaze-7b", mark, true)))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 10)
	_, err = response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
