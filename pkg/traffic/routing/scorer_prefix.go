package routing

// PrefixScorer prefers servers that are believed to have the leading blocks of
// the prompt in their prefix cache.
type PrefixScorer struct{}

// Name returns "prefix".
func (PrefixScorer) Name() string { return "prefix" }

// Score is the share of the prompt's blocks that are believed to be cached.
func (PrefixScorer) Score(request *Request, candidate *Candidate) float64 {
	if request.Blocks == 0 {
		return 0
	}
	return float64(candidate.MatchedBlocks) / float64(request.Blocks)
}
