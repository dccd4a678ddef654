package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic"
)

// abort makes a handler break the connection of its request.
func abort() { panic(http.ErrAbortHandler) }

// answerError returns an interceptor that answers with an error status and sets
// the given headers to "true".
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

// answerText returns an interceptor that answers with status 200 and the given
// content type and body, in which ID is replaced by the request ID.
func answerText(contentType, body string) func(http.ResponseWriter, *http.Request, []byte) bool {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
		id := r.Header.Get(engine.HeaderRequestID)
		w.Header().Set(engine.HeaderRequestID, id)
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, strings.ReplaceAll(body, "ID", id))
		return true
	}
}

// faultCases lists the ways in which a request can fail at the engine before the
// caller gets any part of an answer.
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

// TestNotRunIsTrue checks that an error says "not run" only if the engine did not
// get the request or reports it as not run. The claim of an unsafe request must
// be released in exactly these cases.
func TestNotRunIsTrue(t *testing.T) {
	for _, test := range faultCases {
		t.Run(test.name, func(t *testing.T) {
			engine := startEngine(t, 3)
			engine.intercept = test.intercept
			claims := newGrantingClaims()
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

// TestNotRunAtConnection checks "not run" for faults of the TCP connection.
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
			claims := newGrantingClaims()
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

// startResetting starts a server that resets each connection in the middle of a
// large request, and returns its address.
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

// TestUnknownOutcomeStaysUnknown checks that once an attempt may have been run, a
// later attempt that was not run does not make the request "not run", and that an
// unsafe request is not sent again.
func TestUnknownOutcomeStaysUnknown(t *testing.T) {
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
			_, url := startGateway(t, Config{Dispatcher: dispatcher, Claims: newGrantingClaims()})
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
					t.Error("the request was sent to another engine")
				}
			}
		})
	}
}
