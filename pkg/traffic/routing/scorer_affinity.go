package routing

// AffinityScorer prefers the server to which all nodes assign the shared parts of the
// prompt. Unlike PrefixScorer it does not use knowledge of what the server has cached.
type AffinityScorer struct{}

// Name returns "affinity".
func (AffinityScorer) Name() string { return "affinity" }

// Score is the candidate's affinity.
func (AffinityScorer) Score(_ *Request, candidate *Candidate) float64 { return candidate.Affinity }
