package routing

// assumedLimit is the assumed number of requests that fill a replica whose settings give
// no limit.
const assumedLimit = 32

// InFlightScorer prefers replicas on which this node has few requests running. A node's
// own requests are its most current knowledge of the load.
type InFlightScorer struct{}

// Name returns "in-flight".
func (InFlightScorer) Name() string { return "in-flight" }

// Score falls from 1 for no request to 0 at the replica's limit.
func (InFlightScorer) Score(_ *Request, candidate *Candidate) float64 {
	requests := max(candidate.Usage.Requests, candidate.BaseUsage.Requests)
	return freeShare(float64(requests), candidate)
}

// freeShare returns the share of the replica's limit that the requests leave free.
func freeShare(requests float64, candidate *Candidate) float64 {
	limit := candidate.Usage.MaxRequests
	if limit <= 0 {
		limit = assumedLimit
	}
	return max(0, 1-requests/float64(limit))
}
