package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"martenwheel.dev/pkg/findings"
)

var testNow = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func TestDecodeBody(t *testing.T) {
	body := `{"model":"glaze-7b","stream":true,"max_tokens":12,"Model":"other",
		"messages":[{"role":"system","content":"kiln"},{"role":"user","content":[{"type":"text","text":"cone"},{"type":"text","text":" 6"}]}]}`
	parsed, err := decodeBody([]byte(body), "messages")
	if err != nil {
		t.Fatal(err)
	}
	want := requestBody{Model: "glaze-7b", Stream: true, MaxTokens: 12, PromptTokens: parsed.PromptTokens, PromptStart: "system\nkiln\nuser\ncone 6\n"}
	if parsed != want || parsed.PromptTokens < 10 {
		t.Errorf("parsed %+v, want %+v", parsed, want)
	}
	parsed, err = decodeBody([]byte(`{"model":"m","prompt":"ash"}`), "prompt")
	if err != nil || parsed.PromptStart != "ash" {
		t.Errorf("parsed %+v, error %v", parsed, err)
	}
}

// badBodies maps bodies that must be refused to a part of the error message.
var badBodies = map[string]string{
	``:                               "not JSON",
	`[]`:                             "not a JSON object",
	`"model"`:                        "not a JSON object",
	`{"model":"glaze-7b","messages"`: "cut off",
	`{"model":"glaze-7b","messages":[{"role":"user","content":"a"}`:             "cut off",
	`{"model":"glaze-7b","messages":[]`:                                         "cut off",
	`{"model":"glaze-7b","messages":[]}{}`:                                      "goes on",
	`{"model":"glaze-7b","messages":[]}]`:                                       "goes on",
	`{"messages":[]}`:                                                           "model: missing",
	`{"model":"glaze-7b"}`:                                                      "messages: missing",
	`{"model":7,"messages":[]}`:                                                 "model: has the wrong type",
	`{"model":"glaze-7b","stream":"yes","max_tokens":"9","messages":[]}`:        "stream: has the wrong type\nmax_tokens: has the wrong type",
	`{"model":"glaze-7b","messages":[],"model":"slots"}`:                        "model: given twice",
	`{"model":"glaze-7b","messages":[],"stream":true,"stream":false}`:           "stream: given twice",
	`{"model":"glaze-7b","messages":[],"max_tokens":-1}`:                        "max_tokens: must not be negative",
	`{"model":"glaze-7b","messages":[],"max_tokens":1,"max_tokens":1}`:          "max_tokens: given twice",
	`{"Model":"glaze-7b","messages":[]}`:                                        "model: missing",
	`{"model":"glaze-7b","messages":[],"nested":` + strings.Repeat("[", 20_000): "cut off",
}

func TestDecodeBadBodies(t *testing.T) {
	for body, want := range badBodies {
		_, err := decodeBody([]byte(body), "messages")
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.80s: error %v, want %q", body, err, want)
		}
	}
}

func TestParseOptions(t *testing.T) {
	var found findings.List
	options := parseOptions(headerValues{RequestID: "a-1", DeadlineMillis: "250", Priority: "-3", IdempotencyKey: "k", Unsafe: "true"}, testNow, &found)
	if err := found.Err(); err != nil {
		t.Fatal(err)
	}
	if options.RequestID != "a-1" || !options.Deadline.Equal(testNow.Add(250*time.Millisecond)) || *options.Priority != -3 || !*options.Unsafe {
		t.Errorf("options %+v", options)
	}
	options = parseOptions(headerValues{Deadline: "2026-12-02T08:00:01.5Z"}, testNow, &found)
	if !options.Deadline.Equal(testNow.Add(1500*time.Millisecond)) || options.Priority != nil || options.Unsafe != nil {
		t.Errorf("options %+v", options)
	}
}

// TestParseOptionsFindsAll checks that all faults are reported at once.
func TestParseOptionsFindsAll(t *testing.T) {
	var found findings.List
	parseOptions(headerValues{
		RequestID:      "a b",
		DeadlineMillis: "soon",
		Deadline:       "tomorrow",
		Priority:       "high",
		IdempotencyKey: strings.Repeat("k", maxNameLength+1),
		Unsafe:         "perhaps",
	}, testNow, &found)
	message := found.Err().Error()
	for _, header := range []string{HeaderRequestID, HeaderDeadlineMillis, HeaderDeadline, HeaderPriority, HeaderIdempotencyKey, HeaderUnsafe} {
		if !strings.Contains(message, header+": ") {
			t.Errorf("no finding for %s in %q", header, message)
		}
	}
}

// TestServerBuffersAreReused shows why the gateway copies the parts of a request
// that it keeps: a string returned by fiber changes when the next request arrives
// on the connection. The copies do not change.
func TestServerBuffersAreReused(t *testing.T) {
	app := fiber.New()
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.Set(HeaderRequestID, "first")
	ctx.Request.SetBodyString("body-1")
	c := app.AcquireCtx(ctx)
	defer app.ReleaseCtx(c)

	var found findings.List
	kept, keptBody := c.Get(HeaderRequestID), c.Request().Body()
	copied := copyHeaders(c, &found).RequestID

	ctx.Request.Header.Set(HeaderRequestID, "other")
	ctx.Request.SetBodyString("body-2")
	if kept != "other" || string(keptBody) != "body-2" {
		t.Errorf("fiber no longer reuses its buffers: kept %q and %q; the copies are no longer needed", kept, keptBody)
	}
	if copied != "first" {
		t.Errorf("the copy changed to %q", copied)
	}
}

func FuzzDecodeBody(f *testing.F) {
	f.Add([]byte(`{"model":"glaze-7b","stream":true,"messages":[{"role":"user","content":"a"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":[{"text":"a"}]}]}`))
	for body := range badBodies {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, err := decodeBody(body, "messages")
		if err != nil {
			return
		}
		if parsed.Model == "" || parsed.MaxTokens < 0 || parsed.PromptTokens < 1 || len(parsed.PromptStart) > maxPromptStart {
			t.Errorf("accepted %q as %+v", body, parsed)
		}
	})
}

func FuzzParseOptions(f *testing.F) {
	f.Add("a-1", "250", "", "1", "k", "true")
	f.Add("a b", "-1", "2026-12-02T08:00:01Z", "9999", "k/k", "TRUE")
	f.Fuzz(func(t *testing.T, requestID, millis, deadline, priority, key, unsafe string) {
		var found findings.List
		options := parseOptions(headerValues{requestID, millis, deadline, priority, key, unsafe}, testNow, &found)
		if found.Len() > 0 {
			return
		}
		if options.RequestID != requestID || strings.ContainsAny(requestID, "\r\n ") {
			t.Errorf("accepted request ID %q as %q", requestID, options.RequestID)
		}
		if millis != "" && !options.Deadline.After(testNow) {
			t.Errorf("accepted %q as %v", millis, options.Deadline)
		}
	})
}
