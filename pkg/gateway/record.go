package gateway

import (
	"time"

	"github.com/gofiber/fiber/v2"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/telemetry"
	"martenwheel.dev/pkg/traffic"
	"martenwheel.dev/pkg/tree"
)

// Outcomes of requests, as written to logs and metrics.
const (
	outcomeServed    = "served"
	outcomeRefused   = "refused" // certainly not run
	outcomeUnknown   = "unknown" // possibly run
	outcomeCancelled = "cancelled"
	outcomeInvalid   = "invalid"
)

// record collects the access log fields of a request.
type record struct {
	requestID string
	caller    string
	server    api.ServerID
	revision  tree.Revision
	arrived   time.Time
	sentAt    time.Time     // when it was last sent to an engine
	waitTime  time.Duration // total wait for replicas and keepers
	tokens    int
	replayed  bool
}

// outcomeOf returns the outcome of a request that was answered with apiError.
func outcomeOf(apiError *APIError) traffic.OutcomeKind {
	switch {
	case apiError.Status == statusCallerHungUp:
		return traffic.OutcomeCancelled
	case apiError.NotRun:
		return traffic.OutcomeNotRun
	default:
		return traffic.OutcomeUnknown
	}
}

// outcomeName returns the name of an outcome for logs and metrics.
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

// end ends the call and logs and counts it. Further calls do nothing.
func (c *call) end(kind traffic.OutcomeKind, apiError *APIError) {
	if c.ended {
		return
	}
	c.ended = true
	c.watch.Stop()
	c.cancelCaller(nil)
	now := c.gateway.config.Now()
	outcome := outcomeName(kind, apiError)
	c.gateway.metrics.observe(c, outcome, now)
	c.log(outcome, apiError, now)
}

// log writes the access log line of the call.
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
		"wait_seconds", c.record.waitTime.Seconds(),
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
