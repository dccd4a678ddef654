package routing

// AdapterScorer prefers servers whose engine itself reported that the model or adapter
// is loaded over those known only from the owner.
type AdapterScorer struct{}

// Name returns "adapter".
func (AdapterScorer) Name() string { return "adapter" }

// Score is 1 if the engine lists the model, else 0.
func (AdapterScorer) Score(_ *Request, candidate *Candidate) float64 {
	if candidate.AdapterSeen {
		return 1
	}
	return 0
}
