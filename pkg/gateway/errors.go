package gateway

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/traffic"
)

// Error types of OpenAI-style APIs.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeRateLimit      = "rate_limit_error"
	typeConflict       = "conflict_error"
	typeServer         = "server_error"
)

// Error codes of the gateway; other codes are values of traffic.RefusalReason.
const (
	codeInvalidKey     = "invalid_api_key"
	codeInvalidHeader  = "invalid_header"
	codeInvalidBody    = "invalid_body"
	codeBodyTooLarge   = "body_too_large"
	codeHeaderTooLarge = "header_too_large"
	codeNotFound       = "not_found"
	codeTooManyConns   = "too_many_connections"
	codeStreamBroken   = "stream_broken"
	codeKeyMissing     = "idempotency_key_missing"
	codeInternal       = "internal_error"
	codeAnswerNotKept  = "answer_not_kept"
)

// statusCallerHungUp is the status in logs for a caller that hung up; it is never
// sent.
const statusCallerHungUp = 499

// APIError is an error answer to a caller, in the JSON form of OpenAI-style APIs.
type APIError struct {
	Status     int           `json:"-"`
	Message    string        `json:"message"`
	Type       string        `json:"type"`
	Param      *string       `json:"param"`
	Code       string        `json:"code"`
	NotRun     bool          `json:"not_run"` // true only if no engine ran any part of the request
	RetryAfter time.Duration `json:"-"`       // value of Retry-After; zero: no such header
	cause      error         // only for logs, never sent to callers
}

// Error returns the message and the cause, for logs.
func (e *APIError) Error() string {
	if e.cause != nil {
		return e.Message + ": " + e.cause.Error()
	}
	return e.Message
}

// Unwrap returns the cause.
func (e *APIError) Unwrap() error {
	return e.cause
}

// errorEnvelope is the JSON body of an error answer.
type errorEnvelope struct {
	Error *APIError `json:"error"`
}

// body returns the error encoded as JSON.
func (e *APIError) body() []byte {
	encoded, err := json.Marshal(errorEnvelope{Error: e})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","param":null,"code":"internal","not_run":false}}`)
	}
	return encoded
}

// send writes the error as the answer to a caller.
func (e *APIError) send(c *fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Set(HeaderNotRun, notRunValue(e.NotRun))
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, retryAfterSeconds(e.RetryAfter))
	}
	return c.Status(e.Status).Send(e.body())
}

// notRunValue returns the value of HeaderNotRun.
func notRunValue(notRun bool) string {
	if notRun {
		return "true"
	}
	return "unknown"
}

// retryAfterSeconds returns wait rounded up to whole seconds, as Retry-After
// requires.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// invalidRequest returns the error for a request with invalid content.
func invalidRequest(code, message string) *APIError {
	return &APIError{
		Status:  fiber.StatusBadRequest,
		Message: message,
		Type:    typeInvalidRequest,
		Code:    code,
		NotRun:  true,
	}
}

// refusalStatus maps each reason for a refusal to its HTTP status.
var refusalStatus = map[traffic.RefusalReason]int{
	traffic.ReasonUnknownModel:   fiber.StatusNotFound,
	traffic.ReasonRateLimited:    fiber.StatusTooManyRequests,
	traffic.ReasonQueueFull:      fiber.StatusTooManyRequests,
	traffic.ReasonDeadline:       fiber.StatusServiceUnavailable,
	traffic.ReasonLoadFailed:     fiber.StatusServiceUnavailable,
	traffic.ReasonNoCapacity:     fiber.StatusServiceUnavailable,
	traffic.ReasonStopping:       fiber.StatusServiceUnavailable,
	traffic.ReasonCallerLeft:     statusCallerHungUp,
	traffic.ReasonEngineFailed:   fiber.StatusBadGateway,
	traffic.ReasonOutcomeUnknown: fiber.StatusBadGateway,
	traffic.ReasonKeyInUse:       fiber.StatusConflict,
	traffic.ReasonKeyMismatch:    fiber.StatusUnprocessableEntity,
	traffic.ReasonUnavailable:    fiber.StatusServiceUnavailable,
	traffic.ReasonQuarantined:    fiber.StatusServiceUnavailable,
}

// errorType returns the API error type for an HTTP status.
func errorType(status int) string {
	switch {
	case status == fiber.StatusTooManyRequests:
		return typeRateLimit
	case status == fiber.StatusConflict:
		return typeConflict
	case status < fiber.StatusInternalServerError:
		return typeInvalidRequest
	default:
		return typeServer
	}
}

// fromRefusal converts a *traffic.Refusal into the error for the caller. Any
// other error becomes an internal error that leaves open whether the request was
// run.
func fromRefusal(err error) *APIError {
	var refusal *traffic.Refusal
	if !errors.As(err, &refusal) {
		return &APIError{
			Status:  fiber.StatusInternalServerError,
			Message: "the request failed within the gateway",
			Type:    typeServer,
			Code:    codeInternal,
		}
	}
	status, known := refusalStatus[refusal.Reason]
	if !known {
		status = fiber.StatusServiceUnavailable
	}
	return &APIError{
		Status:     status,
		Message:    refusal.Message,
		Type:       errorType(status),
		Code:       string(refusal.Reason),
		NotRun:     refusal.NotRun,
		RetryAfter: refusal.RetryAfter,
	}
}
