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

// Simulated converts a wall-clock time to simulated time.
func (c *Clock) Simulated(wall time.Time) time.Time {
	return c.start.Add(time.Duration(float64(wall.Sub(c.start)) * c.speed))
}

// WallTime converts a simulated time to wall-clock time.
func (c *Clock) WallTime(simulated time.Time) time.Time {
	return c.start.Add(c.Wall(simulated.Sub(c.start)))
}

// Wall converts a simulated duration to wall-clock time.
func (c *Clock) Wall(simulated time.Duration) time.Duration {
	return time.Duration(float64(simulated) / c.speed)
}

// Sleep waits for the simulated duration. It returns false if ctx ends earlier.
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
