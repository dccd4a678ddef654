package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"martenwheel.dev/pkg/findings"
)

// Headers of callers' requests and of the answers to them.
const (
	HeaderRequestID      = "X-Request-Id"          // echoed in the answer; generated if absent
	HeaderDeadlineMillis = "X-Deadline-Ms"         // milliseconds until the first token is due
	HeaderDeadline       = "X-Deadline"            // RFC 3339 time when the first token is due
	HeaderPriority       = "X-Priority"            // integer; larger is more urgent
	HeaderIdempotencyKey = "Idempotency-Key"       // identifies an unsafe request and its repeats
	HeaderUnsafe         = "X-Unsafe-To-Repeat"    // true or false; overrides the model's setting
	HeaderNotRun         = "X-Not-Run"             // in errors: "true" or "unknown"
	HeaderReplayed       = "X-Idempotent-Replayed" // "true" if the answer is that of an earlier run
)

// Limits of header values.
const (
	maxNameLength     = 128 // bytes of a request ID or idempotency key
	maxDeadlineMillis = 24 * 60 * 60 * 1000
	maxPriority       = 1000 // the minimum is -maxPriority
)

// endpoint is an API path that runs a model.
type endpoint struct {
	path        string
	promptField string
}

// Endpoints that run a model.
var (
	chatCompletions = endpoint{path: "/v1/chat/completions", promptField: "messages"}
	completions     = endpoint{path: "/v1/completions", promptField: "prompt"}
)

// headerValues holds the documented headers of a request, copied from the HTTP
// server's buffers.
type headerValues struct {
	RequestID      string
	DeadlineMillis string
	Deadline       string
	Priority       string
	IdempotencyKey string
	Unsafe         string
}

// requestOptions holds the parsed headerValues.
type requestOptions struct {
	RequestID      string
	Deadline       time.Time // zero: the model's default
	Priority       *int      // nil: the model's default
	IdempotencyKey string
	Unsafe         *bool // nil: the model's default
}

// copyHeaders copies the documented headers and adds repeated ones to found.
func copyHeaders(c *fiber.Ctx, found *findings.List) headerValues {
	return headerValues{
		RequestID:      copyHeader(c, HeaderRequestID, found),
		DeadlineMillis: copyHeader(c, HeaderDeadlineMillis, found),
		Deadline:       copyHeader(c, HeaderDeadline, found),
		Priority:       copyHeader(c, HeaderPriority, found),
		IdempotencyKey: copyHeader(c, HeaderIdempotencyKey, found),
		Unsafe:         copyHeader(c, HeaderUnsafe, found),
	}
}

// copyHeader copies the first value of a header and adds a finding if there are
// more.
func copyHeader(c *fiber.Ctx, name string, found *findings.List) string {
	values := c.Request().Header.PeekAll(name)
	if len(values) == 0 {
		return ""
	}
	if len(values) > 1 {
		found.Addf(name, "given %d times", len(values))
	}
	return string(values[0])
}

// parseOptions parses the header values and adds all faults to found. A deadline
// in milliseconds counts from now.
func parseOptions(values headerValues, now time.Time, found *findings.List) requestOptions {
	options := requestOptions{
		RequestID:      checkName(HeaderRequestID, values.RequestID, found),
		IdempotencyKey: checkName(HeaderIdempotencyKey, values.IdempotencyKey, found),
	}
	options.Deadline = parseDeadline(values, now, found)
	if values.Priority != "" {
		priority, err := strconv.Atoi(values.Priority)
		if err != nil || priority > maxPriority || priority < -maxPriority {
			found.Addf(HeaderPriority, "must be an integer from %d to %d", -maxPriority, maxPriority)
		}
		options.Priority = &priority
	}
	switch values.Unsafe {
	case "":
	case "true", "false":
		unsafe := values.Unsafe == "true"
		options.Unsafe = &unsafe
	default:
		found.Addf(HeaderUnsafe, "must be true or false")
	}
	return options
}

// checkName returns value if it is a valid identifier, else "" and a finding.
func checkName(header, value string, found *findings.List) string {
	if len(value) > maxNameLength {
		found.Addf(header, "must be at most %d characters long", maxNameLength)
		return ""
	}
	for _, character := range []byte(value) {
		if !isNameCharacter(character) {
			found.Addf(header, "may hold only letters, digits and . _ : -")
			return ""
		}
	}
	return value
}

// isNameCharacter reports whether character is allowed in an identifier.
func isNameCharacter(character byte) bool {
	switch {
	case character >= 'a' && character <= 'z', character >= 'A' && character <= 'Z', character >= '0' && character <= '9':
		return true
	default:
		return strings.IndexByte("._:-", character) >= 0
	}
}

// parseDeadline returns the time by which the first token is due, zero if none is
// given.
func parseDeadline(values headerValues, now time.Time, found *findings.List) time.Time {
	if values.DeadlineMillis != "" && values.Deadline != "" {
		found.Addf(HeaderDeadline, "excludes %s", HeaderDeadlineMillis)
	}
	if values.DeadlineMillis != "" {
		millis, err := strconv.Atoi(values.DeadlineMillis)
		if err != nil || millis < 1 || millis > maxDeadlineMillis {
			found.Addf(HeaderDeadlineMillis, "must be an integer from 1 to %d", maxDeadlineMillis)
		}
		return now.Add(time.Duration(millis) * time.Millisecond)
	}
	if values.Deadline == "" {
		return time.Time{}
	}
	deadline, err := time.Parse(time.RFC3339Nano, values.Deadline)
	if err != nil {
		found.Addf(HeaderDeadline, "must be a time as in RFC 3339")
	}
	return deadline
}
