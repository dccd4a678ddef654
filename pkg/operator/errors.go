package operator

import (
	"context"
	"strconv"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/tree"
)

// statusError is an error with its HTTP status and the detail for the response.
type statusError struct {
	status int
	detail ErrorDetail
}

// Error implements error.
func (e *statusError) Error() string {
	return e.detail.Message
}

// badRequest returns err as an error with status 400.
func badRequest(err error) error {
	return &statusError{fiber.StatusBadRequest, ErrorDetail{Code: CodeBadRequest, Message: err.Error()}}
}

// answerError writes err as the response.
func answerError(c *fiber.Ctx, err error) error {
	classified := classify(err)
	if classified.status == fiber.StatusServiceUnavailable {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(retryAfterOutage.Seconds())))
	}
	return c.Status(classified.status).JSON(ErrorAnswer{Error: classified.detail})
}

// classify returns the HTTP status and the detail for err.
func classify(err error) *statusError {
	var (
		known      *statusError
		reported   *findings.Error
		conflict   *tree.ConflictError
		fiberError *fiber.Error
	)
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &reported):
		return &statusError{fiber.StatusUnprocessableEntity, ErrorDetail{
			Code:     CodeInvalid,
			Message:  "the change is refused whole; nothing was changed",
			Findings: reported.Findings,
		}}
	case errors.As(err, &conflict):
		return &statusError{fiber.StatusConflict, ErrorDetail{
			Code:     CodeConflict,
			Message:  conflict.Error() + "; nothing was changed",
			Conflict: conflict,
		}}
	case errors.As(err, &fiberError):
		return &statusError{fiberError.Code, ErrorDetail{Code: codeOf(fiberError.Code), Message: fiberError.Message}}
	case errors.Is(err, tree.ErrNoSuchNode):
		return &statusError{fiber.StatusNotFound, ErrorDetail{Code: CodeNotFound, Message: err.Error()}}
	default:
		return classifyPlatform(err)
	}
}

// classifyPlatform returns the HTTP status and the detail for an error of the
// platform.
func classifyPlatform(err error) *statusError {
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		return &statusError{fiber.StatusServiceUnavailable, ErrorDetail{
			Code:    CodeOutcomeUnknown,
			Message: "the table service did not confirm the change, which may or may not be accepted; repeat it under the same id, which applies it once: " + err.Error(),
		}}
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrConflict),
		errors.Is(err, context.DeadlineExceeded):
		return &statusError{fiber.StatusServiceUnavailable, ErrorDetail{
			Code:    CodeUnavailable,
			Message: "the table service is down or slow, so the tree can't be edited and its history can't be read; nothing was changed and the tree in force stays: " + err.Error(),
		}}
	default:
		return &statusError{fiber.StatusInternalServerError, ErrorDetail{Code: CodeInternal, Message: err.Error()}}
	}
}

// codeOf returns the error code for an HTTP status of an error of the HTTP library.
func codeOf(status int) ErrorCode {
	switch status {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return CodeNotFound
	case fiber.StatusRequestEntityTooLarge:
		return CodeTooLarge
	case fiber.StatusInternalServerError:
		return CodeInternal
	default:
		return CodeBadRequest
	}
}
