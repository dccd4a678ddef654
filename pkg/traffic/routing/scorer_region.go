package routing

// RegionScorer prefers servers in the node's own region: the links between regions have high
// latency and low bandwidth, and all traffic between regions shares them.
type RegionScorer struct{}

// Name returns "region".
func (RegionScorer) Name() string { return "region" }

// Score is 1 in the same region or if both regions are unknown, else 0.
func (RegionScorer) Score(request *Request, candidate *Candidate) float64 {
	if request.Region == candidate.Region {
		return 1
	}
	return 0
}
