package standin

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// phase is where a generation stands.
type phase uint8

const (
	phaseQueued phase = iota + 1
	phasePrefill
	phaseDecoding
	phaseFinished
	phaseCancelled // by the caller, or its caller left; can be resumed
	phaseRefused   // nothing of it ran
)

// generation is the work for one request.
type generation struct {
	id           string // request ID
	key          string // idempotency key, else the request ID
	model        api.ModelName
	prompt       string
	prefixes     []uint64
	promptTokens int
	target       int // tokens to generate
	finishReason string
	priority     int
	arrival      uint64    // order of arrival
	deadline     time.Time // not started after it; zero for none

	phase        phase
	refusal      string // when refused
	started      bool   // has been in the batch
	cachedTokens int    // of the prompt, found in the prefix cache
	prefillLeft  float64
	stored       bool // its prefixes are in the prefix cache
	produced     float64
	kvBytes      uint64 // held while in the batch
	endedAt      time.Time
	holder       int           // counts the callers that took it up
	changed      chan struct{} // signalled on each token and phase
}

// tokens returns how many whole tokens are there.
func (g *generation) tokens() int {
	return min(int(g.produced+tokenTolerance), g.target)
}

func (g *generation) running() bool {
	return g.phase == phasePrefill || g.phase == phaseDecoding
}

func (g *generation) ended() bool {
	return g.phase >= phaseFinished
}

func (g *generation) signal() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// before tells whether g goes into the batch before other.
func (g *generation) before(other *generation) bool {
	if g.priority != other.priority {
		return g.priority > other.priority
	}
	return g.arrival < other.arrival
}
