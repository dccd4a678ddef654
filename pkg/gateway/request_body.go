package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/findings"
)

// bytesPerToken estimates the tokens of a prompt from its length.
const bytesPerToken = 4

// errBrokenJSON means that a body's JSON does not end or is malformed.
var errBrokenJSON = errors.New("the body's JSON is cut off or malformed")

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
	fields := bodyFields{promptField: promptField, seen: make([]string, 0, 8)}
	for decoder.More() {
		if err := fields.decodeNext(decoder, &found); err != nil {
			return requestBody{}, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return requestBody{}, errBrokenJSON
	}
	if _, err := decoder.Token(); err != io.EOF {
		return requestBody{}, errors.New("the body goes on after its JSON object")
	}
	fields.checkMissing(&found)
	fields.PromptStart = fields.promptStart()
	return fields.requestBody, found.Err()
}

// skippedValue takes the place of a value that nobody reads.
type skippedValue struct{}

// UnmarshalJSON skips any value.
func (*skippedValue) UnmarshalJSON([]byte) error { return nil }

// bodyFields collects the fields of a body.
type bodyFields struct {
	requestBody
	promptField string
	messages    []engine.ChatMessage // of a chat
	prompt      string               // of a completion
	seen        []string             // names of the fields read so far
}

// decodeNext reads one field. An error means that the JSON is broken.
func (f *bodyFields) decodeNext(decoder *json.Decoder, found *findings.List) error {
	token, err := decoder.Token()
	if err != nil {
		return errBrokenJSON
	}
	name, _ := token.(string) // the decoder lets only strings be names
	target := f.target(name)
	if target == nil {
		return decodeValue(decoder, &skippedValue{}, nil)
	}
	if slices.Contains(f.seen, name) {
		found.Addf(name, "given twice")
	} else {
		f.seen = append(f.seen, name)
	}
	start := decoder.InputOffset()
	err = decodeValue(decoder, target, func() {
		if name != f.promptField { // any other form of prompt is for the engine to judge
			found.Addf(name, "has the wrong type")
		}
	})
	if name == f.promptField {
		f.PromptTokens = int(decoder.InputOffset()-start)/bytesPerToken + 1
	}
	return err
}

// target returns where the field's value belongs, or nil if nobody reads it.
func (f *bodyFields) target(name string) any {
	switch name {
	case "model":
		return &f.Model
	case "stream":
		return &f.Stream
	case "max_tokens", "max_completion_tokens":
		return &f.MaxTokens
	case f.promptField:
		if name == chatCompletions.promptField {
			return &f.messages
		}
		return &f.prompt
	default:
		return nil
	}
}

// decodeValue reads one value into target. It calls wrongType for a value of
// another type; an error means that the JSON is broken.
func decodeValue(decoder *json.Decoder, target any, wrongType func()) error {
	err := decoder.Decode(target)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		wrongType()
		return nil
	}
	if err != nil {
		return errBrokenJSON
	}
	return nil
}

// maxPromptStart bounds the part of a prompt by which a replica that has it
// cached is found, in bytes.
const maxPromptStart = 32 << 10

// promptStart returns the beginning of the prompt's text as engines cache it.
func (f *bodyFields) promptStart() string {
	text := f.prompt
	if f.promptField == chatCompletions.promptField {
		text = engine.ChatPrompt(f.messages)
	}
	return text[:min(len(text), maxPromptStart)]
}

// checkMissing adds what every request must have.
func (f *bodyFields) checkMissing(found *findings.List) {
	if f.Model == "" {
		found.Addf("model", "missing")
	}
	if !slices.Contains(f.seen, f.promptField) {
		found.Addf(f.promptField, "missing")
	}
	if f.MaxTokens < 0 {
		found.Addf("max_tokens", "must not be negative")
	}
}
