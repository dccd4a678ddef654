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

// bytesPerToken is the assumed prompt length per token, to estimate token counts.
const bytesPerToken = 4

// errBrokenJSON reports that the JSON of a body is truncated or malformed.
var errBrokenJSON = errors.New("the body's JSON is cut off or malformed")

// requestBody holds the fields of a request's body that the gateway uses.
type requestBody struct {
	Model        api.ModelName
	Stream       bool
	MaxTokens    int    // zero: not set
	PromptTokens int    // estimated from the length of the prompt
	PromptStart  string // leading text of the prompt, in the form that engines cache
}

// decodeBody parses body, which must be one JSON object. Field names are
// case-sensitive, and a field that the gateway reads may occur only once, so
// that an engine cannot interpret the request differently.
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

// ignoredValue is the decoding target of fields that the gateway ignores.
type ignoredValue struct{}

// UnmarshalJSON accepts and discards any value.
func (*ignoredValue) UnmarshalJSON([]byte) error { return nil }

// bodyFields collects the fields of a body while it is decoded.
type bodyFields struct {
	requestBody
	promptField string
	messages    []engine.ChatMessage // prompt of a chat completion
	prompt      string               // prompt of a text completion
	seen        []string             // names of the used fields decoded so far
}

// decodeNext decodes one field. It returns errBrokenJSON for invalid JSON and
// adds other faults to found.
func (f *bodyFields) decodeNext(decoder *json.Decoder, found *findings.List) error {
	token, err := decoder.Token()
	if err != nil {
		return errBrokenJSON
	}
	name, _ := token.(string) // the decoder allows only strings as names
	target := f.target(name)
	if target == nil {
		return decodeValue(decoder, &ignoredValue{}, nil)
	}
	if slices.Contains(f.seen, name) {
		found.Addf(name, "given twice")
	} else {
		f.seen = append(f.seen, name)
	}
	start := decoder.InputOffset()
	err = decodeValue(decoder, target, func() {
		if name != f.promptField { // the engine validates other forms of prompt
			found.Addf(name, "has the wrong type")
		}
	})
	if name == f.promptField {
		f.PromptTokens = int(decoder.InputOffset()-start)/bytesPerToken + 1
	}
	return err
}

// target returns the decoding target of the named field, or nil if the gateway
// ignores it.
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

// decodeValue decodes one value into target. If the value has another type, it
// calls wrongType and returns nil; it returns errBrokenJSON for invalid JSON.
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

// maxPromptStart is the length in bytes of the leading part of a prompt that is
// matched against the prompt caches of replicas.
const maxPromptStart = 32 << 10

// promptStart returns the leading text of the prompt, in the form that engines
// cache.
func (f *bodyFields) promptStart() string {
	text := f.prompt
	if f.promptField == chatCompletions.promptField {
		text = engine.ChatPrompt(f.messages)
	}
	return text[:min(len(text), maxPromptStart)]
}

// checkMissing adds a finding for each required field that is missing and for a
// negative token limit.
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
