package quorum

import (
	"time"
)

// Timing holds the time constants of a group. None matters for safety.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats of the leader
	ResendInterval    time.Duration // until an unanswered message is repeated
	ElectionTimeout   time.Duration // silence of the leader until the first member stands
	ElectionStep      time.Duration // longer for each further member in the succession
	LeaderTimeout     time.Duration // silence of the majority until the leader steps down
}

// DefaultTiming returns the time constants for nodes a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 500 * time.Millisecond,
		ResendInterval:    300 * time.Millisecond,
		ElectionTimeout:   1500 * time.Millisecond,
		ElectionStep:      500 * time.Millisecond,
		LeaderTimeout:     3 * time.Second,
	}
}
