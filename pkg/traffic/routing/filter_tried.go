package routing

// TriedFilter drops the servers on which an earlier attempt of the request
// failed. The caller leaves Request.Tried empty when there is no other server.
type TriedFilter struct{}

// Name returns "tried".
func (TriedFilter) Name() string { return "tried" }

// Keep tells whether the server is new to the request.
func (TriedFilter) Keep(request *Request, candidate *Candidate) bool {
	return !request.hasTried(candidate.Server)
}
