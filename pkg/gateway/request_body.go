package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"unicode/utf8"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/findings"
)

// bytesPerToken estimates the tokens of a prompt from its length.
const bytesPerToken = 4

// requestBody is what the gateway reads of a request's body.
type requestBody struct {
	Model        api.ModelName
	Stream       bool
	MaxTokens    int    // zero: not given
	PromptTokens int    // estimate
	PromptStart  string // leading text of the prompt as engines cache it
}

// decodeBody reads body, which must be one JSON object. Field names count as
// they are spelt; a field that the gateway reads may be given only once, so
// that no engine can understand the request otherwise.
func decodeBody(body []byte, promptField string) (requestBody, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	opening, err := decoder.Token()
	if err != nil {
		return requestBody{}, errors.New("the body is not JSON")
	}
	if opening != json.Delim('{') {
		return requestBody{}, errors.New("the body is not a JSON object")
	}
	var found findings.List
	fields := bodyFields{promptField: promptField, seen: make(map[string]bool)}
	for decoder.More() {
		if err := fields.decodeNext(decoder, &found); err != nil {
			return requestBody{}, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return requestBody{}, errors.New("the body's JSON is cut off or malformed")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return requestBody{}, errors.New("the body goes on after its JSON object")
	}
	fields.checkMissing(&found)
	return fields.requestBody, found.Err()
}

// rawValue is the text of a value as it stands in the decoder's buffer, which
// is valid until the decoder goes on: unlike a json.RawMessage it is no copy.
type rawValue []byte

// UnmarshalJSON keeps text.
func (v *rawValue) UnmarshalJSON(text []byte) error {
	*v = text
	return nil
}

// bodyFields collects the fields of a body.
type bodyFields struct {
	requestBody
	promptField string
	seen        map[string]bool
}

// decodeNext reads one field. An error means that the JSON is broken.
func (f *bodyFields) decodeNext(decoder *json.Decoder, found *findings.List) error {
	token, err := decoder.Token()
	if err != nil {
		return errors.New("the body's JSON is cut off or malformed")
	}
	name, _ := token.(string) // the decoder lets only strings be names
	var value rawValue
	if err := decoder.Decode(&value); err != nil {
		return errors.New("the body's JSON is cut off or malformed")
	}
	var target any
	switch name {
	case "model":
		target = &f.Model
	case "stream":
		target = &f.Stream
	case "max_tokens", "max_completion_tokens":
		target = &f.MaxTokens
	case f.promptField:
		f.setPrompt(value)
	default:
		return nil
	}
	if f.seen[name] {
		found.Addf(name, "given twice")
	}
	f.seen[name] = true
	if target != nil && json.Unmarshal(value, target) != nil {
		found.Addf(name, "has the wrong type")
	}
	return nil
}

// maxPromptStart bounds the part of a prompt by which a replica that has it
// cached is found, in bytes.
const maxPromptStart = 32 << 10

// setPrompt reads the prompt: a text, or the messages of a chat. Any other
// form is for the engine to judge and has no text here.
func (f *bodyFields) setPrompt(value rawValue) {
	f.PromptTokens = len(value)/bytesPerToken + 1
	var text string
	if f.promptField == chatCompletions.promptField {
		text = chatText(value)
	} else if json.Unmarshal(value, &text) != nil {
		return
	}
	f.PromptStart = text[:min(len(text), maxPromptStart)]
}

// chatMessage is a message as far as its text counts.
type chatMessage struct {
	Role    string      `json:"role"`
	Content contentText `json:"content"`
}

// contentText is the text of a message's content: one text, or several parts.
type contentText string

// UnmarshalJSON reads a text or the texts of parts. Content of another form
// has no text.
func (c *contentText) UnmarshalJSON(value []byte) error {
	if isPlainText(value) {
		*c = contentText(value[1 : len(value)-1])
		return nil
	}
	var text string
	if json.Unmarshal(value, &text) == nil {
		*c = contentText(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(value, &parts) != nil {
		return nil
	}
	for _, part := range parts {
		*c += contentText(part.Text)
	}
	return nil
}

// isPlainText tells whether a valid JSON value is a string that stands for
// itself, without escapes.
func isPlainText(value []byte) bool {
	return value[0] == '"' && bytes.IndexByte(value, '\\') < 0 && utf8.Valid(value)
}

// chatText returns the text of a chat as engines cache it, or an empty one if
// it has another form.
func chatText(value rawValue) string {
	var messages []chatMessage
	if json.Unmarshal(value, &messages) != nil {
		return ""
	}
	texts := make([]engine.ChatMessage, len(messages))
	for i, message := range messages {
		texts[i] = engine.ChatMessage{Role: message.Role, Content: string(message.Content)}
	}
	return engine.ChatPrompt(texts)
}

// checkMissing adds what every request must have.
func (f *bodyFields) checkMissing(found *findings.List) {
	if f.Model == "" {
		found.Addf("model", "missing")
	}
	if !f.seen[f.promptField] {
		found.Addf(f.promptField, "missing")
	}
	if f.MaxTokens < 0 {
		found.Addf("max_tokens", "must not be negative")
	}
}
