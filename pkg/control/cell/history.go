package cell

import (
	"time"

	"martenwheel.dev/pkg/policy"
)

// observe records an arrival, if the history can.
func observe(history *policy.History, at time.Time) {
	if observer, able := any(history).(interface{ Observe(at time.Time) }); able {
		observer.Observe(at)
	}
}
