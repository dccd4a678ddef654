package routing

// LaneScorer prefers servers that serve requests like this one, so that long prompts are
// read apart from streams whose pauses count.
type LaneScorer struct{}

// Name returns "lane".
func (LaneScorer) Name() string { return "lane" }

// Score is how well the candidate's lane fits the request.
func (LaneScorer) Score(_ *Request, candidate *Candidate) float64 { return candidate.Lane }
