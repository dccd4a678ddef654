package routing

import "martenwheel.dev/pkg/api"

// ReadyFilter drops the replicas that do not serve: those that are loading, draining or
// unloading, or whose order has an unknown outcome.
type ReadyFilter struct{}

// Name returns "ready".
func (ReadyFilter) Name() string { return "ready" }

// Keep reports whether the replica is ready.
func (ReadyFilter) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.State == api.ReplicaReady
}
