package routing

// RecentScorer prefers replicas to which this node has sent few requests recently,
// including those that have ended. Between replicas of equal load it makes a node
// alternate, so that the load is spread evenly although the nodes do not see each
// other's requests.
type RecentScorer struct{}

// Name returns "recent".
func (RecentScorer) Name() string { return "recent" }

// Score falls from 1 for no requests to 0.5 for as many as the replica's limit, and
// further towards 0.
func (RecentScorer) Score(_ *Request, candidate *Candidate) float64 {
	limit := candidate.Usage.MaxRequests
	if limit <= 0 {
		limit = assumedLimit
	}
	return 1 / (1 + candidate.Recent/float64(limit))
}
