package standin

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// phase is the phase that a generation is in.
type phase uint8

const (
	phaseQueued phase = iota + 1
	phasePrefill
	phaseDecoding
	phaseFinished
	phaseCancelled // cancelled by the caller, or the caller left; can be resumed
	phaseRefused   // no part of the request ran
)

// generation is the processing of one request.
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
	arrival      uint64    // position in the order of arrival
	deadline     time.Time // not started after it; zero for none

	phase        phase
	refusal      string // reason if refused
	started      bool   // has been in the batch
	cachedTokens int    // prompt tokens found in the prefix cache
	prefillLeft  float64
	stored       bool // its prefixes are in the prefix cache
	produced     float64
	kvBytes      uint64 // held while in the batch
	endedAt      time.Time
	attachment   int           // number of resumes; identifies the attached caller
	changed      chan struct{} // signalled on each new token and on the end
}

// tokens returns the number of whole tokens generated.
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

// before reports whether g is admitted to the batch before other.
func (g *generation) before(other *generation) bool {
	if g.priority != other.priority {
		return g.priority > other.priority
	}
	return g.arrival < other.arrival
}
