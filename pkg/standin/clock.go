package standin

import (
	"context"
	"time"
)

// Clock is a clock that runs faster or slower than the wall clock.
type Clock struct {
	start time.Time
	speed float64
}

// NewClock returns a clock that starts now and runs speed times as fast as the
// wall clock. A speed of zero or below counts as one.
func NewClock(speed float64) *Clock {
	if speed <= 0 {
		speed = 1
	}
	return &Clock{start: time.Now(), speed: speed}
}

// Now returns the simulated time.
func (c *Clock) Now() time.Time {
	return c.Simulated(time.Now())
}

// Simulated returns the simulated time of a time on the wall clock.
func (c *Clock) Simulated(wall time.Time) time.Time {
	return c.start.Add(time.Duration(float64(wall.Sub(c.start)) * c.speed))
}

// WallTime returns the time on the wall clock of a simulated time.
func (c *Clock) WallTime(simulated time.Time) time.Time {
	return c.start.Add(c.Wall(simulated.Sub(c.start)))
}

// Wall returns how long the simulated duration takes on the wall clock.
func (c *Clock) Wall(simulated time.Duration) time.Duration {
	return time.Duration(float64(simulated) / c.speed)
}

// Sleep waits for the simulated duration. It returns false when ctx ended
// earlier.
func (c *Clock) Sleep(ctx context.Context, simulated time.Duration) bool {
	timer := time.NewTimer(c.Wall(simulated))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
