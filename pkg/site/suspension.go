package site

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/clock"
)

// watchSuspension logs and counts suspensions of the machine until stop is called. Afterwards the node's
// information is out of date: it asks the lease holder and reads the lease at once instead of waiting for
// the next heartbeat.
func (s *Site) watchSuspension() (stop func()) {
	if err := clock.Err(); err != nil {
		s.Logger.Warn("suspensions of the machine are not detected, ages are measured with the monotonic clock", "error", err)
	}
	suspensions := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "martenwheel", Name: "suspensions_total", Help: "Suspensions of the machine.",
	})
	seconds := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "martenwheel", Name: "suspended_seconds_total", Help: "Time for which the machine was suspended.",
	})
	s.Registry.MustRegister(suspensions, seconds)
	return clock.OnWake(func(slept time.Duration) {
		s.Logger.Warn("resumed after a suspension of the machine", "for_ms", slept.Milliseconds(), "in_flight", s.relay.InFlight())
		suspensions.Inc()
		seconds.Add(slept.Seconds())
		s.member.MachineResumed()
	})
}
