package gateway

import (
	"time"

	"github.com/gofiber/fiber/v2"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/telemetry"
	"martenwheel.dev/pkg/traffic"
	"martenwheel.dev/pkg/tree"
)

// Outcomes of requests, in logs and metrics.
const (
	outcomeServed    = "served"
	outcomeRefused   = "refused" // not run
	outcomeUnknown   = "unknown" // perhaps run
	outcomeCancelled = "cancelled"
	outcomeInvalid   = "invalid"
)

// record collects what the log says of a request.
type record struct {
	requestID string
	caller    string
	server    api.ServerID
	revision  tree.Revision
	arrived   time.Time
	sentAt    time.Time     // to the engine, the last time
	waited    time.Duration // for replicas and keepers
	tokens    int
	replayed  bool
}

// outcomeOf classifies an error that a caller receives.
func outcomeOf(apiError *APIError) traffic.OutcomeKind {
	switch {
	case apiError.Status == statusCallerLeft:
		return traffic.OutcomeCancelled
	case apiError.NotRun:
		return traffic.OutcomeNotRun
	default:
		return traffic.OutcomeUnknown
	}
}

// outcomeName is the name of an outcome in logs and metrics.
func outcomeName(kind traffic.OutcomeKind, apiError *APIError) string {
	switch kind {
	case traffic.OutcomeServed:
		return outcomeServed
	case traffic.OutcomeCancelled:
		return outcomeCancelled
	case traffic.OutcomeUnknown:
		return outcomeUnknown
	}
	if apiError != nil && apiError.Status < fiber.StatusInternalServerError && apiError.Status != fiber.StatusTooManyRequests {
		return outcomeInvalid
	}
	return outcomeRefused
}

// end ends the call: it is logged and counted once.
func (c *call) end(kind traffic.OutcomeKind, apiError *APIError) {
	if c.over {
		return
	}
	c.over = true
	c.watch.Stop()
	c.leave(nil)
	now := c.gateway.config.Now()
	outcome := outcomeName(kind, apiError)
	c.gateway.metrics.observe(c, outcome, now)
	c.log(outcome, apiError, now)
}

// log writes the line of the access log.
func (c *call) log(outcome string, apiError *APIError, now time.Time) {
	logger := c.gateway.config.Logger
	if !logger.IsInfo() {
		return
	}
	fields := []any{
		telemetry.FieldRequestID, c.record.requestID,
		"engine_request_id", c.request.ID,
		"caller", c.record.caller,
		telemetry.FieldModel, c.parsed.Model,
		telemetry.FieldNode, c.gateway.config.Node,
		telemetry.FieldServer, c.record.server,
		telemetry.FieldRevision, uint64(c.record.revision),
		"outcome", outcome,
		"stream", c.parsed.Stream,
		"attempts", c.attempts,
		"tokens", c.record.tokens,
		"seconds", now.Sub(c.record.arrived).Seconds(),
		"wait_seconds", c.record.waited.Seconds(),
	}
	if !c.firstEvent.IsZero() {
		fields = append(fields, "first_token_seconds", c.firstEvent.Sub(c.record.arrived).Seconds())
	}
	if c.record.replayed {
		fields = append(fields, "replayed", true)
	}
	if apiError != nil {
		fields = append(fields, "status", apiError.Status, "code", apiError.Code, "not_run", apiError.NotRun, telemetry.FieldError, apiError.Error())
	}
	logger.Info("request", fields...)
}
