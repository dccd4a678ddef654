package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic"
)

// TestAnswerIsResumed checks that when the connection breaks before the
// caller got any byte, the engine is asked to resume the answer, also for a
// request that is unsafe to repeat. If the engine refuses to resume, it stays
// unknown whether the request was run.
func TestAnswerIsResumed(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for _, refuse := range []bool{false, true} {
			engineServer := startEngine(t, 5)
			engineServer.intercept = func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				if r.Header.Get(engine.HeaderResumeFrom) == "" {
					abort()
				}
				return refuse && answerError(404, engine.HeaderNotRun)(w, r, body)
			}
			claims := newGrantingClaims()
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

// TestStreamFaults checks that a stream that breaks is resumed, or ends with an
// error event and without [DONE], and never contains events of another request.
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
		resumes int // resume requests at the engine; negative: the stream ends with an error
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

// TestStalledStreamIsResumed checks that a stream is resumed when the engine
// stops sending.
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
