package routing

// ReachableFilter drops the servers that do not answer.
type ReachableFilter struct{}

// Name returns "reachable".
func (ReachableFilter) Name() string { return "reachable" }

// Keep reports whether the server answers.
func (ReachableFilter) Keep(_ *Request, candidate *Candidate) bool {
	return !candidate.Unreachable
}
