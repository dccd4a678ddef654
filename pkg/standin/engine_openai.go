package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// headerIdempotencyKey marks repeats of the same request.
const headerIdempotencyKey = "Idempotency-Key"

// completionRequest is the part that the stand-in reads of a request to either
// completion API.
type completionRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              string        `json:"prompt"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"` // a string or text parts
}

func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return string(m.Content)
	}
	for _, part := range parts {
		text += part.Text
	}
	return text
}

// exchange is one request to a completion API with its answer under way.
type exchange struct {
	completionRequest
	chat       bool
	id         string
	submission submission
	resumeFrom int // events to skip; negative if the request is new
	holder     int // of the generation
	created    int64
}

func (e *Engine) serveChat(writer http.ResponseWriter, request *http.Request) {
	e.serveExchange(writer, request, true)
}

func (e *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	e.serveExchange(writer, request, false)
}

func (e *Engine) serveModels(writer http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, held := range e.Inventory(engine.InventoryRequest{}).Items {
		if held.State == engine.ItemReady {
			list.Data = append(list.Data, model{ID: string(held.Model), Object: "model"})
		}
	}
	writeJSON(writer, list)
}

func (e *Engine) serveExchange(writer http.ResponseWriter, request *http.Request, chat bool) {
	x, err := parseExchange(request, chat)
	if err != nil {
		writeRefusal(writer, err)
		return
	}
	var g *generation
	if x.resumeFrom >= 0 {
		g, err = e.resume(x.id)
	} else {
		g, err = e.submit(x.submission)
	}
	if err != nil {
		writeRefusal(writer, err)
		return
	}
	x.holder = e.progress(g).holder
	// Without its caller a request gives its place in the batch back.
	defer e.abandon(g, x.holder)
	if x.Stream {
		e.stream(writer, request, x, g)
	} else {
		e.answerWhole(writer, request, x, g)
	}
}

func parseExchange(request *http.Request, chat bool) (exchange, error) {
	x := exchange{chat: chat, id: request.Header.Get(engine.HeaderRequestID), resumeFrom: -1, created: time.Now().Unix()}
	if err := readJSON(request.Body, &x.completionRequest); err != nil {
		return x, err
	}
	if x.id == "" {
		x.id = uuid.NewString()
	}
	x.submission = submission{
		id:        x.id,
		key:       request.Header.Get(headerIdempotencyKey),
		model:     api.ModelName(x.Model),
		prompt:    x.promptText(),
		maxTokens: max(x.MaxTokens, x.MaxCompletionTokens),
	}
	return x, x.parseHeaders(request.Header)
}

func (x *exchange) parseHeaders(header http.Header) (err error) {
	if value := header.Get(engine.HeaderPriority); value != "" {
		if x.submission.priority, err = strconv.Atoi(value); err != nil {
			return errors.Wrap(err, engine.HeaderPriority)
		}
	}
	if value := header.Get(engine.HeaderDeadline); value != "" {
		if x.submission.deadline, err = time.Parse(time.RFC3339Nano, value); err != nil {
			return errors.Wrap(err, engine.HeaderDeadline)
		}
	}
	if value := header.Get(engine.HeaderResumeFrom); value != "" {
		if x.resumeFrom, err = strconv.Atoi(value); err != nil || x.resumeFrom < 0 {
			return errors.Errorf("%s: %q is not a number of events", engine.HeaderResumeFrom, value)
		}
	}
	return nil
}

func (x *exchange) promptText() string {
	if !x.chat {
		return x.Prompt
	}
	messages := make([]engine.ChatMessage, len(x.Messages))
	for i, message := range x.Messages {
		messages[i] = engine.ChatMessage{Role: message.Role, Content: message.text()}
	}
	return engine.ChatPrompt(messages)
}

