package routing

// LeavingFilter drops the servers that are leaving.
type LeavingFilter struct{}

// Name returns "leaving".
func (LeavingFilter) Name() string { return "leaving" }

// Keep reports whether the server is not leaving.
func (LeavingFilter) Keep(_ *Request, candidate *Candidate) bool {
	return !candidate.Leaving
}
