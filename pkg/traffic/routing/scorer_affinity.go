package routing

// AffinityScorer prefers the server that all nodes take for the keeper of the shared parts
// of the prompt. Unlike PrefixScorer it goes by no knowledge of what is kept.
type AffinityScorer struct{}

// Name returns "affinity".
func (AffinityScorer) Name() string { return "affinity" }

// Score is the candidate's affinity.
func (AffinityScorer) Score(_ *Request, candidate *Candidate) float64 { return candidate.Affinity }
