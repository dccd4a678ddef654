package gateway

import (
	"bytes"
	"encoding/json"

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

// Errors of bodies that are not one JSON object.
var (
	errNotJSONBody = errors.New("the body is not JSON")
	errNotObject   = errors.New("the body is not a JSON object")
	errBrokenJSON  = errors.New("the body's JSON is cut off or malformed")
	errGoesOn      = errors.New("the body goes on after its JSON object")
)

// decodeBody reads body, which must be one JSON object. Field names count as
// they are spelt; a field that the gateway reads may be given only once, so
// that no engine can understand the request otherwise.
func decodeBody(body []byte, promptField string) (requestBody, error) {
	values, err := decodeFields(body)
	if err != nil {
		return requestBody{}, err
	}
	var found findings.List
	fields := bodyFields{values: values, found: &found}
	var decoded requestBody
	fields.decode("model", &decoded.Model)
	fields.decode("stream", &decoded.Stream)
	decoded.MaxTokens = fields.decodeMaxTokens()
	prompt := fields.take(promptField)
	decoded.readPrompt(promptField, prompt)
	if decoded.Model == "" {
		found.Addf("model", "missing")
	}
	if prompt == nil {
		found.Addf(promptField, "missing")
	}
	return decoded, found.Err()
}

// fieldName is the name of a field of a JSON object, as it is spelt. Each
// occurrence is another map key, so that none is lost.
type fieldName struct {
	name       string
	occurrence *byte
}

// UnmarshalText takes the name of a field.
func (n *fieldName) UnmarshalText(name []byte) error {
	*n = fieldName{name: string(name), occurrence: new(byte)}
	return nil
}

// decodeFields returns the fields of the JSON object in body.
func decodeFields(body []byte) (map[fieldName]json.RawMessage, error) {
	if !bytes.HasPrefix(bytes.TrimLeft(body, jsonSpace), []byte("{")) {
		if json.Valid(body) {
			return nil, errNotObject
		}
		return nil, errNotJSONBody
	}
	var values map[fieldName]json.RawMessage
	if json.Unmarshal(body, &values) == nil {
		return values, nil
	}
	var first json.RawMessage
	if json.NewDecoder(bytes.NewReader(body)).Decode(&first) == nil {
		return nil, errGoesOn
	}
	return nil, errBrokenJSON
}

// jsonSpace is the white space of JSON.
const jsonSpace = " \t\r\n"

// bodyFields are the fields of a body, with what is wrong with them.
type bodyFields struct {
	values map[fieldName]json.RawMessage
	found  *findings.List
}

// take returns the value of the field, or nil if it is missing.
func (f *bodyFields) take(name string) json.RawMessage {
	var value json.RawMessage
	for field, given := range f.values {
		if field.name != name {
			continue
		}
		if value != nil {
			f.found.Addf(name, "given twice")
			return value
		}
		value = given
	}
	return value
}

// decode reads the value of the field into target, if it is given.
func (f *bodyFields) decode(name string, target any) {
	if value := f.take(name); value != nil && json.Unmarshal(value, target) != nil {
		f.found.Addf(name, "has the wrong type")
	}
}

// decodeMaxTokens returns the bound on the answer's tokens, zero for none.
func (f *bodyFields) decodeMaxTokens() int {
	most := 0
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		tokens := 0
		f.decode(name, &tokens)
		if tokens < 0 {
			f.found.Addf(name, "must not be negative")
		}
		most = max(most, tokens)
	}
	return most
}

// maxPromptStart bounds the part of a prompt by which a replica that has it
// cached is found, in bytes.
const maxPromptStart = 32 << 10

// readPrompt reads the prompt. One that has no text is for the engine to judge.
func (b *requestBody) readPrompt(field string, value json.RawMessage) {
	b.PromptTokens = len(value)/bytesPerToken + 1
	var text string
	if field == chatCompletions.promptField {
		text, _ = engine.ParseChat(value)
	} else {
		_ = json.Unmarshal(value, &text)
	}
	b.PromptStart = text[:min(len(text), maxPromptStart)]
}
