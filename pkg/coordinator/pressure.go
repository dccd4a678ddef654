package coordinator

import (
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/backpressure"
)

// Heard takes in that a server's own word changed what this node believes of it.
func (m *Member) Heard(h backend.Heard) {
	m.logHeard(h)
}

// logHeard has the log tell of a change of belief.
func (m *Member) logHeard(h backend.Heard) {
	fields := []any{"server", h.Server}
	if h.Change&backpressure.Left != 0 {
		fields = append(fields, "leaving", true)
	}
	if h.Change&backpressure.RestSet != 0 {
		fields = append(fields, "rest_ms", h.Word.Rest.Milliseconds())
	}
	if h.Change&backpressure.LimitSet != 0 {
		fields = append(fields, "limit", h.Word.Limit)
	}
	if h.Change&backpressure.LimitEnded != 0 {
		fields = append(fields, "limit_ended", true)
	}
	m.Logger.Info("server asks", fields...)
}
