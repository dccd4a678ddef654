package routing

// RecentScorer prefers replicas to which this node has sent few requests lately,
// those that have ended included. Between replicas of equal load it makes a
// node take turns, which spreads evenly what a hundred nodes can't see of each
// other.
type RecentScorer struct{}

// Name returns "recent".
func (RecentScorer) Name() string { return "recent" }

// Score falls from 1 for no request and is a half for as many as the replica's
// limit.
func (RecentScorer) Score(_ *Request, candidate *Candidate) float64 {
	limit := candidate.Usage.MaxRequests
	if limit <= 0 {
		limit = assumedLimit
	}
	return 1 / (1 + candidate.Recent/float64(limit))
}
