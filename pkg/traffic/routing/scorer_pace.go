package routing

// PaceScorer prefers fast servers. On a slow one the processing of a prompt stalls the
// streams of all other requests for longer, up to noticeable pauses.
type PaceScorer struct{}

// Name returns "pace".
func (PaceScorer) Name() string { return "pace" }

// Score is the server's speed as a share of the fastest server's; 1 if it is unknown.
func (PaceScorer) Score(_ *Request, candidate *Candidate) float64 {
	return 1 / max(candidate.Slowness, 1)
}
