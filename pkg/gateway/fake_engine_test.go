package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic"
)

// fakeEngine implements the completion API of engines. Its answers repeat the
// mark in the prompt, so that mixed-up answers are detected.
type fakeEngine struct {
	address string
	tokens  int
	// intercept, if set, may handle a request and then returns true.
	intercept func(w http.ResponseWriter, r *http.Request, body []byte) bool
	// pause, if set, is called before each token of a stream.
	pause func(r *http.Request, token int)

	mutex     sync.Mutex
	received  int             // requests that do not resume an answer
	resumed   int             // requests that resume an answer
	cancelled map[string]bool // by request ID
	changed   chan struct{}   // closed and replaced at each cancellation
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

func (e *fakeEngine) target() traffic.Target {
	return traffic.Target{Server: "server-1", Address: e.address}
}

// dispatcher returns a dispatcher whose only target is the engine.
func (e *fakeEngine) dispatcher() *fakeDispatcher {
	return &fakeDispatcher{targets: []traffic.Target{e.target()}}
}

// pauseAt makes each stream call hold before token at.
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

// count counts the request as a new request or a resumption.
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

// waitCancelled waits until the given number of requests were cancelled.
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

// engineRequest holds the fields of a body that a fakeEngine uses.
type engineRequest struct {
	Model    string
	Stream   bool
	Messages []struct{ Content string }
}

// markOf returns the mark in a request's body and whether the request asks for a
// stream.
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
