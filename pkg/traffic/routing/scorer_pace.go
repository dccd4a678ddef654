package routing

// PaceScorer prefers fast servers. On a slow one a prompt that is being read holds
// up the streams of all others for longer, until their pauses show.
type PaceScorer struct{}

// Name returns "pace".
func (PaceScorer) Name() string { return "pace" }

// Score is the part that the server has of the fastest one's pace, 1 if that is not
// known.
func (PaceScorer) Score(_ *Request, candidate *Candidate) float64 {
	return 1 / max(candidate.Slowness, 1)
}
