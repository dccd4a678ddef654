package routing

// ZoneScorer prefers servers in the node's own zone.
type ZoneScorer struct{}

// Name returns "zone".
func (ZoneScorer) Name() string { return "zone" }

// Score is 1 in the same zone, else 0.
func (ZoneScorer) Score(request *Request, candidate *Candidate) float64 {
	if request.Zone == candidate.Zone {
		return 1
	}
	return 0
}
