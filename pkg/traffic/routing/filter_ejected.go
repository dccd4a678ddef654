package routing

// EjectedFilter drops the servers that outlier detection has ejected.
type EjectedFilter struct{}

// Name returns "ejected".
func (EjectedFilter) Name() string { return "ejected" }

// Keep reports whether the server is not ejected.
func (EjectedFilter) Keep(_ *Request, candidate *Candidate) bool {
	return !candidate.Ejected
}
