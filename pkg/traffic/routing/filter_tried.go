package routing

// TriedFilter drops the servers on which an earlier attempt of the request
// failed. The caller leaves Request.Tried empty if there is no other server.
type TriedFilter struct{}

// Name returns "tried".
func (TriedFilter) Name() string { return "tried" }

// Keep reports whether no earlier attempt went to the server.
func (TriedFilter) Keep(request *Request, candidate *Candidate) bool {
	return !request.hasTried(candidate.Server)
}
