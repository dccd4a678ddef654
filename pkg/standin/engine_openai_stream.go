package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"martenwheel.dev/pkg/engine"
)

// stream sends one event for each token, one with the finish reason, one with
// the usage if requested, and the end mark. The first resumeFrom events are
// skipped; the end mark does not count as an event.
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
				events.flush()
				panic(http.ErrAbortHandler)
			}
			if events.tokens == truncateAt {
				events.flush()
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

// streamFaults consumes the faults for this stream. It returns the number of
// tokens after which the stream is cut or ends early, -1 for never.
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
	head   string // start of each event
	prefix string // start of each token's text
	tokens int    // tokens written or skipped
	events int    // events written or skipped
	mixAt  int    // tokens after which another request's answer follows; 0: never
	begun  bool
	buffer []byte
}

func newEventWriter(writer http.ResponseWriter, x exchange, g *generation) *eventWriter {
	w := &eventWriter{writer: writer, x: x}
	w.setSource(g)
	return w
}

// write buffers an event with the given JSON of its choices and usage, unless
// the caller has received it already.
func (w *eventWriter) write(choices, usage string) {
	w.begin()
	w.events++
	if w.events <= w.x.resumeFrom {
		return
	}
	w.buffer = append(w.buffer, w.head...)
	w.buffer = append(w.buffer, choices...)
	w.buffer = append(w.buffer, ']')
	w.buffer = append(w.buffer, usage...)
	w.buffer = append(w.buffer, "}\n\n"...)
}

// setSource makes the following events part of the answer to g.
func (w *eventWriter) setSource(g *generation) {
	w.g = g
	w.prefix = tokenPrefix(string(g.model), g.prompt, g.id)
	object := "text_completion"
	if w.x.chat {
		object = "chat.completion.chunk"
	}
	w.head = fmt.Sprintf(`data: {"id":%s,"object":%q,"created":%d,"model":%s,"choices":[`,
		quote(w.x.answerID(g)), object, w.x.created, quote(string(g.model)))
}

// quote returns text as a JSON string.
func quote(text string) string {
	quoted, _ := json.Marshal(text) // can't fail
	return string(quoted)
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
		w.setSource(otherRequest(w.g))
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

// failed writes an error event, which ends the stream.
func (w *eventWriter) failed(message string) {
	body, _ := json.Marshal(errorBody{errorDetail{Message: message, Type: "server_error", Code: "cancelled"}})
	w.buffer = append(append(append(w.buffer, "data: "...), body...), "\n\n"...)
	w.flush()
}

func (w *eventWriter) flush() {
	if len(w.buffer) == 0 {
		return
	}
	_, _ = w.writer.Write(w.buffer) // fails only if the caller left
	w.buffer = w.buffer[:0]
	if flusher, ok := w.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}