// wait returns when the generation has more than seen tokens or has ended, and
// false when the caller left or took the request up again elsewhere.
func (e *Engine) wait(request *http.Request, x exchange, g *generation, seen int) (progress, bool) {
	for {
		now := e.progress(g)
		if now.holder != x.holder {
			return now, false
		}
		if now.tokens > seen || now.phase >= phaseFinished {
			return now, true
		}
		select {
		case <-now.changed:
		case <-request.Context().Done():
			return now, false
		}
	}
}

// writeEnd answers a request that ended without being finished.
func writeEnd(writer http.ResponseWriter, end progress) {
	if end.phase == phaseRefused {
		writer.Header().Set(engine.HeaderNotRun, "true")
		writeError(writer, http.StatusServiceUnavailable, "refused", end.refusal)
		return
	}
	writeError(writer, http.StatusConflict, "cancelled", "the request was cancelled")
}

func (e *Engine) answerWhole(writer http.ResponseWriter, request *http.Request, x exchange, g *generation) {
	seen := 0
	var end progress
	for end.phase < phaseFinished {
		var ok bool
		if end, ok = e.wait(request, x, g, seen); !ok {
			return
		}
		seen = end.tokens
	}
	if end.phase != phaseFinished {
		writeEnd(writer, end)
		return
	}
	body := e.wholeBody(x, g, end)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set(engine.HeaderRequestID, g.id)
	switch {
	case e.faults.take(PartRequests, func(faults *Faults) *int { return &faults.CutAnswers }):
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = writer.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case e.faults.take(PartRequests, func(faults *Faults) *int { return &faults.TruncateAnswers }):
		body = body[:len(body)/2]
	}
	_, _ = writer.Write(body) // the caller left
}

// mixed returns the identity of another request, for the fault that mixes up
// answers.
func mixed(g *generation) *generation {
	return &generation{
		id:           "other-" + g.id,
		model:        g.model,
		prompt:       "other " + g.prompt,
		promptTokens: g.promptTokens,
		target:       g.target,
		finishReason: g.finishReason,
	}
}

func (e *Engine) wholeBody(x exchange, g *generation, end progress) []byte {
	if e.faults.take(PartRequests, func(faults *Faults) *int { return &faults.MixAnswers }) {
		g = mixed(g)
	}
	text := AnswerText(string(g.model), g.prompt, g.id, end.tokens)
	choice := map[string]any{"index": 0, "finish_reason": g.finishReason}
	object := "text_completion"
	if x.chat {
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": text}
	} else {
		choice["text"] = text
	}
	body, err := json.Marshal(map[string]any{
		"id": x.answerID(g), "object": object, "created": x.created, "model": g.model,
		"choices": []any{choice}, "usage": newUsage(g, end),
	})
	if err != nil {
		panic(err) // strings and numbers only
	}
	return body
}

// answerID is the ID in the answer; it contains the request's.
func (x *exchange) answerID(g *generation) string {
	if x.chat {
		return "chatcmpl-" + g.id
	}
	return "cmpl-" + g.id
}

// usage counts the tokens of a request.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	PromptDetails    struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func newUsage(g *generation, end progress) usage {
	counted := usage{
		PromptTokens:     g.promptTokens,
		CompletionTokens: end.tokens,
		TotalTokens:      g.promptTokens + end.tokens,
	}
	counted.PromptDetails.CachedTokens = end.cached
	return counted
}

// stream sends one event for each token, one with the finish reason, one with
// the usage if asked for, and the end mark. Events before resumeFrom are left
// out; the end mark is no event.
func (e *Engine) stream(writer http.ResponseWriter, request *http.Request, x exchange, g *generation) {
	events := newEventWriter(writer, x, g)
	cutAt, truncateAt := e.streamFaults(events, g)
	for {
		now, ok := e.wait(request, x, g, events.tokens)
		if !ok {
			return
		}
		if now.phase > phaseFinished && !events.begun {
			writeEnd(writer, now)
			return
		}
		for events.tokens < now.tokens {
			if events.tokens == cutAt {
				panic(http.ErrAbortHandler)
			}
			if events.tokens == truncateAt {
				return
			}
			events.token()
		}
		if now.phase > phaseFinished {
			events.failed("the request was cancelled")
			return
		}
		if now.phase == phaseFinished {
			events.finish(now)
			return
		}
		events.flush()
	}
}

