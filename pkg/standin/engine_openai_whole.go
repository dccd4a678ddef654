package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"martenwheel.dev/pkg/engine"
)

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
	_, _ = writer.Write(body) // fails only if the caller left
}

// otherRequest returns a made-up generation of another request, for the fault
// that mixes up answers.
func otherRequest(g *generation) *generation {
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
		g = otherRequest(g)
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
		panic(err) // can't happen: strings and numbers only
	}
	return body
}

// answerID returns the ID in the answer, which contains the request's ID.
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
