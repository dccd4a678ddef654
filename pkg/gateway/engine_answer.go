package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/gateway/internal/upstream"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/telemetry"
	"martenwheel.dev/pkg/traffic"
)

// mimeEventStream is the content type of a streamed answer.
const mimeEventStream = "text/event-stream"

// maxErrorBytes is the maximum size of the error answers that are read from
// engines.
const maxErrorBytes = 64 << 10

// Errors for invalid answers of engines.
var (
	errOtherAnswer = errors.New("the engine sent the answer of another request")
	errNotJSON     = errors.New("the engine's answer is truncated or not JSON")
	errWrongType   = errors.New("the engine's answer has an unexpected content type")
)

// usage holds the token counts of an answer.
type usage struct {
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// answerFields holds the fields of an answer or event that the gateway checks.
type answerFields struct {
	ID    string `json:"id"`
	Usage *usage `json:"usage"`
	Error *struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    any    `json:"code"`
	} `json:"error"`
}

// wholeAnswer is a complete answer that was not streamed.
type wholeAnswer struct {
	body  *memory.Buffer // of the gateway's budget, until the caller has it
	usage usage
}

// belongsTo reports whether id, from an engine's answer, is engineID, possibly
// with the ID prefix of the API endpoint.
func belongsTo(id, engineID string) bool {
	prefix, found := strings.CutSuffix(id, engineID)
	return found && (prefix == "" || prefix == "chatcmpl-" || prefix == "cmpl-")
}

// checkHeader checks that the answer belongs to this request and is a success.
// It closes any other answer.
func (a *attempt) checkHeader(answer *upstream.Answer) *attemptFailure {
	header := &answer.Response.Header
	succeeded := answer.Response.StatusCode() == fasthttp.StatusOK
	if !a.isOwnAnswer(header.Peek(engine.HeaderRequestID), succeeded) {
		answer.Close(false)
		return a.classifyError(errOtherAnswer)
	}
	if !succeeded {
		return a.readRefusal(answer)
	}
	want := fiber.MIMEApplicationJSON
	if a.call.parsed.Stream {
		want = mimeEventStream
	}
	if !bytes.HasPrefix(header.ContentType(), []byte(want)) {
		answer.Close(false)
		return a.classifyError(errWrongType)
	}
	return nil
}

// isOwnAnswer reports whether an answer with the given request ID belongs to this
// request. Engines may omit the ID in an error.
func (a *attempt) isOwnAnswer(id []byte, succeeded bool) bool {
	if len(id) == 0 {
		return !succeeded
	}
	return string(id) == a.engineID
}

// readRefusal reads and classifies an error answer. It counts as "not run"
// only if the engine says so in a header.
func (a *attempt) readRefusal(answer *upstream.Answer) *attemptFailure {
	status := answer.Response.StatusCode()
	header := &answer.Response.Header
	leaving := isTrue(header.Peek(engine.HeaderLeaving))
	notRun := leaving || isTrue(header.Peek(engine.HeaderNotRun))
	text := errorText(answer)
	failure := &attemptFailure{
		leaving:  leaving,
		outcome:  traffic.OutcomeUnknown,
		apiError: engineFailed(notRun, errors.Errorf("status %d: %s", status, text)),
	}
	if notRun {
		failure.outcome = traffic.OutcomeNotRun
	}
	if isInvalidRequest(status) {
		failure.final = true
		failure.outcome = traffic.OutcomeServed
		failure.apiError.Status = status
		failure.apiError.Type = typeInvalidRequest
		failure.apiError.Code = codeInvalidBody
		failure.apiError.Message = "the engine refused the request: " + text
	}
	return failure
}

// isTrue reports whether a header has the value "true".
func isTrue(value []byte) bool {
	return string(value) == "true"
}

// isInvalidRequest reports whether status means that every engine would refuse
// the request.
func isInvalidRequest(status int) bool {
	switch status {
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// errorText reads an error answer to its end, closes it and returns its message.
func errorText(answer *upstream.Answer) string {
	text, err := answer.ReadAll(maxErrorBytes)
	answer.Close(err == nil)
	if err != nil {
		return "(no text)"
	}
	var fields answerFields
	if json.Unmarshal(text, &fields) != nil || fields.Error == nil {
		return "(no text)"
	}
	return fields.Error.Message
}

// readWhole reads an answer that is not streamed and checks that it is complete
// and belongs to this request.
func (a *attempt) readWhole(answer *upstream.Answer) (*wholeAnswer, error) {
	whole := &wholeAnswer{body: memory.NewBuffer(&a.call.gateway.held)}
	if err := a.readInto(whole, answer); err != nil {
		whole.body.Release()
		return nil, err
	}
	answer.Close(true)
	return whole, nil
}

// readInto reads an answer into whole and checks it.
func (a *attempt) readInto(whole *wholeAnswer, answer *upstream.Answer) error {
	if err := answer.ReadInto(whole.body, a.call.gateway.config.Limits.AnswerBytes); err != nil {
		return err
	}
	var fields answerFields
	if json.Unmarshal(whole.body.Bytes(), &fields) != nil {
		return errNotJSON
	}
	if !belongsTo(fields.ID, a.engineID) {
		return errOtherAnswer
	}
	if fields.Usage != nil {
		whole.usage = *fields.Usage
	}
	return nil
}

// heldBody is the body of an answer to a caller that is not streamed.
type heldBody struct {
	bytes.Reader
	held *memory.Buffer
}

func newHeldBody(held *memory.Buffer) *heldBody {
	b := &heldBody{held: held}
	b.Reset(held.Bytes())
	return b
}

// Close releases the answer. The HTTP server calls it when all is sent or the caller hung up.
func (b *heldBody) Close() error {
	b.Reset(nil)
	b.held.Release()
	return nil
}

// cancelTimeout is the timeout of a cancellation at an engine.
const cancelTimeout = 2 * time.Second

// cancelAtEngine asks an engine, in the background, to cancel a request.
func (g *Gateway) cancelAtEngine(address, engineID string) {
	body, err := json.Marshal(engine.CancelRequest{RequestID: engineID})
	if err != nil {
		return
	}
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.Header.SetMethod(fasthttp.MethodPost)
		request.Header.SetRequestURI(engine.PathCancel)
		request.Header.SetHost(address)
		request.Header.SetContentType(fiber.MIMEApplicationJSON)
		request.SetBodyRaw(body)
		answer, err := g.engines.Send(ctx, address, request, g.config.Now().Add(cancelTimeout))
		if err != nil {
			g.config.Logger.Debug("cancellation not confirmed", "engine", address, telemetry.FieldRequestID, engineID, telemetry.FieldError, err)
			return
		}
		_, err = answer.ReadAll(maxErrorBytes)
		answer.Close(err == nil)
	})
}