// streamFaults takes the faults for this stream: the number of tokens after
// which it is cut or ends early, else -1.
func (e *Engine) streamFaults(events *eventWriter, g *generation) (cutAt, truncateAt int) {
	half := max(g.target/2, 1)
	cutAt, truncateAt = -1, -1
	if e.faults.take(PartRequests, func(faults *Faults) *int { return &faults.CutAnswers }) {
		cutAt = half
	}
	if e.faults.take(PartRequests, func(faults *Faults) *int { return &faults.TruncateAnswers }) {
		truncateAt = half
	}
	if e.faults.take(PartRequests, func(faults *Faults) *int { return &faults.MixAnswers }) {
		events.mixAt = half
	}
	return cutAt, truncateAt
}

// eventWriter writes the events of one stream.
type eventWriter struct {
	writer http.ResponseWriter
	x      exchange
	g      *generation
	prefix string
	tokens int // written or skipped
	events int // written or skipped
	mixAt  int // tokens after which another request's answer follows; 0 for never
	begun  bool
	buffer []byte
}

func newEventWriter(writer http.ResponseWriter, x exchange, g *generation) *eventWriter {
	return &eventWriter{writer: writer, x: x, g: g, prefix: tokenPrefix(string(g.model), g.prompt, g.id)}
}

// write sends the event with the JSON of its choices and usage, unless the
// caller has it already.
func (w *eventWriter) write(choices, usage string) {
	w.begin()
	w.events++
	if w.events <= w.x.resumeFrom {
		return
	}
	object := "text_completion"
	if w.x.chat {
		object = "chat.completion.chunk"
	}
	w.buffer = fmt.Appendf(w.buffer, `data: {"id":%q,"object":%q,"created":%d,"model":%q,"choices":[%s]%s}`+"\n\n",
		w.x.answerID(w.g), object, w.x.created, w.g.model, choices, usage)
}

func (w *eventWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	w.writer.Header().Set("Content-Type", "text/event-stream")
	w.writer.Header().Set("Cache-Control", "no-cache")
	w.writer.Header().Set(engine.HeaderRequestID, w.g.id)
}

func (w *eventWriter) token() {
	if w.mixAt > 0 && w.tokens == w.mixAt {
		w.g = mixed(w.g)
		w.prefix = tokenPrefix(string(w.g.model), w.g.prompt, w.g.id)
	}
	text := w.prefix + strconv.Itoa(w.tokens) + " "
	choice := fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":null}`, text)
	if w.x.chat {
		role := ""
		if w.tokens == 0 {
			role = `"role":"assistant",`
		}
		choice = fmt.Sprintf(`{"index":0,"delta":{%s"content":%q},"finish_reason":null}`, role, text)
	}
	w.write(choice, "")
	w.tokens++
}

func (w *eventWriter) finish(end progress) {
	rest := `"text":""`
	if w.x.chat {
		rest = `"delta":{}`
	}
	w.write(fmt.Sprintf(`{"index":0,%s,"finish_reason":%q}`, rest, w.g.finishReason), "")
	if w.x.StreamOptions.IncludeUsage {
		counted, _ := json.Marshal(newUsage(w.g, end)) // numbers only
		w.write("", `,"usage":`+string(counted))
	}
	w.buffer = append(w.buffer, "data: [DONE]\n\n"...)
	w.flush()
}

// failed ends the stream with an error event.
func (w *eventWriter) failed(message string) {
	body, _ := json.Marshal(errorBody{errorDetail{Message: message, Type: "server_error", Code: "cancelled"}})
	w.buffer = append(append(append(w.buffer, "data: "...), body...), "\n\n"...)
	w.flush()
}

func (w *eventWriter) flush() {
	if len(w.buffer) == 0 {
		return
	}
	_, _ = w.writer.Write(w.buffer) // the caller left
	w.buffer = w.buffer[:0]
	if flusher, ok := w.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}
