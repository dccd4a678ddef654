package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// headerIdempotencyKey is the header that identifies repeats of a request.
const headerIdempotencyKey = "Idempotency-Key"

// completionRequest holds the fields that the stand-in reads of a request to
// either completion API.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              string          `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// exchange is a request to a completion API that is being answered.
type exchange struct {
	completionRequest
	chat       bool
	id         string
	submission submission
	deadline   time.Time // in wall-clock time
	resumeFrom int       // events to skip; negative if the request is new
	attachment int       // the generation's attachment for this exchange
	created    int64
}

func (e *Engine) parseExchange(request *http.Request, chat bool) (exchange, error) {
	x := exchange{chat: chat, id: request.Header.Get(engine.HeaderRequestID), resumeFrom: -1, created: time.Now().Unix()}
	if err := readJSON(request.Body, &x.completionRequest); err != nil {
		return x, err
	}
	if x.id == "" {
		x.id = uuid.NewString()
	}
	prompt, err := x.promptText()
	if err != nil {
		return x, err
	}
	x.submission = submission{
		id:        x.id,
		key:       request.Header.Get(headerIdempotencyKey),
		model:     api.ModelName(x.Model),
		prompt:    prompt,
		maxTokens: max(x.MaxTokens, x.MaxCompletionTokens),
	}
	if err := x.parseHeaders(request.Header); err != nil {
		return x, err
	}
	if !x.deadline.IsZero() {
		x.submission.deadline = e.clock.Simulated(x.deadline)
	}
	return x, nil
}

func (x *exchange) parseHeaders(header http.Header) (err error) {
	if value := header.Get(engine.HeaderPriority); value != "" {
		if x.submission.priority, err = strconv.Atoi(value); err != nil {
			return errors.Wrap(err, engine.HeaderPriority)
		}
	}
	if value := header.Get(engine.HeaderDeadline); value != "" {
		if x.deadline, err = time.Parse(time.RFC3339Nano, value); err != nil {
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

// promptText returns the prompt, whose prefixes are cached.
func (x *exchange) promptText() (string, error) {
	if !x.chat {
		return x.Prompt, nil
	}
	text, ok := engine.ParseChat(x.Messages)
	if !ok {
		return "", errors.New("messages: not a list of messages")
	}
	return text, nil
}
