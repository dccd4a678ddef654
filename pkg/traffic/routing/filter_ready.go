package routing

import "martenwheel.dev/pkg/api"

// ReadyFilter keeps the replicas that serve: those in state ready. A replica
// that is loading, draining, unloading or in doubt gets no request.
type ReadyFilter struct{}

// Name returns "ready".
func (ReadyFilter) Name() string { return "ready" }

// Keep tells whether the replica is ready.
func (ReadyFilter) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.State == api.ReplicaReady
}
