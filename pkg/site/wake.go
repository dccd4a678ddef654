package site

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/clock"
)

// watchSuspension logs and counts suspensions of the machine until stop is called. What the
// node believes is older by then; it asks the holder and looks at the lease at once, where it
// would learn of both with the next beat.
func (s *Site) watchSuspension() (stop func()) {
	if err := clock.Err(); err != nil {
		s.Logger.Warn("suspensions of the machine are not noticed: ages go by the steady clock", "error", err)
	}
	wakes := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "martenwheel", Name: "suspensions_total", Help: "Suspensions of the machine.",
	})
	seconds := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "martenwheel", Name: "suspended_seconds_total", Help: "Time for which the machine was suspended.",
	})
	s.Registry.MustRegister(wakes, seconds)
	return clock.OnWake(func(slept time.Duration) {
		s.Logger.Warn("woke from a suspension", "for_ms", slept.Milliseconds(), "in_flight", s.relay.InFlight())
		wakes.Inc()
		seconds.Add(slept.Seconds())
		s.member.MachineResumed()
	})
}
