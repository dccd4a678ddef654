package coordinator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"martenwheel.dev/pkg/quarantine"
)

// runningTrials are the subjects of which the holder said that they have a trial. A node asks for one of them once in
// quarantine.TrialRetryAfter, however many requests wait there. Safe for concurrent use.
type runningTrials struct {
	mu    sync.Mutex
	until map[quarantine.Fingerprint]time.Time // when to ask again
}

// add records that subjects have a trial.
func (r *runningTrials) add(now time.Time, subjects []quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.until, func(_ quarantine.Fingerprint, until time.Time) bool { return !now.Before(until) })
	if r.until == nil {
		r.until = make(map[quarantine.Fingerprint]time.Time)
	}
	for _, f := range subjects {
		r.until[f] = now.Add(quarantine.TrialRetryAfter)
	}
}

// has reports whether one of the subjects was said to have a trial a moment ago.
func (r *runningTrials) has(now time.Time, subjects []quarantine.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(subjects, func(f quarantine.Fingerprint) bool { return now.Before(r.until[f]) })
}
