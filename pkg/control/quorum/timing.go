package quorum

import (
	"time"
)

// Timing holds the time constants of a group. Safety does not depend on any of
// them.
type Timing struct {
	HeartbeatInterval time.Duration // interval of the leader's heartbeats
	ResendInterval    time.Duration // time until an unanswered message is sent again
	ElectionTimeout   time.Duration // silence of the leader after which the first-ranked member starts an election
	ElectionStep      time.Duration // additional delay per rank
	LeaderTimeout     time.Duration // silence of the majority after which the leader steps down
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
