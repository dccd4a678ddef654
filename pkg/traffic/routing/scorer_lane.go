package routing

// LaneScorer prefers servers that serve requests similar to this one, so that long prompts
// are processed on other servers than streams that are sensitive to pauses.
type LaneScorer struct{}

// Name returns "lane".
func (LaneScorer) Name() string { return "lane" }

// Score is how well the candidate's lane fits the request.
func (LaneScorer) Score(_ *Request, candidate *Candidate) float64 { return candidate.Lane }
